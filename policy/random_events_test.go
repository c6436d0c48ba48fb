package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomRun gives a Balancer random valid events, and some invalid ones.
type randomRun struct {
	rng       *rand.Rand
	balancer  *Balancer
	checker   *checker // nil: the actions are not checked
	now       time.Duration
	log       []string // all actions
	endpoints []Endpoint
	attempts  []pendingAttempt
	timers    []SetTimer
	ids       []string        // of all requests
	answered  map[string]bool // requests that have their final answer
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	id       string
	index    int
	endpoint string
	due      time.Duration
	timesOut bool
}

// runRandomEvents returns the log of all actions of a run, and the Balancer at its end.
func runRandomEvents(t testing.TB, set Settings, seed uint64, steps int, c *checker) (log []string, b *Balancer) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	b, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &randomRun{
		rng:       rng,
		balancer:  b,
		checker:   c,
		endpoints: testEndpoints(8),
		answered:  map[string]bool{},
	}
	for i := range r.endpoints {
		r.endpoints[i].MachineType, r.endpoints[i].Zone = fmt.Sprint("k", i%3), []string{"z", "y"}[i/4]
	}
	r.handle(EndpointUpdate{Snapshot: true, Cached: true, Endpoints: r.endpoints})
	for i := range steps {
		r.now += 2 * msec
		r.fireTimers()
		r.endAttempts()
		if i < steps*3/4 && rng.IntN(3) == 0 {
			r.addRequest(fmt.Sprint("r", i))
		}
		if rng.IntN(60) == 0 {
			r.changeList()
		}
		if rng.IntN(40) == 0 {
			r.addInvalidEvents()
		}
		if rng.IntN(50) == 0 && len(r.ids) > 0 {
			id := r.ids[rng.IntN(len(r.ids))]
			r.handle(ClientDisconnected{ID: id})
			r.answered[id] = true
		}
		if rng.IntN(50) == 0 && len(r.ids) > 0 {
			id := r.ids[rng.IntN(len(r.ids))]
			r.handle(ShutdownDeadline{ID: id})
			r.answered[id] = true
		}
	}
	return r.log, b
}

// handle gives an event to the Balancer, checks and logs its actions, and starts the attempts and timers they ask for.
func (r *randomRun) handle(e Event) {
	if r.checker != nil {
		r.checker.event(r.now, e)
	}
	actions := r.balancer.Handle(r.now, e)
	if r.checker != nil {
		r.checker.actions(r.now, actions)
	}
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%v %T%v", r.now, a, a))
		switch a := a.(type) {
		case SendAttempt:
			r.startAttempt(a)
		case SetTimer:
			r.timers = append(r.timers, a)
		}
	}
}

// startAttempt starts an attempt that ends or times out after a random time.
func (r *randomRun) startAttempt(a SendAttempt) {
	index := 0
	for _, p := range r.attempts {
		if p.id == a.ID && p.index >= index {
			index = p.index + 1
		}
	}
	if request := r.balancer.requests[a.ID]; request != nil {
		index = len(request.attempts) - 1
	}
	latency := time.Duration(r.rng.ExpFloat64() * float64(120*msec))
	p := pendingAttempt{a.ID, index, a.Endpoint, r.now + latency, false}
	if r.rng.IntN(8) == 0 || latency > a.Timeout {
		p.due, p.timesOut = r.now+a.Timeout, true
	}
	r.attempts = append(r.attempts, p)
}

// fireTimers fires the timers that are due, some of them twice.
func (r *randomRun) fireTimers() {
	for k := 0; k < len(r.timers); k++ {
		timer := r.timers[k]
		if timer.At > r.now {
			continue
		}
		r.timers = append(r.timers[:k], r.timers[k+1:]...)
		k--
		r.handle(TimerFired{Token: timer.Token})
		if r.rng.IntN(20) == 0 {
			r.handle(TimerFired{Token: timer.Token})
		}
	}
}

