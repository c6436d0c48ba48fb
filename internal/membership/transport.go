package membership

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Bounds of the transport.
const (
	packetQueue  = 256             // packets that wait for the mesh; more are dropped
	packetsRate  = 4000            // packets a second that are looked at; a flood beyond is dropped unread
	packetsBurst = 1000            // at once
	mostSenders  = 4096            // processes whose sequence numbers are kept
	inStreams    = 6               // descriptors
	outStreams   = 4               // descriptors
	streamTime   = 2 * time.Second // for a stream's opening, and for a place to dial
	streamMost   = 30 * time.Second
	acceptPause  = 50 * time.Millisecond // after a read or an accept that failed
)

// MaxDescriptors is how many a mesh takes at most.
const MaxDescriptors = 2 + inStreams + outStreams

// DropCounters counts what the transport did not take, by reason.
type DropCounters struct {
	Malformed, Version, Foreign, Oversized, Replayed, Flood, Full, Streams atomic.Int64
}

// transport carries memberlist's packets and streams in frames. Peers are dialled at this process's own address for
// them, where the configuration has one.
type transport struct {
	fleet   uint64
	process uint64
	dial    map[string]string
	seq     *atomic.Uint64 // of the process, over all its transports
	drops   *DropCounters
	packets atomic.Int64 // sent
	bytes   atomic.Int64 // sent, streams left out

	udp     *net.UDPConn
	tcp     *net.TCPListener
	in      chan *memberlist.Packet
	streams chan net.Conn
	places  chan struct{} // for streams that come in
	out     chan struct{} // for streams that go out
	limit   *rate.Limiter
	owned   sync.WaitGroup
	done    chan struct{}
	closing sync.Once

	windows map[uint64]*window // by process; only listen uses it
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// listenTransport opens both sockets at one address.
func listenTransport(addr string, fleet, process uint64, seq *atomic.Uint64, dial map[string]string, drops *DropCounters) (*transport, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		return nil, err
	}
	at.Port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := net.ListenUDP("udp4", at)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	t := &transport{fleet: fleet, process: process, seq: seq, dial: dial, drops: drops, udp: udp, tcp: tcp,
		in: make(chan *memberlist.Packet, packetQueue), streams: make(chan net.Conn), places: make(chan struct{}, inStreams),
		out: make(chan struct{}, outStreams), limit: rate.NewLimiter(packetsRate, packetsBurst), done: make(chan struct{}),
		windows: map[uint64]*window{}}
	t.owned.Add(2)
	go t.listen()
	go t.accept()
	return t, nil
}

func (t *transport) addr() string { return t.tcp.Addr().String() }

func (t *transport) sent() (packets, bytes int64) { return t.packets.Load(), t.bytes.Load() }

// FinalAdvertiseAddr is the address that peers are told.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP.To4(), at.Port, nil
}

// own returns the address at which this process dials a member: its own one for the name, or the advertised one.
func (t *transport) own(a memberlist.Address) string {
	if to := t.dial[nameOf(a.Name)]; to != "" {
		return to
	}
	return a.Addr
}

// WriteToAddress sends one packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp4", t.own(a))
	if err != nil {
		return time.Time{}, err
	}
	f := frame{kind: framePacket, fleet: t.fleet, process: t.process, seq: t.seq.Add(1), payload: b}
	out := f.append(make([]byte, 0, frameHead+len(b)))
	t.packets.Add(1)
	t.bytes.Add(int64(len(out)))
	_, err = t.udp.WriteToUDP(out, to)
	return time.Now(), err
}

// WriteTo sends one packet to an address without a name.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// listen reads packets until the transport is shut.
func (t *transport) listen() {
	defer t.owned.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue // an earlier packet met a closed port
		}
		if err != nil { // of the system's; it may stay
			select {
			case <-time.After(acceptPause):
				continue
			case <-t.done:
				return
			}
		}
		if !t.limit.Allow() {
			t.drops.Flood.Add(1)
			continue
		}
		f, err := t.take(buf[:n])
		if err != nil {
			t.drops.count(err)
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), f.payload...), From: from, Timestamp: time.Now()}
		select {
		case t.in <- p:
		default:
			t.drops.Full.Add(1)
		}
	}
}

