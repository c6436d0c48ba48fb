package policy

import (
	"fmt"
	"testing"
	"time"
)

// If the limits of two overlapping subsets both counted an endpoint, together they would allow it twice the attempts.
func TestOverlappingSubsetsDoNotCountAnEndpointTwice(t *testing.T) {
	b, _ := newBalancerWithNarrowSubset(t, 12)
	other, narrow := b.classes.byName["get"].subset, b.classes.byName["post"].subset
	if narrow.limit.fairShare != 2 || other.limit.fairShare != 4 {
		t.Errorf("12 endpoints for 2 replicas: fair shares of %v for the narrow subset, %v for the other; want 2 and 4",
			narrow.limit.fairShare, other.limit.fairShare)
	}
}

// newBalancerWithNarrowSubset returns a Balancer with n endpoints of three machine types, and the endpoint list. Only
// machine type slow is open to class post.
func newBalancerWithNarrowSubset(t *testing.T, n int) (*Balancer, []Endpoint) {
	t.Helper()
	b := newBalancer(t, func(s *Settings) { s.Classes[1].AllowedMachineTypes = []string{"slow"} })
	list := testEndpoints(n)
	for i := range list {
		list[i].MachineType = []string{"slow", "mid", "fast"}[i%3]
	}
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	return b, list
}

// If a class without restrictions used the endpoints of a narrower subset, it would take the only capacity of that
// subset's classes. It may use them only while there are no others.
func TestUnrestrictedClassAvoidsNarrowSubset(t *testing.T) {
	b, list := newBalancerWithNarrowSubset(t, 9)
	narrow := 0
	for id, n := range sendTraffic(b, 1000, "get", func(string) AttemptResult { return Success }) {
		if b.endpoints[id].MachineType == "slow" {
			narrow += n
		}
	}
	if narrow > 25 {
		t.Errorf("%d of 500 unrestricted requests went to the endpoints of a narrower subset, want 25 at most", narrow)
	}
	b.Handle(b.now, EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{list[0], list[3]}})
	if n := len(sendAttempts(b.Handle(b.now, Request{ID: "x", Class: "get", Deadline: b.now + time.Second}))); n != 1 {
		t.Errorf("%d attempts sent with only the narrower subset's endpoints left, want 1", n)
	}
}

// If all endpoints of one subset are down, its requests are queued or answered. They must neither go to endpoints that
// are closed to their class nor hold up the requests of other subsets.
func TestUnavailableSubsetDoesNotAffectOthers(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].AllowedMachineTypes = []string{"x"} })
	list := testEndpoints(6)
	list[0].MachineType, list[1].MachineType = "x", "x"
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	for i := range 20 {
		id := fmt.Sprint(i)
		todo := sendAttempts(b.Handle(0, Request{ID: id, Class: "get", Deadline: time.Second}))
		for k := 0; len(todo) > 0; k++ {
			if s := todo[0].Endpoint; s != "s00" && s != "s01" {
				t.Fatalf("a request restricted to s00 and s01 went to %s", s)
			}
			ended := AttemptEnded{ID: id, Attempt: k, Endpoint: todo[0].Endpoint, Result: ConnectFailed}
			todo = sendAttempts(b.Handle(b.now, ended))
		}
	}
	b.Handle(msec, EndpointUpdate{Endpoints: []Endpoint{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sendAttempts(b.Handle(2*msec, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d attempts sent though no endpoint is open to the class, want 0", n)
	}
	if n := len(sendAttempts(b.Handle(2*msec, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d attempts sent of a class that is open to other endpoints, want 1", n)
	}
}
