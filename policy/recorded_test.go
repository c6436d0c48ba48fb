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

// recordedMinute is a drawn minute of one replica: 12 endpoints in two zones, one of them failing for a while, one
// draining, one lost, and tenants over their quotas.
type recordedMinute struct {
	t        *testing.T
	balancer *Balancer
	rng      *rand.Rand
	events   eventQueue
	attempts map[string]int // of each request
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

// playRecordedMinute returns a hash over all actions with their times, and how many there were. The extra events are
// handled as they come due.
func playRecordedMinute(t *testing.T, extra ...dueEvent) (sum uint64, actions int) {
	t.Helper()
	b, err := New(recordedSettings(), 42)
	if err != nil {
		t.Fatal(err)
	}
	m := &recordedMinute{
		t:        t,
		balancer: b,
		rng:      rand.New(rand.NewPCG(7, 7)),
		attempts: map[string]int{},
		log:      fnv.New64a(),
	}
	m.addListChanges()
	m.addRequests()
	for _, x := range extra {
		m.events.add(x.at, x.event)
	}
	m.play()
	return m.log.Sum64(), m.actions
}

func (m *recordedMinute) addListChanges() {
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: []string{"x", "y"}[i%2], MachineType: "k"})
	}
	m.events.add(0, EndpointUpdate{Snapshot: true, Cached: true, Endpoints: list})
	draining, lost := list[3], list[5]
	draining.State, lost.State = Draining, Removed
	m.events.add(20*time.Second, EndpointUpdate{Endpoints: []Endpoint{draining}})
	m.events.add(30*time.Second, EndpointUpdate{Endpoints: []Endpoint{lost}})
}

func (m *recordedMinute) addRequests() {
	gap := func() time.Duration { return time.Duration(m.rng.ExpFloat64() * float64(3*time.Millisecond)) }
	for at := 10 * time.Millisecond; at < time.Minute; at += gap() {
		class, tenant := "view", "a"
		if m.rng.Float64() < 0.3 {
			class = "booking"
		}
		if m.rng.Float64() < 0.4 {
			tenant = "b"
		}
		id := fmt.Sprintf("r%d", m.events.added)
		m.events.add(at, Request{ID: id, Class: class, Tenant: tenant, Deadline: at + 2*time.Second})
	}
}

func (m *recordedMinute) play() {
	for !m.events.empty() {
		x := m.events.next()
		for _, a := range m.balancer.Handle(x.at, x.event) {
			m.record(x.at, a)
			m.follow(x.at, a)
		}
	}
}

// record adds an action to the hash, in the form that actions had when the hash was recorded: before answers had
// reasons.
func (m *recordedMinute) record(now time.Duration, a Action) {
	m.actions++
	switch a := a.(type) {
	case Reject:
		if a.Reason <= guard.Allowed {
			m.t.Errorf("%s is rejected for the reason %q", a.ID, a.Reason)
		}
		m.writeLine("%d deckrelay.Refuse {ID:%s RetryAfter:%v}", now, a.ID, a.RetryAfter)
	case Fail:
		if a.Reason <= guard.Allowed {
			m.t.Errorf("%s fails for the reason %q", a.ID, a.Reason)
		}
		m.writeLine("%d deckrelay.Fail {ID:%s}", now, a.ID)
	case SendAttempt:
		if a.RetryBefore != 0 {
			m.t.Errorf("%s has a deduplication window, and no class has idempotency keys", a.ID)
		}
		m.writeLine("%d deckrelay.Send {ID:%s Server:%s Timeout:%v}", now, a.ID, a.Endpoint, a.Timeout)
	case SetTimer:
		m.writeLine("%d deckrelay.Wake {At:%v Token:%s}", now, a.At, a.Token)
	case WatchEndpoints:
		m.writeLine("%d deckrelay.Subscribe {}", now)
	default:
		m.t.Errorf("an action of an unknown type: %T", a)
	}
}

func (m *recordedMinute) writeLine(format string, args ...any) {
	if _, err := fmt.Fprintf(m.log, format+"\n", args...); err != nil {
		m.t.Fatal(err)
	}
}

// follow adds what an action leads to.
func (m *recordedMinute) follow(now time.Duration, a Action) {
	switch a := a.(type) {
	case SetTimer:
		m.events.add(max(a.At, now), TimerFired{Token: a.Token})
	case SendAttempt:
		latency, result := m.drawResult(now, a)
		m.events.add(now+latency, AttemptEnded{
			ID:       a.ID,
			Attempt:  m.attempts[a.ID],
			Endpoint: a.Endpoint,
			Result:   result,
			Latency:  latency,
			Answered: result == Success,
		})
		m.attempts[a.ID]++
	}
}

// drawResult draws how an attempt ends: s04 fails for a while, s05 hangs from 27 s on.
func (m *recordedMinute) drawResult(now time.Duration, a SendAttempt) (time.Duration, AttemptResult) {
	latency := time.Duration((0.5 + m.rng.Float64()) * float64(300*time.Millisecond))
	result := Success
	if a.Endpoint == "s04" && now > 10*time.Second && now < 25*time.Second && m.rng.Float64() < 0.7 {
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

// Without counts of other replicas, a replica acts exactly as the version before there were any, whose actions
// are recorded here.
func TestActionsWithoutReplicaCountsAreAsRecorded(t *testing.T) {
	const recorded, count = uint64(0xc629608939f619ab), 22694
	if sum, n := playRecordedMinute(t); sum != recorded || n != count {
		t.Errorf("%d actions with the hash %#x, recorded were %d with %#x", n, sum, count, recorded)
	}
}

func TestReplicaCountsChangeTheActions(t *testing.T) {
	counts := ReplicaCounts{ByZone: map[string]int{"x": 6}}
	sum, n := playRecordedMinute(t, dueEvent{at: 10 * time.Second, event: counts})
	if plain, _ := playRecordedMinute(t); sum == plain || n == 0 {
		t.Error("the minute is the same with twice the replicas")
	}
}
