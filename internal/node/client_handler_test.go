package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/lifecycle"
)

// A request reaches the server with its URL, body and end-to-end headers, and with its remaining budget.
func TestRequestIsForwarded(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	r := newRequest(t, n.url, "keyed", "id-1", "payload")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	if status, _, body := do(t, r); status != http.StatusOK || body != "done" {
		t.Fatalf("got status %d, body %q, want 200, \"done\"", status, body)
	}
	got := b.seen[0]
	if got.RequestURI != "/api/x%2Fy?q=1&r=%20" || b.body[0] != "payload" || got.Header.Get("X-Call-Id") != "id-1" ||
		got.Header.Get("Idempotency-Key") != "k-id-1" || got.Header.Get("X-Hop") != "" {
		t.Errorf("the server got target %s, body %q, headers %v, want the client's without X-Hop",
			got.RequestURI, b.body[0], got.Header)
	}
	if left, err := inbound.ParseBudget(got.Header.Get("X-Budget")); err != nil || left > 30*time.Second {
		t.Errorf("the server got X-Budget %v, %v, want 30s at most", left, err)
	}
}

// Guards against malformed requests that are forwarded: each gets a 4xx, and none reaches a server.
func TestMalformedRequests(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	for name, corrupt := range map[string]func(*http.Request){
		"no id":          func(r *http.Request) { r.Header.Del("X-Call-Id") },
		"no class":       func(r *http.Request) { r.Header.Del("X-Call-Class") },
		"unknown class":  func(r *http.Request) { r.Header.Set("X-Call-Class", "unsafes") },
		"GET for a POST": func(r *http.Request) { r.Method, r.Body, r.ContentLength = http.MethodGet, nil, 0 },
		"POST for a GET": func(r *http.Request) { r.Header.Set("X-Call-Class", "safe") },
		"no budget":      func(r *http.Request) { r.Header.Del("X-Budget") },
		"no unit":        func(r *http.Request) { r.Header.Set("X-Budget", "480") },
		"unknown unit":   func(r *http.Request) { r.Header.Set("X-Budget", "480s") },
		"no number":      func(r *http.Request) { r.Header.Set("X-Budget", "m") },
		"not a number":   func(r *http.Request) { r.Header.Set("X-Budget", "nanm") },
		"negative":       func(r *http.Request) { r.Header.Set("X-Budget", "-1m") },
		"nothing left":   func(r *http.Request) { r.Header.Set("X-Budget", "0m") },
		"endless":        func(r *http.Request) { r.Header.Set("X-Budget", "1e300m") },
		"method":         func(r *http.Request) { r.Method = http.MethodDelete },
		"body over 32 MiB": func(r *http.Request) {
			*r = *newRequest(t, n.url, "keyed", "big", strings.Repeat("x", maxStreamedBody+1))
		},
		"GET with chunks": func(r *http.Request) {
			r.Method = http.MethodGet
			r.Header.Set("X-Call-Class", "safe")
			r.ContentLength = -1
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, n.url, "keyed", "id-"+name, "payload")
			corrupt(r)
			if status, _, _ := do(t, r); status < 400 || status > 499 {
				t.Errorf("got status %d, want 4xx", status)
			}
		})
	}
	if n := b.requests(); n != 0 {
		t.Errorf("%d malformed requests reached a server, want none", n)
	}
}

// Guards against request smuggling: a request inside a body whose end is ambiguous is not served. The outer request is
// rejected and its connection closed before the inner request is read.
func TestNoRequestSmuggledInABody(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	fields := func(id string) string {
		return "Host: s\r\nX-Call-Id: " + id + "\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n"
	}
	inner := "POST /api HTTP/1.1\r\n" + fields("inner") + "Content-Length: 0\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+inner))
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	const emptyChunk = "0\r\n\r\n"
	for name, outer := range map[string]string{
		"length and chunks":           "POST /api HTTP/1.1\r\n" + fields("1") + length + chunked + emptyChunk,
		"length and chunks at /ready": "GET /ready HTTP/1.1\r\nHost: s\r\n" + length + chunked + emptyChunk,
		"chunks in HTTP/1.0":          "POST /api HTTP/1.0\r\nConnection: keep-alive\r\n" + fields("2") + chunked,
		"GET with a body":             "GET /api HTTP/1.1\r\n" + fields("3") + length + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, outer+inner); err != nil {
				t.Fatal(err)
			}
			setReadTimeout(t, c, 20*time.Second)
			received, _ := io.ReadAll(c) // the close may be a reset, since bytes stay unread
			answers := strings.Count(string(received), "HTTP/1.")
			rejected := strings.Contains(string(received), " 4") || strings.Contains(string(received), " 505 ")
			if answers != 1 || !rejected {
				t.Errorf("got %q, want one 4xx or 505 and a close", received)
			}
		})
	}
	if got := b.requests(); got != 0 {
		t.Errorf("%d smuggled or ambiguous requests reached the server, want none", got)
	}
}

