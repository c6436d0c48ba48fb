package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// attemptOutcome returns the result and the latency of an attempt at an endpoint. At a latency of 0 the attempt times
// out.
type attemptOutcome func(Endpoint) (AttemptResult, time.Duration)

// zoneSimulation simulates, in virtual time, one replica in zone "x" that sends to zones of ten endpoints each, below
// the first tier. It gets 100 requests a second, a third of them not idempotent. All endpoints have a latency of 50 ms
// unless the outcome says otherwise.
type zoneSimulation struct {
	balancer      *Balancer
	now           time.Duration
	events        eventQueue
	names         []string // of the zones
	outcome       attemptOutcome
	sent          map[string]int // attempts in the last run, by zone; "": in all zones
	notIdempotent map[string]int // attempts of requests that are not idempotent in the last run, by zone
}

func newZoneSimulation(t *testing.T, zones ...string) *zoneSimulation {
	t.Helper()
	s := &zoneSimulation{
		names:    zones,
		balancer: newBalancer(t, func(s *Settings) { s.Tier, s.Tiers, s.Zone = 1, 3, "x" }),
	}
	s.hang()
	s.updateList()
	s.run(5 * time.Second)
	return s
}

// outcomeAt returns the given result and latency for the endpoints that match, and a success for all others.
func outcomeAt(match func(Endpoint) bool, result AttemptResult, latency time.Duration) attemptOutcome {
	return func(ep Endpoint) (AttemptResult, time.Duration) {
		if match(ep) {
			return result, latency
		}
		return Success, 50 * msec
	}
}

// hang makes all endpoints of the given zones hang, and all others answer.
func (s *zoneSimulation) hang(zones ...string) {
	s.outcome = outcomeAt(func(ep Endpoint) bool { return slices.Contains(zones, ep.Zone) }, Success, 0)
}

// endpoints returns the endpoint list, with the zones in turn.
func (s *zoneSimulation) endpoints() []Endpoint {
	var all []Endpoint
	for i := range 10 * len(s.names) {
		all = append(all, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: s.names[i%len(s.names)]})
	}
	return all
}

func (s *zoneSimulation) updateList() {
	s.handle(EndpointUpdate{Snapshot: true, Endpoints: s.endpoints()})
}

// handle gives an event to the replica and carries out the actions it returns.
func (s *zoneSimulation) handle(e Event) {
	for _, a := range s.balancer.Handle(s.now, e) {
		switch a := a.(type) {
		case SetTimer:
			s.events.add(a.At, TimerFired{a.Token})
		case SendAttempt:
			s.startAttempt(a)
		}
	}
}

// startAttempt counts an attempt and schedules its end.
func (s *zoneSimulation) startAttempt(a SendAttempt) {
	r, target := s.balancer.requests[a.ID], s.balancer.endpoints[a.Endpoint].Endpoint
	s.sent[target.Zone]++
	s.sent[""]++
	if r.class.Idempotency == NotIdempotent {
		s.notIdempotent[target.Zone]++
	}
	result, latency := s.outcome(target)
	if latency == 0 || latency > a.Timeout {
		result, latency = TimedOut, a.Timeout
	}
	s.events.add(s.now+latency, AttemptEnded{
		ID:       a.ID,
		Attempt:  len(r.attempts) - 1,
		Endpoint: a.Endpoint,
		Result:   result,
		Latency:  latency,
		Answered: result == Success,
	})
}

// run simulates a period and counts the attempts sent in it.
func (s *zoneSimulation) run(d time.Duration) {
	s.sent, s.notIdempotent = map[string]int{}, map[string]int{}
	for end := s.now + d; s.now < end; s.now += 10 * msec {
		for !s.events.empty() && s.events.nextAt() <= s.now {
			s.handle(s.events.next().event)
		}
		s.events.added++
		s.handle(Request{
			ID:       fmt.Sprint(s.events.added),
			Class:    []string{"get", "get", "pay"}[s.events.added%3],
			Deadline: s.now + 1500*msec,
		})
	}
}

// trafficShare returns the share of all attempts of the last run that a zone got.
func (s *zoneSimulation) trafficShare(zone string) float64 {
	return float64(s.sent[zone]) / float64(s.sent[""])
}

// zone returns the state of a zone as the replica reports it.
func (s *zoneSimulation) zone(name string) Zone {
	all := s.balancer.Zones()
	return all[slices.IndexFunc(all, func(z Zone) bool { return z.Name == name })]
}
