package node

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"keelusher/policy"
)

// gatedNode runs a node that serves one backend over a gated listener.
func gatedNode(t *testing.T, b *backend) (*running, *gatedListener) {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
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

// The same where its time to rest is over: a request that comes after the system's read was given up, and before the
// connection is closed, is served.
func TestRequestAsItsTimeToRestEnds(t *testing.T) {
	b := newBackend(t, ok)
	_, ln := gatedNode(t, b)
	c := ln.dial(t)
	c.send(t, text("safe", "1", ""))
	if status := c.answered(); status != http.StatusOK {
		t.Fatalf("the first got %d", status)
	}
	c.node.late.set(true)
	eventually(t, "its time is over", c.node.late.held)
	c.send(t, text("unsafe", "2", ""))
	c.node.late.set(false)
	if status := c.answered(); status != http.StatusOK {
		t.Errorf("the request got %d", status)
	}
}

// A connection that has rested for longest is to make room for a new one while a request on it has been read and not yet
// looked at: by the newest term it would be lost. It is served, once, and the connection makes room after its answer.
func TestRequestAsItsConnectionMakesRoom(t *testing.T) {
	b := newBackend(t, ok)
	n, ln := gatedNode(t, b)
	oldest := ln.dial(t)
	oldest.send(t, text("safe", "first", ""))
	if status := oldest.answered(); status != http.StatusOK {
		t.Fatalf("the first got %d", status)
	}
	http.DefaultClient.CloseIdleConnections() // that asked whether it is ready
	eventually(t, "it rests, alone", func() bool { return n.inbound.open() == 1 && n.inbound.rests(oldest.node) })
	n.inbound.resize(1)
	sent := b.requests()
	oldest.node.after.set(true)
	oldest.send(t, text("unsafe", "crossed", ""))
	eventually(t, "the reader is held up", oldest.node.after.held)
	c := ln.dial(t)
	eventually(t, "the oldest is to make room", oldest.node.ending)
	oldest.node.after.set(false)
	if status := oldest.answered(); status != http.StatusOK {
		t.Errorf("the crossed request got %d", status)
	}
	c.send(t, text("unsafe", "new", ""))
	if status := c.answered(); status != http.StatusOK {
		t.Errorf("the next got %d", status)
	}
	if got := b.requests(); got != sent+2 {
		t.Errorf("servers got %d requests, want 2", got-sent)
	}
	if crossed := n.loop.metrics.snapshot().requestsAfterClose; crossed != 0 || len(n.loop.decisions.violations.nonZero()) > 0 {
		t.Errorf("%d were dropped, violations %v", crossed, n.loop.decisions.violations.nonZero())
	}
}

// rests says that a connection has no request in work.
func (b *limitedListener) rests(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*clientConn).Conn == c {
			return true
		}
	}
	return false
}

// blocked says that some goroutine waits for a lock in a function.
func blocked(in string) func() bool {
	return func() bool {
		stacks := make([]byte, 1<<20)
		for one := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(one, "sync.(*Mutex).Lock") && strings.Contains(one, in) {
				return true
			}
		}
		return false
	}
}

// hasRested makes idle connections old enough to be used again.
func hasRested(p *pool, t *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.idle {
		c.parked = c.parked.Add(-minIdlePeriod)
	}
}

// What comes on a resting connection to a server in the moment in which an attempt takes it, after the system's read
// and before the reader's look, is neither the answer to that attempt nor its failure.
func TestStrayBytesAsAConnectionIsTaken(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for name, cross := range map[string]func(net.Conn){
		"a whole answer": func(c net.Conn) { io.WriteString(c, stray) },
		"half a line":    func(c net.Conn) { io.WriteString(c, stray[:7]) },
		"an end":         func(c net.Conn) { c.Close() },
		"a reset":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, ok)
			p := testPool(t)
			att := testAttempt(p, b.addr(), time.Minute)
			if first := p.runAttempt(att); first.result != policy.Success {
				t.Fatalf("the first ended with %v", first.result)
			}
			second := *att
			hasRested(p, att.endpoint)
			p.mu.Lock()
			ended := make(chan attemptOutcome, 1)
			go func() { ended <- p.runAttempt(&second) }()
			eventually(t, "the attempt is about to take it", blocked("(*pool).acquire"))
			b.mu.Lock()
			c := b.conns[0]
			b.mu.Unlock()
			cross(c)
			eventually(t, "the reader is about to look", blocked("(*conn).read"))
			p.mu.Unlock()
			if r := <-ended; r.result != policy.Success || string(r.response.body) != "done" {
				t.Errorf("it ended with %v, %v and %q", r.result, r.err, r.response.body)
			}
			if got := b.accepted(); got != 2 {
				t.Errorf("%d connections, want a new one for the second", got)
			}
		})
	}
}