// endAttempts ends the attempts that are due, some of them twice.
func (r *randomRun) endAttempts() {
	for k := 0; k < len(r.attempts); k++ {
		p := r.attempts[k]
		if p.due > r.now {
			continue
		}
		r.attempts = append(r.attempts[:k], r.attempts[k+1:]...)
		k--
		e := AttemptEnded{ID: p.id, Attempt: p.index, Endpoint: p.endpoint, Result: Success}
		switch {
		case p.timesOut:
			e.Result = TimedOut
		case r.rng.IntN(3) == 0:
			e.Result = AttemptResult(1 + r.rng.IntN(int(NotSent)))
		}
		if request := r.balancer.requests[p.id]; e.Result == Success || request == nil || request.answered {
			r.answered[p.id] = true
		}
		e.Answered = r.answered[p.id]
		r.handle(e)
		if r.rng.IntN(10) == 0 {
			r.handle(e)
		}
		if r.rng.IntN(30) == 0 {
			r.handle(ClientDisconnected{ID: p.id})
			r.answered[p.id] = true
		}
	}
}

func (r *randomRun) addRequest(id string) {
	classes := []string{"get", "post", "pay", "odd", "seq", "seq", "seq2", "kin", "both", "none"}
	class := classes[r.rng.IntN(len(classes))]
	r.ids = append(r.ids, id)
	r.handle(Request{
		ID:       id,
		Class:    class,
		Deadline: r.now + time.Duration(1+r.rng.IntN(1500))*msec,
		Key:      r.rng.Uint64N(6),
		HasKey:   r.rng.IntN(4) > 0,
	})
}

// changeList makes a random change of one endpoint, and gives it as a snapshot, as a change, or as a change after a
// failure of discovery.
func (r *randomRun) changeList() {
	changed := &r.endpoints[r.rng.IntN(len(r.endpoints))]
	changed.State = EndpointState(r.rng.IntN(3))
	if r.rng.IntN(2) == 0 {
		changed.State, changed.StartedAt = Ready, r.now
	}
	switch r.rng.IntN(4) {
	case 0:
		var list []Endpoint
		for _, ep := range r.endpoints {
			if ep.State != Removed {
				list = append(list, ep)
			}
		}
		r.handle(EndpointUpdate{Snapshot: true, Endpoints: list})
	case 1:
		r.handle(DiscoveryFailed{})
		r.handle(EndpointUpdate{Endpoints: []Endpoint{*changed}})
	default:
		r.handle(EndpointUpdate{Endpoints: []Endpoint{*changed}})
	}
}

// addInvalidEvents gives events of requests that do not exist, and a timer with an invalid token.
func (r *randomRun) addInvalidEvents() {
	r.handle(AttemptEnded{ID: "nobody", Attempt: 3, Result: Success})
	r.handle(TimerFired{Token: "r:nobody"})
	r.handle(TimerFired{Token: "x"})
	r.handle(ClientDisconnected{ID: "nobody"})
	r.handle(ShutdownDeadline{ID: "nobody"})
}

// The rules of the checker must hold on random events, and at the end no state of requests may be left over.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		set := ruleSettings()
		set.Tier = int(seed % 2)
		set.PollEndpoints = seed%4 == 0
		c := newChecker(set)
		log, b := runRandomEvents(t, set, seed, 6000, c)
		for i, s := range c.violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, s)
			}
		}
		if len(log) < 1000 {
			t.Errorf("seed %d: got %d actions, want at least 1000", seed, len(log))
		}
		if len(b.requests) > 0 || len(b.keyQueues) > 0 {
			t.Errorf("seed %d: %d requests and %d key queues are left over", seed, len(b.requests), len(b.keyQueues))
		}
		for i, s := range b.subsets {
			if len(s.queue) > 0 || s.inFlight != 0 {
				t.Errorf("seed %d: %d queued and %d in flight requests of subset %d are left over",
					seed, len(s.queue), s.inFlight, i)
			}
		}
		for id, ep := range b.endpoints {
			if !ep.listed || ep.inFlight != 0 || len(ep.attempts) != 0 {
				t.Errorf("seed %d: endpoint %s is left over, or has attempts left over", seed, id)
			}
		}
	}
}

// The same events and seed must give the same actions, also when there is another Balancer in the process.
func TestSameEventsSameActions(t *testing.T) {
	first, _ := runRandomEvents(t, ruleSettings(), 5, 3000, nil)
	other, _ := New(testSettings(), 99)
	other.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(3)})
	second, _ := runRandomEvents(t, ruleSettings(), 5, 3000, nil)
	if len(first) < 500 {
		t.Fatalf("got %d actions, want at least 500", len(first))
	}
	if strings.Join(first, "\n") != strings.Join(second, "\n") {
		t.Fatal("the same events and seed gave different actions")
	}
}
