package node

import (
	"strings"
	"testing"
)

// Guards against leaks by clients that send many bytes at once and disconnect: no connection, reserved memory or
// request of such a client stays in the node, and none of its requests, valid or not, reaches a server.
func TestFloodsLeakNothing(t *testing.T) {
	longField := "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"
	for name, flood := range map[string]string{
		"a line without an end":   "GET /" + strings.Repeat("x", 1<<20),
		"fields without an end":   "GET /api HTTP/1.1\r\nHost: s\r\n" + strings.Repeat(longField, 1000),
		"a malformed head":        strings.Repeat("\x00\xff\r\n", 1<<18),
		"many requests at once":   strings.Repeat(requestText("unsafe", "left", ""), 300),
		"many requests with body": strings.Repeat(requestText("unsafe", "left", strings.Repeat("x", 1000)), 30),
		"a body that is shorter":  requestText("unsafe", "left", strings.Repeat("x", 1000))[:1000],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, serveOK)
			n, ln := startGatedNode(t, b)
			available := n.buffers.requests.available.Load()
			ln.hold.Store(true)
			c := ln.dial(t)
			go func() { // in the background: the socket buffers may not take all of it before the node reads
				_, _ = c.Write([]byte(flood))
				c.disconnect()
			}()
			if len(flood) < 48<<10 { // all of it fits into the socket buffers; valid requests in it must not be forwarded
				eventually(t, "the client has disconnected", c.node.disconnected)
			}
			c.node.before.set(false)
			eventually(t, "the connection is closed", c.node.isClosed)
			ln.hold.Store(false)
			n.checkOnlyConnectedServed(t, ln, b)
			if left := n.buffers.requests.available.Load(); left != available {
				t.Errorf("%d bytes of the memory budget are still reserved", available-left)
			}
		})
	}
}
