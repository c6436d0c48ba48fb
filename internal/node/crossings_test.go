package node

import (
	"net"
	"net/http"
	"testing"
)

// gatedNode runs a node that serves one backend over a gated listener.
func gatedNode(t *testing.T, b *backend, adjust ...func(*Config)) (*running, *gatedListener) {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	for _, f := range adjust {
		f(&cfg)
	}
	ln := newGatedListener(t)
	return startOn(t, ln, cfg), ln
}

// A node that leaves ends the connections that rest, while a request comes in on one. Wherever that is at the moment,
// in the kernel, read but not yet looked at, or half of each, it is served whole: the close may not cross it.
func TestRequestAsItsRestingConnectionEnds(t *testing.T) {
	request := text("unsafe", "2", "")
	for name, cross := range map[string]func(*testing.T, *caller) *gate{
		"in the kernel of a new connection": func(t *testing.T, c *caller) *gate {
			c.send(t, request)
			return c.node.before
		},
		"first bytes read, the others in the kernel": func(t *testing.T, c *caller) *gate {
			c.send(t, text("safe", "1", ""))
			if status := c.answered(); status != http.StatusOK {
				t.Fatalf("the first got %d", status)
			}
			c.node.before.set(true) // its reader is past this one, and comes back for more
			c.send(t, request[:2])
			eventually(t, "the reader is held up", c.node.before.held)
			c.send(t, request[2:])
			return c.node.before
		},
		"read whole": func(t *testing.T, c *caller) *gate {
			c.send(t, text("safe", "1", ""))
			if status := c.answered(); status != http.StatusOK {
				t.Fatalf("the first got %d", status)
			}
			c.node.after.set(true)
			c.send(t, request)
			return c.node.after
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			n, ln := gatedNode(t, b)
			ln.hold.Store(name == "in the kernel of a new connection")
			c := ln.dial(t)
			g := cross(t, c)
			eventually(t, "the reader is held up", g.held)
			n.stop()
			eventually(t, "the node ends the connection", c.node.ending)
			g.set(false)
			if status := c.answered(); status != http.StatusOK {
				t.Errorf("the request got %d", status)
			}
			eventually(t, "the connection is closed", c.node.isClosed)
		})
	}
}

// A connection that has rested for longest makes room for a new one while a request on it has been read and not yet
// looked at. Nobody can be answered there any more, so it is not sent on: its client sends it again.
func TestRequestAsItsConnectionMakesRoom(t *testing.T) {
	b := newBackend(t, ok)
	n, ln := gatedNode(t, b, func(c *Config) { c.Sockets = 2 * c.reserved() })
	var callers []*caller
	for range n.cfg.inboundPlaces(n.cfg.Sockets) {
		c := ln.dial(t)
		c.send(t, text("safe", "first", ""))
		if status := c.answered(); status != http.StatusOK {
			t.Fatalf("the first got %d", status)
		}
		callers = append(callers, c)
		eventually(t, "it rests", func() bool { return n.inbound.rests(c.node) })
	}
	sent := b.requests()
	oldest := callers[0]
	oldest.node.after.set(true)
	oldest.send(t, text("unsafe", "crossed", ""))
	eventually(t, "the reader is held up", oldest.node.after.held)
	c := ln.dial(t)
	eventually(t, "the oldest makes room", oldest.node.isClosed)
	oldest.node.after.set(false)
	eventually(t, "the crossed request is dropped, or sent on", func() bool {
		return n.loop.stats.snapshot().crossed > 0 || b.requests() > sent
	})
	c.send(t, text("unsafe", "again", ""))
	if status := c.answered(); status != http.StatusOK {
		t.Errorf("the next got %d", status)
	}
	if got := b.requests(); got != sent+1 {
		t.Errorf("servers got %d requests, want the one sent again", got-sent)
	}
}

// rests says that a connection has no request in work.
func (b *bounded) rests(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*placed).Conn == c {
			return true
		}
	}
	return false
}
