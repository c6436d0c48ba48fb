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

// startGatedNode starts a node with one backend on a gated listener.
func startGatedNode(t *testing.T, b *backend) (*runningNode, *gatedListener) {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	ln := newGatedListener(t)
	return startOn(t, ln, cfg), ln
}

// Guards against requests that are lost when a shutdown closes idle connections. A request is served although its
// connection is closed as idle while its bytes are in the kernel, read but not yet examined, or partly in each state.
func TestRequestWhileIdleConnectionIsClosed(t *testing.T) {
	request := requestText("unsafe", "2", "")
	for name, sendRequest := range map[string]func(*testing.T, *gatedClient) *gate{
		"in the kernel of a new connection": func(t *testing.T, c *gatedClient) *gate {
			c.send(t, request)
			return c.node.before
		},
		"first bytes read, the others in the kernel": func(t *testing.T, c *gatedClient) *gate {
			c.send(t, requestText("safe", "1", ""))
			if status := c.readStatus(); status != http.StatusOK {
				t.Fatalf("the first request got status %d, want 200", status)
			}
			c.node.before.set(true) // for the next read: the reader has passed the gate and waits for bytes
			c.send(t, request[:2])
			eventually(t, "the reader is blocked at the gate", c.node.before.held)
			c.send(t, request[2:])
			return c.node.before
		},
		"read completely": func(t *testing.T, c *gatedClient) *gate {
			c.send(t, requestText("safe", "1", ""))
			if status := c.readStatus(); status != http.StatusOK {
				t.Fatalf("the first request got status %d, want 200", status)
			}
			c.node.after.set(true)
			c.send(t, request)
			return c.node.after
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, serveOK)
			n, ln := startGatedNode(t, b)
			ln.hold.Store(name == "in the kernel of a new connection")
			c := ln.dial(t)
			g := sendRequest(t, c)
			eventually(t, "the reader is blocked at the gate", g.held)
			n.stop()
			eventually(t, "the node closes the connection or interrupts its read", c.node.isClosedOrInterrupted)
			g.set(false)
			if status := c.readStatus(); status != http.StatusOK {
				t.Errorf("the request got status %d, want 200", status)
			}
			eventually(t, "the connection is closed", c.node.isClosed)
		})
	}
}

// Guards against requests that are lost when the idle timeout expires: one that arrives after the read has timed out,
// and before the connection is closed, is served.
func TestRequestWhileIdleTimeoutExpires(t *testing.T) {
	b := newBackend(t, serveOK)
	_, ln := startGatedNode(t, b)
	c := ln.dial(t)
	c.send(t, requestText("safe", "1", ""))
	if status := c.readStatus(); status != http.StatusOK {
		t.Fatalf("the first request got status %d, want 200", status)
	}
	c.node.afterTimeout.set(true)
	eventually(t, "the idle timeout has expired", c.node.afterTimeout.held)
	c.send(t, requestText("unsafe", "2", ""))
	c.node.afterTimeout.set(false)
	if status := c.readStatus(); status != http.StatusOK {
		t.Errorf("the request got status %d, want 200", status)
	}
}

// Guards against a request that is lost or executed twice when its connection is evicted: the connection that has been
// idle for longest is chosen for eviction after a request on it has been read, and before the request is examined. The
// request is served once, and the connection is evicted after the response.
func TestRequestWhileConnectionIsEvicted(t *testing.T) {
	b := newBackend(t, serveOK)
	n, ln := startGatedNode(t, b)
	oldest := ln.dial(t)
	oldest.send(t, requestText("safe", "first", ""))
	if status := oldest.readStatus(); status != http.StatusOK {
		t.Fatalf("the first request got status %d, want 200", status)
	}
	http.DefaultClient.CloseIdleConnections() // closes the connection of the readiness check
	eventually(t, "the connection is the only one, and idle", func() bool {
		return n.inbound.openConnections() == 1 && n.inbound.isIdle(oldest.node)
	})
	n.inbound.setLimit(1)
	sent := b.requests()
	oldest.node.after.set(true)
	oldest.send(t, requestText("unsafe", "crossed", ""))
	eventually(t, "the reader is blocked at the gate", oldest.node.after.held)
	c := ln.dial(t)
	eventually(t, "the oldest connection is being evicted", oldest.node.isClosedOrInterrupted)
	oldest.node.after.set(false)
	if status := oldest.readStatus(); status != http.StatusOK {
		t.Errorf("the request on the evicted connection got status %d, want 200", status)
	}
	c.send(t, requestText("unsafe", "new", ""))
	if status := c.readStatus(); status != http.StatusOK {
		t.Errorf("the request on the new connection got status %d, want 200", status)
	}
	if got := b.requests(); got != sent+2 {
		t.Errorf("the server got %d requests, want 2", got-sent)
	}
	dropped, violations := n.loop.metrics.Snapshot().RequestsAfterClose, n.loop.decisions.Violations()
	if dropped != 0 || len(violations) > 0 {
		t.Errorf("%d requests dropped, violations %v, want none", dropped, violations)
	}
}

