package testbed

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkCondition is the condition of one direction between two parts of the world.
type LinkCondition struct {
	Delay   time.Duration
	Jitter  time.Duration // added, evenly from 0
	Loss    float64       // share of datagrams; on TCP a lost piece comes late by a retransmission
	Dup     float64       // share of datagrams that come twice
	Reorder float64       // share of datagrams that come after the next
	Rate    int           // bytes a second on a connection, in small pieces; 0: no limit
	Cut     bool          // nothing comes through, and nothing says so
}

const (
	retransmit = 200 * time.Millisecond // what a lost piece on TCP costs
	pieces     = 64                     // queued on one direction of a connection, as a window is
	pieceSize  = 32 << 10
	ratePieces = 50 // pieces a second where the rate is limited
	maxSources = 64 // senders that a UDP link keeps a way back for
	sourceIdle = 30 * time.Second
)

// direction is one direction. Its condition can change at any time.
type direction struct {
	mu      sync.Mutex
	cond    LinkCondition
	changed chan struct{} // closed at the next change
	plain   atomic.Bool   // the condition is zero
}

func newDirection() *direction {
	p := &direction{changed: make(chan struct{})}
	p.plain.Store(true)
	return p
}

func (p *direction) set(c LinkCondition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond = c
	p.plain.Store(c == LinkCondition{})
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *direction) get() (LinkCondition, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cond, p.changed
}

// open waits while the path is cut; it is false once done closes.
func (p *direction) open(done <-chan struct{}) bool {
	for !p.plain.Load() {
		c, changed := p.get()
		if !c.Cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
	return true
}

// due is when a piece that is sent now comes through, no earlier than the one before it.
func (p *direction) due(now, before time.Time, size int) time.Time {
	if p.plain.Load() {
		return before
	}
	c, _ := p.get()
	at := now.Add(c.Delay)
	if c.Jitter > 0 {
		at = at.Add(rand.N(c.Jitter))
	}
	if c.Loss > 0 && rand.Float64() < c.Loss {
		at = at.Add(retransmit)
	}
	if at.Before(before) {
		at = before
	}
	if c.Rate > 0 {
		at = at.Add(time.Duration(size) * time.Second / time.Duration(c.Rate))
	}
	return at
}

func sleepUntil(t time.Time, done <-chan struct{}) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// tcpLink stands in a link from one part to another: the one side dials it in place of the other. Bytes of the dialler
// take the path there, those of the other side the path back. A connection comes up only while neither is cut.
type tcpLink struct {
	gate        *gate
	target      string
	there, back *direction
	done        chan struct{}
	owned       sync.WaitGroup

	mu     sync.Mutex
	wanted gateMode // what the far side is
}

func newTCPLink(listen, target string, there, back *direction) (*tcpLink, error) {
	g, err := newGate(listen)
	if err != nil {
		return nil, err
	}
	l := &tcpLink{gate: g, target: target, there: there, back: back, done: make(chan struct{})}
	l.owned.Add(1)
	go func() {
		defer l.owned.Done()
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			l.owned.Add(1)
			go func() {
				defer l.owned.Done()
				l.relay(c.(*gatedConn))
			}()
		}
	}()
	return l, nil
}

// follow makes the link meet new connections as the far side does, and as the paths allow.
func (l *tcpLink) follow(server gateMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = server
	l.settle()
}

// pathsChanged is to be called after a path was set.
func (l *tcpLink) pathsChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
}

func (l *tcpLink) settle() {
	mode := l.wanted
	there, _ := l.there.get()
	back, _ := l.back.get()
	if there.Cut || back.Cut {
		mode = gateSilent
	}
	l.gate.set(mode) // fails only at the end, or where the port was taken meanwhile: refused then
}

func (l *tcpLink) close() {
	close(l.done)
	l.gate.Close()
	l.owned.Wait()
}

// relay carries one connection until both directions have ended.
func (l *tcpLink) relay(client *gatedConn) {
	defer client.Close()
	if !sleepUntil(l.there.due(time.Now(), time.Time{}, 0), l.done) || !l.there.open(l.done) {
		return
	}
	server, err := net.DialTimeout("tcp", l.target, 5*time.Second)
	if err != nil {
		client.reset()
		return
	}
	defer server.Close()
	over := make(chan struct{}) // the link or the connection has ended
	end := sync.OnceFunc(func() { close(over) })
	go func() {
		select {
		case <-l.done:
			end()
		case <-over:
		}
		client.Conn.Close()
		server.Close()
	}()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		if !pump(client.Conn, server, l.there, over) {
			end()
		}
	}()
	go func() {
		defer both.Done()
		if !pump(server, client.Conn, l.back, over) {
			end()
		}
	}()
	both.Wait()
	end()
}

