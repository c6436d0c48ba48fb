package node

import (
	"net/http"
	"testing"
	"time"
)

// An override expires in the event loop, before anything else is decided, also without its host, which may have been
// suspended.
func TestOverrideExpiresWithoutItsHost(t *testing.T) {
	x, y := newBackend(t, ok), newBackend(t, ok)
	a, b := inService("s-1", x.addr()), inService("s-2", y.addr())
	a.Zone, b.Zone = "x", "y"
	n := start(t, testConfig(t, "pushed", a, b))
	evacuated := func() (is bool) {
		n.loop.runTask(func() {
			for _, z := range n.loop.balancer.Zones() {
				is = is || z.Name == "x" && z.EvacuatedByOperator
			}
		})
		return is
	}
	end := n.loop.clock.now() + 300*time.Millisecond
	n.loop.overrideUpdates <- map[string]time.Duration{"x": end}
	until(t, "the zone is evacuated", evacuated)
	until(t, "the override is over", func() bool { return n.loop.clock.now() >= end })
	if status, _, _ := do(t, newRequest(t, n.url, "keyed", "1", "x")); status != http.StatusOK || evacuated() {
		t.Errorf("answered %d; after a request past the expiry the zone is evacuated: %v", status, evacuated())
	}
}

// An operator's evacuation and an override each evacuate a zone by themselves.
func TestOperatorEvacuationOutlivesOverride(t *testing.T) {
	b := newBackend(t, ok)
	n := start(t, testConfig(t, "pushed", inService("s-1", b.addr())))
	n.loop.runTask(func() {
		l, now := n.loop, n.loop.clock.now()
		l.handleOverrides(map[string]time.Duration{"z": now + time.Hour})
		l.evacuateByOperator("z", true, true)
		l.handleOverrides(nil)
		if !l.balancer.Zones()[0].EvacuatedByOperator {
			t.Error("the end of the override ended the operator's evacuation")
		}
		l.handleOverrides(map[string]time.Duration{"z": now + time.Hour})
		l.evacuateByOperator("z", false, false)
		if !l.balancer.Zones()[0].EvacuatedByOperator {
			t.Error("the end of the operator's evacuation ended the override")
		}
	})
}
