package membership

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Limits on streams.
const (
	maxInboundStreams  = 6
	maxOutboundStreams = 4
	streamOpenTimeout  = 2 * time.Second // also bounds the wait for a free slot
	streamLifetime     = 30 * time.Second
)

// errStreamSlots is the error of an outbound stream for which no slot became free in time.
var errStreamSlots = errors.New("too many open streams")

// streamSlots limits the number of open streams: each open stream holds a slot.
type streamSlots chan struct{}

// slotConn is a stream that frees its slot when it is closed.
type slotConn struct {
	net.Conn
	slots     streamSlots
	closeOnce sync.Once
}

// Close closes the stream and frees its slot. Callers can ignore the error: it means that the peer has closed the
// stream before or that the network is down, and nothing is left to do.
func (c *slotConn) Close() error {
	c.closeOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// setTimeout sets the deadline of all further reads and writes. It ignores the error, which occurs only on a closed
// stream, whose next read or write fails as well.
func (c *slotConn) setTimeout(timeout time.Duration) {
	_ = c.SetDeadline(time.Now().Add(timeout))
}

// StreamCh returns the channel of the streams that other processes have opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// acceptStreams accepts streams until the transport is shut down. Without a free slot it closes the new stream.
func (t *transport) acceptStreams() {
	defer t.goroutines.Done()
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a temporary lack of file descriptors
			if !t.pause() {
				return
			}
			continue
		}
		select {
		case t.inbound <- struct{}{}:
		default:
			t.drops.Streams.Add(1)
			conn.Close()
			continue
		}
		t.goroutines.Add(1)
		go func() { // returns within the timeouts
			defer t.goroutines.Done()
			t.openInbound(&slotConn{Conn: conn, slots: t.inbound})
		}()
	}
}

// openInbound reads a stream's first frame and hands the stream to memberlist.
func (t *transport) openInbound(conn *slotConn) {
	conn.setTimeout(streamOpenTimeout)
	if err := t.readOpening(conn); err != nil {
		t.drops.count(err)
		_ = conn.Close()
		return
	}
	conn.setTimeout(streamLifetime)
	select {
	case t.streams <- conn:
	case <-t.closed:
		_ = conn.Close()
	case <-time.After(streamOpenTimeout):
		t.drops.Full.Add(1)
		_ = conn.Close()
	}
}

// readOpening reads the frame that opens a stream.
func (t *transport) readOpening(conn net.Conn) error {
	header := make([]byte, frameHeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return err
	}
	f, err := parseFrame(header, t.fleet)
	if err != nil {
		return err
	}
	if f.kind != frameStream {
		return errMalformed
	}
	return nil
}

// DialAddressTimeout opens a stream to a member.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if err := t.acquireOutbound(min(timeout, streamOpenTimeout)); err != nil {
		return nil, err
	}
	raw, err := net.DialTimeout("tcp4", t.dialAddress(to), timeout)
	if err != nil {
		<-t.outbound
		return nil, err
	}
	conn := &slotConn{Conn: raw, slots: t.outbound}
	opening := t.newFrame(frameStream, nil)
	conn.setTimeout(timeout)
	if _, err := conn.Write(opening.append(nil)); err != nil {
		_ = conn.Close()
		return nil, err // not wrapped, since memberlist examines its type
	}
	conn.setTimeout(streamLifetime)
	return conn, nil
}

// acquireOutbound takes a slot for an outbound stream, and waits for a free one up to the timeout.
func (t *transport) acquireOutbound(timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case t.outbound <- struct{}{}:
		return nil
	case <-timer.C:
		return fmt.Errorf("%w: %d after %v", errStreamSlots, maxOutboundStreams, timeout)
	case <-t.closed:
		return net.ErrClosed
	}
}

// DialTimeout opens a stream to an address whose member name is not known.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}
