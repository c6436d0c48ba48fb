package node

import (
	"net/http"
	"testing"
	"time"
)

// An override ends in the loop, before anything else is decided, though nobody tells it: its host may have slept.
func TestOverrideExpiresWithoutItsHost(t *testing.T) {
	x, y := newBackend(t, ok), newBackend(t, ok)
	a, b := inService("s-1", x.addr()), inService("s-2", y.addr())
	a.Zone, b.Zone = "x", "y"
	n := start(t, testConfig(t, "pushed", a, b))
	ordered := func() (is bool) {
		n.loop.runTask(func() {
			for _, z := range n.loop.balancer.Zones() {
				is = is || z.Name == "x" && z.EvacuatedByOperator
			}
		})
		return is
	}
	end := n.loop.clock.now() + 300*time.Millisecond
	n.loop.overrideUpdates <- map[string]time.Duration{"x": end}
	until(t, "the zone is ordered away", ordered)
	until(t, "the override is over", func() bool { return n.loop.clock.now() >= end })
	if status, _, _ := do(t, newRequest(t, n.url, "keyed", "1", "x")); status != http.StatusOK || ordered() {
		t.Errorf("answered %d; after a request past the end the zone is ordered away: %v", status, ordered())
	}
}

// The door's own order and an override hold a zone away each by itself.
func TestOperatorEvacuationOutlivesOverride(t *testing.T) {
	b := newBackend(t, ok)
	n := start(t, testConfig(t, "pushed", inService("s-1", b.addr())))
	n.loop.runTask(func() {
		l, now := n.loop, n.loop.clock.now()
		l.handleOverrides(map[string]time.Duration{"z": now + time.Hour})
		l.evacuateByOperator("z", true, true)
		l.handleOverrides(nil)
		if !l.balancer.Zones()[0].EvacuatedByOperator {
			t.Error("the end of the override ended the door's order")
		}
		l.handleOverrides(map[string]time.Duration{"z": now + time.Hour})
		l.evacuateByOperator("z", false, false)
		if !l.balancer.Zones()[0].EvacuatedByOperator {
			t.Error("the end of the door's order ended the override")
		}
	})
}
