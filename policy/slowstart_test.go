package policy

import (
	"fmt"
	"testing"
	"time"
)

// countSentTo is how many of 3,000 requests, each answered before the next, go to an endpoint in a second.
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

// countAtMaxCredit is what an endpoint gets that started a part of the warm-up ago, by clocks that agree.
func countAtMaxCredit(t *testing.T) int {
	t.Helper()
	b := newBalancer(t, nil)
	now := 2 * time.Hour
	list := testEndpoints(6)
	list[2].StartedAt = now - time.Duration(maxCreditedShare*float64(b.settings.SlowStartDuration))
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	return countSentTo(b, list[2].ID, now)
}

// Start times come from wall clocks, which may be stepped by seconds or an hour, either way. An endpoint that comes
// back while the replica runs is started slowly all the same, and has warmed up when the settings say so.
func TestSlowStartNeedsNoWallClock(t *testing.T) {
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
				t.Errorf("an endpoint that came back gets %d, one with the greatest credit %d, one that has warmed up %d",
					warming, limit, warmedUp)
			}
			now += b.settings.SlowStartDuration + time.Second
			if later := countSentTo(b, id, now); later < warmedUp/2 {
				t.Errorf("when it has warmed up it gets %d, before %d", later, warmedUp)
			}
		})
	}
}

// Start times of the first list are believed, but one in the future is of a start that was just now.
func TestFirstListWithAStartInTheFuture(t *testing.T) {
	b := newBalancer(t, nil)
	list := testEndpoints(6)
	now := 2 * time.Hour
	list[2].StartedAt = now + time.Hour
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	warming := countSentTo(b, list[2].ID, now)
	now += b.settings.SlowStartDuration + time.Second
	if warmedUp := countSentTo(b, list[2].ID, now); warming > warmedUp/2 {
		t.Errorf("it gets %d at first, %d when it has warmed up", warming, warmedUp)
	}
}

// An overload factor under two leaves no capacity for bursts: a warming endpoint is drawn less often.
func TestSmallOverloadFactorThinsMore(t *testing.T) {
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
		t.Errorf("drawn %d times in 2000 with a factor of 1, want about a quarter", n)
	}
	if drawn[0] != drawn[2] || drawn[2] != drawn[3] || drawn[3] < 900 {
		t.Errorf("drawn %v: factors of two and more, or none, want about half", drawn)
	}
}

func TestStartTime(t *testing.T) {
	start := slowStart{duration: 8 * time.Second}
	now := time.Minute
	for _, c := range []struct {
		name      string
		stamp     time.Duration
		restarted bool
		want      time.Duration
	}{
		{"started long ago", 0, true, 0},
		{"first list", 10 * time.Second, false, 10 * time.Second},
		{"first list, in the future", time.Hour, false, now},
		{"while the replica runs", now - time.Second, true, now - time.Second},
		{"while the replica runs, too long ago", 10 * time.Second, true, now - 2*time.Second},
		{"while the replica runs, in the future", time.Hour, true, now},
	} {
		if got := start.startTime(c.stamp, now, c.restarted); got != c.want {
			t.Errorf("%s: slow start from %v, want %v", c.name, got, c.want)
		}
	}
}
