package policy

import (
	"fmt"
	"testing"
	"time"
)

// replicaCountTest is a Balancer with 24 endpoints and one tenant, at a time that goes on.
type replicaCountTest struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
}

// after handles an event some time later, checks that what replicas share follows their number, and returns that.
func (r *replicaCountTest) after(d time.Duration, e Event) float64 {
	r.t.Helper()
	r.now += d
	r.balancer.Handle(r.now, e)
	replicas := r.balancer.replicas.current
	for _, subset := range r.balancer.subsets {
		if got, want := subset.limit.fairShare, 24/replicas; got != want {
			r.t.Errorf("at %v a fair share is %v of 24 endpoints for %v replicas", r.now, got, replicas)
		}
	}
	if got, want := r.balancer.quotas["a"].rate, 60/replicas; got != want {
		r.t.Errorf("at %v the tenant's rate is %v for %v replicas", r.now, got, replicas)
	}
	return replicas
}

// With counts of other replicas, a replica's share of the tier follows their number slowly, within bounds, and goes
// back to the settings' number when they are not known any more.
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
		t.Errorf("at once there are %v replicas, want 4", c)
	}
	if c := r.after(replicasHalfLife, idle); c < 2.9 || c > 3.1 {
		t.Errorf("after a half-life there are %.2f replicas, want 3 on the way from 4 to 2", c)
	}
	if c := r.after(20*replicasHalfLife, idle); c != 2 {
		t.Errorf("in the end there are %v replicas, want 2", c)
	}
	r.after(0, ReplicaCounts{ByZone: map[string]int{"x": 1000}})
	if c := r.after(20*replicasHalfLife, idle); c != 4*maxReplicasFactor {
		t.Errorf("of a thousand %v are believed, want %v", c, 4*maxReplicasFactor)
	}
	r.after(0, ReplicaCounts{})
	if c := r.after(20*replicasHalfLife, idle); c != 4 {
		t.Errorf("with no counts there are %v replicas, want the settings' 4", c)
	}
}
