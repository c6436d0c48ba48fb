package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// attemptFate says how the attempts at an endpoint end, and when; after 0 they time out.
type attemptFate func(Endpoint) (AttemptResult, time.Duration)

// zoneSimulation plays zones of ten endpoints each against one replica in zone "x" behind the first tier: 100
// requests a second, a third of them not idempotent, all endpoints with the same latency of 50 ms.
type zoneSimulation struct {
	balancer      *Balancer
	now           time.Duration
	events        eventQueue
	names         []string
	fate          attemptFate
	sent          map[string]int // by zone, and in all as "", in the last run
	notIdempotent map[string]int // of them, by zone
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

// where gives the endpoints that match a result, and all others a success.
func where(match func(Endpoint) bool, result AttemptResult, latency time.Duration) attemptFate {
	return func(ep Endpoint) (AttemptResult, time.Duration) {
		if match(ep) {
			return result, latency
		}
		return Success, 50 * msec
	}
}

// hang makes all endpoints of some zones hang, and all others answer.
func (s *zoneSimulation) hang(zones ...string) {
	s.fate = where(func(ep Endpoint) bool { return slices.Contains(zones, ep.Zone) }, Success, 0)
}

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

// handle gives an event to the replica and follows its actions.
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

func (s *zoneSimulation) startAttempt(a SendAttempt) {
	r, target := s.balancer.requests[a.ID], s.balancer.endpoints[a.Endpoint].Endpoint
	s.sent[target.Zone]++
	s.sent[""]++
	if r.class.Idempotency == NotIdempotent {
		s.notIdempotent[target.Zone]++
	}
	result, latency := s.fate(target)
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

// run goes on for some time and counts what is sent.
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

// part is how large a part of all attempts a zone had in the last run.
func (s *zoneSimulation) part(zone string) float64 {
	return float64(s.sent[zone]) / float64(s.sent[""])
}

func (s *zoneSimulation) zone(name string) Zone {
	all := s.balancer.Zones()
	return all[slices.IndexFunc(all, func(z Zone) bool { return z.Name == name })]
}