// Guards against idle connections that use up the limit: a client that sends no complete request gets an error or a
// close within 3 s of the connect, and a connection that is idle after a request is closed within 3 s.
func TestClientsWithoutARequestAreClosed(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	request := "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: 1\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n"
	for name, text := range map[string]string{
		"nothing":      "",
		"half a line":  "POST /a",
		"half headers": request,
		"half a body":  request + "Content-Length: 300\r\n\r\nhalf",
		"an idle one":  "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			setReadTimeout(t, c, 2900*time.Millisecond)
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection was not closed within 2.9s")
			}
		})
	}
}

// Guards against an unsafe retry: when a reused connection breaks, a request that is not idempotent may have been
// executed. http.Transport would retry it by itself because of its idempotency key.
func TestNoImplicitRetry(t *testing.T) {
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool { return n == 1 && respond(c, "200 OK", "done") })
	n := startWith(t, b)
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Fatalf("the first request got status %d, want 200", status)
	}
	r := newRequest(t, n.url, "unsafe", "2", "x")
	r.Header.Set("Idempotency-Key", "k")
	if status, _, _ := do(t, r); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502, since the request may have been executed", status)
	}
	if got := b.requests(); got != 2 {
		t.Errorf("the server got %d requests, want 2", got)
	}
}

// A request that the policy rejects or fails is answered without waiting for its deadline, and a rejection has
// Retry-After.
func TestFinalResponses(t *testing.T) {
	full := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
	})
	broken := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "500 Internal Server Error", "")
	})
	begin := time.Now()
	status, header, _ := do(t, newRequest(t, startWith(t, full).url, "unsafe", "1", "x"))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "0.002" {
		t.Errorf("the rejected request got status %d, Retry-After %q, want 503, \"0.002\"",
			status, header.Get("Retry-After"))
	}
	status, header, _ = do(t, newRequest(t, startWith(t, broken).url, "unsafe", "1", "x"))
	if status != http.StatusBadGateway || header.Get("Retry-After") != "" {
		t.Errorf("the failed request got status %d, Retry-After %q, want 502 without Retry-After",
			status, header.Get("Retry-After"))
	}
	if took := time.Since(begin); took > 15*time.Second { // of the 30 s that each request had
		t.Errorf("both were answered after %v, want 15s at most", took)
	}
}

// Guards against a request that is never answered: the policy holds one request per ID, so a second request with the ID
// of an open request is rejected.
func TestIDInUseIsRejected(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, b)
	first := make(chan int, 1)
	go func() {
		status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x"))
		first <- status
	}()
	eventually(t, "the server has received the first request", func() bool { return b.requests() == 1 })
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusConflict {
		t.Errorf("the second request got status %d, want 409", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first request got status %d, want 200", status)
	}
}

// Guards against requests that the loop keeps after their client has disconnected.
func TestDisconnectedClientIsForgotten(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, b)
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	r := newRequest(t, n.url, "unsafe", "1", "x").WithContext(ctx)
	go func() {
		_, err := http.DefaultClient.Do(r)
		left <- err
	}()
	eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
	leave()
	if err := <-left; err == nil {
		t.Fatal("the canceled request got a response, want an error")
	}
	close(release)
	eventually(t, "the loop has removed the request and its attempt", n.idle)
}

// Guards against a response that no server sent: a client that shuts down its sending direction counts as disconnected
// and gets a close.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	n := startWith(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := newRequest(t, n.url, "unsafe", "1", "x").Write(c); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	setReadTimeout(t, c, 20*time.Second)
	if received, err := io.ReadAll(c); len(received) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the client read %q, %v, want a close without a response", received, err)
	}
}

// Guards against requests that are lost in a shutdown: the node accepts requests until its clients have noticed the
// shutdown, finishes the requests in flight, and stops without an error.
func TestShutdownLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			<-release
		}
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, b)
	inFlight := make(chan int, 1)
	go func() {
		status, _, _ := do(t, newRequest(t, n.url, "unsafe", "held", "x"))
		inFlight <- status
	}()
	eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
	n.stop()
	eventually(t, "the node shuts down", func() bool { return n.lifecycle.Current() == lifecycle.ShuttingDown })
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := fresh.Do(newRequest(t, n.url, "unsafe", "late", "x"))
	if err != nil {
		t.Fatalf("a request during the shutdown failed: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a request during the shutdown got status %d, want 200", resp.StatusCode)
	}
	eventually(t, "the node refuses new connections", func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if status := <-inFlight; status != http.StatusOK {
		t.Errorf("the request in flight got status %d, want 200", status)
	}
	if err := <-n.done; err != nil {
		t.Errorf("the node stopped with %v, want no error", err)
	}
}
