package policy

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// nextPoll is when a replica polls discovery after a failed call, and not before the time is due.
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
	t.Fatal("it does not poll again")
	return 0
}

// A change counts as notified 6 s after discovery had it and could be reached, whatever a failed call allows. So
// after any number of failures the backoff and a call that takes 2.3 s are over by then, with a second to spare; and
// so are a watch without events, which is cut after 3 s, the first backoff and a call. For every poll interval that
// the settings give.
func TestPollBackoffFitsTheNotificationTime(t *testing.T) {
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
				t.Fatalf("poll interval %v, seed %d: after a silent watch a backoff of %v", interval, seed, backoffs[0])
			}
			for _, p := range backoffs {
				if p+call+margin > notified || p > interval/4+1 {
					t.Fatalf("poll interval %v, seed %d: backoffs of %v: a call of %v does not fit in %v",
						interval, seed, backoffs, call, notified)
				}
			}
		}
	}
}

// A break that all replicas see at once must not bring them all back at once, and after an outage they come back over
// seconds: where hundreds find discovery busy, each further call makes the others wait longer.
func TestReplicasPollApart(t *testing.T) {
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
		if failures >= 4 { // that is a discovery which was down, or is busy: they come back over seconds
			want = 2 * time.Second
		}
		if span < want || together > replicas/4 {
			t.Errorf("after %d failures %d of %d replicas poll within 50 ms, all of them within %v, want %v",
				failures+1, together, replicas, span, want)
		}
		t.Logf("after %d failures: %d of %d within 50 ms, all within %v", failures+1, together, replicas, span)
	}
}

func TestReplicasShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	list := testEndpoints(7)
	a.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
	for i := len(list) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: list[i : i+1]})
	}
	for i := range list {
		if a.subsets[0].ready[i].ID != b.subsets[0].ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.subsets[0].ready[i].ID, b.subsets[0].ready[i].ID)
		}
	}
}

// With a thousand endpoints and as many replicas, every endpoint is in the list, and replicas draw from slices all
// over it.
func TestAThousandEndpointsAndReplicas(t *testing.T) {
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
			t.Fatalf("replica %d lists %d endpoints and avoids %d", index, listed, avoided)
		}
		for i := range 40 {
			id := strconv.Itoa(i)
			for _, s := range sendAttempts(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second})) {
				drawn[s.Endpoint] = true
			}
		}
	}
	if len(drawn) < n/8 { // each of these 32 replicas draws from its own slice
		t.Errorf("32 replicas together draw %d of %d endpoints", len(drawn), n)
	}
}
