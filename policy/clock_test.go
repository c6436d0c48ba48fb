package policy

import (
	"fmt"
	"testing"
	"time"
)

// sentTo is how many of 3,000 requests, each answered before the next, go to a server in a second.
func sentTo(b *Balancer, id string, from time.Duration) (n int) {
	for i := range 3000 {
		now := from + time.Duration(i)*time.Second/3000
		name := fmt.Sprint(id, from, i)
		for _, s := range sends(b.Handle(now, Request{ID: name, Class: "get", Deadline: now + time.Second})) {
			if s.Endpoint == id {
				n++
			}
			settle(b, now, name, s, Success)
		}
	}
	return n
}

// believedMost is what a server gets that started a part of the warm-up ago, by clocks that agree.
func believedMost(t *testing.T) int {
	t.Helper()
	b := newBalancer(t, nil)
	now := 2 * time.Hour
	list := servers(6)
	list[2].StartedAt = now - time.Duration(maxCreditedShare*float64(b.settings.SlowStartDuration))
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	return sentTo(b, list[2].ID, now)
}

// Stamps of servers' starts come from wall clocks, which may be stepped by seconds or an hour, either way. A server that
// comes back under the copy's eyes is started slowly all the same, and is warm when the settings say so.
func TestSlowStartNeedsNoWallClock(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			b := newBalancer(t, nil)
			now := 2 * time.Hour
			b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: servers(6)})
			id := servers(6)[2].ID
			warm := sentTo(b, id, now)
			now += time.Minute
			back := servers(6)[2]
			back.StartedAt = now + step
			b.Handle(now, EndpointUpdate{Endpoints: []Endpoint{back}})
			cold := sentTo(b, id, now)
			if most := believedMost(t); cold > most+most/4 || cold == 0 {
				t.Errorf("a server that came back gets %d, one that is believed to be as old as can be %d, a warm one %d", cold, most, warm)
			}
			now += b.settings.SlowStartDuration + time.Second
			if later := sentTo(b, id, now); later < warm/2 {
				t.Errorf("when it is warm it gets %d, before %d", later, warm)
			}
		})
	}
}

// The first list's stamps are believed, but one that is ahead of the clock is of a start that was just now.
func TestFirstListWithAStampAheadOfTheClock(t *testing.T) {
	b := newBalancer(t, nil)
	list := servers(6)
	now := 2 * time.Hour
	list[2].StartedAt = now + time.Hour
	b.Handle(now, EndpointUpdate{Snapshot: true, Endpoints: list})
	cold := sentTo(b, list[2].ID, now)
	now += b.settings.SlowStartDuration + time.Second
	if warm := sentTo(b, list[2].ID, now); cold > warm/2 {
		t.Errorf("it gets %d at first, %d when it is warm", cold, warm)
	}
}
