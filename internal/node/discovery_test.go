package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// fakeDiscovery is a discovery that a test controls.
type fakeDiscovery struct {
	requests chan string   // those received: "watch FROM" or "list"
	lines    chan string   // the lines to be written to the current watch
	end      chan struct{} // ends the current watch
}

// newFakeDiscovery starts a discovery whose snapshot is snapshotLine, and returns it with its address.
func newFakeDiscovery(t *testing.T) (*fakeDiscovery, string) {
	t.Helper()
	a := &fakeDiscovery{requests: make(chan string, 100), lines: make(chan string), end: make(chan struct{})}
	return a, newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			a.requests <- "list"
			writeFlushed(w, snapshotLine+"\n")
			return
		}
		a.requests <- "watch " + r.URL.Query().Get("from")
		w.(http.Flusher).Flush()
		for {
			select {
			case l := <-a.lines:
				writeFlushed(w, l+"\n")
			case <-a.end:
				return
			case <-r.Context().Done():
				return
			}
		}
	})
}

// startDiscovery runs a node's discovery client until the test ends, and returns it with the events that it delivers.
func startDiscovery(t *testing.T, addr, mode string, silence time.Duration) (*discovery, <-chan watchEvent) {
	cfg := testConfig(t, mode)
	cfg.Discovery = addr
	events := make(chan watchEvent)
	d := newDiscovery(cfg, newClock(), discardLogger(), func(ctx context.Context, n watchEvent) error {
		select {
		case events <- n:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	d.staleness.silenceTimeout = silence
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d, events
}

// wantRequest waits for the next request to a discovery and compares it.
func wantRequest(t *testing.T, a *fakeDiscovery, want string) {
	t.Helper()
	if got := <-a.requests; got != want {
		t.Fatalf("discovery got the request %q, want %q", got, want)
	}
}

const snapshotLine = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

// A watch delivers each list. When the watch ends, the next one continues from the version of the last list.
func TestWatchFollowsAndReconnects(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	_, events := startDiscovery(t, addr, "pushed", time.Minute)
	wantRequest(t, a, "watch 1")
	a.lines <- `{"seq":43,"whole":false,"hosts":[]}`
	if n := <-events; n.list.Version != 43 || n.pollFailed {
		t.Fatalf("delivered %+v, want the list of version 43", n)
	}
	a.lines <- ""
	a.end <- struct{}{}
	wantRequest(t, a, "watch 43")
}

// After a list that is invalid or has a lower version than the last one, the node fetches a snapshot and continues from
// its version.
func TestSnapshotAfterInvalidLine(t *testing.T) {
	for name, line := range map[string]string{
		"invalid JSON":  `{"seq":44,}`,
		"lower version": `{"seq":0,"whole":false,"hosts":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			a, addr := newFakeDiscovery(t)
			_, events := startDiscovery(t, addr, "pushed", time.Minute)
			wantRequest(t, a, "watch 1")
			a.lines <- line
			wantRequest(t, a, "list")
			if n := <-events; n.list.Version != 50 || !n.list.Snapshot || len(n.list.Endpoints) != 1 {
				t.Fatalf("delivered %+v, want the snapshot of version 50 with 1 endpoint", n)
			}
			wantRequest(t, a, "watch 50")
		})
	}
}

// A response that is truncated anywhere, of a watch or of a snapshot, does not change the endpoint list of the node.
func TestTruncatedResponsesChangeNoList(t *testing.T) {
	const line = `{"seq":60,"whole":true,"hosts":[{"host":"s-7","dial":"127.0.0.1:9","health":"terminated"}]}`
	for _, rest := range []string{line, `{}`, `null`, `{"seq":60,"whole":true}`} {
		for cut := 0; cut < len(rest); cut += 7 {
			text := rest[:len(rest)-cut]
			if text == line {
				text = text[:len(text)-1]
			}
			calls := make(chan string, 100)
			addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				w.Header().Set("Content-Length", "1000")
				writeFlushed(w, text)
				panic(http.ErrAbortHandler)
			})
			_, events := startDiscovery(t, addr, "pushed", time.Minute)
			for range 3 { // the watch, the snapshot, the next watch
				select {
				case n := <-events:
					t.Fatalf("delivered %+v after the truncated response %q, want nothing", n, text)
				case <-calls:
				}
			}
		}
	}
}

// Guards against waiting forever for a discovery whose machine is cut off from the network: the connection stays open,
// and only the missing lines reveal it.
func TestSilentWatchIsReplaced(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	startDiscovery(t, addr, "pushed", 20*time.Millisecond)
	wantRequest(t, a, "watch 1")
	wantRequest(t, a, "watch 1")
}

// A poll that discovery never answers is canceled, and the policy is notified so that it can poll again.
func TestSilentPollIsCanceled(t *testing.T) {
	addr := newDiscoveryServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d, events := startDiscovery(t, addr, "on_request", 20*time.Millisecond)
	d.requestWatch()
	select {
	case n := <-events:
		if !n.pollFailed {
			t.Errorf("delivered %+v, want a failed poll", n)
		}
	case <-time.After(5 * time.Second):
		t.Error("the poll was not canceled within 5 s")
	}
}

// When the address of discovery changes, the node continues at the new address without a pause, from the version of the
// last delivered list. A list that the event loop has not taken yet does not count as delivered.
func TestWatchContinuesAtNewAddress(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			a, addr := newFakeDiscovery(t)
			b, moved := newFakeDiscovery(t)
			d, events := startDiscovery(t, addr, mode, time.Minute)
			d.requestWatch()
			wantRequest(t, a, "watch 1")
			a.lines <- `{"seq":43,"whole":false,"hosts":[]}`
			if n := <-events; n.list.Version != 43 {
				t.Fatalf("delivered %+v, want the list of version 43", n)
			}
			a.lines <- `{"seq":44,"whole":false,"hosts":[]}` // which the event loop does not take
			d.moveTo(moved)
			wantRequest(t, b, "watch 43")
			b.lines <- `{"seq":44,"whole":false,"hosts":[]}`
			if n := <-events; n.list.Version != 44 || n.pollFailed {
				t.Fatalf("delivered %+v, want the list of version 44", n)
			}
		})
	}
}

// In poll mode the node polls only when the policy requests a poll, and notifies the policy of failed polls.
func TestPollMode(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	d, events := startDiscovery(t, addr, "on_request", time.Minute)
	for range 2 {
		d.requestWatch()
		wantRequest(t, a, "watch 1")
		a.end <- struct{}{}
		if n := <-events; !n.pollFailed {
			t.Fatalf("delivered %+v, want a failed poll", n)
		}
	}
	if len(a.requests) != 0 {
		t.Error("the node polled without a request of the policy")
	}
}

// If the first polls fail, the policy polls again until the node gets its list.
func TestPolicyPollsAgain(t *testing.T) {
	b := newBackend(t, serveOK)
	calls := make(chan struct{}, 100)
	addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if len(calls) < 3 {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		const list = `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"z","health":"in_service"}]}` + "\n"
		writeFlushed(w, fmt.Sprintf(list, b.addr()))
		<-r.Context().Done()
	})
	cfg := testConfig(t, "on_request")
	cfg.Discovery = addr
	n := start(t, cfg) // returns once the node is ready, which requires the list
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("the request got status %d, want 200", status)
	}
}

// A change must reach the node at most 6 s after discovery has it, if discovery can be reached, whatever poll interval
// the settings allow. Polls that are rejected, reset, or canceled because no line arrives must have been repeated by
// then.
func TestNotifiedWithinSixSecondsOfFailedPolls(t *testing.T) {
	reject := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "busy", http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, fails := range map[string][]http.HandlerFunc{
		"rejected": {reject, reject, reject}, "reset": {reset, reset, reset},
		"canceled": {hang}, "rejected and canceled": {reject, hang},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, serveOK)
			const list = `{"seq":%d,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"z","health":%q}]}` + "\n"
			var calls atomic.Int64
			var drained, notified time.Time // when discovery gets the change, and when it has written it
			known := make(chan struct{})
			addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				switch n := int(calls.Add(1)); {
				case n == 1:
					writeFlushed(w, fmt.Sprintf(list, 2, b.addr(), "in_service"))
					drained = time.Now()
				case n < len(fails)+2:
					fails[n-2](w, r)
				default:
					writeFlushed(w, fmt.Sprintf(list, 3, b.addr(), "terminating"))
					if notified.IsZero() {
						notified = time.Now()
						close(known)
					}
					<-r.Context().Done()
				}
			})
			cfg := testConfig(t, "on_request", inService("s-1", b.addr()))
			cfg.Settings.MaxPollInterval, cfg.Discovery = 10*time.Minute, addr
			n := start(t, cfg)
			<-known
			eventually(t, "the node applies the change", func() bool { return !n.loop.hasReadyEndpoint.Load() })
			if took := notified.Sub(drained); took > 6*time.Second {
				t.Errorf("the node was notified of the change after %v, want at most 6 s", took)
			}
			r := newRequest(t, n.url, "unsafe", "1", "x")
			r.Header.Set("X-Budget", "400m")
			if status, _, _ := do(t, r); status == http.StatusOK || b.requests() > 0 {
				t.Errorf("the draining server got %d requests, want none; the client got status %d", b.requests(), status)
			}
		})
	}
}
