package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overloadSimulation simulates a small fleet in virtual time. The replicas send to the first tier and share nothing.
// Each endpoint serves attempts in the order of arrival, even if no client waits for them any more, first on one of its
// cores and then waiting for the tiers behind it.
type overloadSimulation struct {
	replicas    int
	endpoints   int
	cores       int           // of each endpoint
	work        time.Duration // mean time that a request takes on a core
	wait        time.Duration // mean time that a request then waits for the tiers behind
	load        float64       // ratio of the clients' requests to the capacity of the endpoints
	burst       float64       // factor on the load in the second third of the simulated time
	retries     int           // how often a client retries at once when it is rejected
	objective   time.Duration // latency objective
	duration    time.Duration // simulated time
	withTenants bool          // with one tenant, whose quota is 0.8 of the capacity
}

// thirds holds a value for each third of the simulated time.
type thirds [3]float64

// clientRequest is one request of a client. Each retry of the client has an entry of its own.
type clientRequest struct {
	replica     int           // index of the replica that gets it
	third       int           // third of the simulated time in which the client sent its first request
	retriesLeft int           // of the client
	firstSent   time.Duration // when the client sent its first request
	attempts    int           // attempts that the replica has sent
}

// overloadRun is the state of one run of a simulation.
type overloadRun struct {
	overloadSimulation
	rng       *rand.Rand
	balancers []*Balancer
	requests  map[string]*clientRequest // by ID
	events    eventQueue
	coreFree  map[string][]time.Duration // by endpoint: when each of its cores is free
	timers    map[string]int             // by token: the replica that set the timer
	offered   thirds                     // requests of clients, without their retries
	served    thirds                     // requests answered within the objective
}

// capacity returns the requests a second that all endpoints together can serve.
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

// run returns, for each third of the simulated time, the share of requests that were answered within the objective.
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
			r.apply(x.at, replica, a)
		}
	}
	var shares thirds
	for i := range shares {
		shares[i] = r.served[i] / max(r.offered[i], 1)
	}
	return shares
}

// start creates the replicas and gives them the endpoint list.
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

func (r *overloadRun) thirdAt(at time.Duration) int { return min(2, int(3*at/r.duration)) }

// addRequests draws the arrival times of the clients' requests, as a Poisson process.
func (r *overloadRun) addRequests() {
	for at := time.Duration(0); ; {
		rate := r.load * r.capacity()
		if r.thirdAt(at) == 1 {
			rate *= r.burst
		}
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= r.duration {
			return
		}
		third := r.thirdAt(at)
		r.offered[third]++
		r.arrive(at, &clientRequest{third: third, retriesLeft: r.retries, firstSent: at})
	}
}

// arrive schedules the arrival of a request at a random replica.
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

// replicaOf returns the index of the replica that gets an event, and counts successes within the objective.
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

// apply schedules the events that follow from an action of a replica: the end of an attempt, the retry of a rejected
// client, or a timer.
func (r *overloadRun) apply(now time.Duration, replica int, a Action) {
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
		r.timers[a.Token] = replica // tokens hold a request ID, which only one replica knows
		r.events.add(max(a.At, now), TimerFired{Token: a.Token})
	}
}

// startWork serves an attempt on the core of its endpoint that is free first, and schedules its end.
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

// Endpoints that can hold many requests must get them: large ones, and endpoints that wait for the tiers behind them
// most of the time. A limit that is too low leaves them idle. Responses that take long at any load are no sign of
// overload either: replicas that shed requests because of them would never stop shedding.
func TestLargeAndWaitingEndpointsAreUsed(t *testing.T) {
	for _, s := range []overloadSimulation{
		{replicas: 8, endpoints: 8, cores: 8, work: 150 * msec, wait: 1300 * msec, load: 0.5, burst: 1.5, retries: 2,
			objective: 2500 * msec, duration: 24 * time.Second, withTenants: true},
		{replicas: 40, endpoints: 44, cores: 4, work: 300 * msec, wait: 1400 * msec, load: 0.45, burst: 1.6, retries: 3,
			objective: 2500 * msec, duration: 24 * time.Second, withTenants: true},
		{replicas: 20, endpoints: 20, cores: 2, work: 400 * msec, wait: 1400 * msec, load: 0.4, burst: 2.2, retries: 3,
			objective: 2500 * msec, duration: 30 * time.Second, withTenants: true},
	} {
		for seed := range uint64(3) {
			shares := s.run(t, seed)
			if slices.Min(shares[:]) < 0.7 {
				t.Errorf("seed %d, %+v: share served in time, by third: %.2f, want 0.7 at least", seed, s, shares)
			} else {
				t.Logf("seed %d, %d endpoints of %d cores: share served in time, by third: %.2f",
					seed, s.endpoints, s.cores, shares)
			}
		}
	}
}

// Load beyond the capacity of the endpoints must be shed, or no request is answered in time. The burst in the second
// third is nearly twice the capacity, and attempts queued at the endpoints would make those of the last third late too.
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
			duration:    30 * time.Second,
			withTenants: true,
		}
		shares := s.run(t, seed)
		t.Logf("seed %d: share served in time, by third: %.2f", seed, shares)
		if shares[1] < 0.2 || shares[2] < 0.5 {
			t.Errorf("seed %d: share served in time, by third: %.2f, want 0.2 in the burst and 0.5 after it at least",
				seed, shares)
		}
	}
}
