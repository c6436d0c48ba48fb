package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overloadSimulation is a small fleet in virtual time: replicas of the first tier that share nothing, and endpoints
// that work off requests in the order of arrival, whether or not a client still waits, and then wait for others.
type overloadSimulation struct {
	replicas    int
	endpoints   int
	cores       int           // of each endpoint
	work        time.Duration // mean of a request on a core
	wait        time.Duration // mean of a request for others
	load        float64       // over the capacity of the endpoints
	burst       float64       // times that, in the second third of the day
	retries     int           // of a rejected client, at once
	objective   time.Duration
	day         time.Duration
	withTenants bool // with quotas of four fifths of the capacity
}

// thirds holds a value for each third of a day.
type thirds [3]float64

// clientRequest is a request of the simulation, one entry for each retry of its client.
type clientRequest struct {
	replica     int
	third       int // of the day, in which the client sent it first
	retriesLeft int
	firstSent   time.Duration
	attempts    int
}

// overloadRun is the state of a simulation.
type overloadRun struct {
	overloadSimulation
	rng       *rand.Rand
	balancers []*Balancer
	requests  map[string]*clientRequest
	events    eventQueue
	coreFree  map[string][]time.Duration // when each core of an endpoint is free
	timers    map[string]int             // the replica that set each timer
	offered   thirds
	served    thirds
}

func (s overloadSimulation) capacity() float64 {
	return float64(s.endpoints*s.cores) / s.work.Seconds()
}

func (s overloadSimulation) settings() Settings {
	set := Settings{
		Classes: []Class{{
			Name:               "get",
			Idempotency:        Idempotent,
			DeduplicationScope: ScopeAll,
			LatencyObjective:   s.objective,
			Deadline:           2 * s.objective,
			PriorityWeight:     1,
		}},
		Replicas:           s.replicas,
		Tiers:              3,
		TotalWeight:        1,
		ClientsMarkRetries: true,
		MaxAttempts:        3,
		TimerResolution:    5 * msec,
	}
	if s.withTenants {
		set.Tenants = []Tenant{{"all", 0.8 * s.capacity()}}
	}
	return set
}

// run gives the share of the requests of each third of the day that were answered within the objective.
func (s overloadSimulation) run(t *testing.T, seed uint64) thirds {
	t.Helper()
	r := &overloadRun{
		overloadSimulation: s,
		rng:                rand.New(rand.NewPCG(seed, 1)),
		requests:           map[string]*clientRequest{},
		coreFree:           map[string][]time.Duration{},
		timers:             map[string]int{},
	}
	r.start(t, seed)
	r.addRequests()
	for !r.events.empty() {
		x := r.events.next()
		replica := r.replicaOf(x)
		for _, a := range r.balancers[replica].Handle(x.at, x.event) {
			r.follow(x.at, replica, a)
		}
	}
	var shares thirds
	for i := range shares {
		shares[i] = r.served[i] / max(r.offered[i], 1)
	}
	return shares
}

