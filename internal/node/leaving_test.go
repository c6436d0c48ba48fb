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

// A node that shuts down answers what it cannot finish before it may be killed: what has been sent and may have run
// fails, what is queued is rejected.
func TestFinalResponsesBeforeTheKill(t *testing.T) {
	b, _ := stalled(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := gatedNode(t, b)
	sent := ln.fill(t, b)
	n.stop()
	shutdownAt := time.Now()
	waits := ln.dial(t) // new connections come for a moment
	waits.send(t, text("unsafe", "waits", ""))
	if status := waits.answered(); status != http.StatusServiceUnavailable {
		t.Errorf("what waited got %d, want 503", status)
	}
	for _, c := range sent {
		if status := c.answered(); status != http.StatusBadGateway {
			t.Errorf("what was sent got %d, want 502", status)
		}
	}
	if took := time.Since(shutdownAt); took > 10*time.Second { // 3.6 s on an idle machine; deadlines are 20 s
		t.Errorf("the last response came after %v", took)
	}
	if err := <-n.done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request that is complete only after a node that shuts down has given its final responses gets one all the same: the
// kill is near, and the servers hang.
func TestRequestCompletedAfterFinalResponses(t *testing.T) {
	t.Parallel()
	const length = 60000
	b, _ := stalled(t, func(net.Conn, *http.Request) bool { return false })
	n, ln := gatedNode(t, b)
	hangs := ln.dial(t) // keeps the node from ending by itself
	hangs.send(t, text("unsafe", "hangs", ""))
	n.stop()
	shutdownAt := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(shutdownAt.Add(d))) }
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
		t.Errorf("no answer 2 s after its last byte: %v", err)
	}
}

// A connection to a server that comes up after the node has ended its own carries nothing: nobody could be answered.
func TestDialAcrossTheEnd(t *testing.T) {
	b := newBackend(t, ok)
	p := testPool(t)
	resting := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(resting); first.result != policy.Success {
		t.Fatalf("the first ended with %v", first.result)
	}
	c := resting.endpoint.idle[0]
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
	<-c.gone // the end has begun
	close(up)
	if r := <-ended; r.result != policy.ConnectFailed {
		t.Errorf("it ended with %v, want Unreachable", r.result)
	}
	<-shut
	if got := b.requests(); got != 1 {
		t.Errorf("the server got %d requests, want the first alone", got)
	}
}
