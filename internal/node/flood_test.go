package node

import (
	"strings"
	"testing"
)

// Clients that send much at once and disconnect leave nothing behind: no connection, no reserved memory, no request;
// and nothing of theirs reaches a server, valid or not.
func TestFloodsLeaveNothingBehind(t *testing.T) {
	longField := "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"
	for name, flood := range map[string]string{
		"a line without an end":  "GET /" + strings.Repeat("x", 1<<20),
		"fields without an end":  "GET /api HTTP/1.1\r\nHost: s\r\n" + strings.Repeat(longField, 1000),
		"a head that is no head": strings.Repeat("\x00\xff\r\n", 1<<18),
		"many requests at once":  strings.Repeat(text("unsafe", "left", ""), 300),
		"bodies under way":       strings.Repeat(text("unsafe", "left", strings.Repeat("x", 1000)), 30),
		"a body that is shorter": text("unsafe", "left", strings.Repeat("x", 1000))[:1000],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			n, ln := gatedNode(t, b)
			available := n.buffers.requests.available.Load()
			ln.hold.Store(true)
			c := ln.dial(t)
			go func() { // more than the system takes before the node reads
				_, _ = c.Write([]byte(flood))
				c.disconnect()
			}()
			if len(flood) < 48<<10 { // all of it fits, and no valid request in it may be forwarded
				eventually(t, "it has disconnected", c.node.disconnected)
			}
			c.node.before.set(false)
			eventually(t, "its connection is closed", c.node.isClosed)
			ln.hold.Store(false)
			n.checkOnlyConnectedServed(t, ln, b)
			if left := n.buffers.requests.available.Load(); left != available {
				t.Errorf("%d bytes stay reserved", available-left)
			}
		})
	}
}
