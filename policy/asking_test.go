package policy

import (
	"slices"
	"testing"
	"time"
)

// asked is when a copy asks discovery again after a failed call, and nothing before the time is due.
func asked(t *testing.T, b *Balancer, now time.Duration) time.Duration {
	t.Helper()
	for _, a := range b.Handle(now, DiscoveryFailed{}) {
		if w, ok := a.(SetTimer); ok && w.Token == "list" {
			if acts := b.Handle(w.At, TimerFired{Token: w.Token}); slices.Contains(acts, Action(WatchEndpoints{})) {
				return w.At
			}
		}
	}
	t.Fatal("it does not ask again")
	return 0
}

// A change counts as told 6 s after discovery had it and could be reached, whatever a failed call allows. So after any number
// of failures the pause and a call that takes 2.3 s are over by then, with a second to spare; and so are a watch that falls
// silent, which is cut after 3 s, the first pause and a call. For every time that the settings give for asking.
func TestAskingAgainFitsTheGrace(t *testing.T) {
	const call, silence, told, margin = 2300 * msec, 3 * time.Second, 6 * time.Second, time.Second
	for _, within := range []time.Duration{400 * msec, time.Second, 2400 * msec, 10 * time.Second, time.Minute, time.Hour} {
		for seed := range uint64(100) {
			set := testSettings()
			set.PollEndpoints, set.MaxPollInterval = true, within
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
			now, pauses := time.Second, []time.Duration(nil)
			for range 12 {
				at := asked(t, b, now)
				pauses = append(pauses, at-now)
				now = at + call
			}
			if pauses[0]+silence+call > told {
				t.Fatalf("ask-within %v, seed %d: after a silence a pause of %v", within, seed, pauses[0])
			}
			for _, p := range pauses {
				if p+call+margin > told || p > within/4+1 {
					t.Fatalf("ask-within %v, seed %d: pauses of %v: a call of %v does not fit in %v", within, seed, pauses, call, told)
				}
			}
		}
	}
}

// A break that all copies see at once must not bring them all back at once, and after an outage they come back over
// seconds: where hundreds find discovery busy, each further call makes the others wait longer.
func TestCopiesAskApart(t *testing.T) {
	const copies = 350
	for failures := range 6 {
		var at []time.Duration
		for i := range copies {
			set := testSettings()
			set.PollEndpoints, set.Replicas, set.ReplicaIndex = true, copies, i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
			for range failures {
				b.Handle(time.Second, DiscoveryFailed{})
			}
			at = append(at, asked(t, b, time.Second)-time.Second)
		}
		slices.Sort(at)
		most := 0
		for i := range at {
			n, _ := slices.BinarySearch(at, at[i]+50*msec)
			most = max(most, n-i)
		}
		span, want := at[copies-1]-at[0], 250*msec
		if failures >= 4 { // that is a discovery which was down, or is busy: they come back over seconds
			want = 2 * time.Second
		}
		if span < want || most > copies/4 {
			t.Errorf("after %d failures %d of %d copies ask within 50 ms, all of them within %v, want %v", failures+1, most, copies, span, want)
		}
		t.Logf("after %d failures: %d of %d within 50 ms, all within %v", failures+1, most, copies, span)
	}
}
