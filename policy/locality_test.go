package policy

import (
	"slices"
	"testing"
	"time"
)

func TestUnresponsiveZoneIsEvacuatedAndRecovers(t *testing.T) {
	for _, lost := range []string{"x", "y"} { // the local one, another one
		s := newZoneSimulation(t, "x", "y")
		s.hang(lost)
		waited := time.Duration(0)
		for s.zone(lost).Share > 0.125 { // another zone gets too few attempts to be evacuated for good
			s.run(100 * msec)
			if waited += 100 * msec; waited > 20*time.Second {
				t.Fatalf("%s is never evacuated: %+v", lost, s.zone(lost))
			}
		}
		if lost == "x" && waited > 2500*msec {
			t.Errorf("the local zone is evacuated after %v", waited)
		}
		s.run(4 * time.Second)
		if p := s.part(lost); p > 0.02 || lost == "x" && s.notIdempotent[lost] > 0 {
			t.Errorf("%s, evacuated, gets %.3f of the attempts and %d that are not idempotent", lost, p, s.notIdempotent[lost])
		}
		s.hang()
		s.run(20 * time.Second)
		if z := s.zone(lost); z.State != ZoneServing || z.Share != 1 {
			t.Errorf("%s answers again and is %+v", lost, z)
		}
	}
}

func TestWhatDoesNotEvacuateAZone(t *testing.T) {
	local := func(ep Endpoint) bool { return ep.Zone == "x" }
	for name, fate := range map[string]attemptFate{
		"one endpoint unresponsive": where(func(ep Endpoint) bool { return ep.ID == "s00" }, Success, 0),
		"ten times slower":          where(local, Success, 500*msec),
		"half of it unresponsive":   where(func(ep Endpoint) bool { return local(ep) && ep.ID < "s10" }, Success, 0),
		"errors":                    where(local, ServerError, 20*msec),
		"all unresponsive":          where(func(Endpoint) bool { return true }, Success, 0),
	} {
		s := newZoneSimulation(t, "x", "y")
		s.fate = fate
		s.run(3 * time.Second) // the slow one may be suspected until its first answers
		for range 50 {
			s.run(100 * msec)
			if z := s.zone("x"); z.State == ZoneEvacuated {
				t.Errorf("%s: evacuated, with %d unresponsive", name, z.Unresponsive)
				break
			}
		}
	}
	s := newZoneSimulation(t, "x")
	s.hang("x")
	s.run(5 * time.Second)
	if z := s.zone("x"); z.Share != 1 {
		t.Errorf("the only zone is %+v", z)
	}
}

func TestTwoZonesLostOneAfterAnotherAndAllOfThem(t *testing.T) {
	s := newZoneSimulation(t, "x", "y", "w")
	s.hang("x")
	s.run(6 * time.Second)
	s.hang("x", "y")
	s.run(6 * time.Second)
	s.run(2 * time.Second)
	if p := s.part("w"); p < 0.95 {
		t.Errorf("the last zone gets %.2f of the attempts; x %+v y %+v", p, s.zone("x"), s.zone("y"))
	}
	s.hang("x", "y", "w")
	s.run(6 * time.Second)
	if z := s.zone("w"); z.Share != 1 {
		t.Errorf("the last one is evacuated as well: %+v", z)
	}
	s.hang()
	s.run(30 * time.Second)
	for _, z := range s.balancer.Zones() {
		if z.Share != 1 {
			t.Errorf("all answer again, %s is %v with %.2f", z.Name, z.State, z.Share)
		}
	}
}

// A zone that comes and goes every 6 s gets less at each recovery.
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
		t.Errorf("the smallest share at a recovery is %.2f", smallest)
	}
	s.run(60 * time.Second)
	if z := s.zone("x"); z.Share != 1 {
		t.Errorf("a minute later it is %+v", z)
	}
}

func TestOperatorsEvacuation(t *testing.T) {
	s := newZoneSimulation(t, "x", "y")
	s.handle(ZoneEvacuation{"x", true})
	s.updateList()
	s.run(10 * time.Second)
	if s.sent["x"] > 0 || !s.zone("x").EvacuatedByOperator {
		t.Errorf("evacuated and sent %d: %+v", s.sent["x"], s.zone("x"))
	}
	s.handle(ZoneEvacuation{"y", true})
	s.run(time.Second)
	if s.sent["x"] == 0 {
		t.Errorf("with all evacuated the overrides have no effect, attempts went to %v", s.sent)
	}
	s.handle(ZoneEvacuation{"x", false})
	s.handle(ZoneEvacuation{"y", false})
	s.run(2 * time.Second)
	if p := s.part("x"); p < 0.5 || s.zone("x").State != ZoneServing {
		t.Errorf("after the overrides it gets %.2f: %+v", p, s.zone("x"))
	}
}

// The first tier's limit falls with the square root of the endpoints left, and comes half of the way back by itself.
func TestLimitFollowsAnEvacuatedZone(t *testing.T) {
	b := newBalancer(t, nil)
	list := (&zoneSimulation{names: []string{"x", "y"}}).endpoints()
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	full := b.subsets[0].limit.size
	b.Handle(1, ZoneEvacuation{"y", true})
	if w := b.subsets[0].limit.size / full; w < 0.70 || w > 0.72 {
		t.Errorf("with half of the endpoints the limit is %.2f of itself", w)
	}
	remaining := slices.DeleteFunc(slices.Clone(list), func(ep Endpoint) bool { return ep.Zone == "y" })
	b.Handle(2, EndpointUpdate{Snapshot: true, Endpoints: remaining})
	if w := b.subsets[0].limit.size / full; w < 0.70 || w > 0.72 {
		t.Errorf("once the list follows it is %.2f: that zone was counted out twice", w)
	}
	b.Handle(3, EndpointUpdate{Snapshot: true, Endpoints: list})
	b.Handle(4, ZoneEvacuation{"y", false})
	if w := b.subsets[0].limit.size / full; w < 0.83 || w > 0.85 {
		t.Errorf("after the recovery it is %.2f of itself", w)
	}
}
