package policy

import (
	"testing"
	"time"
)

// Guards against a wrong count of avoided endpoints, which get no requests: draining ones, unhealthy ones up to the
// share that may be excluded, and those that have rejected an attempt and have as many in flight as they had then.
func TestEndpointCountsOfAvoidedEndpoints(t *testing.T) {
	b, err := New(Settings{
		Classes: []Class{{
			Name:             "a",
			Idempotency:      Idempotent,
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
		}},
		MaxAttempts:     1,
		TimerResolution: time.Millisecond,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list EndpointUpdate
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: id})
	}
	list.Snapshot = true
	list.Endpoints[10].State = Draining
	b.Handle(0, list)
	b.Handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: "removed", State: Removed}}})
	want := func(what string, listed, avoided int) {
		t.Helper()
		if l, a := b.EndpointCounts(b.now); l != listed || a != avoided {
			t.Errorf("%s: %d listed and %d avoided, want %d and %d", what, l, a, listed, avoided)
		}
	}
	want("one endpoint is draining", 11, 1)
	for _, id := range []string{"a", "b", "c"} {
		b.endpoints[id].outlier.ejectedUntil = time.Minute
	}
	want("one is draining, and two of the three unhealthy ones of ten may be excluded", 11, 3)
	b.endpoints["d"].rejection.inFlight, b.endpoints["d"].rejection.until = 0, time.Minute
	want("one endpoint rejects all attempts", 11, 4)
	b.EndpointCounts(2 * time.Minute) // advances the clock
	want("ejections and rejections are over", 11, 1)
}
