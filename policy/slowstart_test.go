package policy

import (
	"fmt"
	"testing"
	"time"
)

// countSentTo sends 3,000 requests in a second, each answered before the next, and returns how many attempts an
// endpoint got.
func countSentTo(b *Balancer, id string, from time.Duration) (n int) {
	for i := range 3000 {
		now := from + time.Duration(i)*time.Second/3000
		name := fmt.Sprint(id, from, i)
		for _, s := range sendAttempts(b.Handle(now, Request{ID: name, Class: "get", Deadline: now + time.Second})) {
			if s.Endpoint == id {
				n++
			}
			endAttempt(b, now, name, s, Success)
		}
	}
	return n
}

// countAtMaxCredit returns how many attempts an endpoint gets that started maxCreditedShare of slow start ago, as
// reported by a correct clock.
func countAtMaxCredit(t *testing.T) int {
	t.Helper()
	b := newBalancer(t, nil)
	now := 2 * time.Hour
	list := testEndpoints(6)
	list[2].StartedAt = now - time.Duration(maxCreditedShare*float64(b.settings.SlowStartDuration))
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	return countSentTo(b, list[2].ID, now)
}

// Start times come from wall clocks, which may be wrong by seconds or an hour in either direction. If such a time were
// used as it is, an endpoint that restarts would get its full load at once, or too little for an hour.
func TestSlowStartToleratesWrongClocks(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			b := newBalancer(t, nil)
			now := 2 * time.Hour
			b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(6)})
			id := testEndpoints(6)[2].ID
			warmedUp := countSentTo(b, id, now)
			now += time.Minute
			back := testEndpoints(6)[2]
			back.StartedAt = now + step
			b.Handle(now, EndpointUpdate{Endpoints: []Endpoint{back}})
			warming := countSentTo(b, id, now)
			if limit := countAtMaxCredit(t); warming > limit+limit/4 || warming == 0 {
				t.Errorf("a restarted endpoint got %d attempts, want 1 to 1.25 x %d (at full credit); warmed up it got %d",
					warming, limit, warmedUp)
			}
			now += b.settings.SlowStartDuration + time.Second
			if later := countSentTo(b, id, now); later < warmedUp/2 {
				t.Errorf("after slow start the endpoint got %d attempts, want half of the %d before at least", later, warmedUp)
			}
		})
	}
}

// Start times of the first list are used as reported, except that a time in the future counts as now. Otherwise the
// endpoint would stay in slow start beyond that time.
func TestFirstListWithStartInTheFuture(t *testing.T) {
	b := newBalancer(t, nil)
	list := testEndpoints(6)
	now := 2 * time.Hour
	list[2].StartedAt = now + time.Hour
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	warming := countSentTo(b, list[2].ID, now)
	now += b.settings.SlowStartDuration + time.Second
	if warmedUp := countSentTo(b, list[2].ID, now); warming > warmedUp/2 {
		t.Errorf("the endpoint got %d attempts at first, want half of the %d after slow start at most", warming, warmedUp)
	}
}

// With an overload factor below two, a warming endpoint has too little capacity for bursts at its usual load, so it
// must be drawn less often.
func TestSmallOverloadFactorReducesAdmission(t *testing.T) {
	drawn := map[float64]int{}
	for _, factor := range []float64{0, 1, 2, 3} {
		b := newBalancer(t, func(s *Settings) { s.SlowStartInitialCapacity, s.SlowStartOverloadFactor = 0.5, factor })
		b.now = 2 * time.Second
		warming := &endpoint{Endpoint: Endpoint{StartedAt: 2 * time.Second}, slowStartFrom: 2 * time.Second}
		for range 2000 {
			if b.slowStart.admits(warming, b.now, 0, b.rng) {
				drawn[factor]++
			}
		}
	}
	if n := drawn[1]; n < 400 || n > 600 {
		t.Errorf("admitted %d times in 2000 with a factor of 1, want 400 to 600", n)
	}
	if drawn[0] != drawn[2] || drawn[2] != drawn[3] || drawn[3] < 900 {
		t.Errorf("admitted in 2000, by factor: %v, want equal counts of 900 at least for 0 (unknown), 2 and 3", drawn)
	}
}

// Start times in the future, or too far in the past for a restart during the replica's life, come from wrong clocks and
// must be limited.
func TestStartTime(t *testing.T) {
	start := slowStart{duration: 8 * time.Second} // a quarter, 2 s, may be credited
	now := time.Minute
	for _, c := range []struct {
		name         string
		stamp        time.Duration
		listReceived bool
		want         time.Duration
	}{
		{"started long ago", 0, true, 0},
		{"first list", 10 * time.Second, false, 10 * time.Second},
		{"first list, in the future", time.Hour, false, now},
		{"while the replica runs", now - time.Second, true, now - time.Second},
		{"while the replica runs, too long ago", 10 * time.Second, true, now - 2*time.Second},
		{"while the replica runs, in the future", time.Hour, true, now},
	} {
		if got := start.startTime(c.stamp, now, c.listReceived); got != c.want {
			t.Errorf("%s: slow start begins at %v, want %v", c.name, got, c.want)
		}
	}
}
