package node

import (
	"strings"
	"testing"
)

// Peers that send much at once and go hold nothing afterwards: no connection, no memory that is counted, no call; and
// nothing of theirs reaches a server, be it proper or not.
func TestFloodsThatGo(t *testing.T) {
	for name, flood := range map[string]string{
		"a line without an end":  "GET /" + strings.Repeat("x", 1<<20),
		"fields without an end":  "GET /api HTTP/1.1\r\nHost: s\r\n" + strings.Repeat("X-Fill: "+strings.Repeat("x", 1000)+"\r\n", 1000),
		"a head that is no head": strings.Repeat("\x00\xff\r\n", 1<<18),
		"many requests at once":  strings.Repeat(text("unsafe", "left", ""), 300),
		"bodies under way":       strings.Repeat(text("unsafe", "left", strings.Repeat("x", 1000)), 30),
		"a body that is shorter": text("unsafe", "left", strings.Repeat("x", 1000))[:1000],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			n, ln := gatedNode(t, b)
			whole := n.buffers.requests.available.Load()
			ln.hold.Store(true)
			c := ln.dial(t)
			go func() { // more than the system takes before the node reads
				c.Write([]byte(flood))
				c.Close()
			}()
			if len(flood) < 48<<10 { // all of it fits, and what is proper in it must not be sent on
				eventually(t, "it has gone", c.node.gone)
			}
			c.node.before.set(false)
			eventually(t, "its connection is closed", c.node.isClosed)
			ln.hold.Store(false)
			n.onlyThoseThatStay(t, ln, b)
			if left := n.buffers.requests.available.Load(); left != whole {
				t.Errorf("%d bytes are held for nobody", whole-left)
			}
		})
	}
}
