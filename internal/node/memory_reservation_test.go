package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"
)

// A client that disconnects while its response arrives leaves nothing behind: neither reserved memory nor a streamed
// response that somebody waits for. The handler may see either first, so that a hundred requests show both.
func TestDisconnectWhileResponseArrives(t *testing.T) {
	arrivals, disconnects := make(chan *clientRequest), make(chan *clientRequest)
	h := &clientHandler{
		clock:            newClock(),
		arrivals:         arrivals,
		disconnects:      disconnects,
		stopped:          make(chan struct{}),
		metrics:          metrics.NewRecorder(nil),
		buffers:          newBuffers(64, 8),
		methods:          map[string]string{"safe": http.MethodGet},
		ready:            func() bool { return true },
		closeConnections: func() bool { return false },
	}
	available := h.buffers.responses.available.Load()
	for range 100 {
		ctx, leave := context.WithCancel(context.Background())
		r := httptest.NewRequest(http.MethodGet, "/api", nil).WithContext(ctx)
		r.Header.Set("X-Call-Id", "1")
		r.Header.Set("X-Call-Class", "safe")
		r.Header.Set("X-Budget", "1000m")
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			defer func() { _ = recover() }() // it may abort the connection
			h.ServeHTTP(httptest.NewRecorder(), r)
		}()
		c := <-arrivals
		leave()
		c.responses <- response{status: http.StatusBadGateway, bodyMemory: h.buffers.responses.reserve(100)}
		select {
		case <-disconnects:
			<-ended
		case <-ended:
		}
		if left := h.buffers.responses.available.Load(); left != available {
			t.Fatalf("%d bytes stay reserved", available-left)
		}
	}
}

// A server that responds and closes before it has read a request leaves no memory reserved.
func TestResponseBesideFailedWrite(t *testing.T) {
	p := testPool(t)
	available := p.buffers.responses.available.Load()
	b := newBackend(t, ok)
	att := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(att); first.result != policy.Success {
		t.Fatalf("the first ended with %v", first.result)
	} else {
		first.response.discard()
	}
	c := att.endpoint.idle[0]
	p.mu.Lock()
	c.transition(serverConnAcquired)
	p.mu.Unlock()
	if !c.claimForReuse() {
		t.Fatal("it does not pass the reuse check")
	}
	b.mu.Lock()
	respond(b.conns[0], "503 Service Unavailable", strings.Repeat("x", 100), "X-Rejected: 1")
	b.mu.Unlock()
	eventually(t, "the response waits", func() bool { return len(c.replies) == 1 })
	c.Close() // the write fails
	if _, err := p.roundTrip(c, att); err == nil {
		t.Fatal("the write did not fail")
	}
	p.close(c)
	if left := p.buffers.responses.available.Load(); left != available {
		t.Errorf("%d bytes stay reserved", available-left)
	}
}

// The body of a request that is rejected for its id is released.
func TestBodyOfIDInUseIsReleased(t *testing.T) {
	b, release := stalled(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
	n, ln := gatedNode(t, b)
	available := n.buffers.requests.available.Load()
	first, second := ln.dial(t), ln.dial(t)
	first.send(t, text("unsafe", "1", "payload"))
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	second.send(t, text("unsafe", "1", "payload"))
	if status := second.answered(); status != http.StatusConflict {
		t.Errorf("the second got %d", status)
	}
	release()
	if status := first.answered(); status != http.StatusOK {
		t.Errorf("the first got %d", status)
	}
	eventually(t, "all is over", n.idle)
	if left := n.buffers.requests.available.Load(); left != available {
		t.Errorf("%d bytes stay reserved", available-left)
	}
}
