package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// agent is a discovery that answers from a script.
type agent struct {
	calls chan string // "watch FROM" or "list"
	lines chan string // written to the watch as they come
	end   chan struct{}
}

// newAgent returns a scripted discovery, whose snapshot is snapshotLine, and its address.
func newAgent(t *testing.T) (*agent, string) {
	t.Helper()
	a := &agent{calls: make(chan string, 100), lines: make(chan string), end: make(chan struct{})}
	return a, newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			a.calls <- "list"
			writeFlushed(w, snapshotLine+"\n")
			return
		}
		a.calls <- "watch " + r.URL.Query().Get("from")
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

// watchOn runs a discovery until the test ends, and returns what it delivers.
func watchOn(t *testing.T, addr, mode string, silence time.Duration) (*discovery, <-chan watchEvent) {
	cfg := testConfig(t, mode)
	cfg.Discovery = addr
	events := make(chan watchEvent)
	d := newDiscovery(cfg, newClock(), quiet(), func(ctx context.Context, n watchEvent) error {
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

func wantCall(t *testing.T, a *agent, want string) {
	t.Helper()
	if got := <-a.calls; got != want {
		t.Fatalf("discovery was asked for %q, want %q", got, want)
	}
}

const snapshotLine = `{"seq":50,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:9","health":"in_service"}]}`

func TestWatchFollowsAndReconnects(t *testing.T) {
	a, addr := newAgent(t)
	_, events := watchOn(t, addr, "pushed", time.Minute)
	wantCall(t, a, "watch 1")
	a.lines <- `{"seq":43,"whole":false,"hosts":[]}`
	if n := <-events; n.list.Version != 43 || n.pollFailed {
		t.Fatalf("got %+v", n)
	}
	a.lines <- ""
	a.end <- struct{}{}
	wantCall(t, a, "watch 43")
}

// After a line that is invalid, or whose version is lower, the node fetches a snapshot.
func TestSnapshotAfterInvalidLine(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable": `{"seq":44,}`,
		"gone back":  `{"seq":0,"whole":false,"hosts":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			a, addr := newAgent(t)
			_, events := watchOn(t, addr, "pushed", time.Minute)
			wantCall(t, a, "watch 1")
			a.lines <- line
			wantCall(t, a, "list")
			if n := <-events; n.list.Version != 50 || !n.list.Snapshot || len(n.list.Endpoints) != 1 {
				t.Fatalf("got %+v", n)
			}
			wantCall(t, a, "watch 50")
		})
	}
}

// A response that is truncated anywhere, in a watch or in a snapshot, changes nothing that the node holds.
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
			_, events := watchOn(t, addr, "pushed", time.Minute)
			for range 3 { // the watch, the snapshot, the next watch
				select {
				case n := <-events:
					t.Fatalf("got %+v after %q", n, text)
				case <-calls:
				}
			}
		}
	}
}

// A machine that is cut off leaves its connection open: only the missing lines show it.
func TestSilentWatchIsReplaced(t *testing.T) {
	a, addr := newAgent(t)
	watchOn(t, addr, "pushed", 20*time.Millisecond)
	wantCall(t, a, "watch 1")
	wantCall(t, a, "watch 1")
}

// A poll that discovery never answers is canceled; the policy is notified and polls again.
func TestSilentPollIsCanceled(t *testing.T) {
	addr := newDiscoveryServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d, events := watchOn(t, addr, "on_request", 20*time.Millisecond)
	d.requestWatch()
	select {
	case n := <-events:
		if !n.pollFailed {
			t.Errorf("got %+v", n)
		}
	case <-time.After(5 * time.Second):
		t.Error("still waiting after 5 s")
	}
}

// When the address of discovery changes, a node continues there at once, from the version held, also if the event
// loop has not taken the last update yet.
func TestWatchMoves(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			a, addr := newAgent(t)
			b, moved := newAgent(t)
			d, events := watchOn(t, addr, mode, time.Minute)
			d.requestWatch()
			wantCall(t, a, "watch 1")
			a.lines <- `{"seq":43,"whole":false,"hosts":[]}`
			if n := <-events; n.list.Version != 43 {
				t.Fatalf("got %+v", n)
			}
			a.lines <- `{"seq":44,"whole":false,"hosts":[]}` // and nobody takes it
			d.moveTo(moved)
			wantCall(t, b, "watch 43")
			b.lines <- `{"seq":44,"whole":false,"hosts":[]}`
			if n := <-events; n.list.Version != 44 || n.pollFailed {
				t.Fatalf("got %+v", n)
			}
		})
	}
}

// Where lists are polled, the policy says when: the node polls only then, and notifies it of failures.
func TestPollMode(t *testing.T) {
	a, addr := newAgent(t)
	d, events := watchOn(t, addr, "on_request", time.Minute)
	for range 2 {
		d.requestWatch()
		wantCall(t, a, "watch 1")
		a.end <- struct{}{}
		if n := <-events; !n.pollFailed {
			t.Fatalf("got %+v", n)
		}
	}
	if len(a.calls) != 0 {
		t.Error("the node polled by itself")
	}
}

// Where polls fail at first, the policy polls again and the node gets its list.
func TestPolicyPollsAgain(t *testing.T) {
	b := newBackend(t, ok)
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
	n := start(t, cfg) // becomes ready only with the list
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A change counts as notified 6 s after discovery had it and could be reached, whatever poll interval the settings
// allow: polls that are rejected, reset, or canceled because nothing comes are repeated by then.
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
			b := newBackend(t, ok)
			const list = `{"seq":%d,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"z","health":%q}]}` + "\n"
			var calls atomic.Int64
			var drained, notified time.Time // discovery has the change, and has written it
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
			eventually(t, "the node has it", func() bool { return !n.loop.hasReadyEndpoint.Load() })
			if took := notified.Sub(drained); took > 6*time.Second {
				t.Errorf("the change was notified after %v", took)
			}
			r := newRequest(t, n.url, "unsafe", "1", "x")
			r.Header.Set("X-Budget", "400m")
			if status, _, _ := do(t, r); status == http.StatusOK || b.requests() > 0 {
				t.Errorf("a drained server got %d requests, the answer was %d", b.requests(), status)
			}
		})
	}
}
