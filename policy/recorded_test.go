package policy

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"keelusher/policy/guard"
)

type dueEvent struct {
	at    time.Duration
	order int
	e     Event
}

type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueEvent)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// played is a drawn minute of one copy: 12 servers in two zones, one of them ill for a while, a drain, a loss, tenants over
// their quotas. It returns a hash over all actions with their times, and how many there were. extra events are handled
// as they come due.
func played(t *testing.T, extra ...dueEvent) (sum uint64, actions int) {
	t.Helper()
	set := Settings{Classes: []Class{
		{Name: "view", Idempotency: Idempotent, DeduplicationScope: ScopeAll, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
		{Name: "booking", Idempotency: NotIdempotent, DeduplicationScope: ScopeAll, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Tenants: []Tenant{{"a", 60}, {"b", 20}}, OverQuotaWeight: 0.05, Replicas: 3, ReplicaIndex: 1, Zone: "x", Tiers: 3, TotalWeight: 0.75, WorstClassWeight: 0.1,
		MaxAttempts: 5, TimerResolution: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second, SlowStartInitialCapacity: 0.38, SlowStartDuration: 8500 * time.Millisecond, SlowStartOverloadFactor: 4}
	b, err := New(set, 42)
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(7, 7))
	var due dueHeap
	n := 0
	later := func(at time.Duration, e Event) {
		n++
		heap.Push(&due, dueEvent{at, n, e})
	}
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: []string{"x", "y"}[i%2], MachineType: "k"})
	}
	later(0, EndpointUpdate{Snapshot: true, Cached: true, Endpoints: list})
	drained, lost := list[3], list[5]
	drained.State, lost.State = Draining, Removed
	later(20*time.Second, EndpointUpdate{Endpoints: []Endpoint{drained}})
	later(30*time.Second, EndpointUpdate{Endpoints: []Endpoint{lost}})
	for at := 10 * time.Millisecond; at < time.Minute; at += time.Duration(r.ExpFloat64() * float64(3*time.Millisecond)) {
		class, tenant := "view", "a"
		if r.Float64() < 0.3 {
			class = "booking"
		}
		if r.Float64() < 0.4 {
			tenant = "b"
		}
		later(at, Request{ID: fmt.Sprintf("r%d", n), Class: class, Tenant: tenant, Deadline: at + 2*time.Second})
	}
	for _, x := range extra {
		later(x.at, x.e)
	}
	attempts := map[string]int{}
	h := fnv.New64a()
	for len(due) > 0 {
		x := heap.Pop(&due).(dueEvent)
		for _, a := range b.Handle(x.at, x.e) {
			switch a := a.(type) { // as recorded before answers told their reason
			case Reject:
				if a.Reason <= guard.Allowed {
					t.Errorf("%s is refused for the reason %q", a.ID, a.Reason)
				}
				fmt.Fprintf(h, "%d deckrelay.Refuse {ID:%s RetryAfter:%v}\n", x.at, a.ID, a.RetryAfter)
			case Fail:
				if a.Reason <= guard.Allowed {
					t.Errorf("%s fails for the reason %q", a.ID, a.Reason)
				}
				fmt.Fprintf(h, "%d deckrelay.Fail {ID:%s}\n", x.at, a.ID)
			case SendAttempt:
				if a.RetryBefore != 0 {
					t.Errorf("%s has a window for repeats, and no class is keyed", a.ID)
				}
				fmt.Fprintf(h, "%d deckrelay.Send {ID:%s Server:%s Timeout:%v}\n", x.at, a.ID, a.Endpoint, a.Timeout)
			case SetTimer:
				fmt.Fprintf(h, "%d deckrelay.Wake {At:%v Token:%s}\n", x.at, a.At, a.Token)
			case WatchEndpoints:
				fmt.Fprintf(h, "%d deckrelay.Subscribe {}\n", x.at)
			default:
				t.Errorf("an action of an unknown type: %T", a)
			}
			actions++
			switch a := a.(type) {
			case SetTimer:
				later(max(a.At, x.at), TimerFired{Token: a.Token})
			case SendAttempt:
				took, ending := time.Duration((0.5+r.Float64())*float64(300*time.Millisecond)), Success
				if a.Endpoint == "s04" && x.at > 10*time.Second && x.at < 25*time.Second && r.Float64() < 0.7 {
					took, ending = time.Millisecond, ServerError
				}
				if a.Endpoint == "s05" && x.at > 27*time.Second {
					took, ending = a.Timeout, TimedOut
				}
				if took >= a.Timeout {
					took, ending = a.Timeout, TimedOut
				}
				later(x.at+took, AttemptEnded{ID: a.ID, Attempt: attempts[a.ID], Endpoint: a.Endpoint, Result: ending, Latency: took, Answered: ending == Success})
				attempts[a.ID]++
			}
		}
	}
	return h.Sum64(), actions
}

// Without word of its peers a copy acts exactly as the version before the mesh did, whose actions are recorded here.
func TestActionsWithoutPeersAreAsRecorded(t *testing.T) {
	const recorded, count = uint64(0xc629608939f619ab), 22694
	if sum, n := played(t); sum != recorded || n != count {
		t.Errorf("%d actions with the hash %#x, recorded were %d with %#x", n, sum, count, recorded)
	}
}

// With word of its peers a copy's share of the tier follows their number slowly, within bounds, and goes back to the
// settings' number when they are not known any more.
func TestPeersChangeTheShareSlowly(t *testing.T) {
	b, err := New(Settings{Classes: []Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}},
		Tenants: []Tenant{{"a", 60}}, Replicas: 4}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range 24 {
		list = append(list, Endpoint{ID: fmt.Sprint(i)})
	}
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	now := time.Second
	at := func(d time.Duration, e Event) (copies float64) {
		now += d
		b.Handle(now, e)
		for _, p := range b.subsets {
			if got, want := p.fairShare, 24/b.replicas; got != want {
				t.Errorf("at %v a fair share is %v of 24 servers for %v copies", now, got, b.replicas)
			}
		}
		if got, want := b.quotas["a"].rate, 60/b.replicas; got != want {
			t.Errorf("at %v the tenant's rate is %v for %v copies", now, got, b.replicas)
		}
		return b.replicas
	}
	idle := TimerFired{Token: "x"}
	if c := at(0, ReplicaCounts{ByZone: map[string]int{"x": 1, "y": 1}}); c != 4 {
		t.Errorf("at once there are %v copies, want 4", c)
	}
	if c := at(replicasHalfLife, idle); c < 2.9 || c > 3.1 {
		t.Errorf("after a half-life there are %.2f copies, want 3 on the way from 4 to 2", c)
	}
	if c := at(20*replicasHalfLife, idle); c != 2 {
		t.Errorf("in the end there are %v copies, want 2", c)
	}
	at(0, ReplicaCounts{ByZone: map[string]int{"x": 1000}})
	if c := at(20*replicasHalfLife, idle); c != 4*maxReplicasFactor {
		t.Errorf("of a thousand %v are believed, want %v", c, 4*maxReplicasFactor)
	}
	at(0, ReplicaCounts{})
	if c := at(20*replicasHalfLife, idle); c != 4 {
		t.Errorf("with no word there are %v copies, want the settings' 4", c)
	}
	sum, n := played(t, dueEvent{at: 10 * time.Second, e: ReplicaCounts{ByZone: map[string]int{"x": 6}}})
	if plain, _ := played(t); sum == plain || n == 0 {
		t.Error("the day is the same with twice the copies")
	}
}
