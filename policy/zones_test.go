package policy

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"
)

// halls plays zones of ten servers each against one copy in zone "x" behind the first tier, 100 requests a second, a third of
// them unsafe, all servers the same 50 ms.
type halls struct {
	b     *Balancer
	now   time.Duration
	due   dueHeap
	n     int
	names []string
	fate  func(s Endpoint) (e AttemptResult, took time.Duration) // 0: nothing ever comes
	sends map[string]int                                         // by zone, and in all as "", since the last look
	pays  map[string]int                                         // of them, unsafe
}

func newHalls(t *testing.T, zones ...string) *halls {
	h := &halls{names: zones, b: newBalancer(t, func(s *Settings) { s.Tier, s.Tiers, s.Zone = 1, 3, "x" })}
	h.silent()
	h.list()
	h.run(5 * time.Second)
	return h
}

// where gives the servers that match a fate, and all others a good one.
func where(match func(Endpoint) bool, e AttemptResult, took time.Duration) func(Endpoint) (AttemptResult, time.Duration) {
	return func(s Endpoint) (AttemptResult, time.Duration) {
		if match(s) {
			return e, took
		}
		return Success, 50 * msec
	}
}

// silent lets whole zones fall silent, and all others answer.
func (h *halls) silent(zones ...string) {
	h.fate = where(func(s Endpoint) bool { return slices.Contains(zones, s.Zone) }, Success, 0)
}

func (h *halls) servers() (all []Endpoint) {
	for i := range 10 * len(h.names) {
		all = append(all, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: h.names[i%len(h.names)]})
	}
	return all
}

func (h *halls) list() {
	h.take(h.b.Handle(h.now, EndpointUpdate{Snapshot: true, Endpoints: h.servers()}))
}

func (h *halls) later(at time.Duration, e Event) {
	h.n++
	heap.Push(&h.due, dueEvent{at, h.n, e})
}

func (h *halls) take(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SetTimer:
			h.later(a.At, TimerFired{a.Token})
		case SendAttempt:
			r, s := h.b.requests[a.ID], h.b.endpoints[a.Endpoint].Endpoint
			h.sends[s.Zone]++
			h.sends[""]++
			if r.class.Idempotency == NotIdempotent {
				h.pays[s.Zone]++
			}
			e, took := h.fate(s)
			if took == 0 || took > a.Timeout {
				e, took = TimedOut, a.Timeout
			}
			h.later(h.now+took, AttemptEnded{ID: a.ID, Attempt: len(r.attempts) - 1, Endpoint: a.Endpoint, Result: e, Latency: took, Answered: e == Success})
		}
	}
}

// run goes on for some time and returns how large a part of all sends a zone had.
func (h *halls) run(d time.Duration) {
	h.sends, h.pays = map[string]int{}, map[string]int{}
	for end := h.now + d; h.now < end; h.now += 10 * msec {
		for len(h.due) > 0 && h.due[0].at <= h.now {
			h.take(h.b.Handle(h.now, heap.Pop(&h.due).(dueEvent).e))
		}
		h.n++
		id := fmt.Sprint(h.n)
		h.take(h.b.Handle(h.now, Request{ID: id, Class: []string{"get", "get", "pay"}[h.n%3], Deadline: h.now + 1500*msec}))
	}
}

func (h *halls) part(zone string) float64 {
	return float64(h.sends[zone]) / float64(h.sends[""])
}

func (h *halls) zone(name string) Zone {
	all := h.b.Zones()
	return all[slices.IndexFunc(all, func(z Zone) bool { return z.Name == name })]
}

func TestSilentZoneIsLeftAndTakenBack(t *testing.T) {
	for _, lost := range []string{"x", "y"} { // the own one, another one
		h := newHalls(t, "x", "y")
		h.silent(lost)
		left := time.Duration(0)
		for h.zone(lost).Share > 0.125 { // another zone gets too few calls to be left for good by its silence
			h.run(100 * msec)
			if left += 100 * msec; left > 20*time.Second {
				t.Fatalf("%s is never left: %+v", lost, h.zone(lost))
			}
		}
		if lost == "x" && left > 2500*msec {
			t.Errorf("the own zone is left after %v", left)
		}
		h.run(4 * time.Second)
		if p := h.part(lost); p > 0.02 || lost == "x" && h.pays[lost] > 0 {
			t.Errorf("%s, left, gets %.3f of the sends and %d unsafe ones", lost, p, h.pays[lost])
		}
		h.silent()
		h.run(20 * time.Second)
		if z := h.zone(lost); z.State != ZoneServing || z.Share != 1 {
			t.Errorf("%s answers again and is %+v", lost, z)
		}
	}
}

