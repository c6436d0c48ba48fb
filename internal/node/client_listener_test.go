package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"

	"keelusher/internal/metrics"
)

// accepting passes on what a listener with a limit of one accepts; dial opens a connection to it.
func accepting(t *testing.T) (b *limitedListener, accepted <-chan net.Conn, dial func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b = newLimitedListener(ln, 1, metrics.NewRecorder(nil), metrics.NewDecisions(quiet()))
	out := make(chan net.Conn)
	go func() {
		defer close(out)
		for {
			c, err := b.Accept()
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
	return b, out, func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// readUntilEnd reads from a connection and closes it as the HTTP server does. It returns what ended the reading.
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

// inWork marks a connection as serving a request.
func inWork(c net.Conn) {
	r := &http.Request{}
	recordRequestRead(r.WithContext(context.WithValue(context.Background(), clientConnKey{}, c)))
}

func TestConnectionLimit(t *testing.T) {
	b, accepted, dial := accepting(t)
	dial()
	first := <-accepted
	inWork(first)
	dial()
	select {
	case <-accepted:
		t.Error("a second connection was admitted beyond the limit")
	default:
	}
	if b.admitted != 1 {
		t.Errorf("%d connections admitted, want 1", b.admitted)
	}
	first.Close()
	first.Close() // counts once only
	(<-accepted).Close()
}

// A client does not wait behind a peer that sends nothing or half a head, and does not evict a connection with a
// request.
func TestIdleConnectionIsEvicted(t *testing.T) {
	b, accepted, dial := accepting(t)
	dial()
	silent := <-accepted
	b.connStateChanged(silent, http.StateNew)
	b.connStateChanged(silent, http.StateActive) // half a head
	silentEnds := readUntilEnd(silent)
	dial()
	client := <-accepted
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent connection reads %v, want it to end", err)
	}
	inWork(client)
	b.closeIdle(0)
	dial()
	select {
	case <-accepted:
		t.Error("a connection with a request was evicted")
	default:
	}
	b.connStateChanged(client, http.StateIdle)
	readUntilEnd(client)
	(<-accepted).Close()
}

// At the limit, connections whose body is arriving are evicted, the oldest first, but after those without a whole
// head.
func TestPartialRequestsAreEvictedLast(t *testing.T) {
	b, accepted, dial := accepting(t)
	b.setLimit(2)
	dial()
	half := <-accepted
	recordHeadRead((&http.Request{}).WithContext(context.WithValue(context.Background(), clientConnKey{}, half)))
	dial()
	silent := <-accepted
	halfEnds, silentEnds := readUntilEnd(half), readUntilEnd(silent)
	dial()
	client := <-accepted
	if len(halfEnds) > 0 {
		t.Error("the partial request was evicted before a connection without any")
	}
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent connection reads %v, want it to end", err)
	}
	inWork(client)
	dial()
	(<-accepted).Close()
	if err := <-halfEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the partial request reads %v, want it to end", err)
	}
}
