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

// Guards against memory of a response that stays reserved when its client disconnects while the response is passed to
// the handler. Either event may reach the handler first, so a hundred requests are sent to cover both orders.
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
			defer func() { _ = recover() }() // the handler may panic with http.ErrAbortHandler
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
			t.Fatalf("%d bytes of the memory budget are still reserved", available-left)
		}
	}
}

// Guards against memory of a response that stays reserved when the server responds and closes before it has read the
// request, so that the write of the request fails.
func TestResponseDespiteFailedWrite(t *testing.T) {
	p := testPool(t)
	available := p.buffers.responses.available.Load()
	b := newBackend(t, serveOK)
	att := testAttempt(p, b.addr(), time.Minute)
	if first := p.runAttempt(att); first.result != policy.Success {
		t.Fatalf("the first attempt ended with %v, want success", first.result)
	} else {
		first.response.discard()
	}
	c := att.endpoint.idle[0]
	p.mu.Lock()
	c.transition(serverConnAcquired)
	p.mu.Unlock()
	if !c.claimForReuse() {
		t.Fatal("the idle connection does not pass the reuse check")
	}
	b.mu.Lock()
	respond(b.conns[0], "503 Service Unavailable", strings.Repeat("x", 100), "X-Rejected: 1")
	b.mu.Unlock()
	eventually(t, "the reader has passed on the response", func() bool { return len(c.replies) == 1 })
	c.Close() // makes the write fail
	if _, err := p.roundTrip(c, att); err == nil {
		t.Fatal("the attempt succeeded on a closed connection")
	}
	p.close(c)
	if left := p.buffers.responses.available.Load(); left != available {
		t.Errorf("%d bytes of the memory budget are still reserved", available-left)
	}
}

// Guards against memory of a request's body that stays reserved when the request is rejected because its ID is in use.
func TestBodyOfIDInUseIsReleased(t *testing.T) {
	b, release := stalledBackend(t, func(c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") })
	n, ln := startGatedNode(t, b)
	available := n.buffers.requests.available.Load()
	first, second := ln.dial(t), ln.dial(t)
	first.send(t, requestText("unsafe", "1", "payload"))
	eventually(t, "the server has received the request", func() bool { return b.requests() == 1 })
	second.send(t, requestText("unsafe", "1", "payload"))
	if status := second.readStatus(); status != http.StatusConflict {
		t.Errorf("the second request got status %d, want 409", status)
	}
	release()
	if status := first.readStatus(); status != http.StatusOK {
		t.Errorf("the first request got status %d, want 200", status)
	}
	eventually(t, "no request is left", n.idle)
	if left := n.buffers.requests.available.Load(); left != available {
		t.Errorf("%d bytes of the memory budget are still reserved", available-left)
	}
}
