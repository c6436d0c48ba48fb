package testbed

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	latenessInterval = 10 * time.Millisecond
	voidLateness     = 25 * time.Millisecond // half of the rules' slack: a testbed this late proves nothing
)

// readinessClient asks nodes whether they are ready.
var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// lateness watches how late this process itself is: a timer every 10 ms, and the arrivals as they are sent.
type lateness struct {
	mu    sync.Mutex
	worst map[int64]time.Duration // by second
}

// run measures until the testbed closes.
func (x *lateness) run(tb *Testbed) {
	x.worst = map[int64]time.Duration{}
	tb.goOwned(func() {
		tick := time.NewTicker(latenessInterval)
		defer tick.Stop()
		last := tb.now()
		for {
			select {
			case <-tick.C:
			case <-tb.done:
				return
			}
			now := tb.now()
			x.note(now, now-last-latenessInterval)
			last = now
		}
	})
}

// note records that something was late by d at a time.
func (x *lateness) note(at, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := int64(at / time.Second); d > x.worst[s] {
		x.worst[s] = d
	}
}

// Lateness is the worst lateness of the testbed itself from one time to another, by whole seconds around them.
func (tb *Testbed) Lateness(from, to time.Duration) (worst time.Duration) {
	x := &tb.lateness
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := int64(from / time.Second); s <= int64(to/time.Second); s++ {
		worst = max(worst, x.worst[s])
	}
	return worst
}

// Void reports that the testbed was too late from one time to another to hold anything against a node.
func (tb *Testbed) Void(from, to time.Duration) bool { return tb.Lateness(from, to) > voidLateness }

// Findings returns what broke a rule. Those in a time when the testbed itself was too late, or held up the node by its
// tracer, are marked void; the counts are of the others.
func (tb *Testbed) Findings() (found []Finding, counts map[Rule]int) {
	found, _ = tb.checker.Findings()
	counts = map[Rule]int{}
	for i, f := range found {
		if f.Rule != Crash && (tb.Void(f.At-2*time.Second, f.At) || tb.heldUpByTracer(f.Node, f.At)) {
			found[i].Void = true
			continue
		}
		counts[f.Rule]++
	}
	return found, counts
}
