package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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

// Guards against heads of many fields that take memory without limit: a request whose head finds no memory is rejected,
// one with a usual head is served, and all memory is released.
func TestLongHeadsNeedMemory(t *testing.T) {
	b := newBackend(t, serveOK)
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	memory := int64(headMemory(8000, 300))
	n := start(t, cfg, func(n *Node) { n.buffers.heads.available.Store(memory) })
	lines := slices.Repeat([]string{"X-A: b"}, 200)
	partial := requestText("safe", "partial", "", lines...)
	held := dialNode(t, n)
	write(t, held, partial[:len(partial)-2])
	eventually(t, "the half head takes memory", func() bool { return n.buffers.heads.available.Load() < memory })
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"another long head": {requestText("safe", "long", "", lines...), http.StatusServiceUnavailable},
		"a usual head":      {requestText("safe", "usual", ""), http.StatusOK},
	} {
		c := dialNode(t, n)
		write(t, c, tc.text)
		if status := readStatusFrom(bufio.NewReader(c)); status != tc.status {
			t.Errorf("%s got status %d, want %d", name, status, tc.status)
		}
	}
	write(t, held, "\r\n")
	if status := readStatusFrom(bufio.NewReader(held)); status != http.StatusOK {
		t.Errorf("the request whose head took memory got status %d, want 200", status)
	}
	eventually(t, "all memory is released", func() bool { return n.buffers.heads.available.Load() == memory })
}

// Guards against shares that add up to more than the memory limit: connections, heads and bodies at their limits must
// leave room for the runtime, whatever the limits of the node, also while two processes share them.
func TestSharesFitIntoTheMemoryLimit(t *testing.T) {
	const largestShare = 2.0 / 3
	for _, memoryMB := range []int{32, 64, 192, 2048} {
		for _, sockets := range []int{256, 1024, 4096} {
			for processes := 1; processes <= 2; processes++ {
				cfg := Config{MemoryMB: memoryMB, Sockets: sockets}
				connections := cfg.connectionLimits(processes)
				b := newBuffers(memoryMB, connections.clients)
				b.rescale(1, processes)
				total := connections.clients*clientConnectionMemory + connections.servers*serverConnectionMemory +
					int(b.heads.available.Load()+b.requests.available.Load()+b.responses.available.Load())
				limit := float64(memoryMB<<20) / float64(processes)
				if float64(total) > largestShare*limit {
					t.Errorf("%d MB, %d descriptors, %d processes: %d bytes in all, want at most %.0f",
						memoryMB, sockets, processes, total, largestShare*limit)
				}
				if required := sockets / 3 / processes; sockets <= 1024 && connections.clients < required {
					t.Errorf("%d MB, %d descriptors, %d processes: %d connections to clients, want at least %d",
						memoryMB, sockets, processes, connections.clients, required)
				}
			}
		}
	}
}

// Guards against memory for a body that stays reserved when the request is refused because it has waited too long to be
// read: in the end no memory would be left for any body.
func TestBodyOfLateRequestIsReleased(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	available := n.buffers.requests.available.Load()
	for i := range 20 {
		c := dialNode(t, n)
		text := requestText("unsafe", strconv.Itoa(i), "payload")
		text = strings.Replace(text, "X-Budget: 30000m", "X-Budget: 1u", 1)
		write(t, c, text[:len(text)-1])
		time.Sleep(2 * time.Millisecond)
		write(t, c, text[len(text)-1:])
		if status := readStatusFrom(bufio.NewReader(c)); status != http.StatusServiceUnavailable {
			t.Fatalf("a request whose time is over got status %d, want 503", status)
		}
	}
	if left := n.buffers.requests.available.Load(); left != available {
		t.Errorf("%d bytes of the memory for bodies are still reserved, want none", available-left)
	}
}