// The same where the reader has not come to read yet: what lies in the system is found too.
func TestStrayBytesUnreadAsAConnectionIsTaken(t *testing.T) {
	b := newBackend(t, ok)
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(att); first.result != policy.Success {
		t.Fatalf("the first ended with %v", first.result)
	}
	hasRested(p, att.endpoint)
	c := att.endpoint.idle[0]
	c.step.Lock() // its reader, or the attempt, goes on first
	second := *att
	ended := make(chan attemptOutcome, 1)
	go func() { ended <- p.runAttempt(&second) }()
	eventually(t, "the attempt is about to claim it", blocked("(*conn).claim"))
	b.mu.Lock()
	io.WriteString(b.conns[0], "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	b.mu.Unlock()
	eventually(t, "the reader is about to read", blocked("(*conn).Read"))
	c.step.Unlock()
	if r := <-ended; r.result != policy.Success || string(r.response.body) != "done" {
		t.Errorf("it ended with %v, %v and %q", r.result, r.err, r.response.body)
	}
}

// An answer that ends its connection comes whole, also to a slow reader that has sent more meanwhile: a close over
// unread bytes would reset the connection and take with it what is still on its way.
func TestAnswerOverUnreadBytes(t *testing.T) {
	const long = 16 << 10
	b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", strings.Repeat("x", long)) })
	n, ln := gatedNode(t, b)
	c := ln.dial(t)
	c.SetReadBuffer(1) // the system's least: most of the answer stays at the node's end
	c.send(t, text("safe", "1", ""))
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	c.send(t, text("unsafe", "2", "")[:40])
	n.stop()
	eventually(t, "answers end their connections", n.closing)
	release()
	eventually(t, "the node has ended the connection", func() bool { return c.node.isClosed() || c.node.hasEnded() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != long {
		t.Errorf("%d bytes came, %v", len(body), err)
	}
}

// A client that has gone and comes again under the id that its first try's attempt still holds is refused where a
// repeat does no harm, and gets a failure where the first may have run.
func TestClientComesAgainUnderItsID(t *testing.T) {
	for class, want := range map[string]int{"safe": http.StatusServiceUnavailable, "unsafe": http.StatusConflict} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := gatedNode(t, b)
			first := ln.dial(t)
			first.send(t, text(class, "1", ""))
			eventually(t, "it is out", func() bool { return b.requests() == 1 })
			first.Close()
			eventually(t, "the loop knows that it left", func() bool {
				var left bool
				n.loop.runTask(func() { left = n.loop.openRequests["1"].finished.Load() })
				return left
			})
			again := ln.dial(t)
			again.send(t, text(class, "1", ""))
			if status := again.answered(); status != want {
				t.Errorf("while the first is out: %d, want %d", status, want)
			}
			release()
			eventually(t, "the first is over", n.idle)
			again.send(t, text(class, "1", ""))
			if status := again.answered(); status != http.StatusOK {
				t.Errorf("after it: %d", status)
			}
		})
	}
}

// A server that answers twice, the second time some milliseconds late: the next request on that connection may be written
// by then, and nothing tells the two answers apart. No client gets the answer of another's request.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	answer := func(c net.Conn, r *http.Request) bool { return respond(c, "200 OK", r.Header.Get("X-Call-Id")) }
	late := make(chan struct{})
	b := newBackend(t, func(n int, c net.Conn, r *http.Request) bool {
		if n != 1 {
			if r.Header.Get("X-Call-Id") == "2" {
				<-late
			}
			return answer(c, r)
		}
		answer(c, r)
		time.AfterFunc(5*time.Millisecond, func() {
			answer(c, r)
			close(late)
		})
		return true
	})
	_, ln := gatedNode(t, b)
	c := ln.dial(t)
	for _, id := range []string{"1", "2", "3"} {
		c.send(t, text("unsafe", id, ""))
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != id {
			t.Errorf("request %s got the answer of %q, %v", id, body, err)
		}
	}
}
