package policy

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// nextPoll returns the time at which a replica polls discovery after a failed call.
func nextPoll(t *testing.T, b *Balancer, now time.Duration) time.Duration {
	t.Helper()
	for _, a := range b.Handle(now, DiscoveryFailed{}) {
		timer, ok := a.(SetTimer)
		if !ok || timer.Token != "list" {
			continue
		}
		actions := b.Handle(timer.At, TimerFired{Token: timer.Token})
		if slices.Contains(actions, Action(WatchEndpoints{})) {
			return timer.At
		}
	}
	t.Fatal("after a failed call, discovery is not polled again")
	return 0
}

// A change must be known 6 s after discovery had it and could be reached, however many calls failed before. So the
// backoff and a call of 2.3 s must fit into 5 s, which leaves a margin of 1 s; and a watch without events, which is
// cut off after 3 s, the first backoff and a call must fit into 6 s. This must hold for every poll interval of the
// settings.
func TestPollBackoffKeepsNotificationTime(t *testing.T) {
	const call, watchTimeout, notified, margin = 2300 * msec, 3 * time.Second, 6 * time.Second, time.Second
	intervals := []time.Duration{400 * msec, time.Second, 2400 * msec, 10 * time.Second, time.Minute, time.Hour}
	for _, interval := range intervals {
		for seed := range uint64(100) {
			set := testSettings()
			set.PollEndpoints, set.MaxPollInterval = true, interval
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
			now, backoffs := time.Second, []time.Duration(nil)
			for range 12 {
				at := nextPoll(t, b, now)
				backoffs = append(backoffs, at-now)
				now = at + call
			}
			if backoffs[0]+watchTimeout+call > notified {
				t.Fatalf("poll interval %v, seed %d: backoff of %v after a watch without events is too long",
					interval, seed, backoffs[0])
			}
			for _, backoff := range backoffs {
				if backoff+call+margin > notified || backoff > interval/4+1 {
					t.Fatalf("poll interval %v, seed %d: with backoffs of %v, a call of %v does not fit into %v",
						interval, seed, backoffs, call, notified)
				}
			}
		}
	}
}

// When the watches of all replicas break at the same time, their next polls must be spread, and after an outage of
// discovery they must be spread over seconds: if hundreds of replicas find discovery busy, each further call makes
// the others wait longer.
func TestReplicaPollsAreSpread(t *testing.T) {
	const replicas = 350
	for failures := range 6 {
		var at []time.Duration
		for i := range replicas {
			set := testSettings()
			set.PollEndpoints, set.Replicas, set.ReplicaIndex = true, replicas, i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
			for range failures {
				b.Handle(time.Second, DiscoveryFailed{})
			}
			at = append(at, nextPoll(t, b, time.Second)-time.Second)
		}
		slices.Sort(at)
		together := 0
		for i := range at {
			n, _ := slices.BinarySearch(at, at[i]+50*msec)
			together = max(together, n-i)
		}
		span, want := at[replicas-1]-at[0], 250*msec
		if failures >= 4 { // discovery was down or is busy: the polls are spread over seconds
			want = 2 * time.Second
		}
		if span < want || together > replicas/4 {
			t.Errorf("after %d failures, %d of %d replicas poll within 50 ms and all of them within %v, want at least %v",
				failures+1, together, replicas, span, want)
		}
		t.Logf("after %d failures, %d of %d replicas poll within 50 ms and all of them within %v",
			failures+1, together, replicas, span)
	}
}

// Replicas that learn of the endpoints in different orders must sort them in the same order.
func TestReplicasHaveTheSameOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	list := testEndpoints(7)
	a.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	for i := len(list) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: list[i : i+1]})
	}
	for i := range list {
		if a.subsets[0].ready[i].ID != b.subsets[0].ready[i].ID {
			t.Fatalf("the order of endpoints differs at %d: %s and %s", i, a.subsets[0].ready[i].ID, b.subsets[0].ready[i].ID)
		}
	}
}

// With 1024 endpoints and as many replicas, each replica lists all endpoints, and the slices that the replicas draw
// from are spread over the list.
func TestThousandEndpointsAndReplicas(t *testing.T) {
	const n = 1024
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z"})
	}
	drawn := map[string]bool{}
	for index := 0; index < n; index += 32 {
		b := newBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = n, index })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		if listed, avoided := b.EndpointCounts(0); listed != n || avoided != 0 {
			t.Fatalf("replica %d lists %d endpoints and avoids %d, want all listed and none avoided", index, listed, avoided)
		}
		for i := range 40 {
			id := strconv.Itoa(i)
			for _, s := range sendAttempts(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second})) {
				drawn[s.Endpoint] = true
			}
		}
	}
	if len(drawn) < n/8 { // each of the 32 replicas draws from its own slice
		t.Errorf("32 replicas together draw %d of %d endpoints, want at least an eighth", len(drawn), n)
	}
}
