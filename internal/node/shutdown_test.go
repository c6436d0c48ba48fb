package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"keelusher/policy"
)

// A node that shuts down gives every open request a response before the platform may kill it. Requests that a server
// may have executed get 502, queued ones 503.
func TestFinalResponsesBeforeTheKill(t *testing.T) {
	b, _ := stalledBackend(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := startGatedNode(t, b)
	sent := ln.fill(t, b)
	n.stop()
	stoppedAt := time.Now()
	waits := ln.dial(t) // connections are still accepted for a moment
	waits.send(t, requestText("unsafe", "waits", ""))
	if status := waits.readStatus(); status != http.StatusServiceUnavailable {
		t.Errorf("the queued request got status %d, want 503", status)
	}
	for _, c := range sent {
		if status := c.readStatus(); status != http.StatusBadGateway {
			t.Errorf("a request that was sent to the server got status %d, want 502", status)
		}
	}
	// On an idle machine the responses come after 3.6 s. The deadlines of the requests are after 20 s.
	if took := time.Since(stoppedAt); took > 10*time.Second {
		t.Errorf("the last response came after %v, want at most 10 s", took)
	}
	if err := <-n.done; err != nil {
		t.Errorf("the node ended with %v, want no error", err)
	}
}

// While a node shuts down, the last byte of a request may arrive after the time at which all open requests got their
// final responses. Such a request must get one at once, because the kill is near and the servers do not answer.
func TestRequestCompletedAfterFinalResponses(t *testing.T) {
	t.Parallel()
	const length = 60000
	b, _ := stalledBackend(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := startGatedNode(t, b)
	hangs := ln.dial(t) // its open request keeps the node from ending
	hangs.send(t, requestText("unsafe", "hangs", ""))
	n.stop()
	stoppedAt := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(stoppedAt.Add(d))) }
	after(300 * time.Millisecond)
	c := ln.dial(t)
	head := requestText("unsafe", "late", "", fmt.Sprint("Content-Length: ", length))
	c.send(t, head[:20])
	after(2500 * time.Millisecond)
	c.send(t, head[20:]+strings.Repeat("x", length-1))
	after(3750 * time.Millisecond)
	c.send(t, "x")
	setReadTimeout(t, c, 2*time.Second)
	if _, err := c.in.ReadByte(); err != nil {
		t.Errorf("no response within 2 s of the last byte of the request: %v", err)
	}
}

// If a connection to a server is established after the pool was shut down, no request may be sent on it, because its
// client could not be answered any more.
func TestDialDuringShutdown(t *testing.T) {
	b := newBackend(t, serveOK)
	p := testPool(t)
	first := testAttempt(p, b.addr(), time.Minute)
	if outcome := p.runAttempt(first); outcome.result != policy.Success {
		t.Fatalf("the first attempt ended with %v, want Success", outcome.result)
	}
	c := first.endpoint.idle[0]
	dialing, up := make(chan struct{}), make(chan struct{})
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		close(dialing)
		<-up
		return nil
	}
	ended := make(chan attemptOutcome, 1)
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		ended <- p.runAttempt(testAttempt(p, b.addr(), time.Minute))
	}()
	<-dialing
	shut := make(chan struct{})
	go func() {
		p.shutdown()
		close(shut)
	}()
	<-c.done // the shutdown has begun
	close(up)
	if r := <-ended; r.result != policy.ConnectFailed {
		t.Errorf("the attempt ended with %v, want ConnectFailed", r.result)
	}
	<-shut
	if got := b.requests(); got != 1 {
		t.Errorf("the server got %d requests, want only the first", got)
	}
}

// Guards against a long response that is cut off because its process was told to end: it stays as long as the response
// is being given, also after the longest deadline of a class.
func TestLongResponseOutlastsShutdown(t *testing.T) {
	t.Parallel()
	const (
		pieces   = 8
		pause    = 500 * time.Millisecond // 4 s in all
		deadline = time.Second            // so that the process would end 1.6 s after it is told to
	)
	body := randomBody(pieces * 20000)
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return slowResponse{chunked: true, body: body, pieces: pieces, pause: pause}.give(c)
	})
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = deadline
	}
	n := start(t, cfg)
	response, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	n.stop()
	got, err := io.ReadAll(response.Body)
	if err != nil || string(got) != body {
		t.Errorf("got %d bytes, error %v, want all %d", len(got), err, len(body))
	}
	select {
	case err := <-n.done:
		if err != nil {
			t.Errorf("the node ended with %v, want no error", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the node does not end after its last response")
	}
}
