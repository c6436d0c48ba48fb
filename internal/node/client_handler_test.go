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

func TestRequestIsForwarded(t *testing.T) {
	b := newBackend(t, ok)
	n := startWith(t, b)
	r := newRequest(t, n.url, "keyed", "id-1", "payload")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	if status, _, body := do(t, r); status != http.StatusOK || body != "done" {
		t.Fatalf("got %d %q", status, body)
	}
	got := b.seen[0]
	if got.RequestURI != "/api/x%2Fy?q=1&r=%20" || b.body[0] != "payload" || got.Header.Get("X-Call-Id") != "id-1" ||
		got.Header.Get("Idempotency-Key") != "k-id-1" || got.Header.Get("X-Hop") != "" {
		t.Errorf("the server got %s %q %v", got.RequestURI, b.body[0], got.Header)
	}
	if left, err := inbound.ParseBudget(got.Header.Get("X-Budget")); err != nil || left > 30*time.Second {
		t.Errorf("X-Budget %v, %v", left, err)
	}
}

// Malformed requests get a 4xx and reach no server.
func TestMalformedRequests(t *testing.T) {
	b := newBackend(t, ok)
	n := startWith(t, b)
	for name, spoil := range map[string]func(*http.Request){
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
			spoil(r)
			if status, _, _ := do(t, r); status < 400 || status > 499 {
				t.Errorf("answered %d", status)
			}
		})
	}
	if n := b.requests(); n != 0 {
		t.Errorf("%d malformed requests reached a server", n)
	}
}

// A request inside the body of another is not served, however ambiguous the end of the body is: the outer one is
// rejected and its connection closed before the inner one is read.
func TestNoRequestSmuggledInABody(t *testing.T) {
	b := newBackend(t, ok)
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
			received, _ := io.ReadAll(c) // the close may be a reset, since what follows is not read
			answers := strings.Count(string(received), "HTTP/1.")
			rejected := strings.Contains(string(received), " 4") || strings.Contains(string(received), " 505 ")
			if answers != 1 || !rejected {
				t.Errorf("got %q, want one 4xx or 505 and a close", received)
			}
		})
	}
	if got := b.requests(); got != 0 {
		t.Errorf("%d requests reached a server", got)
	}
}

// A peer that sends no whole request is answered or closed within 3 s of connecting, and so is an idle connection: the
// limit on connections is for clients.
func TestClientsWithoutARequestAreClosed(t *testing.T) {
	b := newBackend(t, ok)
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
				t.Error("left open")
			}
		})
	}
}

// A request that is not idempotent and whose reused connection broke may have run. http.Transport would retry it by
// itself because of its idempotency key.
func TestNoImplicitRetry(t *testing.T) {
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool { return n == 1 && respond(c, "200 OK", "done") })
	n := startWith(t, b)
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Fatalf("answered %d", status)
	}
	r := newRequest(t, n.url, "unsafe", "2", "x")
	r.Header.Set("Idempotency-Key", "k")
	if status, _, _ := do(t, r); status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502: it may have run", status)
	}
	if got := b.requests(); got != 2 {
		t.Errorf("the server saw %d requests, want 2", got)
	}
}

// A request that the policy gives up is answered at once, and a rejection says when to retry.
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
		t.Errorf("rejected with %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	status, header, _ = do(t, newRequest(t, startWith(t, broken).url, "unsafe", "1", "x"))
	if status != http.StatusBadGateway || header.Get("Retry-After") != "" {
		t.Errorf("failed with %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if took := time.Since(begin); took > 15*time.Second { // of 30 s that each had
		t.Errorf("answered after %v", took)
	}
}

// The policy knows a single request by an id: a second one with the same id would never be answered.
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
	eventually(t, "the first is out", func() bool { return b.requests() == 1 })
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusConflict {
		t.Errorf("answered %d, want 409", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first was answered %d", status)
	}
}

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
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	leave()
	if err := <-left; err == nil {
		t.Fatal("it was answered")
	}
	close(release)
	// Its id is free again when the loop has forgotten the request and its attempt.
	eventually(t, "its id is free", func() bool {
		status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x"))
		return status == http.StatusOK
	})
}

// A client that ends its sending has disconnected: it gets a close, not a response that no server made.
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
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	setReadTimeout(t, c, 20*time.Second)
	if received, err := io.ReadAll(c); len(received) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v, want a close", received, err)
	}
}

// A node that is stopped accepts requests while the front notices, finishes those it has and ends without an error.
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
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	n.stop()
	eventually(t, "leaving", func() bool { return n.lifecycle.Current() == lifecycle.ShuttingDown })
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := fresh.Do(newRequest(t, n.url, "unsafe", "late", "x"))
	if err != nil {
		t.Fatalf("a late connection was not accepted: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
	eventually(t, "closed to new connections", func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if status := <-inFlight; status != http.StatusOK {
		t.Errorf("the request in flight was answered %d", status)
	}
	if err := <-n.done; err != nil {
		t.Errorf("ended with %v", err)
	}
}
