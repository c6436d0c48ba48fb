package node

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// testPool returns a pool with a limit of 8 connections, which is shut down at the end of the test.
func testPool(t *testing.T) *pool {
	cfg := testConfig(t, "pushed")
	p := newPool(cfg, 8, newEventLoop(newClock(), discardLogger(), nil, metrics.NewRecorder(nil)),
		newBuffers(cfg.MemoryMB, 8))
	t.Cleanup(p.shutdown)
	return p
}

// testAttempt returns an attempt at an address. Its deadline, and that of its client, is wait after the call.
func testAttempt(p *pool, addr string, wait time.Duration) *attempt {
	deadline := p.clock.now() + wait
	c := &clientRequest{method: http.MethodPost, url: &url.URL{Path: "/api"}, host: "service.internal",
		header: http.Header{"X-Call-Id": {"1"}, "Idempotency-Key": {"k"}}, body: []byte("payload"), contentLength: 7,
		deadline: deadline}
	return &attempt{request: c, endpoint: &endpoint{id: "s", addr: addr}, deadline: deadline}
}

// Each kind of response, and each kind of failure to get a response, leads to the attempt result in the table. The
// server gets the request once.
func TestAttemptResults(t *testing.T) {
	partly := func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	}
	status := func(s string, headers ...string) func(int, net.Conn, *http.Request) bool {
		return func(_ int, c net.Conn, _ *http.Request) bool { return respond(c, s, "x", headers...) }
	}
	for name, tc := range map[string]struct {
		serve func(int, net.Conn, *http.Request) bool
		want  policy.AttemptResult
	}{
		"served":            {serveOK, policy.Success},
		"error":             {status("500 Internal Server Error"), policy.ServerError},
		"not found":         {status("404 Not Found"), policy.ServerError},
		"accepted":          {status("202 Accepted"), policy.ServerError},
		"unmarked 503":      {status("503 Service Unavailable"), policy.ServerError},
		"rejected, 503":     {status("503 Service Unavailable", "X-Rejected: 1"), policy.Overloaded},
		"rejected, 504":     {status("504 Gateway Timeout", "X-Rejected: 1"), policy.Overloaded},
		"500 with the mark": {status("500 Internal Server Error", "X-Rejected: 1"), policy.ServerError},
		"no response":       {func(int, net.Conn, *http.Request) bool { return false }, policy.ConnectionLost},
		"half a response":   {partly, policy.ConnectionLost},
		"an end without a length": {func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall")
			return false
		}, policy.Success},
		"a reset without a length": {func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			reset(c) // unlike a close, it does not mark the end of a response
			return false
		}, policy.ConnectionLost},
		"a long error": {func(_ int, c net.Conn, _ *http.Request) bool {
			return respond(c, "500 Internal Server Error", strings.Repeat("x", maxBufferedBody+1))
		}, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			p, b := testPool(t), newBackend(t, tc.serve)
			if got := p.runAttempt(testAttempt(p, b.addr(), time.Minute)).result; got != tc.want {
				t.Errorf("result %v, want %v", got, tc.want)
			}
			if n := b.requests(); n != 1 {
				t.Errorf("the server got %d requests, want 1", n)
			}
		})
	}
}

// An attempt whose connection is refused ends with ConnectFailed.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	p := testPool(t)
	if got := p.runAttempt(testAttempt(p, ln.Addr().String(), time.Minute)).result; got != policy.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
}

// An attempt without a response ends with TimedOut at its deadline, and its connection is closed.
func TestNoResponseIsTimedOut(t *testing.T) {
	connClosed := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c) // until the node closes the connection
		close(connClosed)
		return false
	})
	p := testPool(t)
	if got := p.runAttempt(testAttempt(p, b.addr(), 100*time.Millisecond)).result; got != policy.TimedOut {
		t.Errorf("result %v, want TimedOut", got)
	}
	<-connClosed // the node abandons an attempt by closing its connection
}

// Guards against an attempt that is sent although its endpoint began to drain, or its request was answered, while its
// connection was being established.
func TestNothingSentAfterSlowConnect(t *testing.T) {
	for name, stop := range map[string]func(*attempt){
		"drained":  func(a *attempt) { a.endpoint.unavailable.Store(true) },
		"answered": func(a *attempt) { a.request.finished.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			p, b := testPool(t), newBackend(t, serveOK)
			att := testAttempt(p, b.addr(), time.Minute)
			p.dialer.Control = func(string, string, syscall.RawConn) error {
				stop(att) // during the dial
				return nil
			}
			if got := p.runAttempt(att).result; got != policy.NotSent {
				t.Errorf("result %v, want NotSent", got)
			}
			p.shutdown()
			if n := b.requests(); n != 0 {
				t.Errorf("the server got %d requests, want none", n)
			}
		})
	}
}

// Guards against taking bytes that follow a response for the response to the next request.
func TestBytesAfterResponse(t *testing.T) {
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"+
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			return err == nil
		}
		return respond(c, "200 OK", "two")
	})
	p := testPool(t)
	first := testAttempt(p, b.addr(), time.Minute)
	for _, want := range []string{"one", "two"} {
		att := &attempt{request: first.request, endpoint: first.endpoint, deadline: first.deadline}
		if r := p.runAttempt(att); r.result != policy.Success || string(r.response.body) != want {
			t.Errorf("result %v with body %q, want Success with %q", r.result, r.response.body, want)
		}
	}
}

