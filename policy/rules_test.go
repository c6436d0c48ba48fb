package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// ruleSettings adds classes that keep their order or are bound to some servers.
func ruleSettings() Settings {
	set := testSettings()
	set.KeySettleTime = 30 * msec
	for _, c := range []Class{
		{Name: "seq", Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 900 * msec, SerializedByKey: true, AllowedZones: []string{"z"}},
		{Name: "seq2", Idempotency: NotIdempotent, SerializedByKey: true},
		{Name: "kin", Idempotency: Idempotent, AllowedMachineTypes: []string{"k1", "k2"}},
		{Name: "both", Idempotency: IdempotentWithKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 300 * msec, AllowedMachineTypes: []string{"k1"},
			AllowedZones: []string{"y"}},
		{Name: "none", Idempotency: Idempotent, AllowedMachineTypes: []string{"k9"}},
	} {
		c.LatencyObjective, c.Deadline, c.PriorityWeight = 500*msec, 1500*msec, 1
		set.Classes = append(set.Classes, c)
	}
	return set
}

// TestCheckerCanFail gives the checker a trace that breaks each rule.
func TestCheckerCanFail(t *testing.T) {
	list := EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{{ID: "a", Cell: 0, Zone: "z"},
		{ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Result: TimedOut}
	seq := func(id string) Request {
		return Request{ID: id, Class: "seq", Deadline: 1000 * msec, Key: 4, HasKey: true}
	}
	ends := func(id string, e AttemptResult) AttemptEnded { return AttemptEnded{ID: id, Result: e, Answered: true} }
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), SendAttempt{ID: "s2", Endpoint: "a"}}},
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), SendAttempt{ID: "s1", Endpoint: "a"},
			ClientDisconnected{ID: "s1"}, SendAttempt{ID: "s2", Endpoint: "a"}}},
		{"rule 5: s2 sent before s1", []any{list, seq("s1"), seq("s2"), SendAttempt{ID: "s1", Endpoint: "a"},
			ends("s1", ConnectionLost), 29 * msec, SendAttempt{ID: "s2", Endpoint: "a"}}},
		{"rule 6: r sent to zone", []any{list, req("seq"), SendAttempt{ID: "r", Endpoint: "b"}}},
		{"rule 6: r sent to kind", []any{list, req("kin"), SendAttempt{ID: "r", Endpoint: "b"}}},
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, TimerFired{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, SendAttempt{ID: "r", Endpoint: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), SendAttempt{ID: "r", Endpoint: "a"}, timedOut, SendAttempt{ID: "r", Endpoint: "a"}}},
		{"rule 2: r refused", []any{list, req("pay"), SendAttempt{ID: "r", Endpoint: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{list, req("post"), SendAttempt{ID: "r", Endpoint: "a"}, 950 * msec, timedOut,
			SendAttempt{ID: "r", Endpoint: "a"}}},
		{"outside its scope", []any{list, req("post"), SendAttempt{ID: "r", Endpoint: "a"}, timedOut, SendAttempt{ID: "r", Endpoint: "b"}}},
		{"rule 3", []any{list, req("get"), SendAttempt{ID: "r", Endpoint: "c"}}},
		{"second copy", []any{list, req("get"), SendAttempt{ID: "r", Endpoint: "a"}, SendAttempt{ID: "r", Endpoint: "b"}}},
	} {
		c := newChecker(ruleSettings())
		var now time.Duration
		for _, s := range tc.steps {
			switch s := s.(type) {
			case time.Duration:
				now = s
			case Event:
				c.event(now, s)
			case Action:
				c.actions(now, []Action{s})
			}
		}
		if !strings.Contains(strings.Join(c.broken, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.broken)
		}
	}
}

