package policy

import (
	"fmt"
	"testing"
	"time"
)

// The limits of two subsets that overlap must not both count an endpoint.
func TestOverlappingSubsetsDoNotCountAnEndpointTwice(t *testing.T) {
	b, _ := newBalancerWithNarrowSubset(t, 12)
	other, narrow := b.classes.byName["get"].subset, b.classes.byName["post"].subset
	if narrow.limit.fairShare != 2 || other.limit.fairShare != 4 {
		t.Errorf("12 endpoints for 2 replicas: fair shares of %v for the narrow subset, %v for the other; want 2 and 4",
			narrow.limit.fairShare, other.limit.fairShare)
	}
}

// newBalancerWithNarrowSubset is a Balancer over n endpoints of three machine types, the slow one alone open to the
// class post.
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

// A class that may go anywhere leaves the endpoints of a narrower subset alone, while it has others.
func TestEndpointsOfANarrowSubsetAreLeftToIt(t *testing.T) {
	b, list := newBalancerWithNarrowSubset(t, 9)
	narrow := 0
	for id, n := range sendTraffic(b, 1000, "get", func(string) AttemptResult { return Success }) {
		if b.endpoints[id].MachineType == "slow" {
			narrow += n
		}
	}
	if narrow > 25 {
		t.Errorf("%d of 500 unrestricted requests went to the endpoints of a narrower subset", narrow)
	}
	b.Handle(b.now, EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{list[0], list[3]}})
	if n := len(sendAttempts(b.Handle(b.now, Request{ID: "x", Class: "get", Deadline: b.now + time.Second}))); n != 1 {
		t.Errorf("%d attempts sent with only those left, want 1", n)
	}
}

// A subset with every endpoint down queues or answers its own requests, and the others go on.
func TestSubsetThatIsDownStopsNoOther(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[0].AllowedMachineTypes = []string{"x"} })
	list := testEndpoints(6)
	list[0].MachineType, list[1].MachineType = "x", "x"
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	for i := range 20 {
		id := fmt.Sprint(i)
		todo := sendAttempts(b.Handle(0, Request{ID: id, Class: "get", Deadline: time.Second}))
		for k := 0; len(todo) > 0; k++ {
			if s := todo[0].Endpoint; s != "s00" && s != "s01" {
				t.Fatalf("a restricted request went to %s", s)
			}
			ended := AttemptEnded{ID: id, Attempt: k, Endpoint: todo[0].Endpoint, Result: ConnectFailed}
			todo = sendAttempts(b.Handle(b.now, ended))
		}
	}
	b.Handle(msec, EndpointUpdate{Endpoints: []Endpoint{{ID: "s00", State: Removed}, {ID: "s01", State: Removed}}})
	if n := len(sendAttempts(b.Handle(2*msec, Request{ID: "b", Class: "get", Deadline: time.Second}))); n != 0 {
		t.Errorf("%d attempts sent though no endpoint is open to the class", n)
	}
	if n := len(sendAttempts(b.Handle(2*msec, Request{ID: "c", Class: "pay", Deadline: time.Second}))); n != 1 {
		t.Errorf("%d attempts sent of a class that may go elsewhere, want 1", n)
	}
}