// take checks one packet, its sender's sequence included.
func (t *transport) take(b []byte) (frame, error) {
	if len(b) > mostPacket+frameHead {
		return frame{}, errOversized
	}
	f, err := parseFrame(b, t.fleet)
	if err != nil {
		return f, err
	}
	if f.kind != framePacket {
		return f, errMalformed
	}
	w := t.windows[f.process]
	if w == nil {
		if len(t.windows) >= mostSenders { // any one: a sender that is still there gets a new window
			for old := range t.windows {
				delete(t.windows, old)
				break
			}
		}
		w = &window{}
		t.windows[f.process] = w
	}
	if !w.take(f.seq) {
		return f, errReplayed
	}
	return f, nil
}

func (d *DropCounters) count(err error) {
	switch err {
	case errVersion:
		d.Version.Add(1)
	case errForeign:
		d.Foreign.Add(1)
	case errOversized:
		d.Oversized.Add(1)
	case errReplayed:
		d.Replayed.Add(1)
	default:
		d.Malformed.Add(1)
	}
}

// accept takes streams until the transport is shut. One that comes while all places are taken is closed.
func (t *transport) accept() {
	defer t.owned.Done()
	for {
		c, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptPause): // out of descriptors, for now
				continue
			case <-t.done:
				return
			}
		}
		select {
		case t.places <- struct{}{}:
		default:
			t.drops.Streams.Add(1)
			c.Close()
			continue
		}
		t.owned.Add(1)
		go func() {
			defer t.owned.Done()
			t.open(placed(c, t.places))
		}()
	}
}

// open reads a stream's first frame and hands the stream on.
func (t *transport) open(c net.Conn) {
	c.SetDeadline(time.Now().Add(streamTime))
	head := make([]byte, frameHead)
	_, err := io.ReadFull(c, head)
	var f frame
	if err == nil {
		f, err = parseFrame(head, t.fleet)
	}
	if err == nil && f.kind != frameStream {
		err = errMalformed
	}
	if err != nil {
		t.drops.count(err)
		c.Close()
		return
	}
	c.SetDeadline(time.Now().Add(streamMost))
	select {
	case t.streams <- c:
	case <-t.done:
		c.Close()
	case <-time.After(streamTime):
		t.drops.Full.Add(1)
		c.Close()
	}
}

// DialAddressTimeout opens a stream to a member.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	wait := time.NewTimer(min(timeout, streamTime))
	defer wait.Stop()
	select {
	case t.out <- struct{}{}:
	case <-wait.C:
		return nil, fmt.Errorf("all %d places for streams are taken", outStreams)
	case <-t.done:
		return nil, net.ErrClosed
	}
	raw, err := net.DialTimeout("tcp4", t.own(a), timeout)
	if err != nil {
		<-t.out
		return nil, err
	}
	c := placed(raw, t.out)
	f := frame{kind: frameStream, fleet: t.fleet, process: t.process, seq: t.seq.Add(1)}
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(f.append(nil)); err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Now().Add(streamMost))
	return c, nil
}

// DialTimeout opens a stream to an address without a name.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// PacketCh gives the packets that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.in }

// StreamCh gives the streams that were opened to us.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes both sockets and waits for what reads them.
func (t *transport) Shutdown() error {
	t.closing.Do(func() {
		close(t.done)
		t.udp.Close()
		t.tcp.Close()
	})
	t.owned.Wait()
	return nil
}

// placedConn gives its place back when it is closed.
type placedConn struct {
	net.Conn
	once   sync.Once
	places chan struct{}
}

func placed(c net.Conn, places chan struct{}) *placedConn {
	return &placedConn{Conn: c, places: places}
}

func (c *placedConn) Close() error {
	c.once.Do(func() { <-c.places })
	return c.Conn.Close()
}

// A member's name within memberlist is its own, with the process behind it: two processes of one name are two there.
const nameSeparator = "~"

func nameOf(member string) string {
	name, _, _ := strings.Cut(member, nameSeparator)
	return name
}
