package node

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A list may come in many lines, and the watch that brought it goes on.
func TestListInManyLines(t *testing.T) {
	a, addr := newAgent(t)
	_, events := watchOn(t, addr, "pushed", time.Minute)
	wantCall(t, a, "watch 1")
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
			t.Fatalf("got %+v", n)
		}
	}
	if len(a.calls) > 0 {
		t.Errorf("the node asked again: %s", <-a.calls)
	}
}

// A list that breaks off, a trickle of bytes without a line's end, and silence are no signs of life. The watch is
// opened anew from the version held.
func TestBrokenWatchesAreReplaced(t *testing.T) {
	for name, text := range map[string]string{"mute": "", "trickle": " ", "torn": "{\n", "torn later": "{\"seq\":44,\n"} {
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
			watchOn(t, addr, "pushed", 50*time.Millisecond)
			for range 2 {
				if got := <-calls; got != "watch=1&from=1" {
					t.Fatalf("asked for %q", got)
				}
			}
		})
	}
}

// suspend does to a monitor what a suspension of the process for so long does.
func (m *stalenessMonitor) suspend(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start = m.start.Add(-duration)
	m.timer.Reset(0)
}

// until waits for what happens in the background.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// After a suspension the list is stale until all that was buffered is read. A watch with nothing to read is canceled
// then, not before.
func TestStalenessMonitorAfterSuspension(t *testing.T) {
	canceled := make(chan error, 1)
	m := newStalenessMonitor(time.Minute, false)
	m.watchStarted(func(cause error) { canceled <- cause })
	if m.lineReceived(); m.holdSends() {
		t.Fatal("sends are held while all is well")
	}
	m.suspend(2 * time.Minute)
	if !m.holdSends() {
		t.Fatal("sends are not held after the suspension")
	}
	until(t, "the suspension is detected", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.suspended
	})
	if m.lineReceived(); !m.holdSends() {
		t.Error("sends are not held while more may be buffered")
	}
	until(t, "all is read", func() bool { return !m.holdSends() })
	if m.stale() {
		t.Error("the hold ended by its limit, not because all was read")
	}
	m.suspend(2 * time.Minute)
	if cause := <-canceled; !errors.Is(cause, errSilent) || m.stale() {
		t.Errorf("canceled for %v, stale %v", cause, m.stale())
	}
}

// Updates that were buffered while the process was suspended are handled before the requests that were.
func TestEndpointUpdatesComeFirstAfterSuspension(t *testing.T) {
	a, addr := newAgent(t)
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
	n.discovery.staleness.suspend(time.Minute)
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
