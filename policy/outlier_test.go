package policy

import (
	"fmt"
	"testing"
	"time"
)

// An endpoint whose attempts fail at once has few of them in flight, so without ejection it would win most draws and
// fail a large share of the requests.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, result := range []AttemptResult{ServerError, ConnectFailed, ConnectionLost} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
		drawFromAll(b)
		got := sendTraffic(b, 600, "get", func(s string) AttemptResult {
			if s == "s03" {
				return result
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("result %d: the failing endpoint got %d of 300 first attempts, want 10 at most", result, got["s03"])
		}
	}
}

// A fifth of the endpoints may be excluded, which is less than one endpoint of four. Still, an endpoint that fails
// alone must be excluded, and part of its load must go to the other zone, since the only other endpoint of its own zone
// could not take it all. If all endpoints fail alike, none may be excluded.
func TestOneUnhealthyEndpointOfFew(t *testing.T) {
	few := func() *Balancer {
		b := newBalancer(t, func(s *Settings) { s.Zone = "a" })
		list := testEndpoints(4)
		for i := range list {
			list[i].Zone = []string{"a", "b"}[i%2]
		}
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		return b
	}
	got := sendTraffic(few(), 800, "get", func(s string) AttemptResult {
		if s == "s00" {
			return ServerError
		}
		return Success
	})
	if got["s00"] > 10 || got["s02"] > 280 || got["s01"]+got["s03"] < 120 {
		t.Errorf("first attempts by endpoint: %v, want hardly any at s00, and about half of its zone's at s01 and s03", got)
	}
	got = sendTraffic(few(), 800, "get", func(string) AttemptResult { return ServerError })
	if got["s00"] < 50 || got["s02"] < 50 {
		t.Errorf("all endpoints fail, first attempts by endpoint: %v, want 50 at least at s00 and s02", got)
	}
}

// If the only endpoint were excluded, every request would fail, though the endpoint may answer some.
func TestOnlyEndpointIsNotExcluded(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(1)})
	if got := sendTraffic(b, 100, "get", func(string) AttemptResult { return ServerError }); got["s00"] < 50 {
		t.Errorf("first attempts by endpoint: %v, want 50 at least at s00, the only one", got)
	}
}

// When all endpoints fail alike, the fault is in the tier below. Ejections would then send all requests to the few
// endpoints left.
func TestErrorsAtAllEndpointsEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	got := sendTraffic(b, 800, "get", func(string) AttemptResult { return ServerError })
	if len(got) < 8 {
		t.Errorf("all endpoints fail, %d of 10 are still used, want 8 at least", len(got))
	}
}

// An endpoint that hangs reports no error: its only sign is an old attempt without an answer while other endpoints
// answer. Without detection it would collect attempts until they time out.
func TestUnresponsiveEndpointIsNotDrawn(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	unanswered, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Endpoint == "s03" {
				unanswered++
			} else {
				endAttempt(b, now+10*msec, id, s, Success)
			}
		}
	}
	if unanswered == 0 || unanswered > 6 {
		t.Errorf("the unresponsive endpoint holds %d attempts, want 1 to 6", unanswered)
	}
}

// The health probe after an ejection may fail, so it must not be a request that cannot be retried.
func TestProbeIsIdempotent(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	s := b.endpoints["s03"]
	s.outlier.ejectionCount, s.outlier.ejectedUntil = 1, 0
	if got := sendTraffic(b, 400, "pay", func(string) AttemptResult { return Success }); got["s03"] != 0 {
		t.Errorf("an endpoint on probation got %d requests that are not idempotent, want 0", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success }); got["s03"] == 0 {
		t.Error("the endpoint on probation got no idempotent request")
	}
}

// Endpoints whose connection tables are filled by other replicas reject attempts at once, and each rejection costs a
// request time and retry budget. An endpoint that has rejected gets no more attempts than it had in flight then, even
// if most endpoints reject, and is drawn again later.
func TestRejectionLimitsAttemptsAtEndpoint(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	rejected := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sendAttempts(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for attempt := 0; len(todo) > 0; attempt++ {
				result := Success
				if full[todo[0].Endpoint] {
					result = ConnectFailed
					count++
				}
				now += 2 * msec
				todo = sendAttempts(b.Handle(now, AttemptEnded{
					ID:       fmt.Sprint(id),
					Attempt:  attempt,
					Endpoint: todo[0].Endpoint,
					Result:   result,
					Answered: result == Success,
				}))
			}
		}
		return count
	}
	first := rejected(20)
	if first < 5 {
		t.Fatalf("%d rejections of the first 20 requests, want 5 at least", first)
	}
	if got := rejected(20); got > first/2 {
		t.Errorf("%d rejections of the next 20 requests after %d before, want half at most", got, first)
	}
	now += time.Minute
	if rejected(20) == 0 {
		t.Error("no full endpoint was drawn again within a minute")
	}
}

// If ejections did not double in duration, an endpoint that stays broken would get probes at a constant rate. If the
// doublings had no bound, or successes did not undo them, a repaired endpoint would stay ejected for too long.
func TestEjectionsDouble(t *testing.T) {
	const mean = float64(10 * time.Millisecond)
	var state outlierState
	now := time.Second
	for i := range maxBackoffDoublings + 2 {
		state.recordError(now, mean, minErrorRate)
		want := ejectionLatencies * 10 * msec << min(i, maxBackoffDoublings)
		if got := state.ejectedUntil - now; got != want {
			t.Errorf("ejection after %d earlier ones lasts %v, want %v", i, got, want)
		}
		now = state.ejectedUntil
	}
	if !state.onProbation() {
		t.Error("the endpoint is not on probation after its ejection")
	}
	for range 2 * maxBackoffDoublings * successesPerReduction {
		state.recordSuccess()
	}
	if state.ejectionCount != 0 || state.onProbation() {
		t.Errorf("after many successes %d doublings are left, want 0, and no probation", state.ejectionCount)
	}
}

// Where errors are frequent at all endpoints, a short streak says little about one endpoint, and ejecting it would
// only take away capacity.
func TestFrequentErrorsNeedALongerStreak(t *testing.T) {
	for _, c := range []struct {
		rate errorRate
		want int
	}{{0.01, 1}, {0.3, 3}, {0.7, 8}} {
		var state outlierState
		streak := 0
		for !state.ejected(time.Second) {
			state.recordError(time.Second, float64(msec), c.rate)
			streak++
		}
		if streak != c.want {
			t.Errorf("error rate %v: ejected after %d errors, want %d", c.rate, streak, c.want)
		}
	}
}