func TestWhatIsNoSilenceOfAZone(t *testing.T) {
	own := func(s Endpoint) bool { return s.Zone == "x" }
	for name, fate := range map[string]func(Endpoint) (AttemptResult, time.Duration){
		"one server silent": where(func(s Endpoint) bool { return s.ID == "s00" }, Success, 0),
		"ten times slower":  where(own, Success, 500*msec),
		"half of it silent": where(func(s Endpoint) bool { return own(s) && s.ID < "s10" }, Success, 0),
		"errors":            where(own, ServerError, 20*msec),
		"all silent":        where(func(Endpoint) bool { return true }, Success, 0),
	} {
		h := newHalls(t, "x", "y")
		h.fate = fate
		h.run(3 * time.Second) // the slow one may be doubted until its first answers
		for range 50 {
			h.run(100 * msec)
			if z := h.zone("x"); z.State == ZoneEvacuated {
				t.Errorf("%s: left, with %d silent", name, z.Unresponsive)
				break
			}
		}
	}
	h := newHalls(t, "x")
	h.silent("x")
	h.run(5 * time.Second)
	if z := h.zone("x"); z.Share != 1 {
		t.Errorf("the only zone is %+v", z)
	}
}

func TestTwoZonesLostOneAfterAnotherAndAllOfThem(t *testing.T) {
	h := newHalls(t, "x", "y", "w")
	h.silent("x")
	h.run(6 * time.Second)
	h.silent("x", "y")
	h.run(6 * time.Second)
	h.run(2 * time.Second)
	if p := h.part("w"); p < 0.95 {
		t.Errorf("the last zone gets %.2f of the sends; x %+v y %+v", p, h.zone("x"), h.zone("y"))
	}
	h.silent("x", "y", "w")
	h.run(6 * time.Second)
	if z := h.zone("w"); z.Share != 1 {
		t.Errorf("the last one is left as well: %+v", z)
	}
	h.silent()
	h.run(30 * time.Second)
	for _, z := range h.b.Zones() {
		if z.Share != 1 {
			t.Errorf("all answer again, %s is %v with %.2f", z.Name, z.State, z.Share)
		}
	}
}

// A zone that comes and goes every 6 s is given less at each return.
func TestFlappingZoneReturnsSlowly(t *testing.T) {
	h := newHalls(t, "x", "y")
	least := 1.0
	for range 5 {
		h.silent("x")
		h.run(6 * time.Second)
		h.silent()
		for range 60 {
			h.run(100 * msec)
			if z := h.zone("x"); z.State == ZoneRecovering {
				least = min(least, z.Share)
			}
		}
	}
	if least > 0.25 {
		t.Errorf("the least share at a return is %.2f", least)
	}
	h.run(60 * time.Second)
	if z := h.zone("x"); z.Share != 1 {
		t.Errorf("a minute later it is %+v", z)
	}
}

func TestZoneOrder(t *testing.T) {
	h := newHalls(t, "x", "y")
	h.take(h.b.Handle(h.now, ZoneEvacuation{"x", true}))
	h.list()
	h.run(10 * time.Second)
	if h.sends["x"] > 0 || !h.zone("x").EvacuatedByOperator {
		t.Errorf("ordered away and sent %d: %+v", h.sends["x"], h.zone("x"))
	}
	h.take(h.b.Handle(h.now, ZoneEvacuation{"y", true}))
	h.run(time.Second)
	if h.sends["x"] == 0 {
		t.Errorf("with all ordered away the orders are void, sends went to %v", h.sends)
	}
	h.take(h.b.Handle(h.now, ZoneEvacuation{"x", false}))
	h.take(h.b.Handle(h.now, ZoneEvacuation{"y", false}))
	h.run(2 * time.Second)
	if p := h.part("x"); p < 0.5 || h.zone("x").State != ZoneServing {
		t.Errorf("back in order it gets %.2f: %+v", p, h.zone("x"))
	}
}

// The first tier's window falls with the square root of the servers left, and comes half of the way back by itself.
func TestWindowFollowsAZoneThatIsLeft(t *testing.T) {
	b := newBalancer(t, nil)
	list := (&halls{names: []string{"x", "y"}}).servers()
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	full := b.subsets[0].limit
	b.Handle(1, ZoneEvacuation{"y", true})
	if w := b.subsets[0].limit / full; w < 0.70 || w > 0.72 {
		t.Errorf("with half of the servers the window is %.2f of itself", w)
	}
	b.Handle(2, EndpointUpdate{Snapshot: true, Endpoints: slices.DeleteFunc(slices.Clone(list), func(s Endpoint) bool { return s.Zone == "y" })})
	if w := b.subsets[0].limit / full; w < 0.70 || w > 0.72 {
		t.Errorf("once the list follows it is %.2f: that zone was counted out twice", w)
	}
	b.Handle(3, EndpointUpdate{Snapshot: true, Endpoints: list})
	b.Handle(4, ZoneEvacuation{"y", false})
	if w := b.subsets[0].limit / full; w < 0.83 || w > 0.85 {
		t.Errorf("after the return it is %.2f of itself", w)
	}
}
