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

// Bounds of streams.
const (
	maxInboundStreams  = 6
	maxOutboundStreams = 4
	streamOpenTimeout  = 2 * time.Second // also for a free slot
	streamLifetime     = 30 * time.Second
)

// errStreamSlots is the error of a stream that found no free slot in time.
var errStreamSlots = errors.New("too many open streams")

// streamSlots bounds open streams: an open one holds a slot.
type streamSlots chan struct{}

// slotConn is a stream that gives its slot back when it is closed.
type slotConn struct {
	net.Conn
	slots     streamSlots
	closeOnce sync.Once
}

// Close closes the stream and frees its slot. An error means that the other side has closed it before, or the
// network is down; nothing is left to do then.
func (c *slotConn) Close() error {
	c.closeOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// setTimeout bounds all that a stream does from now on. It fails only on a closed stream, whose next read or write
// fails as well.
func (c *slotConn) setTimeout(timeout time.Duration) {
	_ = c.SetDeadline(time.Now().Add(timeout))
}

// StreamCh gives the streams that others have opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// acceptStreams takes streams until the transport is shut down. One that finds no free slot is closed.
func (t *transport) acceptStreams() {
	defer t.goroutines.Done()
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, for now
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
		go func() { // ends within the timeouts
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
		return nil, err // as it is: memberlist looks at its type
	}
	conn.setTimeout(streamLifetime)
	return conn, nil
}

// acquireOutbound waits for a free slot.
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

// DialTimeout opens a stream to an address without a name.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}
