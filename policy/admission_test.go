package policy

import (
	"fmt"
	"testing"
	"time"
)

// When half of the list goes, the rest must not take the calls of all: the window goes with the list.
func TestWindowShrinksWithTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(20)})
	b.subsets[0].limit = 100
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
	if b.subsets[0].limit != 50 {
		t.Errorf("window %v after half of the list went, want 50", b.subsets[0].limit)
	}
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(20)})
	if b.subsets[0].limit != 50 {
		t.Errorf("window %v after the list grew, want 50: it grows by answers alone", b.subsets[0].limit)
	}
}

// A server that waits for tiers behind it holds more calls for the same work than one that works alone.
func TestWindowCountsTheTiersBehind(t *testing.T) {
	for _, c := range []struct{ tiers, tier, want int }{{0, 0, 1}, {1, 0, 1}, {3, 0, 3}, {3, 2, 1}} {
		b := newBalancer(t, func(s *Settings) { s.Tiers, s.Tier = c.tiers, c.tier })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
		if want := initialLimitPerEndpoint * 2 * float64(c.want); b.subsets[0].limit != want {
			t.Errorf("tier %d of %d: window %v for 4 servers and 2 copies, want %v", c.tier, c.tiers, b.subsets[0].limit, want)
		}
	}
}

// A fleet enlarged in a surge stands on tiers below that did not grow: late answers must not find a floor
// that grew with the list, and answers in good time must raise it.
func TestKneeGrowsByAnswersNotByTheList(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(40)})
	now := msec
	answers := func(n int, after time.Duration) {
		for i := range n {
			id := fmt.Sprint(now, i)
			todo := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + 1500*msec}))
			b.subsets[0].inFlight += 1000 // a window in full use
			for _, s := range todo {
				settle(b, now+after, id, s, Success)
			}
			b.subsets[0].inFlight -= 1000
			now += after
		}
	}
	answers(300, 490*msec)
	if knee := initialLimitPerEndpoint * 2.0; b.subsets[0].limit >= knee || b.subsets[0].limit < minLimitShare*knee {
		t.Errorf("window %v after late answers, want it under the knee of the 4 servers it knew, %v", b.subsets[0].limit, knee)
	}
	before := b.subsets[0].countedEndpoints
	answers(300, 5*msec)
	if b.subsets[0].countedEndpoints <= before || b.subsets[0].countedEndpoints > b.subsets[0].fairShare {
		t.Errorf("base %v after answers in good time, %v before", b.subsets[0].countedEndpoints, before)
	}
}

// In overload the window must shrink, and never under its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
		start, now := b.subsets[0].limit, time.Duration(0)
		var open []SendAttempt
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sentAt+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(settle(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.subsets[0].limit > start; grew != tc.grow || b.subsets[0].limit < minLimitShare*start {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.subsets[0].limit, start)
		}
		if !tc.grow && b.subsets[0].limit > start/2 {
			t.Errorf("late answers left the window at %.1f of %.1f", b.subsets[0].limit, start)
		}
	}
}

// A marked repeat is mostly past its aim already: while there is little room, first tries go first.
func TestFirstTriesGoBeforeRepeats(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(1)})
	b.subsets[0].limit = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, IsRetry: true})
	b.classes["get"].LateAnswerWeight = 0.5
	b.subsets[0].inFlight = int(initialLimitPerEndpoint*b.subsets[0].fairShare) + 2
	b.subsets[0].limit = float64(b.subsets[0].inFlight) // one comes free by the next answer
	next := sends(settle(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// What a tenant sends beyond its share waits behind what is within a share, whoever came first.
func TestSharesGoBeforeWhatIsBeyondThem(t *testing.T) {
	b := newBalancer(t, func(s *Settings) {
		s.Tenants, s.OverQuotaWeight = []Tenant{{Name: "big", Quota: 2}, {Name: "small", Quota: 2}}, 0.05
	})
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(1)})
	b.subsets[0].limit = 1
	now := 10 * time.Second // what is saved lies ready at this copy: three requests
	first := sends(b.Handle(now, Request{ID: "first", Class: "get", Tenant: "big", Deadline: now + time.Second}))
	for _, id := range []string{"second", "third"} {
		b.Handle(now, Request{ID: id, Class: "pay", Tenant: "big", Deadline: now + time.Second})
		if b.requests[id].overQuota {
			t.Errorf("%s is beyond its share", id)
		}
		b.Handle(now, ClientDisconnected{ID: id})
	}
	b.subsets[0].inFlight = int(initialLimitPerEndpoint*b.subsets[0].fairShare) + 2
	b.subsets[0].limit = float64(b.subsets[0].inFlight) // one comes free by the next answer
	b.Handle(now, Request{ID: "within", Class: "get", Tenant: "small", Deadline: now + time.Second})
	b.Handle(now+msec, Request{ID: "over", Class: "get", Tenant: "big", Deadline: now + time.Second})
	b.Handle(now+msec, Request{ID: "unknown", Class: "get", Tenant: "none", Deadline: now + time.Second})
	if r := b.requests; r["first"].overQuota || r["within"].overQuota || !r["over"].overQuota || !r["unknown"].overQuota {
		t.Errorf("beyond their shares: %v %v %v %v", r["first"].overQuota, r["within"].overQuota, r["over"].overQuota, r["unknown"].overQuota)
	}
	next := sends(settle(b, now+10*msec, "first", first[0], Success))
	if len(next) == 0 || next[0].ID != "within" {
		t.Errorf("after an answer %v was sent", next)
	}
	b.Handle(now+2*time.Second, Request{ID: "later", Class: "get", Tenant: "big", Deadline: now + 3*time.Second})
	if r := b.requests["later"]; r == nil || r.overQuota {
		t.Errorf("the share was not refilled: %+v", r)
	}
}

