package policy

import (
	"fmt"
	"testing"
	"time"
)

// replicaCountTest holds a Balancer with 24 endpoints and one tenant, and the current time.
type replicaCountTest struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
}

// after handles an event some time later, checks that the fair share of endpoints and the tenant's rate match the
// number of replicas, and returns that number.
func (r *replicaCountTest) after(d time.Duration, e Event) float64 {
	r.t.Helper()
	r.now += d
	r.balancer.Handle(r.now, e)
	replicas := r.balancer.replicas.current
	for _, subset := range r.balancer.subsets {
		if got, want := subset.limit.fairShare, 24/replicas; got != want {
			r.t.Errorf("at %v the fair share is %v, want 24 endpoints divided by %v replicas", r.now, got, replicas)
		}
	}
	if got, want := r.balancer.quotas["a"].rate, 60/replicas; got != want {
		r.t.Errorf("at %v the tenant's rate is %v, want its quota of 60 divided by %v replicas", r.now, got, replicas)
	}
	return replicas
}

// A replica that took a wrong count at once would overload the tier or leave it idle. So its share of the tier follows
// reported counts slowly and within bounds, and goes back to the configured number when there are no counts any more.
func TestReplicaCountsChangeTheShareSlowly(t *testing.T) {
	b, err := New(Settings{
		Classes:  []Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}},
		Tenants:  []Tenant{{"a", 60}},
		Replicas: 4,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range 24 {
		list = append(list, Endpoint{ID: fmt.Sprint(i)})
	}
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	r := &replicaCountTest{t: t, balancer: b, now: time.Second}
	idle := TimerFired{Token: "x"}
	if c := r.after(0, ReplicaCounts{ByZone: map[string]int{"x": 1, "y": 1}}); c != 4 {
		t.Errorf("right after a count of 2: %v replicas, want the configured 4 still", c)
	}
	if c := r.after(replicasHalfLife, idle); c < 2.9 || c > 3.1 {
		t.Errorf("a half-life after a count of 2: %.2f replicas, want 3, halfway from 4 to 2", c)
	}
	if c := r.after(20*replicasHalfLife, idle); c != 2 {
		t.Errorf("20 half-lives after a count of 2: %v replicas, want 2", c)
	}
	r.after(0, ReplicaCounts{ByZone: map[string]int{"x": 1000}})
	if c := r.after(20*replicasHalfLife, idle); c != 4*maxReplicasFactor {
		t.Errorf("after a count of 1000: %v replicas, want the upper bound of %v", c, 4*maxReplicasFactor)
	}
	r.after(0, ReplicaCounts{})
	if c := r.after(20*replicasHalfLife, idle); c != 4 {
		t.Errorf("without counts: %v replicas, want the configured 4", c)
	}
}
