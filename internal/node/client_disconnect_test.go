package node

import (
	"container/list"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// disconnected reports whether the client's end of the connection has reached the node's machine.
func (c *gatedConn) disconnected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	look := []unix.PollFd{{Events: unix.POLLRDHUP}}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		look[0].Fd = int32(fd)
		_, pollErr = unix.Poll(look, 0)
	})
	return err != nil || pollErr == nil && look[0].Revents != 0
}

// disconnects are the ways to disconnect while a request waits. A read of the next byte does not show any of them.
var disconnects = map[string]struct {
	request string
	leave   func(*testing.T, *gatedClient)
}{
	"a close": {
		request: text("unsafe", "left", "x"),
		leave:   func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
	"a reset": {
		request: text("unsafe", "left", "x"),
		leave:   func(_ *testing.T, c *gatedClient) { reset(c.TCPConn) },
	},
	"an end of sending": {
		request: text("unsafe", "left", "x"),
		leave:   func(_ *testing.T, c *gatedClient) { _ = c.CloseWrite() },
	},
	"a close behind more bytes": {
		request: text("unsafe", "left", "x"),
		leave: func(t *testing.T, c *gatedClient) {
			c.send(t, "P")
			c.disconnect()
		},
	},
	"a close behind a request": {
		request: text("unsafe", "left", "x"),
		leave: func(t *testing.T, c *gatedClient) {
			c.send(t, text("unsafe", "next", ""))
			c.disconnect()
		},
	},
	"a close behind a long body": {
		request: text("unsafe", "left", strings.Repeat("x", 3*maxBufferedBody/2)),
		leave:   func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
	"a close behind a chunked body": {
		request: text("unsafe", "left", "", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n",
		leave:   func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
}

// stalled is a backend that does not answer before the test releases it.
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

// got is the number of requests with an id.
func (b *backend) got(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.seen {
		if r.Header.Get("X-Call-Id") == id {
			count++
		}
	}
	return count
}

// idle reports whether no request is left, queued or at a server.
func (n *running) idle() bool {
	var calls int
	n.loop.runTask(func() { calls = len(n.loop.openRequests) })
	return calls == 0
}

// A queued request whose client has disconnected is not forwarded when there is capacity.
func TestDisconnectWhileQueued(t *testing.T) {
	for name, l := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := gatedNode(t, b)
			filling := ln.fill(t, b)
			c := ln.dial(t)
			c.send(t, l.request)
			eventually(t, "it is queued", func() bool { return n.waits("left") })
			l.leave(t, c)
			eventually(t, "it has disconnected", c.node.disconnected)
			release()
			for _, c := range filling {
				if status := c.answered(); status != http.StatusOK {
					t.Errorf("a request of a connected client got %d", status)
				}
			}
			eventually(t, "all is over", n.idle)
			if got := b.got("left") + b.got("next"); got != 0 {
				t.Errorf("forwarded %d times, though its client had disconnected", got)
			}
		})
	}
}

// checkOnlyConnectedServed sends a request that is served, and then checks that none was whose client had
// disconnected.
func (n *running) checkOnlyConnectedServed(t *testing.T, ln *gatedListener, b *backend) {
	t.Helper()
	stays := ln.dial(t)
	stays.send(t, text("unsafe", "stays", ""))
	if status := stays.answered(); status != http.StatusOK {
		t.Errorf("a request of a connected client got %d", status)
	}
	eventually(t, "all is over", n.idle)
	if got := b.got("left") + b.got("next"); got != 0 {
		t.Errorf("forwarded %d times, though its client had disconnected", got)
	}
}

// waits reports whether the loop has a request.
func (n *running) waits(id string) bool {
	var there bool
	n.loop.runTask(func() { there = n.loop.openRequests[id] != nil })
	return there
}

// The same for a request that waits for a retry: the first attempt was rejected after the client had disconnected.
func TestDisconnectBeforeRetry(t *testing.T) {
	for name, l := range disconnects {
		if strings.Contains(name, "long body") {
			continue // a streamed body is not sent again
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
			eventually(t, "it has disconnected", c.node.disconnected)
			moved := []listedEndpoint{inService("s-1", other.addr())}
			n.loop.endpointUpdates <- watchEvent{list: endpointList{Version: 2, Endpoints: moved}}
			release()
			eventually(t, "all is over", n.idle)
			if got := other.requests(); got != 0 {
				t.Errorf("retried %d times, though its client had disconnected", got)
			}
		})
	}
}

// The same for a request that waits for a connection to its server.
func TestDisconnectWhileDialing(t *testing.T) {
	for name, l := range disconnects {
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
			eventually(t, "it has disconnected", c.node.disconnected)
			up.set(false)
			n.checkOnlyConnectedServed(t, ln, b)
		})
	}
}

// The same for a request that waits for the loop, as in a process that was suspended or is busy.
func TestDisconnectWhileLoopIsBusy(t *testing.T) {
	for name, l := range disconnects {
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
			eventually(t, "it has disconnected", c.node.disconnected)
			eventually(t, "its handler has it, or has ended", func() bool { return n.inbound.handles(c.node) })
			close(busy)
			n.checkOnlyConnectedServed(t, ln, b)
		})
	}
}

// handles reports whether a connection has a whole request, or is closed.
func (b *limitedListener) handles(c *gatedConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range []*list.List{b.awaitingHead, b.awaitingBody} {
		for e := l.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn).Conn == c {
				return c.isClosed()
			}
		}
	}
	return true
}