// In overload every server is missed: the more is shed, the fewer may be ruled out for their health.
func TestSheddingLeavesMoreServersIn(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(20)})
		for _, s := range b.subsets[0].ready[:10] {
			s.ejectedUntil = time.Minute
		}
		b.subsets[0].shedRate = c.shed
		_, out := b.excludeUnhealthy(&request{class: b.classes["get"]}, b.subsets[0].ready)
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// Answers that fill two thirds of the aim are the first sign of a crowd: since attempts end with the aim, late calls
// no longer hold room back by themselves. Where servers never took less, they are no sign.
func TestWindowFallsBeforeAnswersAreLate(t *testing.T) {
	for _, c := range []struct {
		before, took time.Duration // of an aim of 500 ms
		falls        bool
	}{{100 * msec, 340 * msec, true}, {100 * msec, 250 * msec, false}, {250 * msec, 340 * msec, true},
		{340 * msec, 340 * msec, false}, {340 * msec, 400 * msec, true}, {480 * msec, 480 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(40)})
		p, start := b.subsets[0], b.subsets[0].limit
		answers := func(took time.Duration) {
			for range 300 {
				p.inFlight = int(p.limit)
				b.adjustLimit(&request{class: b.classes["get"], attempts: []*attempt{{sentAt: b.now - took}}}, AttemptEnded{Result: Success})
			}
		}
		answers(c.before)
		if answers(c.took); p.limit < start != c.falls {
			t.Errorf("answers after %v, before %v: window %.1f from %.1f", c.took, c.before, p.limit, start)
		}
	}
}

// Servers that choked need the crowd to go, and where all answers are late nothing is lost by that: the window
// yields at once, and regains what it started with as soon as answers come in time.
func TestWindowYieldsWhereAllIsLateAndRecovers(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(40)})
	p, start := b.subsets[0], b.subsets[0].limit
	answers := func(n int, e AttemptResult) {
		for range n {
			p.inFlight = int(p.limit)
			b.adjustLimit(&request{class: b.classes["get"], attempts: []*attempt{{sentAt: b.now - 10*msec}}}, AttemptEnded{Result: e})
		}
	}
	p.latencyRatio = 1
	if answers(60, TimedOut); p.limit > start/2 {
		t.Errorf("window %.0f from %.0f after 60 time-outs", p.limit, start)
	}
	p.latencyRatio = 0.3
	if answers(100, Success); p.limit < start {
		t.Errorf("window %.0f after 100 answers in good time, want %.0f again", p.limit, start)
	}
	if answers(100, Success); p.limit > 1.1*start {
		t.Errorf("window %.0f from %.0f: beyond its start it must grow slowly", p.limit, start)
	}
}

