package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gate blocks the goroutines that call pass while it is shut, and counts them.
type gate struct {
	mu      sync.Mutex
	changed *sync.Cond
	shut    bool
	waiting int
}

func newGate() *gate {
	g := &gate{}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// pass returns once the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting++
	g.changed.Broadcast()
	for g.shut {
		g.changed.Wait()
	}
	g.waiting--
}

// set shuts or opens the gate.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	g.changed.Broadcast()
}

// held reports whether a goroutine waits at the shut gate.
func (g *gate) held() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && g.waiting > 0
}

// gatedConn is the node's end of a client's connection, with gates before and after each read of the socket.
type gatedConn struct {
	*net.TCPConn
	before, after *gate
	afterTimeout  *gate // after a read that timed out

	mu          sync.Mutex
	closed      bool
	interrupted bool // the read deadline has passed
	writeClosed bool // the node has shut down its sending direction
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.before.pass()
	n, err := c.TCPConn.Read(b)
	switch {
	case n > 0:
		c.after.pass()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.afterTimeout.pass()
	}
	return n, err
}

func (c *gatedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *gatedConn) CloseWrite() error {
	c.mu.Lock()
	c.writeClosed = true
	c.mu.Unlock()
	return c.TCPConn.CloseWrite()
}

// isWriteClosed reports whether the node has shut down its sending direction.
func (c *gatedConn) isWriteClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

func (c *gatedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.interrupted = !t.IsZero() && !t.After(time.Now())
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// isClosedOrInterrupted reports whether the node has closed the connection or interrupted its reads.
func (c *gatedConn) isClosedOrInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.interrupted
}

func (c *gatedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// gatedListener accepts connections with gates for a node, and also passes them to the test.
type gatedListener struct {
	*net.TCPListener
	conns chan *gatedConn
	hold  atomic.Bool // the first read of a new connection blocks
}

func newGatedListener(t *testing.T) *gatedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gatedListener{TCPListener: ln.(*net.TCPListener), conns: make(chan *gatedConn, 1000)}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	g := &gatedConn{TCPConn: c, before: newGate(), after: newGate(), afterTimeout: newGate()}
	g.before.shut = l.hold.Load()
	l.conns <- g
	return g, nil
}

// gatedClient is a client with one connection, and the node's end of that connection.
type gatedClient struct {
	*net.TCPConn
	in   *bufio.Reader
	node *gatedConn
}

// dial connects to the listener and finds the node's end of the connection by the client's address.
func (l *gatedListener) dial(t *testing.T) *gatedClient {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	for {
		select {
		case g := <-l.conns:
			if g.RemoteAddr().String() == c.LocalAddr().String() {
				return &gatedClient{c.(*net.TCPConn), bufio.NewReader(c), g}
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the connection was not accepted within 20s")
		}
	}
}

// fill sends as many requests as the concurrency limit of one server allows, and waits until the server has them all.
func (l *gatedListener) fill(t *testing.T, b *backend) (filling []*gatedClient) {
	t.Helper()
	for range 5 { // the concurrency limit of one server
		c := l.dial(t)
		c.send(t, requestText("unsafe", "fill-"+c.LocalAddr().String(), ""))
		filling = append(filling, c)
	}
	eventually(t, "the server has all requests", func() bool { return b.requests() == len(filling) })
	return filling
}

// requestText returns a request as it is written to a connection, with further headers.
func requestText(class, id, body string, headers ...string) string {
	method := http.MethodPost
	if class == "safe" {
		method = http.MethodGet
	}
	if body != "" {
		headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	head := []string{
		method + " /api HTTP/1.1",
		"Host: s",
		"X-Call-Id: " + id,
		"X-Call-Class: " + class,
		"X-Budget: 30000m",
	}
	return strings.Join(append(head, headers...), "\r\n") + "\r\n\r\n" + body
}

// send writes to the client's end of the connection.
func (c *gatedClient) send(t *testing.T, what string) {
	t.Helper()
	write(t, c, what)
}

// disconnect closes the client's end. The error is ignored: the connection is closed in any case.
func (c *gatedClient) disconnect() { _ = c.Close() }

// reset resets a connection instead of closing it in the normal way.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// write writes a text to a connection.
func write(t *testing.T, c io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads one complete response and returns its status; 0 if there is none within 20 s or the connection ends
// before.
func (c *gatedClient) readStatus() int {
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
