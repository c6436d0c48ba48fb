package policy

import (
	"testing"
	"time"
)

// In overload, attempts time out at healthy endpoints too, and exclusions would make the overload of the remaining
// endpoints worse. So the more requests are shed, the fewer endpoints may be excluded as unhealthy.
func TestFewerEndpointsAreExcludedWhileShedding(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(20)})
		for _, ep := range b.subsets[0].ready[:10] {
			ep.outlier.ejectedUntil = time.Minute
		}
		b.subsets[0].shedRate = c.shed
		_, excluded := b.excludeUnhealthy(&request{class: b.classes.byName["get"]}, b.subsets[0].ready)
		if excluded != c.want {
			t.Errorf("shed rate %.1f: %d endpoints excluded, want %d", c.shed, excluded, c.want)
		}
	}
}

// Repeated draws of the same endpoint would overload it: below the first tier, where no concurrency limit
// applies, an endpoint with several attempts in flight is not drawn while others are idle.
func TestBusyEndpointIsNotDrawn(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(6)})
	drawFromAll(b)
	b.endpoints["s00"].inFlight, b.subsets[0].inFlight = 2, 2
	got := sendTraffic(b, 300, "get", func(string) AttemptResult { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("attempts by endpoint: %v, want none at s00 and some at each of the other five", got)
	}
}

// If a replica drew only from its slice, requests would fail while all endpoints of the slice reject them, though
// other endpoints have capacity.
func TestSliceWithoutCapacityFallsBackToCompleteList(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(80)})
	own := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success })
	for id := range own {
		b.endpoints[id].rejection.until, b.endpoints[id].rejection.inFlight = time.Hour, 0
	}
	got := sendTraffic(b, 100, "get", func(string) AttemptResult { return Success })
	for id := range got {
		if own[id] > 0 {
			t.Errorf("endpoint %s was drawn though its rejection limit is 0", id)
		}
	}
	if len(got) < 20 {
		t.Errorf("%d endpoints outside the slice were drawn, want at least 20", len(got))
	}
}
