package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	linkQueue       = 64 // pieces queued on one direction of a connection, as a TCP window
	pieceSize       = 32 << 10
	piecesPerSecond = 50 // where the rate is limited
	linkDialTimeout = 5 * time.Second
)

// tcpLink is a proxy in a link from one part to another: the client side dials it in place of the server side. Bytes of
// the client take the direction there, those of the server the direction back. A connection comes up only while neither
// is cut.
type tcpLink struct {
	gate        *gate
	target      string
	there, back *direction
	done        chan struct{}
	owned       sync.WaitGroup

	mu         sync.Mutex
	serverMode gateMode // how the server treats new connections
}

func newTCPLink(listen, target string, there, back *direction) (*tcpLink, error) {
	g, err := newGate(listen)
	if err != nil {
		return nil, err
	}
	l := &tcpLink{
		gate:   g,
		target: target,
		there:  there,
		back:   back,
		done:   make(chan struct{}),
	}
	l.owned.Add(1)
	go l.accept()
	return l, nil
}

// accept relays each connection until the gate is closed.
func (l *tcpLink) accept() {
	defer l.owned.Done()
	for {
		c, err := l.gate.Accept()
		if err != nil {
			return
		}
		l.owned.Add(1)
		go func() {
			defer l.owned.Done()
			l.relay(c.(*gatedConn))
		}()
	}
}

// follow makes the link treat new connections as the server does, and as the directions allow.
func (l *tcpLink) follow(server gateMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverMode = server
	l.updateGate()
}

// conditionsChanged must be called after the condition of a direction was set.
func (l *tcpLink) conditionsChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateGate()
}

// updateGate sets the mode of the gate; l.mu is held.
func (l *tcpLink) updateGate() {
	mode := l.serverMode
	there, _ := l.there.get()
	back, _ := l.back.get()
	if there.Cut || back.Cut {
		mode = gateSilent
	}
	_ = l.gate.set(mode) // fails only at the end, or where the port was taken meanwhile: then it refuses
}

func (l *tcpLink) close() {
	close(l.done)
	_ = l.gate.Close() // never fails
	l.owned.Wait()
}

// relay carries one connection until both directions have ended.
func (l *tcpLink) relay(client *gatedConn) {
	defer closeQuietly(client)
	connectAt := l.there.due(time.Now(), time.Time{}, 0)
	if !sleepUntil(connectAt, l.done) || !l.there.open(l.done) {
		return
	}
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		client.reset()
		return
	}
	defer closeQuietly(server)
	over := make(chan struct{}) // the link or the connection has ended
	end := sync.OnceFunc(func() { close(over) })
	go func() {
		select {
		case <-l.done:
			end()
		case <-over:
		}
		closeQuietly(client.Conn)
		closeQuietly(server)
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

// piece is some data of one direction of a connection, or its end.
type piece struct {
	data []byte
	due  time.Time
	end  error // of the sender; nil: data
}

var pieceBuffers = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// pump carries one direction of a connection. It returns true when the sender ended its sending and the receiver was
// notified, and false when the connection is to end; a reset is passed on as one.
func pump(from, to net.Conn, d *direction, over <-chan struct{}) bool {
	queue := make(chan piece, linkQueue)
	writerDone := make(chan struct{})
	go readPieces(from, d, queue, writerDone)
	defer close(writerDone)
	for p := range queue {
		if !sleepUntil(p.due, over) || !d.open(over) {
			return false
		}
		switch {
		case p.end == nil:
			_, err := to.Write(p.data)
			buf := p.data[:cap(p.data)]
			pieceBuffers.Put(&buf)
			if err != nil {
				reset(from)
				return false
			}
		case errors.Is(p.end, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // fails only where the connection has ended
			}
			return true
		default:
			reset(to)
			return false
		}
	}
	return false
}

// readPieces reads a connection until its end, or until the writer is done, and queues what it reads.
func readPieces(from net.Conn, d *direction, queue chan<- piece, writerDone <-chan struct{}) {
	defer close(queue)
	var last time.Time
	for {
		buf := *pieceBuffers.Get().(*[]byte)
		n, err := from.Read(buf[:d.pieceSize(len(buf))])
		last = d.due(time.Now(), last, n)
		for _, p := range []piece{{buf[:n], last, nil}, {nil, last, err}} {
			if p.end == nil && len(p.data) == 0 {
				continue
			}
			select {
			case queue <- p:
			case <-writerDone:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pieceSize returns how much is read at once, at most limit bytes: less where the rate is limited.
func (d *direction) pieceSize(limit int) int {
	if d.plain.Load() {
		return limit
	}
	c, _ := d.get()
	if c.Rate == 0 {
		return limit
	}
	return min(limit, max(1, c.Rate/piecesPerSecond))
}

// closeQuietly closes a connection whose end is what matters, not its error.
func closeQuietly(c io.Closer) { _ = c.Close() }
