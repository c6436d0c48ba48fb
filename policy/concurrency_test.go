package policy

import (
	"fmt"
	"testing"
	"time"
)

// When half of the list is removed, the rest must not get the attempts of all: the limit falls with the list.
func TestLimitShrinksWithTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(20)})
	b.subsets[0].limit.size = 100
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	if b.subsets[0].limit.size != 50 {
		t.Errorf("limit %v after half of the list went, want 50", b.subsets[0].limit.size)
	}
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(20)})
	if b.subsets[0].limit.size != 50 {
		t.Errorf("limit %v after the list grew, want 50: it grows by responses alone", b.subsets[0].limit.size)
	}
}

// An endpoint that waits for the tiers behind it holds more attempts for the same work than one that works alone.
func TestInitialLimitCountsTheTiersBehind(t *testing.T) {
	for _, c := range []struct{ tiers, tier, want int }{{0, 0, 1}, {1, 0, 1}, {3, 0, 3}, {3, 2, 1}} {
		b := newBalancer(t, func(s *Settings) { s.Tiers, s.Tier = c.tiers, c.tier })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
		if want := initialLimitPerEndpoint * 2 * float64(c.want); b.subsets[0].limit.size != want {
			t.Errorf("tier %d of %d: limit %v for 4 endpoints and 2 replicas, want %v",
				c.tier, c.tiers, b.subsets[0].limit.size, want)
		}
	}
}

// A fleet enlarged in a surge stands on tiers below that did not grow: late responses must not find a lower bound
// that grew with the list, and responses in good time must raise it.
func TestInitialLimitGrowsByResponsesNotByTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(40)})
	now := msec
	respond := func(n int, after time.Duration) {
		for i := range n {
			id := fmt.Sprint(now, i)
			todo := sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec}))
			b.subsets[0].inFlight += 1000 // the limit in full use
			for _, s := range todo {
				endAttempt(b, now+after, id, s, Success)
			}
			b.subsets[0].inFlight -= 1000
			now += after
		}
	}
	respond(300, 490*msec)
	limit := &b.subsets[0].limit
	if initial := initialLimitPerEndpoint * 2.0; limit.size >= initial || limit.size < minLimitShare*initial {
		t.Errorf("limit %v after late responses, want it under the initial limit of the 4 endpoints it knew, %v",
			limit.size, initial)
	}
	before := limit.countedEndpoints
	respond(300, 5*msec)
	if limit.countedEndpoints <= before || limit.countedEndpoints > limit.fairShare {
		t.Errorf("%v endpoints counted after responses in good time, %v before", limit.countedEndpoints, before)
	}
}

// In overload the limit must fall, and never under its lower bound.
func TestLimitFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		latency time.Duration
		grows   bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
		limit := &b.subsets[0].limit
		start, now := limit.size, time.Duration(0)
		var inFlight []SendAttempt
		for i := range 3000 {
			now += 4 * msec
			request := Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}
			inFlight = append(inFlight, sendAttempts(b.Handle(now, request))...)
			for len(inFlight) > 0 && b.requests[inFlight[0].ID].attempts[0].sentAt+tc.latency <= now {
				oldest := inFlight[0]
				inFlight = append(inFlight[1:], sendAttempts(endAttempt(b, now, oldest.ID, oldest, Success))...)
			}
		}
		if grew := limit.size > start; grew != tc.grows || limit.size < minLimitShare*start {
			t.Errorf("responses after %v: limit %.1f from %.1f", tc.latency, limit.size, start)
		}
		if !tc.grows && limit.size > start/2 {
			t.Errorf("late responses left the limit at %.1f of %.1f", limit.size, start)
		}
	}
}

// endedAttempt is an attempt of class get that was sent at a time, without a Balancer's part in it.
func endedAttempt(b *Balancer, sentAt time.Duration) *attempt {
	return &attempt{request: &request{class: b.classes.byName["get"]}, sentAt: sentAt}
}

