package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxQueuedPieces = 64       // pieces queued per direction of a connection; limits the data in flight like a TCP window
	pieceSize       = 32 << 10 // maximum number of bytes per read
	piecesPerSecond = 50       // if the rate is limited
	linkDialTimeout = 5 * time.Second
)

// tcpLink is a TCP proxy between a client part and a server part: the client dials the proxy instead of the server.
// Bytes from the client are subject to the condition of toServer, those from the server to that of toClient. New
// connections are established only while neither direction is cut.
type tcpLink struct {
	gate               *gate
	target             string
	toServer, toClient *direction
	done               chan struct{}
	goroutines         sync.WaitGroup // goroutines that close waits for

	mu         sync.Mutex
	serverMode gateMode // how the server treats new connections
}

func newTCPLink(listen, target string, toServer, toClient *direction) (*tcpLink, error) {
	g, err := newGate(listen)
	if err != nil {
		return nil, err
	}
	l := &tcpLink{
		gate:     g,
		target:   target,
		toServer: toServer,
		toClient: toClient,
		done:     make(chan struct{}),
	}
	l.goroutines.Add(1)
	go l.accept()
	return l, nil
}

// accept accepts connections until the gate is closed, and relays each in a goroutine.
func (l *tcpLink) accept() {
	defer l.goroutines.Done()
	for {
		c, err := l.gate.Accept()
		if err != nil {
			return
		}
		l.goroutines.Add(1)
		go func() {
			defer l.goroutines.Done()
			l.relay(c.(*gatedConn))
		}()
	}
}

// setServerMode records how the server treats new connections, so that the proxy treats them in the same way unless a
// direction is cut.
func (l *tcpLink) setServerMode(server gateMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverMode = server
	l.updateGate()
}

// conditionsChanged updates the gate; it must be called after the condition of a direction was set.
func (l *tcpLink) conditionsChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateGate()
}

// updateGate sets the mode of the gate: silent while a direction is cut, else that of the server. l.mu must be held.
func (l *tcpLink) updateGate() {
	mode := l.serverMode
	toServer, _ := l.toServer.get()
	toClient, _ := l.toClient.get()
	if toServer.Cut || toClient.Cut {
		mode = gateSilent
	}
	_ = l.gate.set(mode) // fails if the gate is closed, or if another process took its port: it refuses connections then
}

// close closes the link and its connections, and waits for its goroutines.
func (l *tcpLink) close() {
	close(l.done)
	_ = l.gate.Close() // never fails
	l.goroutines.Wait()
}

// relay dials the server and forwards one connection in both directions until both have ended.
func (l *tcpLink) relay(client *gatedConn) {
	defer closeQuietly(client)
	connectAt := l.toServer.deliveryTime(time.Now(), time.Time{}, 0)
	if !sleepUntil(connectAt, l.done) || !l.toServer.waitWhileCut(l.done) {
		return
	}
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		client.reset()
		return
	}
	defer closeQuietly(server)
	ended := make(chan struct{}) // closed once the link or the connection has ended
	end := sync.OnceFunc(func() { close(ended) })
	go func() {
		select {
		case <-l.done:
			end()
		case <-ended:
		}
		closeQuietly(client.Conn)
		closeQuietly(server)
	}()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		if !relayDirection(client.Conn, server, l.toServer, ended) {
			end()
		}
	}()
	go func() {
		defer directions.Done()
		if !relayDirection(server, client.Conn, l.toClient, ended) {
			end()
		}
	}()
	directions.Wait()
	end()
}

// piece is some data of one direction of a connection, or the end of that direction.
type piece struct {
	data []byte
	due  time.Time // when it is delivered
	end  error     // error of the read, io.EOF if the sender closed its side; nil: data
}

var pieceBuffers = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// relayDirection forwards one direction of a connection. It returns true after it has forwarded the sender's FIN, and
// false when the whole connection must end. A reset by either side is forwarded as a reset.
func relayDirection(from, to net.Conn, d *direction, ended <-chan struct{}) bool {
	queue := make(chan piece, maxQueuedPieces)
	writerDone := make(chan struct{})
	go readPieces(from, d, queue, writerDone)
	defer close(writerDone)
	for p := range queue {
		if !sleepUntil(p.due, ended) || !d.waitWhileCut(ended) {
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
				_ = t.CloseWrite() // fails only if the connection has ended
			}
			return true
		default:
			reset(to)
			return false
		}
	}
	return false
}

// readPieces reads a connection until its end or until writerDone is closed, and queues the data and the end.
func readPieces(from net.Conn, d *direction, queue chan<- piece, writerDone <-chan struct{}) {
	defer close(queue)
	var last time.Time
	for {
		buf := *pieceBuffers.Get().(*[]byte)
		n, err := from.Read(buf[:d.pieceSize(len(buf))])
		last = d.deliveryTime(time.Now(), last, n)
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

// pieceSize returns the maximum number of bytes to read at once: limit, or less if the rate is limited, so that
// the rate gives piecesPerSecond pieces.
func (d *direction) pieceSize(limit int) int {
	if d.undisturbed.Load() {
		return limit
	}
	c, _ := d.get()
	if c.Rate == 0 {
		return limit
	}
	return min(limit, max(1, c.Rate/piecesPerSecond))
}

// closeQuietly closes c and ignores the error, for connections whose close error does not matter.
func closeQuietly(c io.Closer) { _ = c.Close() }
