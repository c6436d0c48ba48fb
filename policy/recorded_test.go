package policy

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"keelusher/policy/guard"
)

// recordedRun simulates one replica for a minute of random requests: 12 endpoints in two zones, of which one fails
// for a while, one drains and one is removed, and tenants that exceed their quotas.
type recordedRun struct {
	t        *testing.T
	balancer *Balancer
	rng      *rand.Rand
	events   eventQueue
	attempts map[string]int // number of attempts that were sent, by request
	log      hash.Hash64    // over all actions with their times
	actions  int
}

func recordedSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:               "view",
				Idempotency:        Idempotent,
				DeduplicationScope: ScopeAll,
				LatencyObjective:   500 * time.Millisecond,
				Deadline:           2 * time.Second,
				PriorityWeight:     1,
			},
			{
				Name:               "booking",
				Idempotency:        NotIdempotent,
				DeduplicationScope: ScopeAll,
				LatencyObjective:   500 * time.Millisecond,
				Deadline:           2 * time.Second,
				PriorityWeight:     1,
			},
		},
		Tenants:                  []Tenant{{"a", 60}, {"b", 20}},
		OverQuotaWeight:          0.05,
		Replicas:                 3,
		ReplicaIndex:             1,
		Zone:                     "x",
		Tiers:                    3,
		TotalWeight:              0.75,
		WorstClassWeight:         0.1,
		MaxAttempts:              5,
		TimerResolution:          5 * time.Millisecond,
		MaxRetryAfter:            2 * time.Second,
		SlowStartInitialCapacity: 0.38,
		SlowStartDuration:        8500 * time.Millisecond,
		SlowStartOverloadFactor:  4,
	}
}

// hashOfRecordedRun returns a hash over all actions with their times, and the number of actions. The extra events are
// handled when they are due.
func hashOfRecordedRun(t *testing.T, extra ...dueEvent) (sum uint64, actions int) {
	t.Helper()
	b, err := New(recordedSettings(), 42)
	if err != nil {
		t.Fatal(err)
	}
	run := &recordedRun{
		t:        t,
		balancer: b,
		rng:      rand.New(rand.NewPCG(7, 7)),
		attempts: map[string]int{},
		log:      fnv.New64a(),
	}
	run.addListChanges()
	run.addRequests()
	for _, x := range extra {
		run.events.add(x.at, x.event)
	}
	run.handleAll()
	return run.log.Sum64(), run.actions
}

func (run *recordedRun) addListChanges() {
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: []string{"x", "y"}[i%2], MachineType: "k"})
	}
	run.events.add(0, EndpointUpdate{Snapshot: true, Cached: true, Endpoints: list})
	draining, removed := list[3], list[5]
	draining.State, removed.State = Draining, Removed
	run.events.add(20*time.Second, EndpointUpdate{Endpoints: []Endpoint{draining}})
	run.events.add(30*time.Second, EndpointUpdate{Endpoints: []Endpoint{removed}})
}

func (run *recordedRun) addRequests() {
	gap := func() time.Duration { return time.Duration(run.rng.ExpFloat64() * float64(3*time.Millisecond)) }
	for at := 10 * time.Millisecond; at < time.Minute; at += gap() {
		class, tenant := "view", "a"
		if run.rng.Float64() < 0.3 {
			class = "booking"
		}
		if run.rng.Float64() < 0.4 {
			tenant = "b"
		}
		id := fmt.Sprintf("r%d", run.events.added)
		run.events.add(at, Request{ID: id, Class: class, Tenant: tenant, Deadline: at + 2*time.Second})
	}
}

func (run *recordedRun) handleAll() {
	for !run.events.empty() {
		x := run.events.next()
		for _, a := range run.balancer.Handle(x.at, x.event) {
			run.record(x.at, a)
			run.respond(x.at, a)
		}
	}
}