// Guards against using an idle connection that the server has closed: the request would end with a reset, and must not
// be retried unless it is idempotent.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		respond(c, "200 OK", "done")
		return false // without announcing it by Connection: close
	})
	p := testPool(t)
	for i := range 3 {
		if got := p.runAttempt(testAttempt(p, b.addr(), time.Minute)).result; got != policy.Success {
			t.Fatalf("attempt %d: result %v, want Success", i, got)
		}
		eventually(t, "the pool drops the closed connection", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.open) == 0
		})
	}
}

// mustAcquire returns a connection for an attempt, or fails the test.
func mustAcquire(t *testing.T, p *pool, att *attempt) *serverConn {
	t.Helper()
	c, err := p.acquire(att)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A connection carries one request after another, each after the idle period. If the limit permits no new connection,
// the attempt waits for the end of that period. The idle connections of a removed endpoint are closed.
func TestConnectionIsReused(t *testing.T) {
	b := newBackend(t, serveOK)
	p := testPool(t)
	att := testAttempt(p, b.addr(), time.Minute)
	for range 5 {
		att = &attempt{request: att.request, endpoint: att.endpoint, deadline: att.deadline}
		if got := p.runAttempt(att).result; got != policy.Success {
			t.Fatalf("result %v, want Success", got)
		}
		ageIdle(p, att.endpoint)
	}
	if n := b.accepted(); n != 1 {
		t.Errorf("%d connections for 5 requests, each after the idle period; want 1", n)
	}
	p.setLimit(1) // no new connection is permitted: the attempt waits for the end of the idle period
	for range 3 {
		p.release(mustAcquire(t, p, att))
		began := time.Now()
		c := mustAcquire(t, p, att)
		if took := time.Since(began); took < minIdlePeriod/2 {
			t.Errorf("a connection was reused after %v, want minIdlePeriod/2 at least", took)
		}
		p.release(c)
	}
	if n := b.accepted(); n != 1 {
		t.Errorf("%d connections, want 1, which is the limit", n)
	}
	p.closeIdle(att.endpoint)
	if len(p.open) != 0 {
		t.Errorf("%d connections to a removed endpoint are open, want none", len(p.open))
	}
}

// At the limit on connections, an attempt evicts an idle connection to another endpoint, and fails if none is idle.
func TestServerConnectionLimit(t *testing.T) {
	a, b := newBackend(t, serveOK), newBackend(t, serveOK)
	p := testPool(t)
	p.limit = 1
	for range 2 {
		for _, s := range []*backend{a, b} {
			if got := p.runAttempt(testAttempt(p, s.addr(), time.Minute)).result; got != policy.Success {
				t.Fatalf("result %v, want Success", got)
			}
			if len(p.open) != 1 {
				t.Fatalf("%d connections, want 1, which is the limit", len(p.open))
			}
		}
	}
	p.mu.Lock()
	for c := range p.open {
		c.transition(serverConnAcquired) // as if it were in use
	}
	p.mu.Unlock()
	if got := p.runAttempt(testAttempt(p, a.addr(), time.Minute)).result; got != policy.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
}

// An endpoint gets the client's target, host, headers and body unchanged, and the remaining budget in X-Budget.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	p := testPool(t)
	att := testAttempt(p, "127.0.0.1:1", 400*time.Millisecond)
	att.request.url = &url.URL{Path: "/a/b c", RawPath: "/a%2Fb%20c", RawQuery: "x=%20&y"}
	for _, sent := range []string{"payload", strings.Repeat("x", maxCopiedBody+1)} {
		att.request.body, att.request.contentLength = []byte(sent), int64(len(sent))
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.Join(p.encodeRequest(att), nil))))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(r.Body)
		if r.RequestURI != "/a%2Fb%20c?x=%20&y" || r.Host != "service.internal" || string(body) != sent ||
			r.Header.Get("X-Call-Id") != "1" || r.Header.Get("Idempotency-Key") != "k" {
			t.Errorf("forwarded target %s, host %s, body %q, headers %v, want those of the client",
				r.RequestURI, r.Host, body, r.Header)
		}
		left, err := inbound.ParseBudget(r.Header.Get("X-Budget"))
		if err != nil || left <= 0 || left > 400*time.Millisecond {
			t.Errorf("X-Budget %v, error %v; want above 0 and at most 400 ms", left, err)
		}
	}
}

// The fields of a load report have the names that the settings give and that servers send.
func TestLoadReport(t *testing.T) {
	l := parseLoadReport(http.Header{"X-Load-Report": {`{"svc_ms":27.5,"busy_reqs":2.25,"other":1}`}})
	if l == nil || l.BusyRequests != 2.25 || l.ServiceTime != 27500*time.Microsecond {
		t.Errorf("load %+v, want 2.25 busy and 27.5 ms of service", l)
	}
	if l := parseLoadReport(http.Header{"X-Load-Report": {"{"}}); l != nil {
		t.Errorf("an invalid report gave %+v, want none", l)
	}
}
