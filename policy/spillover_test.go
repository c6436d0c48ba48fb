package policy

import (
	"fmt"
	"testing"
	"time"
)

// Traffic between zones is costly, so a replica uses its own zone while that is as fast as the others. If it did not
// spill over when its zone is slower, its requests would be late; if it did not return to its zone afterwards, the cost
// would stay.
func TestLocalZoneIsPreferredUnlessSlower(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Zone = "y" })
	list := testEndpoints(12)
	for i := range list {
		list[i].Zone = []string{"y", "z", "x"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	n := 0
	crossedShare := func(localLatency time.Duration) float64 {
		crossed, all := 0, 0
		for range 1200 {
			n++
			now, id := b.now+20*msec, fmt.Sprint(n)
			for _, s := range sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				latency := 20 * msec
				if b.endpoints[s.Endpoint].Zone == "y" {
					latency = localLatency
				} else {
					crossed++
				}
				all++
				endAttempt(b, now+latency, id, s, Success)
			}
		}
		return float64(crossed) / float64(all)
	}
	if got := crossedShare(20 * msec); got > 0.1 {
		t.Errorf("all zones equally fast: share %.2f sent to other zones, want 0.1 at most", got)
	}
	if got := crossedShare(60 * msec); got < 0.4 {
		t.Errorf("the own zone is slower: share %.2f sent to other zones, want 0.4 at least", got)
	}
	crossedShare(20 * msec)
	if got := crossedShare(20 * msec); got > 0.1 {
		t.Errorf("the own zone is as fast as before: share %.2f sent to other zones, want 0.1 at most", got)
	}
}

// If more preferred endpoints are unhealthy than may be excluded, some of the unhealthy ones are drawn. So at least the
// share that is unhealthy must spill over.
func TestSpilloverOfUnhealthyEndpoints(t *testing.T) {
	spill := spillover{share: 0.1}
	for _, c := range []struct {
		unhealthy, preferred int
		want                 float64
	}{{0, 10, 0.1}, {2, 10, 0.1}, {3, 10, 0.3}, {1, 1, 1}} {
		if got := spill.current(c.unhealthy, c.preferred); got != c.want {
			t.Errorf("%d of %d unhealthy: spillover %v, want %v", c.unhealthy, c.preferred, got, c.want)
		}
	}
}
