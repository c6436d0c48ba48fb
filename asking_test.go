package deckrelay

import (
	"slices"
	"testing"
	"time"
)

// asked is when a copy asks discovery again after a failed call, and nothing before the time is due.
func asked(t *testing.T, b *Balancer, now time.Duration) time.Duration {
	t.Helper()
	for _, a := range b.Handle(now, ListFailed{}) {
		if w, ok := a.(Wake); ok && w.Token == "list" {
			if acts := b.Handle(w.At, Timer{Token: w.Token}); slices.Contains(acts, Action(Subscribe{})) {
				return w.At
			}
		}
	}
	t.Fatal("it does not ask again")
	return 0
}

// A change counts as told 6 s after discovery had it and could be reached, whatever a failed call allows. So whenever a
// call has failed, the pause, a call that hangs for 2.3 s, another pause and another call are over by then: for every
// time that the settings give for asking, after any number of failures.
func TestAskingAgainFitsTheGrace(t *testing.T) {
	const call, told = 2300 * msec, 6 * time.Second
	for _, within := range []time.Duration{400 * msec, time.Second, 2400 * msec, 10 * time.Second, time.Minute, time.Hour} {
		for seed := range uint64(100) {
			set := testSettings()
			set.AskDiscovery, set.AskWithin = true, within
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, ServerList{Full: true, Servers: servers(4)})
			now, pauses := time.Second, []time.Duration{0}
			for range 12 {
				at := asked(t, b, now)
				pauses = append(pauses, at-now)
				now = at + call
			}
			for i, p := range pauses[1:] {
				if p+pauses[i]+2*call > told || p > within/4+1 {
					t.Fatalf("ask-within %v, seed %d: pauses of %v: two calls of %v do not fit in %v", within, seed, pauses, call, told)
				}
			}
		}
	}
}

// A break that all copies see at once must not bring them all back at once.
func TestCopiesAskApart(t *testing.T) {
	const copies = 350
	for failures := range 6 {
		var at []time.Duration
		for i := range copies {
			set := testSettings()
			set.AskDiscovery, set.Balancers, set.Self = true, copies, i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, ServerList{Full: true, Servers: servers(4)})
			for range failures {
				b.Handle(time.Second, ListFailed{})
			}
			at = append(at, asked(t, b, time.Second)-time.Second)
		}
		slices.Sort(at)
		most := 0
		for i := range at {
			n, _ := slices.BinarySearch(at, at[i]+50*msec)
			most = max(most, n-i)
		}
		span := at[copies-1] - at[0]
		if want := map[bool]time.Duration{true: 250 * msec, false: 550 * msec}[failures == 0]; span < want || most > copies/4 {
			t.Errorf("after %d failures %d of %d copies ask within 50 ms, all of them within %v, want %v", failures+1, most, copies, span, want)
		}
		t.Logf("after %d failures: %d of %d within 50 ms, all within %v", failures+1, most, copies, span)
	}
}
