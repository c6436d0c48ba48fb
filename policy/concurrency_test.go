package policy

import (
	"fmt"
	"testing"
	"time"
)

// When half of the endpoints are removed, an unchanged limit would send the attempts of all endpoints to the remaining
// half. The limit must grow again with responses, not with the list.
func TestLimitShrinksWithTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(20)})
	b.subsets[0].limit.size = 100
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	if b.subsets[0].limit.size != 50 {
		t.Errorf("limit %v after half of the endpoints were removed, want 50", b.subsets[0].limit.size)
	}
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(20)})
	if b.subsets[0].limit.size != 50 {
		t.Errorf("limit %v after the list grew again, want 50", b.subsets[0].limit.size)
	}
}

// An endpoint that waits for the tiers behind it holds more attempts for the same work than one of the last tier.
// An initial limit that ignored these tiers would leave the endpoints idle.
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

// When endpoints are added under high load, the tiers below may not have grown with them. If the lower bound of the
// limit grew with the list, the limit could not fall enough when responses are late. Only responses in time may
// raise the bound.
func TestLowerBoundGrowsWithResponsesNotWithTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(40)})
	now := msec
	respond := func(n int, after time.Duration) {
		for i := range n {
			id := fmt.Sprint(now, i)
			todo := sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec}))
			b.subsets[0].inFlight += 1000 // all of the limit is in use
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
		t.Errorf("limit %v after late responses, want less than the initial %v of 4 endpoints, but a fifth of it at least",
			limit.size, initial)
	}
	before := limit.baselineEndpoints
	respond(300, 5*msec)
	if limit.baselineEndpoints <= before || limit.baselineEndpoints > limit.fairShare {
		t.Errorf("%v baseline endpoints after responses in time, want more than the %v before, up to the fair share",
			limit.baselineEndpoints, before)
	}
}

// The limit must fall when responses are late, but not below its lower bound, and grow when responses are quick.
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
			t.Errorf("responses after %v: limit %.1f, initially %.1f: below its lower bound or changed in the wrong direction",
				tc.latency, limit.size, start)
		}
		if !tc.grows && limit.size > start/2 {
			t.Errorf("late responses left the limit at %.1f, want half of the initial %.1f at most", limit.size, start)
		}
	}
}

// endedAttempt returns an attempt of class get that was sent at the given time. The Balancer does not know it.
func endedAttempt(b *Balancer, sentAt time.Duration) *attempt {
	return &attempt{request: &request{class: b.classes.byName["get"]}, sentAt: sentAt}
}

// Attempts are timed out at the latency objective, so late ones stop using capacity by themselves, and responses
// that take two thirds of the objective are the first sign of overload. Where responses never took less, they are
// no sign of overload, and the limit must not fall.
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
			t.Errorf("responses after %v, earlier ones after %v: limit %.1f, initially %.1f: changed in the wrong direction",
				c.after, c.before, subset.limit.size, start)
		}
	}
}

// While all responses are late, a lower limit loses no answers and relieves the endpoints, so it must fall at once.
// When responses come in time again, a limit that rose slowly to its initial value would leave endpoints idle.
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
		t.Errorf("limit %.0f after 60 timeouts, want half of the initial %.0f at most", subset.limit.size, start)
	}
	subset.limit.latencyRatio = 0.3
	if respond(100, Success); subset.limit.size < start {
		t.Errorf("limit %.0f after 100 responses in time, want the initial %.0f at least", subset.limit.size, start)
	}
	if respond(100, Success); subset.limit.size > 1.1*start {
		t.Errorf("limit %.0f after 100 more responses in time, want slow growth from the initial %.0f: 1.1 times at most",
			subset.limit.size, start)
	}
}