// record adds an action to the hash. The format is that of the version for which the hash was recorded; its answers had
// no reasons, so the reasons are checked here and left out of the hash.
func (run *recordedRun) record(now time.Duration, a Action) {
	run.actions++
	switch a := a.(type) {
	case Reject:
		if a.Reason <= guard.Allowed {
			run.t.Errorf("request %s was rejected with the verdict %q, want a reason", a.ID, a.Reason)
		}
		run.writeLine("%d deckrelay.Refuse {ID:%s RetryAfter:%v}", now, a.ID, a.RetryAfter)
	case Fail:
		if a.Reason <= guard.Allowed {
			run.t.Errorf("request %s failed with the verdict %q, want a reason", a.ID, a.Reason)
		}
		run.writeLine("%d deckrelay.Fail {ID:%s}", now, a.ID)
	case SendAttempt:
		if a.RetryBefore != 0 {
			run.t.Errorf("request %s has a deduplication window, though no class has idempotency keys", a.ID)
		}
		run.writeLine("%d deckrelay.Send {ID:%s Server:%s Timeout:%v}", now, a.ID, a.Endpoint, a.Timeout)
	case SetTimer:
		run.writeLine("%d deckrelay.Wake {At:%v Token:%s}", now, a.At, a.Token)
	case WatchEndpoints:
		run.writeLine("%d deckrelay.Subscribe {}", now)
	default:
		run.t.Errorf("action of the unknown type %T", a)
	}
}

func (run *recordedRun) writeLine(format string, args ...any) {
	if _, err := fmt.Fprintf(run.log, format+"\n", args...); err != nil {
		run.t.Fatal(err)
	}
}

// respond adds the events that an action causes.
func (run *recordedRun) respond(now time.Duration, a Action) {
	switch a := a.(type) {
	case SetTimer:
		run.events.add(max(a.At, now), TimerFired{Token: a.Token})
	case SendAttempt:
		latency, result := run.drawResult(now, a)
		run.events.add(now+latency, AttemptEnded{
			ID:       a.ID,
			Attempt:  run.attempts[a.ID],
			Endpoint: a.Endpoint,
			Result:   result,
			Latency:  latency,
			Answered: result == Success,
		})
		run.attempts[a.ID]++
	}
}

// drawResult returns a random latency and the result of an attempt. Endpoint s04 fails between 10 s and 25 s, and s05
// hangs from 27 s on.
func (run *recordedRun) drawResult(now time.Duration, a SendAttempt) (time.Duration, AttemptResult) {
	latency := time.Duration((0.5 + run.rng.Float64()) * float64(300*time.Millisecond))
	result := Success
	if a.Endpoint == "s04" && now > 10*time.Second && now < 25*time.Second && run.rng.Float64() < 0.7 {
		latency, result = time.Millisecond, ServerError
	}
	if a.Endpoint == "s05" && now > 27*time.Second {
		latency, result = a.Timeout, TimedOut
	}
	if latency >= a.Timeout {
		return a.Timeout, TimedOut
	}
	return latency, result
}

// Without replica counts, a replica must act exactly as the version before replica counts were added, whose actions
// are recorded here as a hash.
func TestActionsWithoutReplicaCountsAreAsRecorded(t *testing.T) {
	const recorded, count = uint64(0xc629608939f619ab), 22694
	if sum, n := hashOfRecordedRun(t); sum != recorded || n != count {
		t.Errorf("got %d actions with the hash %#x, want the recorded %d with %#x", n, sum, count, recorded)
	}
}

// A replica that gets replica counts must act on them.
func TestReplicaCountsChangeTheActions(t *testing.T) {
	counts := ReplicaCounts{ByZone: map[string]int{"x": 6}}
	sum, n := hashOfRecordedRun(t, dueEvent{at: 10 * time.Second, event: counts})
	if plain, _ := hashOfRecordedRun(t); sum == plain || n == 0 {
		t.Error("the actions are the same with twice the replicas")
	}
}
