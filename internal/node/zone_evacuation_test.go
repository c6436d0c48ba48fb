package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"keelusher/internal/admin"
)

// Operators can list the zones, and evacuate a zone, which gets no requests until it is restored. The last zone that is
// in service is evacuated only by a call with force, and requests are still served then.
func TestZonesAtAdminEndpoint(t *testing.T) {
	local, remote := newBackend(t, serveOK), newBackend(t, serveOK)
	a, b := inService("s-0", local.addr()), inService("s-1", remote.addr())
	b.Zone = "hall/y"
	cfg := testConfig(t, "pushed", a, b)
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg)
	put := func(path string, want int) {
		t.Helper()
		if status, _ := n.callAdmin(t, "PUT", "/control/zones/"+path); status != want {
			t.Errorf("PUT %s: status %d, want %d", path, status, want)
		}
	}
	send := func(from int) (toRemote int) {
		t.Helper()
		before := remote.requests()
		for i := range 60 {
			if status, _, _ := do(t, newRequest(t, n.url, "keyed", fmt.Sprint("r", from+i), "x")); status != 200 {
				t.Fatalf("request %d got status %d, want 200", i, status)
			}
		}
		return remote.requests() - before
	}
	put("nowhere/evacuate", 404)
	put("z/banish", 404)
	put("z/evacuate", 200)
	put("z/evacuate", 200)
	if got := send(0); got != 60 {
		t.Errorf("with its own zone evacuated the node sent %d of 60 requests to the other zone, want all", got)
	}
	put("hall/y/evacuate", 409)
	put("hall/y/evacuate?force=yes", 200)
	send(100) // with all zones evacuated, requests are sent as if none were
	put("z/restore", 200)
	if got := send(200); got != 0 {
		t.Errorf("%d of 60 requests went to the evacuated zone, want none", got)
	}
	status, body := n.callAdmin(t, "GET", "/control/zones")
	var page admin.ZonesPage
	if err := json.Unmarshal([]byte(body), &page); err != nil || status != 200 || len(page.Zones) != 2 {
		t.Fatalf("GET /control/zones: status %d, body %s, error %v, want two zones", status, body, err)
	}
	other, own := page.Zones[0], page.Zones[1]
	if other.Name != "hall/y" || !other.EvacuatedByOperator || other.Share != 0 || other.State != "evacuated" {
		t.Errorf("the state of the evacuated zone in %s, want evacuated by the operator with share 0", body)
	}
	if own.State != "serving" || own.Share != 1 || own.Endpoints != 1 {
		t.Errorf("the state of the restored zone in %s, want serving with share 1 and one endpoint", body)
	}
	if status, _ := n.callAdmin(t, "GET", "/control/zones/z/restore"); status != 405 {
		t.Errorf("GET of an action got status %d, want 405", status)
	}
}

// An override expires in the event loop, before the next request is handled, even if the overrides host does not run,
// as after a suspension.
func TestOverrideExpiresWithoutItsHost(t *testing.T) {
	x, y := newBackend(t, serveOK), newBackend(t, serveOK)
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
	waitFor(t, "the zone is evacuated", evacuated)
	waitFor(t, "the override has expired", func() bool { return n.loop.clock.now() >= end })
	if status, _, _ := do(t, newRequest(t, n.url, "keyed", "1", "x")); status != http.StatusOK || evacuated() {
		t.Errorf("the request after the expiry got status %d, zone still evacuated: %v; want 200, false", status, evacuated())
	}
}

// A zone is evacuated as long as an operator's evacuation at this node or an override asks for it. The end of one does
// not end the other.
func TestOperatorEvacuationOutlivesOverride(t *testing.T) {
	b := newBackend(t, serveOK)
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
