package node

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// disconnected reports whether the client's disconnect has arrived at the node's socket.
func (c *gatedConn) disconnected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	pollFds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		pollFds[0].Fd = int32(fd)
		_, pollErr = unix.Poll(pollFds, 0)
	})
	return err != nil || pollErr == nil && pollFds[0].Revents != 0
}

// disconnectKinds are the ways in which a client may disconnect while its request waits, each with the request. If
// unread bytes precede the disconnect, a read of the next byte does not detect it.
var disconnectKinds = map[string]struct {
	request    string
	disconnect func(*testing.T, *gatedClient)
}{
	"a close": {
		request:    requestText("unsafe", "left", "x"),
		disconnect: func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
	"a reset": {
		request:    requestText("unsafe", "left", "x"),
		disconnect: func(_ *testing.T, c *gatedClient) { reset(c.TCPConn) },
	},
	"an end of sending": {
		request:    requestText("unsafe", "left", "x"),
		disconnect: func(_ *testing.T, c *gatedClient) { _ = c.CloseWrite() },
	},
	"a close behind more bytes": {
		request: requestText("unsafe", "left", "x"),
		disconnect: func(t *testing.T, c *gatedClient) {
			c.send(t, "P")
			c.disconnect()
		},
	},
	"a close behind a request": {
		request: requestText("unsafe", "left", "x"),
		disconnect: func(t *testing.T, c *gatedClient) {
			c.send(t, requestText("unsafe", "next", ""))
			c.disconnect()
		},
	},
	"a close behind a long body": {
		request:    requestText("unsafe", "left", strings.Repeat("x", 3*maxBufferedBody/2)),
		disconnect: func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
	"a close behind a chunked body": {
		request:    requestText("unsafe", "left", "", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n",
		disconnect: func(_ *testing.T, c *gatedClient) { c.disconnect() },
	},
}

// stalledBackend returns a backend that does not answer before the test calls release.
func stalledBackend(t *testing.T, answer func(net.Conn, *http.Request) bool) (b *backend, release func()) {
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

// requestsWithID returns the number of requests with an ID that the backend has received.
func (b *backend) requestsWithID(id string) int {
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

// idle reports whether the node has no request, neither queued nor in flight.
func (n *runningNode) idle() bool {
	var calls int
	n.loop.runTask(func() { calls = len(n.loop.openRequests) })
	return calls == 0
}

// Guards against forwarding a queued request, once capacity becomes free, although its client has disconnected.
func TestDisconnectWhileQueued(t *testing.T) {
	for name, kind := range disconnectKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := startGatedNode(t, b)
			filling := ln.fill(t, b)
			c := ln.dial(t)
			c.send(t, kind.request)
			eventually(t, "the loop has the request", func() bool { return n.hasOpenRequest("left") })
			kind.disconnect(t, c)
			eventually(t, "the client has disconnected", c.node.disconnected)
			release()
			for _, c := range filling {
				if status := c.readStatus(); status != http.StatusOK {
					t.Errorf("a request of a connected client got status %d, want 200", status)
				}
			}
			eventually(t, "no request is left", n.idle)
			if got := b.requestsWithID("left") + b.requestsWithID("next"); got != 0 {
				t.Errorf("the server got %d requests of the disconnected client, want none", got)
			}
		})
	}
}

// checkOnlyConnectedServed checks that a request of a connected client is served, and then that no request whose client
// had disconnected was forwarded.
func (n *runningNode) checkOnlyConnectedServed(t *testing.T, ln *gatedListener, b *backend) {
	t.Helper()
	connected := ln.dial(t)
	connected.send(t, requestText("unsafe", "stays", ""))
	if status := connected.readStatus(); status != http.StatusOK {
		t.Errorf("a request of a connected client got status %d, want 200", status)
	}
	eventually(t, "no request is left", n.idle)
	if got := b.requestsWithID("left") + b.requestsWithID("next"); got != 0 {
		t.Errorf("the server got %d requests of the disconnected client, want none", got)
	}
}

// hasOpenRequest reports whether the loop has an open request with an ID.
func (n *runningNode) hasOpenRequest(id string) bool {
	var there bool
	n.loop.runTask(func() { there = n.loop.openRequests[id] != nil })
	return there
}

// Guards against forwarding a queued request whose client has closed its connection with so much unread that the node
// does not see the close: the end of the stream waits behind what the client has sent. A client that is still there is
// refused.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for name, leaves := range map[string]bool{"leaves": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := startGatedNode(t, b)
			filling := ln.fill(t, b)
			c := ln.dial(t)
			c.send(t, requestText("unsafe", "left", ""))
			eventually(t, "the loop has the request", func() bool { return n.hasOpenRequest("left") })
			if err := c.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			sent, _ := io.WriteString(c, strings.Repeat(requestText("unsafe", "next", ""), 100000)) // until the buffers are full
			eventually(t, "much is unread", func() bool { return unreadBytes(c.node.TCPConn) > maxUnreadBehind })
			if leaves {
				c.disconnect()
			}
			time.Sleep(100 * time.Millisecond)
			if c.node.disconnected() {
				t.Fatalf("the node sees the close behind %d bytes, want it hidden", sent)
			}
			release()
			for _, c := range filling {
				if status := c.readStatus(); status != http.StatusOK {
					t.Errorf("a request of a connected client got status %d, want 200", status)
				}
			}
			if status := c.readStatus(); !leaves && status != http.StatusServiceUnavailable {
				t.Errorf("the client that stays got status %d, want 503", status)
			}
			c.disconnect()
			eventually(t, "no request is left", n.idle)
			if got := b.requestsWithID("left") + b.requestsWithID("next"); got != 0 {
				t.Errorf("the server got %d requests from behind unread bytes, want none", got)
			}
		})
	}
}

