package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A client that leaves in the moment of its answer leaves nothing behind: neither memory that is counted as held nor
// an answer whose rest somebody waits for. The handler may see either first, so that a hundred show both.
func TestClientLeavesAsItsAnswerComes(t *testing.T) {
	arrivals, gone := make(chan *call), make(chan *call)
	h := &callers{clock: newClock(), arrivals: arrivals, gone: gone, stopped: make(chan struct{}), stats: newStats(nil),
		buffers: newBuffers(64, 8), methods: map[string]string{"safe": http.MethodGet},
		ready: func() bool { return true }, closing: func() bool { return false }}
	whole := h.buffers.answers.left.Load()
	for range 100 {
		ctx, leave := context.WithCancel(context.Background())
		r := httptest.NewRequest(http.MethodGet, "/api", nil).WithContext(ctx)
		r.Header.Set("X-Call-Id", "1")
		r.Header.Set("X-Call-Class", "safe")
		r.Header.Set("X-Budget", "1000m")
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			defer func() { recover() }() // it may end the connection
			h.ServeHTTP(httptest.NewRecorder(), r)
		}()
		c := <-arrivals
		leave()
		c.reply <- answer{status: http.StatusBadGateway, held: h.buffers.answers.take(100)}
		select {
		case <-gone:
			<-ended
		case <-ended:
		}
		if left := h.buffers.answers.left.Load(); left != whole {
			t.Fatalf("%d bytes are held for nobody", whole-left)
		}
	}
}
