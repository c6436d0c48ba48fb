package policy

import (
	"slices"
	"testing"
	"time"
)

// Requests sent to a zone that hangs wait until they time out, so the zone must be evacuated soon. When it answers
// again, it must get back its full share without an operator.
func TestUnresponsiveZoneIsEvacuatedAndRecovers(t *testing.T) {
	for _, lost := range []string{"x", "y"} { // x is the local zone
		s := newZoneSimulation(t, "x", "y")
		s.hang(lost)
		waited := time.Duration(0)
		for s.zone(lost).Share > 0.125 { // a remote zone gets too few attempts to be evacuated completely
			s.run(100 * msec)
			if waited += 100 * msec; waited > 20*time.Second {
				t.Fatalf("zone %s hangs and is not evacuated within 20 s: %+v", lost, s.zone(lost))
			}
		}
		if lost == "x" && waited > 2500*msec {
			t.Errorf("the local zone hangs and was evacuated after %v, want 2.5 s at most", waited)
		}
		s.run(4 * time.Second)
		if p := s.trafficShare(lost); p > 0.02 || lost == "x" && s.notIdempotent[lost] > 0 {
			t.Errorf("evacuated zone %s got %.3f of the attempts, want 0.02 at most; %d were not idempotent, want 0 in x",
				lost, p, s.notIdempotent[lost])
		}
		s.hang()
		s.run(20 * time.Second)
		if z := s.zone(lost); z.State != ZoneServing || z.Share != 1 {
			t.Errorf("zone %s has answered again for 20 s, want it in service with its full share: %+v", lost, z)
		}
	}
}

// Faults that leave most of a zone in use, or that another zone has too, must not evacuate the zone: its load would
// move to zones that may not be able to take it.
func TestFaultsThatDoNotEvacuateAZone(t *testing.T) {
	local := func(ep Endpoint) bool { return ep.Zone == "x" }
	for name, outcome := range map[string]attemptOutcome{
		"one endpoint unresponsive": outcomeAt(func(ep Endpoint) bool { return ep.ID == "s00" }, Success, 0),
		"ten times slower":          outcomeAt(local, Success, 500*msec),
		"half of it unresponsive":   outcomeAt(func(ep Endpoint) bool { return local(ep) && ep.ID < "s10" }, Success, 0),
		"errors":                    outcomeAt(local, ServerError, 20*msec),
		"all unresponsive":          outcomeAt(func(Endpoint) bool { return true }, Success, 0),
	} {
		s := newZoneSimulation(t, "x", "y")
		s.outcome = outcome
		s.run(3 * time.Second) // a slow zone may look unresponsive until its first answers
		for range 50 {
			s.run(100 * msec)
			if z := s.zone("x"); z.State == ZoneEvacuated {
				t.Errorf("%s: zone x was evacuated, with %d unresponsive endpoints", name, z.Unresponsive)
				break
			}
		}
	}
	s := newZoneSimulation(t, "x")
	s.hang("x")
	s.run(5 * time.Second)
	if z := s.zone("x"); z.Share != 1 {
		t.Errorf("the only zone hangs, want its full share: %+v", z)
	}
}

// When zones fail one after another, the remaining zone must get the load. When the last one fails too, this replica
// may be the one that is isolated, so no zone may stay evacuated for good.
func TestZonesFailOneAfterAnother(t *testing.T) {
	s := newZoneSimulation(t, "x", "y", "w")
	s.hang("x")
	s.run(6 * time.Second)
	s.hang("x", "y")
	s.run(6 * time.Second)
	s.run(2 * time.Second)
	if p := s.trafficShare("w"); p < 0.95 {
		t.Errorf("x and y hang, w gets %.2f of the attempts, want 0.95 at least; x %+v, y %+v", p, s.zone("x"), s.zone("y"))
	}
	s.hang("x", "y", "w")
	s.run(6 * time.Second)
	if z := s.zone("w"); z.Share != 1 {
		t.Errorf("all zones hang, want the full share for w, the last one: %+v", z)
	}
	s.hang()
	s.run(30 * time.Second)
	for _, z := range s.balancer.Zones() {
		if z.Share != 1 {
			t.Errorf("all zones have answered for 30 s, %s is %v with share %.2f, want 1", z.Name, z.State, z.Share)
		}
	}
}

