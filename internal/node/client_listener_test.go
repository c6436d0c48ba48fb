package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
)

// accepting hands on what a bounded listener of one place accepts; dial opens a connection to it.
func accepting(t *testing.T) (b *limitedListener, accepted <-chan net.Conn, dial func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b = newLimitedListener(ln, 1, newMetrics(nil), newDecisions(quiet()))
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

// readUntilEnd reads from a connection and closes it as the HTTP server does, and gives what ended the reading.
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

// inWork has a connection hold its place for a request.
func inWork(c net.Conn) {
	r := &http.Request{}
	hold(r.WithContext(context.WithValue(context.Background(), clientConnKey{}, c)))
}

func TestInboundConnectionsAreBounded(t *testing.T) {
	b, accepted, dial := accepting(t)
	dial()
	first := <-accepted
	inWork(first)
	dial()
	select {
	case <-accepted:
		t.Error("a second connection was taken beyond the bound")
	default:
	}
	if b.taken != 1 {
		t.Errorf("%d places taken, want 1", b.taken)
	}
	first.Close()
	first.Close() // twice gives back one place only
	(<-accepted).Close()
}

// A caller must not wait behind a peer that sends nothing or half a head, nor take the place of one with a
// request in work.
func TestConnectionWithoutARequestMakesRoom(t *testing.T) {
	b, accepted, dial := accepting(t)
	dial()
	silent := <-accepted
	b.track(silent, http.StateNew)
	b.track(silent, http.StateActive) // half a head
	silentEnds := readUntilEnd(silent)
	dial()
	caller := <-accepted
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent connection reads %v, want it to end", err)
	}
	inWork(caller)
	b.closeWaiting(0)
	dial()
	select {
	case <-accepted:
		t.Error("a connection with a request in work lost its place")
	default:
	}
	b.track(caller, http.StateIdle)
	readUntilEnd(caller)
	(<-accepted).Close()
}

// When all places are taken by requests that come in piece by piece, the oldest of them makes room, but after all
// that have no whole head.
func TestHalfRequestsMakeRoomLast(t *testing.T) {
	b, accepted, dial := accepting(t)
	b.resize(2)
	dial()
	half := <-accepted
	engage((&http.Request{}).WithContext(context.WithValue(context.Background(), clientConnKey{}, half)))
	dial()
	silent := <-accepted
	halfEnds, silentEnds := readUntilEnd(half), readUntilEnd(silent)
	dial()
	caller := <-accepted
	if len(halfEnds) > 0 {
		t.Error("the half request has made room, beside a connection without any")
	}
	if err := <-silentEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent connection reads %v, want it to end", err)
	}
	inWork(caller)
	dial()
	(<-accepted).Close()
	if err := <-halfEnds; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the half request reads %v, want it to end", err)
	}
}