// start makes the replicas and gives them the endpoint list.
func (r *overloadRun) start(t *testing.T, seed uint64) {
	t.Helper()
	var list []Endpoint
	for i := range r.endpoints {
		id := fmt.Sprintf("s%03d", i)
		list = append(list, Endpoint{ID: id})
		r.coreFree[id] = make([]time.Duration, r.cores)
	}
	set := r.settings()
	for i := range r.replicas {
		set.ReplicaIndex = i
		b, err := New(set, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		r.balancers = append(r.balancers, b)
	}
}

func (r *overloadRun) thirdAt(at time.Duration) int { return min(2, int(3*at/r.day)) }

// addRequests draws the clients' requests of the day.
func (r *overloadRun) addRequests() {
	for at := time.Duration(0); ; {
		rate := r.load * r.capacity()
		if r.thirdAt(at) == 1 {
			rate *= r.burst
		}
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= r.day {
			return
		}
		third := r.thirdAt(at)
		r.offered[third]++
		r.arrive(at, &clientRequest{third: third, retriesLeft: r.retries, firstSent: at})
	}
}

// arrive lets a request come to some replica.
func (r *overloadRun) arrive(at time.Duration, request *clientRequest) {
	request.replica = r.rng.IntN(r.replicas)
	id := fmt.Sprint(len(r.requests))
	r.requests[id] = request
	r.events.add(at, Request{
		ID:       id,
		Class:    "get",
		Tenant:   "all",
		Deadline: request.firstSent + 2*r.objective,
		IsRetry:  at > request.firstSent,
	})
}

// replicaOf is the replica that gets an event. It counts the successes within the objective.
func (r *overloadRun) replicaOf(x dueEvent) int {
	switch e := x.event.(type) {
	case Request:
		return r.requests[e.ID].replica
	case AttemptEnded:
		request := r.requests[e.ID]
		if e.Result == Success && x.at <= request.firstSent+r.objective {
			r.served[request.third]++
		}
		return request.replica
	case TimerFired:
		return r.timers[e.Token]
	}
	return 0
}

// follow adds what an action of a replica leads to.
func (r *overloadRun) follow(now time.Duration, replica int, a Action) {
	switch a := a.(type) {
	case SendAttempt:
		r.startWork(now, a)
	case Reject:
		if request := r.requests[a.ID]; request.retriesLeft > 0 && now < request.firstSent+r.objective {
			r.arrive(now+msec, &clientRequest{
				third:       request.third,
				retriesLeft: request.retriesLeft - 1,
				firstSent:   request.firstSent,
			})
		}
	case SetTimer:
		r.timers[a.Token] = replica // an ID is one replica's
		r.events.add(max(a.At, now), TimerFired{Token: a.Token})
	}
}

// startWork lets an endpoint work on an attempt, on the core that is free first.
func (r *overloadRun) startWork(now time.Duration, a SendAttempt) {
	request, cores := r.requests[a.ID], r.coreFree[a.Endpoint]
	core := slices.Index(cores, slices.Min(cores))
	cores[core] = max(cores[core], now) + time.Duration((0.5+r.rng.Float64())*float64(r.work))
	latency := cores[core] - now + time.Duration((0.8+0.4*r.rng.Float64())*float64(r.wait))
	ended := AttemptEnded{
		ID:       a.ID,
		Attempt:  request.attempts,
		Endpoint: a.Endpoint,
		Latency:  latency,
		Answered: true,
	}
	if latency > a.Timeout {
		ended.Result, ended.Latency, ended.Answered = TimedOut, a.Timeout, false
	}
	request.attempts++
	r.events.add(now+ended.Latency, ended)
}

// Endpoints that can hold many requests must get them: large ones, and such that wait for others most of the time.
// And responses that take long by themselves are no overload: replicas that shed for them would never stop.
func TestLargeAndWaitingEndpointsAreUsed(t *testing.T) {
	for _, s := range []overloadSimulation{
		{replicas: 8, endpoints: 8, cores: 8, work: 150 * msec, wait: 1300 * msec, load: 0.5, burst: 1.5, retries: 2,
			objective: 2500 * msec, day: 24 * time.Second, withTenants: true},
		{replicas: 40, endpoints: 44, cores: 4, work: 300 * msec, wait: 1400 * msec, load: 0.45, burst: 1.6, retries: 3,
			objective: 2500 * msec, day: 24 * time.Second, withTenants: true},
		{replicas: 20, endpoints: 20, cores: 2, work: 400 * msec, wait: 1400 * msec, load: 0.4, burst: 2.2, retries: 3,
			objective: 2500 * msec, day: 30 * time.Second, withTenants: true},
	} {
		for seed := range uint64(3) {
			shares := s.run(t, seed)
			if slices.Min(shares[:]) < 0.7 {
				t.Errorf("seed %d, %+v: served by thirds %.2f, want 0.7 in each", seed, s, shares)
			} else {
				t.Logf("seed %d: %d endpoints of %d cores: served by thirds %.2f", seed, s.endpoints, s.cores, shares)
			}
		}
	}
}

// What the endpoints cannot do must be shed, or nothing is answered in time: at nearly twice their capacity, the
// burst would overload them, and what it left behind the third after it.
func TestOverloadIsShed(t *testing.T) {
	for seed := range uint64(3) {
		s := overloadSimulation{
			replicas:    20,
			endpoints:   20,
			cores:       2,
			work:        400 * msec,
			wait:        500 * msec,
			load:        0.9,
			burst:       2,
			retries:     2,
			objective:   2500 * msec,
			day:         30 * time.Second,
			withTenants: true,
		}
		shares := s.run(t, seed)
		t.Logf("seed %d: served by thirds %.2f", seed, shares)
		if shares[1] < 0.2 || shares[2] < 0.5 {
			t.Errorf("seed %d: served by thirds %.2f, want 0.2 in the burst at least, and 0.5 after it", seed, shares)
		}
	}
}
