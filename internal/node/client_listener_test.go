package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"keelusher/internal/metrics"
)

// startAccepting starts a listener with a limit of one connection. It returns the listener, the channel of the
// connections that it accepts, and a function that connects to it.
func startAccepting(t *testing.T) (listener *limitedListener, accepted <-chan net.Conn, dial func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener = newLimitedListener(ln, 1, metrics.NewRecorder(nil), metrics.NewDecisions(discardLogger()))
	out := make(chan net.Conn)
	go func() {
		defer close(out)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			out <- c
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		for c := range out {
			c.Close()
		}
	})
	return listener, out, func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// readUntilEnd reads from a connection until an error, and closes it as the HTTP server does. The result receives the
// error.
func readUntilEnd(c net.Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		var err error
		for b := make([]byte, 100); err == nil; {
			_, err = c.Read(b)
		}
		ended <- err
		c.Close()
	}()
	return ended
}

// markServing records that a request has been read on a connection.
func markServing(c net.Conn) {
	r := &http.Request{}
	recordRequestRead(r.WithContext(context.WithValue(context.Background(), clientConnKey{}, c)))
}

// Guards against a listener that admits connections beyond its limit, or that counts a connection that is closed twice
// as two closed connections.
func TestConnectionLimit(t *testing.T) {
	listener, accepted, dial := startAccepting(t)
	dial()
	first := <-accepted
	markServing(first)
	dial()
	select {
	case <-accepted:
		t.Error("a second connection was admitted beyond the limit")
	default:
	}
	if listener.admitted != 1 {
		t.Errorf("%d connections are admitted, want 1", listener.admitted)
	}
	first.Close()
	first.Close() // must not be counted again
	(<-accepted).Close()
}

// Guards against connections without a request that keep clients from being admitted: at the limit a new connection
// evicts one that has sent nothing or half a head, but no connection with a request.
func TestIdleConnectionIsEvicted(t *testing.T) {
	listener, accepted, dial := startAccepting(t)
	dial()
	silent := <-accepted
	listener.connStateChanged(silent, http.StateNew)
	listener.connStateChanged(silent, http.StateActive) // half a head
	silentEnds := readUntilEnd(silent)
	dial()
	client := <-accepted
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read of the silent connection returned %v, want a timeout", err)
	}
	markServing(client)
	listener.closeIdle(0) // closes idle connections of any age, but not this one
	dial()
	select {
	case <-accepted:
		t.Error("a connection with a request was evicted")
	default:
	}
	listener.connStateChanged(client, http.StateIdle)
	readUntilEnd(client)
	(<-accepted).Close()
}

// At the limit, connections whose body is still arriving are evicted too, but only after those without a complete head.
func TestPartialRequestsAreEvictedLast(t *testing.T) {
	listener, accepted, dial := startAccepting(t)
	listener.setLimit(2)
	dial()
	half := <-accepted
	recordHeadRead((&http.Request{}).WithContext(context.WithValue(context.Background(), clientConnKey{}, half)))
	dial()
	silent := <-accepted
	halfEnds, silentEnds := readUntilEnd(half), readUntilEnd(silent)
	dial()
	client := <-accepted
	if len(halfEnds) > 0 {
		t.Error("the connection with a partial request was evicted before one without a request")
	}
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read of the silent connection returned %v, want a timeout", err)
	}
	markServing(client)
	dial()
	(<-accepted).Close()
	if err := <-halfEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read of the partial request returned %v, want a timeout", err)
	}
}

// Guards against clients that wait for a place behind peers that stop within a body: a connection that is evicted then
// must give up its place at once, and not only after the pause in which the HTTP server lets such a peer finish.
func TestHalfBodiesGiveUpTheirPlaces(t *testing.T) {
	const (
		limit   = 20
		peers   = 10 * limit
		longest = 2 * time.Second // for all of these peers; one each half second would take 50 times as long
	)
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	n.inbound.setLimit(limit)
	for _, memory := range []string{"with", "without"} {
		if memory == "without" {
			n.buffers.requests.available.Store(0)
		}
		for i := range peers {
			id := fmt.Sprintf("%s-%d", memory, i)
			write(t, dialNode(t, n), requestText("unsafe", id, "", "Content-Length: 1000000")+"half")
		}
		began := time.Now()
		c := dialNode(t, n)
		write(t, c, requestText("unsafe", "proper-"+memory, ""))
		status := readStatusFrom(bufio.NewReader(c))
		if took := time.Since(began); status != http.StatusOK || took > longest {
			t.Errorf("%s memory for bodies: got status %d after %v, want 200 after %v at most", memory, status, took, longest)
		}
	}
	if got := b.requests(); got != 2 {
		t.Errorf("the server got %d requests, want those of the two proper clients", got)
	}
}
