package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"keelusher/internal/admin"
)

// Operators see the zones and evacuate one: it gets nothing until they restore it. The last one is evacuated by force
// alone.
func TestZonesAtAdminEndpoint(t *testing.T) {
	here, there := newBackend(t, ok), newBackend(t, ok)
	a, b := inService("s-0", here.addr()), inService("s-1", there.addr())
	b.Zone = "hall/y"
	cfg := testConfig(t, "pushed", a, b)
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg)
	put := func(path string, want int) {
		t.Helper()
		if status, _ := n.callAdmin(t, "PUT", "/control/zones/"+path); status != want {
			t.Errorf("PUT %s: %d, want %d", path, status, want)
		}
	}
	send := func(from int) (toThere int) {
		t.Helper()
		before := there.requests()
		for i := range 60 {
			if status, _, _ := do(t, newRequest(t, n.url, "keyed", fmt.Sprint("r", from+i), "x")); status != 200 {
				t.Fatalf("request %d: %d", i, status)
			}
		}
		return there.requests() - before
	}
	put("nowhere/evacuate", 404)
	put("z/banish", 404)
	put("z/evacuate", 200)
	put("z/evacuate", 200)
	if got := send(0); got != 60 {
		t.Errorf("with its own zone evacuated it sent %d of 60 to the other", got)
	}
	put("hall/y/evacuate", 409)
	put("hall/y/evacuate?force=yes", 200)
	send(100) // all are evacuated, so that none is
	put("z/restore", 200)
	if got := send(200); got != 0 {
		t.Errorf("%d of 60 went to the evacuated zone", got)
	}
	status, body := n.callAdmin(t, "GET", "/control/zones")
	var page admin.ZonesPage
	if err := json.Unmarshal([]byte(body), &page); err != nil || status != 200 || len(page.Zones) != 2 {
		t.Fatalf("%d %s: %v", status, body, err)
	}
	other, own := page.Zones[0], page.Zones[1]
	if other.Name != "hall/y" || !other.EvacuatedByOperator || other.Share != 0 || other.State != "evacuated" {
		t.Errorf("the page says %s", body)
	}
	if own.State != "serving" || own.Share != 1 || own.Endpoints != 1 {
		t.Errorf("the page says %s", body)
	}
	if status, _ := n.callAdmin(t, "GET", "/control/zones/z/restore"); status != 405 {
		t.Errorf("GET of an action: %d", status)
	}
}

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