// Guards against a retry of a request whose client has disconnected before the server rejected the first attempt.
func TestDisconnectBeforeRetry(t *testing.T) {
	for name, kind := range disconnectKinds {
		if strings.Contains(name, "long body") {
			continue // a streamed body is not retried
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool {
				return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
			})
			other := newBackend(t, serveOK)
			cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
			cfg.Discovery = silentDiscovery(t)
			ln := newGatedListener(t)
			n := startOn(t, ln, cfg)
			c := ln.dial(t)
			c.send(t, kind.request)
			eventually(t, "the server has received the request", func() bool { return b.requestsWithID("left") == 1 })
			kind.disconnect(t, c)
			eventually(t, "the client has disconnected", c.node.disconnected)
			update := []listedEndpoint{inService("s-1", other.addr())}
			n.loop.endpointUpdates <- watchEvent{list: endpointList{Version: 2, Endpoints: update}}
			release()
			eventually(t, "no request is left", n.idle)
			if got := other.requests(); got != 0 {
				t.Errorf("the request was retried %d times after its client had disconnected, want never", got)
			}
		})
	}
}

// Guards against a request that is forwarded though its client disconnected while the node connected to the server.
func TestDisconnectWhileDialing(t *testing.T) {
	for name, kind := range disconnectKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, serveOK)
			cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
			cfg.Discovery = silentDiscovery(t)
			ln := newGatedListener(t)
			dialGate := newGate()
			dialGate.shut = true
			n := startOn(t, ln, cfg, func(n *Node) {
				n.pool.dialer.Timeout = 0 // the gate may stay shut for longer than the configured timeout
				n.pool.dialer.Control = func(string, string, syscall.RawConn) error {
					dialGate.pass()
					return nil
				}
			})
			c := ln.dial(t)
			c.send(t, kind.request)
			eventually(t, "the attempt waits for the dial", dialGate.held)
			kind.disconnect(t, c)
			eventually(t, "the client has disconnected", c.node.disconnected)
			dialGate.set(false)
			n.checkOnlyConnectedServed(t, ln, b)
		})
	}
}

// Guards against a request that is forwarded though its client disconnected before the loop received the request, as in
// a process that was suspended or is busy.
func TestDisconnectWhileLoopIsBusy(t *testing.T) {
	for name, kind := range disconnectKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, serveOK)
			n, ln := startGatedNode(t, b)
			unblock, loopBlocked := make(chan struct{}), make(chan struct{})
			go func() { n.loop.tasks <- func() { close(loopBlocked); <-unblock } }()
			<-loopBlocked
			c := ln.dial(t)
			c.send(t, kind.request)
			kind.disconnect(t, c)
			eventually(t, "the client has disconnected", c.node.disconnected)
			eventually(t, "request complete or connection closed", func() bool { return n.inbound.isHandledOrClosed(c.node) })
			close(unblock)
			n.checkOnlyConnectedServed(t, ln, b)
		})
	}
}

// isHandledOrClosed reports whether a connection has a complete request, or is closed.
func (l *limitedListener) isHandledOrClosed(c *gatedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, waiting := range []*list.List{l.awaitingHead, l.awaitingBody} {
		for e := waiting.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn).Conn == c {
				return c.isClosed()
			}
		}
	}
	return true
}