// A zone that fails and answers in turns of 6 s would fail many requests if it always recovered with its full share,
// so it starts with a smaller share at each recovery.
func TestFlappingZoneRecoversSlowly(t *testing.T) {
	s := newZoneSimulation(t, "x", "y")
	smallest := 1.0
	for range 5 {
		s.hang("x")
		s.run(6 * time.Second)
		s.hang()
		for range 60 {
			s.run(100 * msec)
			if z := s.zone("x"); z.State == ZoneRecovering {
				smallest = min(smallest, z.Share)
			}
		}
	}
	if smallest > 0.25 {
		t.Errorf("the smallest share in a recovery was %.2f, want 0.25 at most", smallest)
	}
	s.run(60 * time.Second)
	if z := s.zone("x"); z.Share != 1 {
		t.Errorf("the zone has answered for a minute, want its full share: %+v", z)
	}
}

// An operator's evacuation must hold, also when the list is updated, until the operator ends it. If operators have
// evacuated all zones, the evacuations must have no effect, since no request could be sent otherwise.
func TestOperatorEvacuation(t *testing.T) {
	s := newZoneSimulation(t, "x", "y")
	s.handle(ZoneEvacuation{"x", true})
	s.updateList()
	s.run(10 * time.Second)
	if s.sent["x"] > 0 || !s.zone("x").EvacuatedByOperator {
		t.Errorf("x is evacuated by an operator and got %d attempts, want 0: %+v", s.sent["x"], s.zone("x"))
	}
	s.handle(ZoneEvacuation{"y", true})
	s.run(time.Second)
	if s.sent["x"] == 0 {
		t.Errorf("all zones are evacuated by an operator, x got no attempt; attempts by zone: %v", s.sent)
	}
	s.handle(ZoneEvacuation{"x", false})
	s.handle(ZoneEvacuation{"y", false})
	s.run(2 * time.Second)
	if p := s.trafficShare("x"); p < 0.5 || s.zone("x").State != ZoneServing {
		t.Errorf("after the overrides ended, x got %.2f of the attempts, want 0.5 at least: %+v", p, s.zone("x"))
	}
}

// When a zone is evacuated, an unchanged limit would send its load to the other zones. The limit falls with the
// square root of the share of endpoints left, once only, though the endpoint list may lose the zone afterwards. When
// the zone comes back, the limit rises with the fourth root of the change; responses in time raise the rest.
func TestLimitFollowsAnEvacuatedZone(t *testing.T) {
	b := newBalancer(t, nil)
	list := (&zoneSimulation{names: []string{"x", "y"}}).endpoints()
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	full := b.subsets[0].limit.size
	b.Handle(1, ZoneEvacuation{"y", true})
	if w := b.subsets[0].limit.size / full; w < 0.70 || w > 0.72 {
		t.Errorf("half of the endpoints are evacuated, the limit is %.2f of the full one, want 0.70 to 0.72", w)
	}
	remaining := slices.DeleteFunc(slices.Clone(list), func(ep Endpoint) bool { return ep.Zone == "y" })
	b.Handle(2, EndpointUpdate{Snapshot: true, Endpoints: remaining})
	if w := b.subsets[0].limit.size / full; w < 0.70 || w > 0.72 {
		t.Errorf("the list has lost the evacuated zone, the limit is %.2f of the full one, want 0.70 to 0.72 still", w)
	}
	b.Handle(3, EndpointUpdate{Snapshot: true, Endpoints: list})
	b.Handle(4, ZoneEvacuation{"y", false})
	if w := b.subsets[0].limit.size / full; w < 0.83 || w > 0.85 {
		t.Errorf("the zone is back, the limit is %.2f of the full one, want 0.83 to 0.85", w)
	}
}