// isIdle reports whether a connection waits for the head of a request.
func (l *limitedListener) isIdle(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.awaitingHead.Front(); e != nil; e = e.Next() {
		if e.Value.(*clientConn).Conn == c {
			return true
		}
	}
	return false
}

// goroutineBlockedIn returns a function that reports whether a goroutine waits for a mutex in the named function.
func goroutineBlockedIn(in string) func() bool {
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

// ageIdle makes idle connections appear idle for long enough to be reused.
func ageIdle(p *pool, t *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.idle {
		c.idleSince = c.idleSince.Add(-minIdlePeriod)
	}
}

// Guards against a stray response that is taken for the response to the next attempt. Bytes from an idle connection
// have been read from the socket but not yet examined by the reader while an attempt acquires the connection. These
// bytes neither become the attempt's response nor make the attempt fail.
func TestUnexpectedBytesWhileConnectionIsAcquired(t *testing.T) {
	unexpected := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for name, sendUnexpected := range map[string]func(net.Conn){
		"a whole response": func(c net.Conn) { _, _ = io.WriteString(c, unexpected) },
		"half a line":      func(c net.Conn) { _, _ = io.WriteString(c, unexpected[:7]) },
		"a close":          func(c net.Conn) { c.Close() },
		"a reset":          reset,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, serveOK)
			p := testPool(t)
			att := testAttempt(p, b.addr(), time.Minute)
			if first := p.runAttempt(att); first.result != policy.Success {
				t.Fatalf("the first attempt ended with %v, want success", first.result)
			}
			second := *att
			ageIdle(p, att.endpoint)
			p.mu.Lock()
			ended := make(chan attemptOutcome, 1)
			go func() { ended <- p.runAttempt(&second) }()
			eventually(t, "the attempt waits in acquire", goroutineBlockedIn("(*pool).acquire"))
			b.mu.Lock()
			c := b.conns[0]
			b.mu.Unlock()
			sendUnexpected(c)
			eventually(t, "the reader waits before it examines the bytes", goroutineBlockedIn("(*serverConn).readResponses"))
			p.mu.Unlock()
			if r := <-ended; r.result != policy.Success || string(r.response.body) != "done" {
				t.Errorf("the second attempt ended with %v, error %v, body %q, want success, no error, \"done\"",
					r.result, r.err, r.response.body)
			}
			if got := b.accepted(); got != 2 {
				t.Errorf("the server accepted %d connections, want 2", got)
			}
		})
	}
}

// Guards against a stray response that the reader has not read yet: the reuse check detects bytes in the kernel too.
func TestUnreadUnexpectedBytesWhileConnectionIsAcquired(t *testing.T) {
	b := newBackend(t, serveOK)
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(att); first.result != policy.Success {
		t.Fatalf("the first attempt ended with %v, want success", first.result)
	}
	ageIdle(p, att.endpoint)
	c := att.endpoint.idle[0]
	c.readMu.Lock() // blocks both the reader and the attempt
	second := *att
	ended := make(chan attemptOutcome, 1)
	go func() { ended <- p.runAttempt(&second) }()
	eventually(t, "the attempt waits in the reuse check", goroutineBlockedIn("(*serverConn).claimForReuse"))
	b.mu.Lock()
	_, _ = io.WriteString(b.conns[0], "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	b.mu.Unlock()
	eventually(t, "the reader waits in Read", goroutineBlockedIn("(*serverConn).Read"))
	c.readMu.Unlock()
	if r := <-ended; r.result != policy.Success || string(r.response.body) != "done" {
		t.Errorf("the second attempt ended with %v, error %v, body %q, want success, no error, \"done\"",
			r.result, r.err, r.response.body)
	}
}

// Guards against truncated responses: a response after which the node closes the connection reaches the client
// completely, even if the client is slow and has sent more bytes meanwhile. A close with unread bytes would reset the
// connection and lose the part of the response that the client has not received yet.
func TestResponseIsCompleteDespiteUnreadBytes(t *testing.T) {
	const long = 16 << 10
	b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool {
		return respond(c, "200 OK", strings.Repeat("x", long))
	})
	n, ln := startGatedNode(t, b)
	c := ln.dial(t)
	if err := c.SetReadBuffer(1); err != nil { // the minimum: most of the response stays on the node's side
		t.Fatal(err)
	}
	c.send(t, requestText("safe", "1", ""))
	eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
	c.send(t, requestText("unsafe", "2", "")[:40])
	n.stop()
	eventually(t, "the node closes connections after their responses", n.closing)
	release()
	eventually(t, "node has closed its sending end", func() bool { return c.node.isClosed() || c.node.isWriteClosed() })
	setReadTimeout(t, c, 20*time.Second)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != long {
		t.Errorf("the client got %d bytes of the body, %v, want 16384", len(body), err)
	}
}