// Some servers far slower than others are choking, so the window gets leaner while much is shed;
// servers that are alike are merely busy, and a lean window would leave them partly idle.
func TestWindowIsLeanerWhenServersDiffer(t *testing.T) {
	window := func(spread float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
		b.subsets[0].limit, b.subsets[0].latencyRatio = 100, 0.4
		b.subsets[0].samples, b.subsets[0].minLatencyRatio = 1000, 0.1 // they were quicker before
		r := &request{class: b.classes["get"], attempts: []*attempt{{sentAt: 0}}}
		for i := range 50 {
			b.subsets[0].shedRate = 0.8
			for k, s := range b.subsets[0].ready {
				s.relativeLatency = spread * (float64(k%2) - 0.5)
			}
			b.now, b.subsets[0].inFlight = 200*msec, int(b.subsets[0].limit)
			if b.adjustLimit(r, AttemptEnded{Result: Success}); b.subsets[0].latencyRatio < 0.39 {
				t.Fatalf("fill fell to %.2f at answer %d", b.subsets[0].latencyRatio, i)
			}
		}
		return b.subsets[0].limit
	}
	if alike, apart := window(0), window(1); alike <= 100 || apart >= 100 {
		t.Errorf("window from 100: alike %.1f, want growth; apart %.1f, want shrinking", alike, apart)
	}
}

// A refused client is not sent away for long: it would come back when its aim is mostly over.
func TestRefusalsBringClientsBackSoon(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: servers(2)})
	b.subsets[0].limit, b.subsets[0].inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}

// A pool with every server down holds or ends its own requests, and the others go on.
func TestDeadPoolStopsNobodyElse(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].AllowedMachineTypes = []string{"x"} })
	list := servers(6)
	list[0].MachineType, list[1].MachineType = "x", "x"
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	for i := range 20 {
		id := fmt.Sprint(i)
		todo := sends(b.Handle(0, Request{ID: id, Class: "get", Deadline: time.Second}))
		for k := 0; len(todo) > 0; k++ {
			if s := todo[0].Endpoint; s != "s00" && s != "s01" {
				t.Fatalf("a bound request went to %s", s)
			}
			todo = sends(b.Handle(b.now, AttemptEnded{ID: id, Attempt: k, Endpoint: todo[0].Endpoint, Result: ConnectFailed}))
		}
	}
	b.Handle(msec, EndpointUpdate{Endpoints: []Endpoint{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sends(b.Handle(2*msec, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d sends though no server is open to the class", n)
	}
	if n := len(sends(b.Handle(2*msec, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d sends of a class that is free to go elsewhere, want 1", n)
	}
}

// Two pools that overlap must not both count a server in the floors of their windows.
func TestFloorsOfOverlappingPoolsDoNotAddUp(t *testing.T) {
	b, _ := boundToSlow(t, 12)
	free, bound := b.classes["get"].subset, b.classes["post"].subset
	if bound.fairShare != 2 || free.fairShare != 4 {
		t.Errorf("12 servers for 2 copies: %v fair ones for the bound pool, %v for the free one; want 2 and 4", bound.fairShare, free.fairShare)
	}
}

// Clients that leave early and ask again must not make room: their calls run on and fill the window until
// each has its outcome.
func TestCallsOfClientsThatLeftKeepTheirRoom(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 5 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
	b.subsets[0].limit = 4
	var sent []SendAttempt
	for i := range 40 {
		id := fmt.Sprint(i)
		sent = append(sent, sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))...)
		if acts := b.Handle(msec, ClientDisconnected{ID: id}); len(acts) > 0 {
			t.Fatalf("%v after a client left", acts)
		}
	}
	if len(sent) != 4 {
		t.Fatalf("%d calls out in a window of 4", len(sent))
	}
	b.Handle(100*msec, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Result: Success, Answered: true})
	if got := sends(b.Handle(100*msec, Request{ID: "next", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("%d calls sent when an outcome has made room, want 1", len(got))
	}
}

// Many copies with windows of one and a half calls must not all let two out when answers come late.
func TestFallingWindowIsRoundedByADraw(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 40 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(12)}) // a floor of 1.5 calls
	p, closed := b.subsets[0], 0
	ends := func(fill float64, e AttemptResult) bool {
		p.limit, p.latencyRatio, p.inFlight = 1.5, fill, 1
		b.adjustLimit(&request{class: b.classes["get"], attempts: []*attempt{{}}}, AttemptEnded{Result: e})
		return b.atLimit(p)
	}
	for range 400 {
		if ends(1, TimedOut) {
			closed++
		}
	}
	if closed < 160 || closed > 240 {
		t.Errorf("closed to a second call %d times in 400, want about half", closed)
	}
	if ends(0, Success) {
		t.Error("a window that does not fall must be rounded up")
	}
}