// If some endpoints are far slower than others while many requests are shed, they are overloaded, and the limit must
// fall. Endpoints with similar latencies are merely busy, and a lower limit would leave them partly idle.
func TestLimitIsLowerWhenEndpointsDiffer(t *testing.T) {
	limitAfter := func(difference float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
		subset, limit := b.subsets[0], &b.subsets[0].limit
		limit.size, limit.latencyRatio = 100, 0.4
		limit.samples, limit.minLatencyRatio = 1000, 0.1 // responses were quicker at low load
		a := endedAttempt(b, 0)
		for i := range 50 {
			subset.shedRate = 0.8
			for k, ep := range subset.ready {
				ep.relativeLatency = difference * (float64(k%2) - 0.5)
			}
			b.now, subset.inFlight = 200*msec, int(limit.size)
			if b.adjustLimit(a, Success); limit.latencyRatio < 0.39 {
				t.Fatalf("latency ratio %.2f at response %d, want 0.39 at least", limit.latencyRatio, i)
			}
		}
		return limit.size
	}
	if alike, apart := limitAfter(0), limitAfter(1); alike <= 100 || apart >= 100 {
		t.Errorf("limit, from 100: %.1f with equal latencies, want more; %.1f with different ones, want less", alike, apart)
	}
}

// If many replicas with a limit of 1.5 attempts all rounded it up to two while responses are late, they would keep
// the endpoints overloaded. So a falling limit is rounded at random.
func TestFallingLimitIsRoundedAtRandom(t *testing.T) {
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
		t.Errorf("a second attempt was refused %d times in 400, want 160 to 240", closed)
	}
	if ends(0, Success) {
		t.Error("a limit of 1.5 that does not fall refused a second attempt, want it rounded up")
	}
}

// A limit that allows no attempt is never adjusted again, because it is adjusted when an attempt ends. After a slow
// time the limit is near 1 and rounded by an offset; when half of the endpoints are then replaced, it must still allow
// an attempt, and grow with the responses.
func TestLimitAllowsAnAttemptAfterTheListShrinks(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 30 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(8)})
	limit := &b.subsets[0].limit
	initial := limit.size
	limit.size, limit.roundingOffset = 1, 0.9
	now := msec
	for first := 0; first < 8; first += 2 { // two leave, and two others join
		b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(8 + first)[first+2:]})
		b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10 + first)[first+2:]})
	}
	for i := range 20 {
		id := fmt.Sprint(i)
		sent := sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec}))
		if len(sent) == 0 {
			t.Fatalf("request %d: no attempt with idle endpoints, limit %v, offset %v", i, limit.size, limit.roundingOffset)
		}
		now += 50 * msec
		endAttempt(b, now, id, sent[0], Success)
	}
	if limit.size < initial {
		t.Errorf("limit %v after responses in time, want its initial %v at least", limit.size, initial)
	}
}

// When only the endpoints of an evacuated zone are left in the list, no request goes elsewhere. The limit must allow an
// attempt, whose response ends the evacuation, and grow from its initial value then.
func TestLimitAllowsAnAttemptAtTheLastZone(t *testing.T) {
	b := newBalancer(t, nil)
	all := testEndpoints(8)
	for i := range all {
		all[i].Zone = []string{"a", "b"}[i%2]
	}
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: all})
	b.Handle(msec, ZoneEvacuation{Zone: "b", Evacuate: true})
	b.zones.get("b").evacuatedByOperator = false // as if the node had found the zone unresponsive
	var left []Endpoint
	for _, ep := range all {
		if ep.Zone == "b" {
			left = append(left, ep)
		}
	}
	b.Handle(2*msec, EndpointUpdate{Snapshot: true, Endpoints: left})
	if share := b.subsets[0].limit.fairShare; share != 0 {
		t.Fatalf("fair share %v with no endpoint but those of an evacuated zone, want 0", share)
	}
	sent := sendAttempts(b.Handle(3*msec, Request{ID: "probe", Class: "get", Deadline: 1500 * msec}))
	if len(sent) == 0 {
		t.Fatal("no attempt may start at the only zone that is left")
	}
	endAttempt(b, 20*msec, "probe", sent[0], Success)
	limit := b.subsets[0].limit
	if state := b.zones.get("b").state; state == ZoneEvacuated || limit.size < initialLimitPerEndpoint*2 {
		t.Errorf("after a response the zone has state %v and the limit is %v, want it back, and the limit of 4 endpoints",
			state, limit.size)
	}
}
