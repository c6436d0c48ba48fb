package policy

import (
	"fmt"
	"testing"
	"time"
)

// An endpoint that fails at once has few attempts in flight; without ejection it would win every draw.
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
			t.Errorf("result %d: the failing endpoint got %d of 300 first attempts", result, got["s03"])
		}
	}
}

// Of four endpoints a fifth is none, yet one that fails alone is excluded, and its part of a zone's load goes to the
// other zone too: its one neighbour could not take it all. Where all fail alike, none is excluded.
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
		t.Errorf("first attempts went %v: want none to s00 and about half of its zone's to s01 and s03", got)
	}
	got = sendTraffic(few(), 800, "get", func(string) AttemptResult { return ServerError })
	if got["s00"] < 50 || got["s02"] < 50 {
		t.Errorf("where all fail, first attempts went %v", got)
	}
}

// The only endpoint there is stays in use, however unhealthy it is.
func TestOnlyEndpointIsNotExcluded(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(1)})
	if got := sendTraffic(b, 100, "get", func(string) AttemptResult { return ServerError }); got["s00"] < 50 {
		t.Errorf("first attempts went %v", got)
	}
}

// When every endpoint fails alike the fault is below them: none may be starved of attempts.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	got := sendTraffic(b, 800, "get", func(string) AttemptResult { return ServerError })
	if len(got) < 8 {
		t.Errorf("only %d of 10 endpoints are still used", len(got))
	}
}

// An endpoint that hangs shows nothing but an old unanswered attempt while others answer.
func TestUnresponsiveEndpointIsPassedOver(t *testing.T) {
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
		t.Errorf("the unresponsive endpoint holds %d attempts", unanswered)
	}
}

// After an ejection the health probe must not be a request that cannot be retried.
func TestProbeIsIdempotent(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	drawFromAll(b)
	s := b.endpoints["s03"]
	s.outlier.ejectionCount, s.outlier.ejectedUntil = 1, 0
	if got := sendTraffic(b, 400, "pay", func(string) AttemptResult { return Success }); got["s03"] != 0 {
		t.Errorf("an endpoint on probation got %d requests that are not idempotent", got["s03"])
	}
	if got := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success }); got["s03"] == 0 {
		t.Error("the endpoint was never drawn again")
	}
}

// Connection tables filled by other replicas reject at once: an endpoint that rejected gets no more attempts than it
// had, however many others reject too, and is drawn again later.
func TestRejectingEndpointKeepsOnlyWhatItHad(t *testing.T) {
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
		t.Fatalf("only %d rejections, want the full endpoints found", first)
	}
	if got := rejected(20); got > first/2 {
		t.Errorf("%d rejections after %d: full endpoints are still drawn", got, first)
	}
	now += time.Minute
	if rejected(20) == 0 {
		t.Error("full endpoints were never drawn again")
	}
}

// Each ejection doubles the next one, up to a bound, and successes take the doublings back.
func TestEjectionsDouble(t *testing.T) {
	const mean = float64(10 * time.Millisecond)
	var state outlierState
	now := time.Second
	for i := range maxBackoffDoublings + 2 {
		state.recordError(now, mean, minErrorRate)
		want := ejectionLatencies * 10 * msec << min(i, maxBackoffDoublings)
		if got := state.ejectedUntil - now; got != want {
			t.Errorf("ejection %d lasts %v, want %v", i, got, want)
		}
		now = state.ejectedUntil
	}
	if !state.onProbation() {
		t.Error("an endpoint is not on probation after its ejection")
	}
	for range 2 * maxBackoffDoublings * probationSuccesses {
		state.recordSuccess()
	}
	if state.ejectionCount != 0 || state.onProbation() {
		t.Errorf("after many successes %d doublings are left", state.ejectionCount)
	}
}

// Where errors are frequent everywhere, a streak of them says little of one endpoint.
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
