package node

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A list may span several lines, and the watch continues after it.
func TestListInManyLines(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	_, events := startDiscovery(t, addr, "pushed", time.Minute)
	wantRequest(t, a, "watch 1")
	for seq := range 2 {
		for _, l := range []string{
			"{",
			fmt.Sprintf(`  "seq": %d,`, 60+seq),
			`  "whole": false,`,
			`  "hosts": [`,
			`    {"host": "s-9",`,
			`     "health": "terminating"}`,
			"  ]",
			"}",
			"",
		} {
			a.lines <- l
		}
		if n := <-events; n.list.Version != int64(60+seq) || len(n.list.Endpoints) != 1 {
			t.Fatalf("delivered %+v, want one endpoint in the next version", n)
		}
	}
	if len(a.requests) > 0 {
		t.Errorf("the node sent another request: %s", <-a.requests)
	}
}

// Guards against a change that is never taken because its list comes slowly: a list that takes longer than the wait for
// its next line is delivered from the first watch, and one that never ends is not waited for.
func TestSlowListIsTaken(t *testing.T) {
	for name, tc := range map[string]struct {
		lines   int // of spaces, before the end of the list
		watches int
	}{"ends": {15, 1}, "endless": {1000, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls := make(chan string, 100)
			addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				writeFlushed(w, "{\"seq\":44,\"whole\":false,\n")
				for i := 0; i < tc.lines && r.Context().Err() == nil; i++ {
					time.Sleep(60 * time.Millisecond)
					writeFlushed(w, " \n")
				}
				writeFlushed(w, "\"hosts\":[]}\n")
				<-r.Context().Done()
			})
			_, events := startDiscovery(t, addr, "pushed", watchSilenceTimeout)
			if tc.watches == 1 {
				select {
				case event := <-events:
					if event.list.Version != 44 {
						t.Errorf("delivered %+v, want version 44", event)
					}
				case <-time.After(5 * time.Second):
					t.Error("the list was not delivered within 5s")
				}
			} else {
				time.Sleep(listTimeout + 500*time.Millisecond)
			}
			if got := len(calls); got < tc.watches || tc.watches == 1 && got > 1 {
				t.Errorf("%d watches were opened, want %d", got, tc.watches)
			}
		})
	}
}

// Guards against keeping a watch without progress: silence, a trickle of bytes without the end of a line, and a list
// that stops before its end. Each such watch is replaced by one from the version of the last delivered list.
func TestBrokenWatchesAreReplaced(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "trickle": " ", "incomplete": "{\n", "incomplete later": "{\"seq\":44,\n"} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 100)
			addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				for r.Context().Err() == nil {
					writeFlushed(w, text)
					if text != " " {
						<-r.Context().Done()
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			startDiscovery(t, addr, "pushed", 50*time.Millisecond)
			for range 2 {
				if got := <-calls; got != "watch=1&from=1" {
					t.Fatalf("the node requested %q, want a watch from version 1", got)
				}
			}
		})
	}
}

// suspend puts the monitor in the state that it has after the process was suspended for the duration.
func (m *stalenessMonitor) suspend(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start = m.start.Add(-duration)
	m.timer.Reset(0)
}

// waitFor waits for a condition that is met in the background.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 10 s: ", what)
		}
	}
}

// After a suspension of the process, the list is stale and sends are held until all buffered updates have been read.
// After another suspension, a watch on which no line was buffered is canceled, and the list is no longer stale.
func TestStalenessMonitorAfterSuspension(t *testing.T) {
	canceled := make(chan error, 1)
	m := newStalenessMonitor(time.Minute, false)
	m.watchStarted(func(cause error) { canceled <- cause })
	if m.lineReceived(); m.holdSends() {
		t.Fatal("sends are held before any suspension")
	}
	m.suspend(2 * time.Minute)
	if !m.holdSends() {
		t.Fatal("sends are not held after the suspension")
	}
	waitFor(t, "the suspension is detected", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.suspended
	})
	if m.lineReceived(); !m.holdSends() {
		t.Error("sends are not held while more updates may be buffered")
	}
	waitFor(t, "all buffered updates are read", func() bool { return !m.holdSends() })
	if m.stale() {
		t.Error("the hold ended by its time limit, want by reading all updates")
	}
	m.suspend(2 * time.Minute)
	if cause := <-canceled; !errors.Is(cause, errSilent) || m.stale() {
		t.Errorf("canceled for %v, stale: %v; want for silence, and not stale", cause, m.stale())
	}
}

// Guards against sending requests by an outdated list after a suspension of the process: updates buffered during it are
// handled before the requests that arrived.
func TestEndpointUpdatesComeFirstAfterSuspension(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	first, second := newBackend(t, serveOK), newBackend(t, serveOK)
	cfg := testConfig(t, "pushed", inService("s-1", first.addr()), inService("s-2", second.addr()))
	cfg.Discovery = addr
	n := start(t, cfg)
	a.lines <- ""
	waitFor(t, "the line is received", func() bool {
		n.discovery.staleness.mu.Lock()
		defer n.discovery.staleness.mu.Unlock()
		return n.discovery.staleness.readSinceResume
	})
	n.discovery.staleness.suspend(time.Minute)
	time.AfterFunc(resumeQuietPeriod/5, func() {
		a.lines <- `{"seq":2,"hosts":[{"host":"s-2","dial":"` + second.addr() + `","site":"z","health":"terminating"}]}`
	})
	for i := range 10 {
		if status, _, _ := do(t, newRequest(t, n.url, "keyed", fmt.Sprint(i), "x")); status != http.StatusOK {
			t.Fatalf("request %d got status %d, want 200", i, status)
		}
	}
	if got := second.requests(); got > 0 {
		t.Errorf("the draining server got %d of 10 requests, want none", got)
	}
}
