package policy

import (
	"fmt"
	"testing"
	"time"
)

// Crossing zones has a price: a replica keeps to its own zone while that is as good as the others, spills over when
// it is slower, and comes back.
func TestLocalZoneFirstAndSpillsByLatency(t *testing.T) {
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
		t.Errorf("%.2f crossed though all zones are alike", got)
	}
	if got := crossedShare(60 * msec); got < 0.4 {
		t.Errorf("%.2f crossed though the own zone is slow", got)
	}
	crossedShare(20 * msec)
	if got := crossedShare(20 * msec); got > 0.1 {
		t.Errorf("%.2f crossed after the own zone came back", got)
	}
}

// Where more preferred endpoints are unhealthy than may be excluded, their share leaves at least.
func TestSpilloverOfUnhealthyEndpoints(t *testing.T) {
	spill := spillover{share: 0.1}
	for _, c := range []struct {
		unhealthy, preferred int
		want                 float64
	}{{0, 10, 0.1}, {2, 10, 0.1}, {3, 10, 0.3}, {1, 1, 1}} {
		if got := spill.current(c.unhealthy, c.preferred); got != c.want {
			t.Errorf("%d of %d unhealthy: %v leave, want %v", c.unhealthy, c.preferred, got, c.want)
		}
	}
}