// Responses that take two thirds of the objective are the first sign of overload: since attempts end with the
// objective, late ones no longer use capacity by themselves. Where endpoints never took less, they are no sign.
func TestLimitFallsBeforeResponsesAreLate(t *testing.T) {
	for _, c := range []struct {
		before, after time.Duration // of an objective of 500 ms
		falls         bool
	}{{100 * msec, 340 * msec, true}, {100 * msec, 250 * msec, false}, {250 * msec, 340 * msec, true},
		{340 * msec, 340 * msec, false}, {340 * msec, 400 * msec, true}, {480 * msec, 480 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(40)})
		subset, start := b.subsets[0], b.subsets[0].limit.size
		respond := func(latency time.Duration) {
			for range 300 {
				subset.inFlight = int(subset.limit.size)
				b.adjustLimit(endedAttempt(b, b.now-latency), Success)
			}
		}
		respond(c.before)
		if respond(c.after); subset.limit.size < start != c.falls {
			t.Errorf("responses after %v, before %v: limit %.1f from %.1f", c.after, c.before, subset.limit.size, start)
		}
	}
}

// Overloaded endpoints need fewer attempts, and where all responses are late nothing is lost by that: the limit falls
// at once, and recovers what it started with as soon as responses come in time.
func TestLimitFallsAtOnceAndRecoversFast(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(40)})
	subset, start := b.subsets[0], b.subsets[0].limit.size
	respond := func(n int, e AttemptResult) {
		for range n {
			subset.inFlight = int(subset.limit.size)
			b.adjustLimit(endedAttempt(b, b.now-10*msec), e)
		}
	}
	subset.limit.latencyRatio = 1
	if respond(60, TimedOut); subset.limit.size > start/2 {
		t.Errorf("limit %.0f from %.0f after 60 timeouts", subset.limit.size, start)
	}
	subset.limit.latencyRatio = 0.3
	if respond(100, Success); subset.limit.size < start {
		t.Errorf("limit %.0f after 100 responses in good time, want %.0f again", subset.limit.size, start)
	}
	if respond(100, Success); subset.limit.size > 1.1*start {
		t.Errorf("limit %.0f from %.0f: beyond its start it must grow slowly", subset.limit.size, start)
	}
}

// Some endpoints far slower than others are overloaded, so the limit is lower while much is shed; endpoints that are
// alike are merely busy, and a low limit would leave them partly idle.
func TestLimitIsLowerWhenEndpointsDiffer(t *testing.T) {
	limitAfter := func(difference float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
		subset, limit := b.subsets[0], &b.subsets[0].limit
		limit.size, limit.latencyRatio = 100, 0.4
		limit.samples, limit.minLatencyRatio = 1000, 0.1 // they were quicker before
		a := endedAttempt(b, 0)
		for i := range 50 {
			subset.shedRate = 0.8
			for k, ep := range subset.ready {
				ep.relativeLatency = difference * (float64(k%2) - 0.5)
			}
			b.now, subset.inFlight = 200*msec, int(limit.size)
			if b.adjustLimit(a, Success); limit.latencyRatio < 0.39 {
				t.Fatalf("latency ratio fell to %.2f at response %d", limit.latencyRatio, i)
			}
		}
		return limit.size
	}
	if alike, apart := limitAfter(0), limitAfter(1); alike <= 100 || apart >= 100 {
		t.Errorf("limit from 100: alike %.1f, want growth; apart %.1f, want shrinking", alike, apart)
	}
}

// Many replicas with limits of one and a half attempts must not all send two when responses come late.
func TestFallingLimitIsRoundedByADraw(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 40 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(12)}) // a limit of 1.5 attempts
	subset, closed := b.subsets[0], 0
	ends := func(latencyRatio float64, e AttemptResult) bool {
		subset.limit.size, subset.limit.latencyRatio, subset.inFlight = 1.5, latencyRatio, 1
		b.adjustLimit(endedAttempt(b, 0), e)
		return b.atLimit(subset)
	}
	for range 400 {
		if ends(1, TimedOut) {
			closed++
		}
	}
	if closed < 160 || closed > 240 {
		t.Errorf("closed to a second attempt %d times in 400, want about half", closed)
	}
	if ends(0, Success) {
		t.Error("a limit that does not fall must be rounded up")
	}
}