// run drives a Balancer with random legal events and odd ones, and returns all its actions.
func run(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	type pending struct {
		id      string
		n       int
		server  string
		due     time.Duration
		timeout bool
	}
	var out []pending
	var timers []SetTimer
	var ids []string
	fleet := servers(8)
	for i := range fleet {
		fleet[i].MachineType, fleet[i].Zone = fmt.Sprint("k", i%3), []string{"z", "y"}[i/4]
	}
	now := time.Duration(0)
	give := func(e Event) {
		if c != nil {
			c.event(now, e)
		}
		acts := b.Handle(now, e)
		if c != nil {
			c.actions(now, acts)
		}
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %T%v", now, a, a))
			switch a := a.(type) {
			case SendAttempt:
				n := 0
				for _, p := range out {
					if p.id == a.ID && p.n >= n {
						n = p.n + 1
					}
				}
				if r := b.requests[a.ID]; r != nil {
					n = len(r.attempts) - 1
				}
				took := time.Duration(rng.ExpFloat64() * float64(120*msec))
				p := pending{a.ID, n, a.Endpoint, now + took, false}
				if rng.IntN(8) == 0 || took > a.Timeout {
					p.due, p.timeout = now+a.Timeout, true
				}
				out = append(out, p)
			case SetTimer:
				timers = append(timers, a)
			}
		}
	}
	give(EndpointUpdate{Snapshot: true, Cached: true, Endpoints: fleet})
	ended := map[string]bool{}
	for i := range steps {
		now += 2 * msec
		for k := 0; k < len(timers); k++ {
			if w := timers[k]; w.At <= now {
				timers = append(timers[:k], timers[k+1:]...)
				k--
				give(TimerFired{Token: w.Token})
				if rng.IntN(20) == 0 {
					give(TimerFired{Token: w.Token})
				}
			}
		}
		for k := 0; k < len(out); k++ {
			p := out[k]
			if p.due > now {
				continue
			}
			out = append(out[:k], out[k+1:]...)
			k--
			e := AttemptEnded{ID: p.id, Attempt: p.n, Endpoint: p.server, Result: Success}
			switch {
			case p.timeout:
				e.Result = TimedOut
			case rng.IntN(3) == 0:
				e.Result = AttemptResult(1 + rng.IntN(int(NotSent)))
			}
			if r := b.requests[p.id]; e.Result == Success || r == nil || r.answered {
				ended[p.id] = true
			}
			e.Answered = ended[p.id]
			give(e)
			if rng.IntN(10) == 0 {
				give(e)
			}
			if rng.IntN(30) == 0 {
				give(ClientDisconnected{ID: p.id})
				ended[p.id] = true
			}
		}
		if i < steps*3/4 && rng.IntN(3) == 0 {
			id := fmt.Sprint("r", i)
			class := []string{"get", "post", "pay", "odd", "seq", "seq", "seq2", "kin", "both", "none"}[rng.IntN(10)]
			ids = append(ids, id)
			give(Request{ID: id, Class: class, Deadline: now + time.Duration(1+rng.IntN(1500))*msec,
				Key: rng.Uint64N(6), HasKey: rng.IntN(4) > 0})
		}
		if rng.IntN(60) == 0 {
			s := &fleet[rng.IntN(len(fleet))]
			s.State = EndpointState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.State, s.StartedAt = Ready, now
			}
			switch rng.IntN(4) {
			case 0:
				var l []Endpoint
				for _, s := range fleet {
					if s.State != Removed {
						l = append(l, s)
					}
				}
				give(EndpointUpdate{Snapshot: true, Endpoints: l})
			case 1:
				give(DiscoveryFailed{})
				give(EndpointUpdate{Endpoints: []Endpoint{*s}})
			default:
				give(EndpointUpdate{Endpoints: []Endpoint{*s}})
			}
		}
		if rng.IntN(40) == 0 {
			give(AttemptEnded{ID: "nobody", Attempt: 3, Result: Success})
			give(TimerFired{Token: "r:nobody"})
			give(TimerFired{Token: "x"})
			give(ClientDisconnected{ID: "nobody"})
			give(ShutdownDeadline{ID: "nobody"})
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ClientDisconnected{ID: id})
			ended[id] = true
		}
		if rng.IntN(50) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			give(ShutdownDeadline{ID: id})
			ended[id] = true
		}
	}
	return log, b
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := ruleSettings()
		set.Tier = int(seed % 2)
		set.PollEndpoints = seed%4 == 0
		c := newChecker(set)
		log, b := run(t, set, seed, 6000, c)
		for i, s := range c.broken {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: only %d actions", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.keyQueues) > 0 {
			t.Errorf("seed %d: %d requests and %d lines are left over", seed, len(b.requests), len(b.keyQueues))
		}
		for i, p := range b.subsets {
			if len(p.queue) > 0 || p.inFlight != 0 {
				t.Errorf("seed %d: %d held and %d calls of pool %d are left over", seed, len(p.queue), p.inFlight, i)
			}
		}
		for id, s := range b.endpoints {
			if !s.listed || s.inFlight != 0 || len(s.attempts) != 0 {
				t.Errorf("seed %d: server %s is left over", seed, id)
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, _ := run(t, ruleSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99) // a neighbour in the process changes nothing
	other.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(3)})
	b, _ := run(t, ruleSettings(), 5, 3000, nil)
	if len(a) < 500 {
		t.Fatalf("only %d actions", len(a))
	}
	if strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatal("the same events and seed gave other actions")
	}
}

const fallFor = 2 * time.Second

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, fleet := time.Duration(0), servers(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				fleet[int(x/7)%4].State = EndpointState(x % 3)
				b.Handle(now, EndpointUpdate{Snapshot: x%2 == 0, Endpoints: fleet[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
			case 3:
				b.Handle(now, AttemptEnded{ID: id, Attempt: int(x%4) - 1, Result: AttemptResult(x % 9), Answered: x%2 == 0})
			case 4:
				b.Handle(now, TimerFired{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientDisconnected{ID: id})
			case 6:
				b.Handle(now, ResponseStarted{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * msec / 4
		}
	})
}
