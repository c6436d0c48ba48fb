package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A list may come in many lines, and the watch that brought it goes on.
func TestListInManyLines(t *testing.T) {
	a, addr := newAgent(t, snapshotLine)
	_, events := watchOn(t, addr, "pushed", time.Minute)
	wantCall(t, a, "watch 1")
	for seq := range 2 {
		for _, l := range []string{"{", fmt.Sprintf(`  "seq": %d,`, 60+seq), `  "whole": false,`, `  "hosts": [`, `    {"host": "s-9",`,
			`     "health": "terminating"}`, "  ]", "}", ""} {
			a.lines <- l
		}
		if n := <-events; n.list.Version != int64(60+seq) || len(n.list.Endpoints) != 1 {
			t.Fatalf("got %+v", n)
		}
	}
	if len(a.calls) > 0 {
		t.Errorf("the node asked again: %s", <-a.calls)
	}
}

// A list that breaks off, and a trickle without an end, are no sign of life; nor is a mute answer. The watch is
// opened anew from the version held.
func TestBrokenWatchesAreReplaced(t *testing.T) {
	for name, text := range map[string]string{"mute": "", "trickle": " ", "torn": "{\n", "torn later": "{\"seq\":44,\n"} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 100)
			addr := newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				for r.Context().Err() == nil {
					io.WriteString(w, text)
					w.(http.Flusher).Flush()
					if text != " " {
						<-r.Context().Done()
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			watchOn(t, addr, "pushed", 50*time.Millisecond)
			for range 2 {
				if got := <-calls; got != "watch=1&from=1" {
					t.Fatalf("asked for %q", got)
				}
			}
		})
	}
}

// oversleep is what a stop of the process for so long does to a watchdog.
func (w *stalenessMonitor) oversleep(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start = w.start.Add(-d)
	w.timer.Reset(0)
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// After a stop the node is behind until all that waited is read. A watch with nothing to read is cut then, not before.
func TestStalenessMonitorAfterSuspension(t *testing.T) {
	cuts := make(chan error, 1)
	w := newStalenessMonitor(time.Minute, false)
	w.watchStarted(func(why error) { cuts <- why })
	if w.lineReceived(); w.holdSends() {
		t.Fatal("held while all is well")
	}
	w.oversleep(2 * time.Minute)
	if !w.holdSends() {
		t.Fatal("not held after the stop")
	}
	until(t, "the watchdog wakes", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.suspended })
	if w.lineReceived(); !w.holdSends() {
		t.Error("not held while more may be waiting")
	}
	until(t, "all is read", func() bool { return !w.holdSends() })
	if w.stale() {
		t.Error("let go by the limit, not for what was read")
	}
	w.oversleep(2 * time.Minute)
	if why := <-cuts; !errors.Is(why, errSilent) || w.stale() {
		t.Errorf("cut for %v, behind %v", why, w.stale())
	}
}

// News that waited while the process was stopped goes ahead of the requests that did.
func TestEndpointUpdatesComeFirstAfterSuspension(t *testing.T) {
	a, addr := newAgent(t, snapshotLine)
	first, second := newBackend(t, ok), newBackend(t, ok)
	cfg := testConfig(t, "pushed", inService("s-1", first.addr()), inService("s-2", second.addr()))
	cfg.Discovery = addr
	n := start(t, cfg)
	a.lines <- ""
	until(t, "the line is received", func() bool {
		n.discovery.staleness.mu.Lock()
		defer n.discovery.staleness.mu.Unlock()
		return n.discovery.staleness.readSinceResume
	})
	n.discovery.staleness.oversleep(time.Minute)
	time.AfterFunc(resumeQuietPeriod/5, func() {
		a.lines <- `{"seq":2,"hosts":[{"host":"s-2","dial":"` + second.addr() + `","site":"z","health":"terminating"}]}`
	})
	for i := range 10 {
		if status, _, _ := do(t, newRequest(t, n.url, "keyed", fmt.Sprint(i), "x")); status != http.StatusOK {
			t.Fatalf("request %d was answered %d", i, status)
		}
	}
	if got := second.requests(); got > 0 {
		t.Errorf("the draining server got %d of 10", got)
	}
}
