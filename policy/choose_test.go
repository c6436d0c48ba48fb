package policy

import (
	"testing"
	"time"
)

// In overload every endpoint is missed: the more is shed, the fewer may be excluded for their health.
func TestSheddingExcludesFewerEndpoints(t *testing.T) {
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
			t.Errorf("shed %.1f: %d excluded, want %d", c.shed, excluded, c.want)
		}
	}
}

// Below the first tier an endpoint that holds several attempts is passed over while others idle.
func TestBusyEndpointIsPassedOver(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(6)})
	drawFromAll(b)
	b.endpoints["s00"].inFlight, b.subsets[0].inFlight = 2, 2
	got := sendTraffic(b, 300, "get", func(string) AttemptResult { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("draws: %v", got)
	}
}

// With no endpoint of its slice able to take a request, a replica draws from the rest of the list.
func TestSliceWithoutCapacityFallsBackToTheList(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(80)})
	own := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success })
	for id := range own {
		b.endpoints[id].rejection.until, b.endpoints[id].rejection.inFlight = time.Hour, 0
	}
	got := sendTraffic(b, 100, "get", func(string) AttemptResult { return Success })
	for id := range got {
		if own[id] > 0 {
			t.Errorf("%s was drawn though it has no capacity", id)
		}
	}
	if len(got) < 20 {
		t.Errorf("only %d endpoints of the rest were drawn", len(got))
	}
}
