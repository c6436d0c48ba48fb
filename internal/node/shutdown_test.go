package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"keelusher/policy"
)

// A node that shuts down answers what it cannot finish before it may be killed: requests that may have run fail, queued
// ones are rejected.
func TestFinalResponsesBeforeTheKill(t *testing.T) {
	b, _ := stalled(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := gatedNode(t, b)
	sent := ln.fill(t, b)
	n.stop()
	stoppedAt := time.Now()
	waits := ln.dial(t) // new connections come for a moment
	waits.send(t, text("unsafe", "waits", ""))
	if status := waits.answered(); status != http.StatusServiceUnavailable {
		t.Errorf("the queued request got %d, want 503", status)
	}
	for _, c := range sent {
		if status := c.answered(); status != http.StatusBadGateway {
			t.Errorf("a forwarded request got %d, want 502", status)
		}
	}
	// After 3.6 s on an idle machine; their own deadlines are after 20 s.
	if took := time.Since(stoppedAt); took > 10*time.Second {
		t.Errorf("the last response came after %v", took)
	}
	if err := <-n.done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request whose last byte arrives after a node that shuts down has sent its last responses gets one all the same: the
// kill is near, and the servers hang.
func TestRequestCompletedAfterFinalResponses(t *testing.T) {
	t.Parallel()
	const length = 60000
	b, _ := stalled(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := gatedNode(t, b)
	hangs := ln.dial(t) // keeps the node from ending
	hangs.send(t, text("unsafe", "hangs", ""))
	n.stop()
	stoppedAt := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(stoppedAt.Add(d))) }
	after(300 * time.Millisecond)
	c := ln.dial(t)
	head := text("unsafe", "late", "", fmt.Sprint("Content-Length: ", length))
	c.send(t, head[:20])
	after(2500 * time.Millisecond)
	c.send(t, head[20:]+strings.Repeat("x", length-1))
	after(3750 * time.Millisecond)
	c.send(t, "x")
	setReadTimeout(t, c, 2*time.Second)
	if _, err := c.in.ReadByte(); err != nil {
		t.Errorf("no response 2 s after its last byte: %v", err)
	}
}

// A connection to a server that is established after the node has closed its own carries nothing: nobody could be
// answered.
func TestDialDuringShutdown(t *testing.T) {
	b := newBackend(t, ok)
	p := testPool(t)
	first := testAttempt(p, b.addr(), time.Minute)
	if outcome := p.runAttempt(first); outcome.result != policy.Success {
		t.Fatalf("the first ended with %v", outcome.result)
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
		t.Errorf("it ended with %v, want ConnectFailed", r.result)
	}
	<-shut
	if got := b.requests(); got != 1 {
		t.Errorf("the server got %d requests, want the first alone", got)
	}
}