type piece struct {
	data []byte
	due  time.Time
	end  error // of the sender; nil: data
}

var pieceBuffers = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// pump carries one direction. It returns true where the sender ended its sending and the receiver was told, and
// false where the connection is to end; a reset is passed on as one.
func pump(from, to net.Conn, p *direction, over <-chan struct{}) bool {
	queue := make(chan piece, pieces)
	writerDone := make(chan struct{}) // the writer has given up
	go func() {
		defer close(queue)
		var last time.Time
		for {
			buf := *pieceBuffers.Get().(*[]byte)
			size := len(buf)
			if !p.plain.Load() {
				if c, _ := p.get(); c.Rate > 0 {
					size = min(size, max(1, c.Rate/ratePieces))
				}
			}
			n, err := from.Read(buf[:size])
			last = p.due(time.Now(), last, n)
			for _, x := range []piece{{buf[:n], last, nil}, {nil, last, err}} {
				if x.end == nil && len(x.data) == 0 {
					continue
				}
				select {
				case queue <- x:
				case <-writerDone:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(writerDone)
	for x := range queue {
		if !sleepUntil(x.due, over) || !p.open(over) {
			return false
		}
		switch {
		case x.end == nil:
			_, err := to.Write(x.data)
			buf := x.data[:cap(x.data)]
			pieceBuffers.Put(&buf)
			if err != nil {
				reset(from)
				return false
			}
		case errors.Is(x.end, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return true
		default:
			reset(to)
			return false
		}
	}
	return false
}

// udpLink carries datagrams one way, and back to whoever sent them.
type udpLink struct {
	there, back *direction
	conn        *net.UDPConn
	target      *net.UDPAddr
	done        chan struct{}
	owned       sync.WaitGroup

	mu        sync.Mutex
	sources   map[string]*net.UDPConn
	reordered map[*direction]func() // sends a datagram that waits to come after the next
}

func newUDPLink(listen, target string, there, back *direction) (*udpLink, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	l := &udpLink{there: there, back: back, conn: conn, target: to, done: make(chan struct{}),
		sources: map[string]*net.UDPConn{}, reordered: map[*direction]func(){}}
	l.owned.Add(1)
	go l.forward()
	return l, nil
}

func (l *udpLink) addr() string { return l.conn.LocalAddr().String() }

func (l *udpLink) close() {
	close(l.done)
	l.conn.Close()
	l.mu.Lock()
	for _, c := range l.sources {
		c.Close()
	}
	l.mu.Unlock()
	l.owned.Wait()
}

func (l *udpLink) forward() {
	defer l.owned.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if out := l.source(from); out != nil {
			l.send(l.there, append([]byte(nil), buf[:n]...), func(b []byte) { out.Write(b) })
		}
	}
}

// source is the socket that stands for a sender towards the target; nil when there are too many.
func (l *udpLink) source(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.sources[from.String()]
	if out != nil || len(l.sources) >= maxSources {
		return out
	}
	out, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil
	}
	l.sources[from.String()] = out
	l.owned.Add(1)
	go func() { // answers go back until the sender has been quiet
		defer l.owned.Done()
		defer out.Close()
		buf := make([]byte, 64<<10)
		for {
			out.SetReadDeadline(time.Now().Add(sourceIdle))
			n, err := out.Read(buf)
			var timeout net.Error
			if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
				break
			}
			if err == nil { // else the target's port is closed for now
				l.send(l.back, append([]byte(nil), buf[:n]...), func(b []byte) { l.conn.WriteToUDP(b, from) })
			}
		}
		l.mu.Lock()
		delete(l.sources, from.String())
		l.mu.Unlock()
	}()
	return out
}

// send sends one datagram as the path's condition has it.
func (l *udpLink) send(p *direction, data []byte, send func([]byte)) {
	if p.plain.Load() {
		send(data)
		return
	}
	c, _ := p.get()
	if c.Cut || rand.Float64() < c.Loss {
		return
	}
	one := func() { send(data) }
	l.mu.Lock()
	delayed := l.reordered[p]
	if delayed == nil && rand.Float64() < c.Reorder {
		l.reordered[p] = one
		l.mu.Unlock()
		return
	}
	delete(l.reordered, p)
	l.mu.Unlock()
	out := []func(){one}
	if delayed != nil {
		out = append(out, delayed)
	}
	if rand.Float64() < c.Dup {
		out = append(out, one)
	}
	for _, d := range out {
		wait := c.Delay
		if c.Jitter > 0 {
			wait += rand.N(c.Jitter)
		}
		if wait <= 0 {
			d()
			continue
		}
		time.AfterFunc(wait, func() { // a closed socket takes nothing
			select {
			case <-l.done:
			default:
				d()
			}
		})
	}
}