// A client disconnects and retries with an ID that an attempt still uses, and once more after that attempt has ended.
// Guards against a 503 for a request that is not idempotent, after which the client would assume that it had not been
// executed, and against a second execution: such a request gets 409 both times. An idempotent one gets 503, and is
// served then.
func TestClientRetriesWithIDInUse(t *testing.T) {
	for class, want := range map[string]struct{ during, after, runs int }{
		"safe":   {http.StatusServiceUnavailable, http.StatusOK, 2},
		"unsafe": {http.StatusConflict, http.StatusConflict, 1},
	} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
			n, ln := startGatedNode(t, b)
			first := ln.dial(t)
			first.send(t, requestText(class, "1", ""))
			eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
			first.disconnect()
			eventually(t, "the loop knows that the client has disconnected", func() bool {
				var finished bool
				n.loop.runTask(func() { finished = n.loop.openRequests["1"].finished.Load() })
				return finished
			})
			again := ln.dial(t)
			again.send(t, requestText(class, "1", ""))
			if status := again.readStatus(); status != want.during {
				t.Errorf("retry while the first attempt is in flight: status %d, want %d", status, want.during)
			}
			release()
			eventually(t, "the first request has ended", n.idle)
			again.send(t, requestText(class, "1", ""))
			if status := again.readStatus(); status != want.after {
				t.Errorf("retry after the first request: status %d, want %d", status, want.after)
			}
			if runs := b.requests(); runs != want.runs {
				t.Errorf("the server has run the request %d times, want %d", runs, want.runs)
			}
		})
	}
}

// Guards against a client that gets the response to another request: a server responds twice, the second time some
// milliseconds late. If the next request had been written to that connection by then, the two responses could not be
// told apart.
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
	_, ln := startGatedNode(t, b)
	c := ln.dial(t)
	for _, id := range []string{"1", "2", "3"} {
		c.send(t, requestText("unsafe", id, ""))
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != id {
			t.Errorf("request %s got the response to %q, error %v, want its own response", id, body, err)
		}
	}
}

// Guards against a client that gets the response to another request: a server responds to a request a second time after
// minIdlePeriod, in which a connection is not reused, and this response arrives when the next request has been written.
// The first such response cannot be told from a true one. After it, no connection of that server carries a second
// request, and a request that is not idempotent takes no connection that has been idle for so short a time.
func TestLateSecondResponsesAreDetected(t *testing.T) {
	const late = 3 * minIdlePeriod // delay of the second response
	for class, allowed := range map[string]int{"safe": 1, "unsafe": 0} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(n int, c net.Conn, r *http.Request) bool {
				if n > 1 {
					time.Sleep(2 * late) // so that the second response to the previous request arrives first
				}
				id := r.Header.Get("X-Call-Id")
				time.AfterFunc(late, func() { respond(c, "200 OK", id) })
				return respond(c, "200 OK", id)
			})
			_, ln := startGatedNode(t, b)
			c := ln.dial(t)
			foreign := 0
			for i := range 8 {
				id := strconv.Itoa(i)
				c.send(t, requestText(class, id, ""))
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
					time.Sleep(late / 2) // the second response arrives after the next request has been written
				} else {
					time.Sleep(3 * late) // the true response to this request arrives before the next request
				}
			}
			if foreign > allowed {
				t.Errorf("%d of 8 requests got the response to another request, want %d at most", foreign, allowed)
			}
		})
	}
}

// A server may send a 408 to announce that it closes an idle connection. Guards against taking this notice for a second
// response, after which no connection to the server would be reused.
func TestAnnouncedIdleTimeoutIsNoSecondResponse(t *testing.T) {
	for text, notice := range map[string]bool{
		"HTTP/1.1 408 Request Timeout\r\n": true,
		"HTTP/1.1 408":                     true,
		"HTTP/1.1 200 OK\r\n":              false,
		"HTTP/1.1 40":                      false,
	} {
		if got := isTimeoutNotice([]byte(text)); got != notice {
			t.Errorf("isTimeoutNotice(%q) = %v, want %v", text, got, notice)
		}
	}
}
