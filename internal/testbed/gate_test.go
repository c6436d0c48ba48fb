package testbed

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against a cut that lets a connection through: on a busy machine the first dial that was to fill the accept
// queue timed out before it began, and the gate took the queue for full.
func TestFailedDialsLeaveNoRoomInTheQueue(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer listener.Close()
	g := &gate{listener: listener.(*net.TCPListener), queueFillers: map[string]net.Conn{}}
	setBacklog(g.listener, 0)
	dials := 0
	g.fillQueue(func() (net.Conn, error) {
		if dials++; dials <= 3 {
			return nil, os.ErrDeadlineExceeded
		}
		return net.Dial("tcp", listener.Addr().String())
	})
	if c, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection was established though the queue was to be full")
	}
	for _, c := range g.queueFillers {
		c.Close()
	}
}

// delayedListener is a listener whose Accept is held up before it takes a connection out of the accept queue.
type delayedListener struct {
	*net.TCPListener
	began    chan struct{} // closed by the first call
	released chan struct{} // Accept waits until it is closed
	once     sync.Once
}

func (l *delayedListener) Accept() (net.Conn, error) {
	first := false
	l.once.Do(func() { first = true; close(l.began) })
	if !first {
		return l.TCPListener.Accept()
	}
	<-l.released
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listenerFD uintptr) { fd, _, acceptErr = syscall.Accept(int(listenerFD)) })
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	return net.FileConn(file)
}

// Guards against a cut that lets a connection through: an Accept that had begun before the cut made room in the accept
// queue after the gate had found it full.
func TestAcceptUnderWayLeavesNoRoomInTheQueue(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	g := &gate{addr: listener.Addr().String(), listener: listener.(*net.TCPListener), accepted: make(chan net.Conn),
		done: make(chan struct{}), queueFillers: map[string]net.Conn{}, conns: map[*gatedConn]struct{}{},
		unsilenced: make(chan struct{})}
	close(g.unsilenced)
	defer closeQuietly(g)
	delayed := &delayedListener{TCPListener: g.listener, began: make(chan struct{}), released: make(chan struct{})}
	g.goroutines.Add(1)
	go g.acceptLoop(delayed)
	<-delayed.began
	dial(t, g.addr)
	silenced := make(chan error, 1)
	go func() { silenced <- g.set(gateSilent) }()
	select {
	case err := <-silenced:
		check(t, err)
		close(delayed.released)
		Until(t, "the delayed Accept returns", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.conns) == 1 })
	case <-time.After(50 * time.Millisecond):
		close(delayed.released)
		check(t, <-silenced)
	}
	if c, err := net.DialTimeout("tcp", g.addr, 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection was established through a silent gate")
	}
}

// A gate that refuses connections must look like a dead process, and one that is silent like a vanished machine. Guards
// against a gate that loses its address, or that, once open again, accepts one of the connections that filled its
// accept queue.
func TestGateRefusesAndComesBackAtItsAddress(t *testing.T) {
	g, err := newGate("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(g)
	for range 3 {
		for mode, isExpected := range map[gateMode]func(error) bool{gateRefuse: isRefused, gateSilent: isTimeout} {
			if err := g.set(mode); err != nil {
				t.Fatal(err)
			}
			c, err := net.DialTimeout("tcp", g.addr, 100*time.Millisecond)
			if err == nil {
				closeQuietly(c)
			}
			if !isExpected(err) {
				t.Errorf("connection to a gate in mode %d: got error %v, want the one of this mode", mode, err)
			}
		}
		if err := g.set(gateOpen); err != nil {
			t.Fatal(err)
		}
		client := dial(t, g.addr)
		server, err := g.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if server.RemoteAddr().String() != client.LocalAddr().String() {
			t.Errorf("accepted a connection from %v, want the one from %v", server.RemoteAddr(), client.LocalAddr())
		}
	}
}
