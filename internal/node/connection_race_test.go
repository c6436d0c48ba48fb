package node

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
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

// A node that shuts down ends idle connections while a request arrives on one. Wherever the request is at that moment,
// in the kernel, read but not yet examined, or half of each, it is served.
func TestRequestWhileIdleConnectionIsClosed(t *testing.T) {
	request := text("unsafe", "2", "")
	for name, cross := range map[string]func(*testing.T, *gatedClient) *gate{
		"in the kernel of a new connection": func(t *testing.T, c *gatedClient) *gate {
			c.send(t, request)
			return c.node.before
		},
		"first bytes read, the others in the kernel": func(t *testing.T, c *gatedClient) *gate {
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
		"read completely": func(t *testing.T, c *gatedClient) *gate {
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

// The same at the end of the idle timeout: a request that arrives after the read has timed out, and before the
// connection is closed, is served.
func TestRequestWhileIdleTimeoutExpires(t *testing.T) {
	b := newBackend(t, ok)
	_, ln := gatedNode(t, b)
	c := ln.dial(t)
	c.send(t, text("safe", "1", ""))
	if status := c.answered(); status != http.StatusOK {
		t.Fatalf("the first got %d", status)
	}
	c.node.late.set(true)
	eventually(t, "the idle timeout is over", c.node.late.held)
	c.send(t, text("unsafe", "2", ""))
	c.node.late.set(false)
	if status := c.answered(); status != http.StatusOK {
		t.Errorf("the request got %d", status)
	}
}

// The connection that has been idle for longest is evicted while a request on it has been read and not yet examined.
// The request is served, once, and the connection is evicted after its response.
func TestRequestWhileConnectionIsEvicted(t *testing.T) {
	b := newBackend(t, ok)
	n, ln := gatedNode(t, b)
	oldest := ln.dial(t)
	oldest.send(t, text("safe", "first", ""))
	if status := oldest.answered(); status != http.StatusOK {
		t.Fatalf("the first got %d", status)
	}
	http.DefaultClient.CloseIdleConnections() // of the readiness check
	eventually(t, "it is the only one, and idle", func() bool {
		return n.inbound.openConnections() == 1 && n.inbound.isIdle(oldest.node)
	})
	n.inbound.setLimit(1)
	sent := b.requests()
	oldest.node.after.set(true)
	oldest.send(t, text("unsafe", "crossed", ""))
	eventually(t, "the reader is held up", oldest.node.after.held)
	c := ln.dial(t)
	eventually(t, "the oldest is to be evicted", oldest.node.ending)
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
	dropped, violations := n.loop.metrics.Snapshot().RequestsAfterClose, n.loop.decisions.Violations()
	if dropped != 0 || len(violations) > 0 {
		t.Errorf("%d were dropped, violations %v", dropped, violations)
	}
}

// isIdle reports whether a connection awaits the head of a request.
func (b *limitedListener) isIdle(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.awaitingHead.Front(); e != nil; e = e.Next() {
		if e.Value.(*clientConn).Conn == c {
			return true
		}
	}
	return false
}

// blocked reports whether some goroutine waits for a lock in a function.
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

// ageIdle makes idle connections old enough to be used again.
func ageIdle(p *pool, t *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.idle {
		c.idleSince = c.idleSince.Add(-minIdlePeriod)
	}
}

// Bytes that arrive on an idle connection while an attempt acquires it, after the read of the socket and before the
// reader examines them, are neither the response to that attempt nor its failure.
func TestUnexpectedBytesWhileConnectionIsAcquired(t *testing.T) {
	unexpected := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for name, cross := range map[string]func(net.Conn){
		"a whole response": func(c net.Conn) { _, _ = io.WriteString(c, unexpected) },
		"half a line":      func(c net.Conn) { _, _ = io.WriteString(c, unexpected[:7]) },
		"an end":           func(c net.Conn) { c.Close() },
		"a reset":          reset,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, ok)
			p := testPool(t)
			att := testAttempt(p, b.addr(), time.Minute)
			if first := p.runAttempt(att); first.result != policy.Success {
				t.Fatalf("the first ended with %v", first.result)
			}
			second := *att
			ageIdle(p, att.endpoint)
			p.mu.Lock()
			ended := make(chan attemptOutcome, 1)
			go func() { ended <- p.runAttempt(&second) }()
			eventually(t, "the attempt is about to acquire it", blocked("(*pool).acquire"))
			b.mu.Lock()
			c := b.conns[0]
			b.mu.Unlock()
			cross(c)
			eventually(t, "the reader is about to examine them", blocked("(*serverConn).readResponses"))
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

// The same for bytes that the reader has not read yet: those in the system are found too.
func TestUnreadUnexpectedBytesWhileConnectionIsAcquired(t *testing.T) {
	b := newBackend(t, ok)
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(att); first.result != policy.Success {
		t.Fatalf("the first ended with %v", first.result)
	}
	ageIdle(p, att.endpoint)
	c := att.endpoint.idle[0]
	c.readMu.Lock() // holds up both the reader and the attempt
	second := *att
	ended := make(chan attemptOutcome, 1)
	go func() { ended <- p.runAttempt(&second) }()
	eventually(t, "the attempt is about to check it", blocked("(*serverConn).claimForReuse"))
	b.mu.Lock()
	_, _ = io.WriteString(b.conns[0], "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	b.mu.Unlock()
	eventually(t, "the reader is about to read", blocked("(*serverConn).Read"))
	c.readMu.Unlock()
	if r := <-ended; r.result != policy.Success || string(r.response.body) != "done" {
		t.Errorf("it ended with %v, %v and %q", r.result, r.err, r.response.body)
	}
}

// A response that ends its connection arrives completely, also at a slow reader that has sent more meanwhile: a close
// over unread bytes would reset the connection and lose what is still on its way.
func TestResponseOverUnreadBytes(t *testing.T) {
	const long = 16 << 10
	b, release := stalled(t, func(c net.Conn, _ *http.Request) bool {
		return respond(c, "200 OK", strings.Repeat("x", long))
	})
	n, ln := gatedNode(t, b)
	c := ln.dial(t)
	if err := c.SetReadBuffer(1); err != nil { // the minimum: most of the response stays with the node
		t.Fatal(err)
	}
	c.send(t, text("safe", "1", ""))
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	c.send(t, text("unsafe", "2", "")[:40])
	n.stop()
	eventually(t, "responses end their connections", n.closing)
	release()
	eventually(t, "the node has ended the connection", func() bool { return c.node.isClosed() || c.node.hasEnded() })
	setReadTimeout(t, c, 20*time.Second)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != long {
		t.Errorf("%d bytes came, %v", len(body), err)
	}
}

// A client that has disconnected and retries with an id that an attempt still uses is rejected if the request is
// idempotent, and otherwise gets a failure, since the first may have run.
func TestClientRetriesWithItsID(t *testing.T) {
	for class, want := range map[string]int{"safe": http.StatusServiceUnavailable, "unsafe": http.StatusConflict} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := gatedNode(t, b)
			first := ln.dial(t)
			first.send(t, text(class, "1", ""))
			eventually(t, "it is out", func() bool { return b.requests() == 1 })
			first.disconnect()
			eventually(t, "the loop knows that it disconnected", func() bool {
				var finished bool
				n.loop.runTask(func() { finished = n.loop.openRequests["1"].finished.Load() })
				return finished
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

// A server responds twice, the second time some milliseconds late: the next request on that connection may be written
// by then, and nothing tells the two responses apart. No client gets the response to another's request.
func TestLateSecondResponse(t *testing.T) {
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
			t.Errorf("request %s got the response to %q, %v", id, body, err)
		}
	}
}

// Guards against a client that is served another's response: a server's second response to a request comes later than
// a connection rests, and crosses the next request. Nothing tells the first such response from a true one; after it no
// connection of the server carries a second request, and a request that is not idempotent takes no such connection.
func TestServerThatRespondsTwiceLateIsFoundOut(t *testing.T) {
	const late = 3 * minIdlePeriod // the second response
	for class, allowed := range map[string]int{"safe": 1, "unsafe": 0} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(n int, c net.Conn, r *http.Request) bool {
				if n > 1 {
					time.Sleep(2 * late) // the second response to the request before comes first
				}
				id := r.Header.Get("X-Call-Id")
				time.AfterFunc(late, func() { respond(c, "200 OK", id) })
				return respond(c, "200 OK", id)
			})
			_, ln := gatedNode(t, b)
			c := ln.dial(t)
			foreign := 0
			for i := range 8 {
				id := strconv.Itoa(i)
				c.send(t, text(class, id, ""))
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				if string(body) != id {
					foreign++
				}
				if i%2 == 0 {
					time.Sleep(late / 2) // the next request crosses the second response
				} else {
					time.Sleep(3 * late) // the true response to it comes while the connection rests
				}
			}
			if foreign > allowed {
				t.Errorf("%d of 8 requests got another's response, want %d at most", foreign, allowed)
			}
		})
	}
}

// A server may announce the end of an idle connection: that is no second response, and its connections are used again.
func TestAnnouncedIdleTimeoutIsNoSecondResponse(t *testing.T) {
	for text, notice := range map[string]bool{
		"HTTP/1.1 408 Request Timeout\r\n": true,
		"HTTP/1.1 408":                     true,
		"HTTP/1.1 200 OK\r\n":              false,
		"HTTP/1.1 40":                      false,
	} {
		if got := isTimeoutNotice([]byte(text)); got != notice {
			t.Errorf("%q is a notice: %v, want %v", text, got, notice)
		}
	}
}
