package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// crowd is a small fleet in virtual time: copies of the first tier that share nothing, and servers that work off
// what they get in the order of its arrival, whether or not anybody still waits for it, and then wait for others.
type crowd struct {
	copies, servers, cores int
	work, wait             time.Duration // means, for each request
	load                   float64       // of what the servers can do
	burst                  float64       // times that, in the second third of the day
	retries                int           // of a refused client, at once
	aim, day               time.Duration
	tenants                bool // tenants were promised four fifths of what the servers can do
}

// play gives the share of the requests of each third of the day that were answered within the aim.
func (c crowd) play(t *testing.T, seed uint64) (thirds [3]float64) {
	t.Helper()
	set := Settings{Classes: []Class{{Name: "get", Idempotency: Idempotent, DeduplicationScope: ScopeAll, LatencyObjective: c.aim, Deadline: 2 * c.aim, PriorityWeight: 1}},
		Replicas: c.copies, Tiers: 3, TotalWeight: 1, ClientsMarkRetries: true, MaxAttempts: 3, TimerResolution: 5 * msec}
	capacity := float64(c.servers*c.cores) / c.work.Seconds()
	if c.tenants {
		set.Tenants = []Tenant{{"all", 0.8 * capacity}}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []Endpoint
	for i := range c.servers {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%03d", i)})
	}
	var copies []*Balancer
	for i := range c.copies {
		set.ReplicaIndex = i
		b, err := New(set, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		copies = append(copies, b)
	}
	type try struct {
		copy, third, left int // left: the client's further tries
		first             time.Duration
		attempts          int
	}
	var due dueHeap
	order := 0
	later := func(at time.Duration, e Event) {
		order++
		heap.Push(&due, dueEvent{at, order, e})
	}
	tries, offered, served := map[string]*try{}, [3]float64{}, [3]float64{}
	arrive := func(at time.Duration, y *try) {
		y.copy = rng.IntN(c.copies)
		id := fmt.Sprint(len(tries))
		tries[id] = y
		later(at, Request{ID: id, Class: "get", Tenant: "all", Deadline: y.first + 2*c.aim, IsRetry: at > y.first})
	}
	for at := time.Duration(0); ; {
		rate, third := c.load*capacity, min(2, int(3*at/c.day))
		if third == 1 {
			rate *= c.burst
		}
		if at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); at >= c.day {
			break
		}
		third = min(2, int(3*at/c.day))
		offered[third]++
		arrive(at, &try{third: third, left: c.retries, first: at})
	}
	free := map[string][]time.Duration{} // when each core of a server is free
	for _, s := range list {
		free[s.ID] = make([]time.Duration, c.cores)
	}
	wakes := map[string]int{}
	for len(due) > 0 {
		x := heap.Pop(&due).(dueEvent)
		var at int
		switch e := x.e.(type) {
		case Request:
			at = tries[e.ID].copy
		case AttemptEnded:
			if y := tries[e.ID]; e.Result == Success && x.at <= y.first+c.aim {
				served[y.third]++
			}
			at = tries[e.ID].copy
		case TimerFired:
			at = wakes[e.Token]
		}
		for _, a := range copies[at].Handle(x.at, x.e) {
			switch a := a.(type) {
			case SendAttempt:
				y, cores := tries[a.ID], free[a.Endpoint]
				core := slices.Index(cores, slices.Min(cores))
				cores[core] = max(cores[core], x.at) + time.Duration((0.5+rng.Float64())*float64(c.work))
				took := cores[core] - x.at + time.Duration((0.8+0.4*rng.Float64())*float64(c.wait))
				o := AttemptEnded{ID: a.ID, Attempt: y.attempts, Endpoint: a.Endpoint, Latency: took, Answered: true}
				if took > a.Timeout {
					o.Result, o.Latency, o.Answered = TimedOut, a.Timeout, false
				}
				y.attempts++
				later(x.at+o.Latency, o)
			case Reject:
				if y := tries[a.ID]; y.left > 0 && x.at < y.first+c.aim {
					arrive(x.at+msec, &try{third: y.third, left: y.left - 1, first: y.first})
				}
			case SetTimer:
				wakes[a.Token] = at // an id is one copy's
				later(max(a.At, x.at), TimerFired{Token: a.Token})
			}
		}
	}
	for i := range thirds {
		thirds[i] = served[i] / max(offered[i], 1)
	}
	return thirds
}

// Servers that hold many calls without a crowd must get them: large ones, and such that wait for others most of the
// time. And answers that take long by themselves are no crowd: nodes that shed for them would shed for ever.
func TestServersThatBearMuchGetIt(t *testing.T) {
	for _, c := range []crowd{
		{copies: 8, servers: 8, cores: 8, work: 150 * msec, wait: 1300 * msec, load: 0.5, burst: 1.5, retries: 2,
			aim: 2500 * msec, day: 24 * time.Second, tenants: true},
		{copies: 40, servers: 44, cores: 4, work: 300 * msec, wait: 1400 * msec, load: 0.45, burst: 1.6, retries: 3,
			aim: 2500 * msec, day: 24 * time.Second, tenants: true},
		{copies: 20, servers: 20, cores: 2, work: 400 * msec, wait: 1400 * msec, load: 0.4, burst: 2.2, retries: 3,
			aim: 2500 * msec, day: 30 * time.Second, tenants: true},
	} {
		for seed := range uint64(3) {
			if thirds := c.play(t, seed); slices.Min(thirds[:]) < 0.7 {
				t.Errorf("seed %d, %+v: served by thirds %.2f, want 0.7 in each", seed, c, thirds)
			} else {
				t.Logf("seed %d: %d servers of %d cores: served by thirds %.2f", seed, c.servers, c.cores, thirds)
			}
		}
	}
}

// What the servers cannot do must still be shed, or nothing is answered in time: at nearly twice what they can do the burst
// would drown them, and what it left behind the third after it.
func TestCrowdIsStillShed(t *testing.T) {
	for seed := range uint64(3) {
		c := crowd{copies: 20, servers: 20, cores: 2, work: 400 * msec, wait: 500 * msec, load: 0.9, burst: 2, retries: 2,
			aim: 2500 * msec, day: 30 * time.Second, tenants: true}
		thirds := c.play(t, seed)
		t.Logf("seed %d: served by thirds %.2f", seed, thirds)
		if thirds[1] < 0.2 || thirds[2] < 0.5 {
			t.Errorf("seed %d: served by thirds %.2f, want 0.2 in the burst at least, and 0.5 after it", seed, thirds)
		}
	}
}
