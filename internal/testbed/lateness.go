package testbed

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	latenessInterval = 10 * time.Millisecond
	voidLateness     = 25 * time.Millisecond // half of the slack of the rules; beyond it a finding proves nothing
)

// nodeHTTPClient is the HTTP client for the readiness and admin endpoints of nodes.
var nodeHTTPClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// lateness records the scheduling delay of this process, measured with a timer every 10 ms and by how late arrivals are
// sent.
type lateness struct {
	mu    sync.Mutex
	worst map[int64]time.Duration // by second of the test bed's clock
}

// run starts measuring with a timer until the test bed closes.
func (x *lateness) run(tb *Testbed) {
	x.worst = map[int64]time.Duration{}
	tb.startGoroutine(func() {
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
			x.record(now, now-last-latenessInterval)
			last = now
		}
	})
}

// record records that something at a time was late by d.
func (x *lateness) record(at, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := int64(at / time.Second); d > x.worst[s] {
		x.worst[s] = d
	}
}

// Lateness returns the worst lateness of the test bed itself between two times, rounded outwards to whole seconds.
func (tb *Testbed) Lateness(from, to time.Duration) (worst time.Duration) {
	x := &tb.lateness
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := int64(from / time.Second); s <= int64(to/time.Second); s++ {
		worst = max(worst, x.worst[s])
	}
	return worst
}

// Void reports whether the test bed itself was so late between two times that findings prove nothing about a node.
func (tb *Testbed) Void(from, to time.Duration) bool { return tb.Lateness(from, to) > voidLateness }

// Findings returns the findings, and the count by rule of those that are not void. A finding is void if the test bed
// itself was too late in the 2 s before it, or if the tracer of its node waited too long for a processor. A crash is
// never void.
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
