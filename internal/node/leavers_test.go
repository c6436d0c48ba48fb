package node

import (
	"container/list"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// gone says that the end that the client made of its connection has reached the node's machine.
func (c *gatedConn) gone() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	look := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		look[0].Fd = int32(fd)
		unix.Poll(look, 0)
	})
	return err != nil || look[0].Revents != 0
}

// leavers are the ways to go while a request waits. Each leaves an end that a read of the next byte does not show.
var leavers = map[string]struct {
	request string
	leave   func(*testing.T, *caller)
}{
	"a close":                       {text("unsafe", "left", "x"), func(t *testing.T, c *caller) { c.Close() }},
	"a reset":                       {text("unsafe", "left", "x"), func(t *testing.T, c *caller) { c.SetLinger(0); c.Close() }},
	"an end of sending":             {text("unsafe", "left", "x"), func(t *testing.T, c *caller) { c.CloseWrite() }},
	"a close behind more bytes":     {text("unsafe", "left", "x"), func(t *testing.T, c *caller) { c.send(t, "P"); c.Close() }},
	"a close behind a request":      {text("unsafe", "left", "x"), func(t *testing.T, c *caller) { c.send(t, text("unsafe", "next", "")); c.Close() }},
	"a close behind a long body":    {text("unsafe", "left", strings.Repeat("x", 3*maxBufferedBody/2)), func(t *testing.T, c *caller) { c.Close() }},
	"a close behind a chunked body": {text("unsafe", "left", "", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n", func(t *testing.T, c *caller) { c.Close() }},
}

// stalled is a backend that answers nothing before its test says so.
func stalled(t *testing.T, answer func(net.Conn, *http.Request) bool) (b *backend, release func()) {
	t.Helper()
	open := make(chan struct{})
	b = newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		<-open
		return answer(c, r)
	})
	var released bool
	release = func() {
		if !released {
			released = true
			close(open)
		}
	}
	t.Cleanup(release)
	return b, release
}

func (b *backend) got(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(b.seen), func(r *http.Request) bool { return r.Header.Get("X-Call-Id") != id }))
}

// idle says that no request is left, waiting or at a server.
func (n *running) idle() bool {
	var calls int
	n.loop.runTask(func() { calls = len(n.loop.openRequests) })
	return calls == 0
}

// A request whose client left while it waited for room at the servers is not sent on when there is some.
func TestLeaversThatWaitForRoom(t *testing.T) {
	for name, l := range leavers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := gatedNode(t, b)
			filling := ln.fill(t, b)
			c := ln.dial(t)
			c.send(t, l.request)
			eventually(t, "it waits", func() bool { return n.waits("left") })
			l.leave(t, c)
			eventually(t, "it has left", c.node.gone)
			release()
			for _, c := range filling {
				if status := c.answered(); status != http.StatusOK {
					t.Errorf("one that stayed got %d", status)
				}
			}
			eventually(t, "all is over", n.idle)
			if got := b.got("left") + b.got("next"); got != 0 {
				t.Errorf("sent on %d times, though its client had left", got)
			}
		})
	}
}

// onlyThoseThatStay sends a request that is served, and then looks whether one was whose client had left.
func (n *running) onlyThoseThatStay(t *testing.T, ln *gatedListener, b *backend) {
	t.Helper()
	stays := ln.dial(t)
	stays.send(t, text("unsafe", "stays", ""))
	if status := stays.answered(); status != http.StatusOK {
		t.Errorf("one that stayed got %d", status)
	}
	eventually(t, "all is over", n.idle)
	if got := b.got("left") + b.got("next"); got != 0 {
		t.Errorf("sent on %d times, though its client had left", got)
	}
}

// waits says that the loop has a request.
func (n *running) waits(id string) bool {
	var there bool
	n.loop.runTask(func() { there = n.loop.openRequests[id] != nil })
	return there
}

// The same for one that waits for its next attempt: the first was turned away when the client had gone.
func TestLeaversThatWaitForARetry(t *testing.T) {
	for name, l := range leavers {
		if strings.Contains(name, "long body") {
			continue // what has passed through is not sent again
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalled(t, func(c net.Conn, _ *http.Request) bool {
				return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
			})
			other := newBackend(t, ok)
			cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
			cfg.Discovery = silentDiscovery(t)
			ln := newGatedListener(t)
			n := startOn(t, ln, cfg)
			c := ln.dial(t)
			c.send(t, l.request)
			eventually(t, "it is out", func() bool { return b.got("left") == 1 })
			l.leave(t, c)
			eventually(t, "it has left", c.node.gone)
			n.loop.endpointUpdates <- watchEvent{list: endpointList{Version: 2, Endpoints: []listedEndpoint{inService("s-1", other.addr())}}}
			release()
			eventually(t, "all is over", n.idle)
			if got := other.requests(); got != 0 {
				t.Errorf("sent again %d times, though its client had left", got)
			}
		})
	}
}

// The same for one that waits for a connection to its server.
func TestLeaversThatWaitForADial(t *testing.T) {
	for name, l := range leavers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
			cfg.Discovery = silentDiscovery(t)
			ln := newGatedListener(t)
			up := newGate()
			up.shut = true
			n := startOn(t, ln, cfg, func(n *Node) {
				n.pool.dialer.Timeout = 0 // the gate may take longer than the settings allow
				n.pool.dialer.Control = func(string, string, syscall.RawConn) error {
					up.pass()
					return nil
				}
			})
			c := ln.dial(t)
			c.send(t, l.request)
			eventually(t, "it waits for the dial", up.held)
			l.leave(t, c)
			eventually(t, "it has left", c.node.gone)
			up.set(false)
			n.onlyThoseThatStay(t, ln, b)
		})
	}
}

// The same for one that waits for the loop, as behind a process that slept or is busy.
func TestLeaversThatWaitForTheLoop(t *testing.T) {
	for name, l := range leavers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			n, ln := gatedNode(t, b)
			busy, asleep := make(chan struct{}), make(chan struct{})
			go func() { n.loop.tasks <- func() { close(asleep); <-busy } }()
			<-asleep
			c := ln.dial(t)
			c.send(t, l.request)
			l.leave(t, c)
			eventually(t, "it has left", c.node.gone)
			eventually(t, "its handler has it, or is done", func() bool { return n.inbound.handles(c.node) })
			close(busy)
			n.onlyThoseThatStay(t, ln, b)
		})
	}
}

// handles says that a connection has a whole request in work, or is closed.
func (b *limitedListener) handles(c *gatedConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range []*list.List{b.waiting, b.coming} {
		for e := l.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn).Conn == c {
				return c.isClosed()
			}
		}
	}
	return true
}
