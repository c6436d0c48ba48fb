package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/BurntSushi/toml"
)

// siteFile is what a node's settings take from a site file. The bench reads the rest.
type siteFile struct {
	Name  string
	Allow struct {
		RetryAfter  bool `toml:"retry_after"`
		MaxAttempts int  `toml:"max_attempts"`
	}
	Clients struct {
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
		MarksRetry    bool    `toml:"marks_retry"`
	}
	Rules struct {
		FallMultiple float64 `toml:"fall_multiple"`
	}
	Discovery struct{ Mode string }
	Net       struct{ Zones []string }
	Goal      struct {
		Whole      float64
		WorstClass float64 `toml:"worst_class"`
	}
	Load struct {
		OverShareWorth float64 `toml:"over_share_worth"`
	}
	Tier []struct {
		Name string
		Conn struct {
			IdleS          float64 `toml:"idle_s"`
			ConnectTimeout float64 `toml:"connect_timeout_ms"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		Aim                 float64 `toml:"aim_ms"`
		Deadline            float64 `toml:"deadline_ms"`
		Window              float64 `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
}

// settings are those of a node before a tier, as the platform would give them.
func (f siteFile) settings(tier int) map[string]any {
	effects := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	var classes, tenants []map[string]any
	for _, c := range f.Class {
		classes = append(classes, map[string]any{"name": c.Name, "effect": effects[c.Effect], "key-scope": c.Group,
			"target-ms": c.Aim, "deadline-ms": c.Deadline, "window-ms": c.Window, "worth": c.Worth, "late-share": c.LateWorth})
	}
	for _, t := range f.Tenant {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share, "quota-per-s": 100 * t.Share})
	}
	var tiers []string
	for _, t := range f.Tier {
		tiers = append(tiers, t.Name)
	}
	mode := "pushed"
	if f.Discovery.Mode == "ask" {
		mode = "on_request"
	}
	return map[string]any{"balancers": 2, "me": 1, "tier": tier, "tiers": tiers, "registry-mode": mode, "tick-ms": 5,
		"zone": f.Net.Zones[0], "over-share-worth": f.Load.OverShareWorth, "lanes": classes, "tenants": tenants,
		"blend":   map[string]any{"whole": f.Goal.Whole, "worst-class": f.Goal.WorstClass},
		"callers": map[string]any{"marks-retry": f.Clients.MarksRetry},
		"limits": map[string]any{"conn-idle-ms": 1000 * f.Tier[tier].Conn.IdleS, "connect-timeout-ms": f.Tier[tier].Conn.ConnectTimeout,
			"max-attempts": f.Allow.MaxAttempts, "max-retry-after-ms": f.Clients.MaxRetryAfter, "retry-after": f.Allow.RetryAfter},
		"rules": map[string]any{"ask-within-ms": 10000, "cold-from": 0.4, "fall-multiple": f.Rules.FallMultiple, "warm-after-ms": 8000}}
}

// Every site of our own starts a node before each of its tiers; each of its classes is served with the method that its
// effect decides, and what may have run is sent again only where that effect allows it.
func TestSites(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("%d site files, want two: %v", len(paths), err)
	}
	effects := map[string]bool{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var f siteFile
		if _, err := toml.Decode(string(text), &f); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if f.Name+".toml" != filepath.Base(path) || len(f.Class) == 0 || len(f.Tier) == 0 || len(f.Net.Zones) == 0 {
			t.Fatalf("%s: no whole site", path)
		}
		for tier := range f.Tier {
			t.Run(fmt.Sprintf("%s/%d", f.Name, tier), func(t *testing.T) {
				var breaks atomic.Value // the class whose next request breaks off after it may have run
				breaks.Store("")
				b := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
					class := r.Header.Get("X-Call-Class")
					if breaks.CompareAndSwap(class, "") {
						return false
					}
					return respond(c, "200 OK", class)
				})
				other := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
					return respond(c, "200 OK", r.Header.Get("X-Call-Class"))
				})
				settings, err := json.Marshal(f.settings(tier))
				if err != nil {
					t.Fatal(err)
				}
				known, err := json.Marshal(endpointList{Version: 1, Snapshot: true, Endpoints: []listedEndpoint{inService("s-0", b.addr())}})
				if err != nil {
					t.Fatal(err)
				}
				cfg, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
				 "limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, silentDiscovery(t), known, settings))
				if err != nil {
					t.Fatal(err)
				}
				ln := newGatedListener(t)
				n := startOn(t, ln, cfg)
				for _, c := range f.Class {
					effects[c.Effect] = true
					method := http.MethodPost
					if c.Effect == "safe" {
						method = http.MethodGet
					}
					ask := func(id string) int {
						caller := ln.dial(t)
						caller.send(t, strings.Join([]string{method + " /api HTTP/1.1", "Host: s", "X-Call-Id: " + c.Name + id, "X-Call-Class: " + c.Name,
							fmt.Sprintf("X-Budget: %vm", c.Deadline), "Connection: close"}, "\r\n")+"\r\n\r\n")
						return caller.answered()
					}
					if status := ask("-1"); status != http.StatusOK {
						t.Errorf("%s got %d", c.Name, status)
					}
					breaks.Store(c.Name)
					n.loop.endpointUpdates <- watchEvent{list: endpointList{Version: 2, Snapshot: true, Endpoints: []listedEndpoint{inService("s-0", b.addr()), inService("s-1", other.addr())}}}
					for k, before := 2, other.requests(); breaks.Load() == c.Name && k < 100; k++ {
						status := ask(fmt.Sprint("-", k))
						if breaks.Load() == c.Name {
							before = other.requests() // it went to the other server
							continue
						}
						if again := other.requests() > before; again && c.Effect == "unsafe" {
							t.Errorf("%s may have run and was sent again", c.Name)
						} else if status == http.StatusOK != again {
							t.Errorf("%s got %d, sent again: %v", c.Name, status, again)
						}
					}
				}
			})
		}
	}
	for _, e := range []string{"safe", "keyed", "unsafe"} {
		if !effects[e] {
			t.Errorf("no site has a class with the effect %q", e)
		}
	}
}

// What the bench reads beside a site stands there as a link, relative, so that nothing of the kit is copied in.
func TestSitesLinkToTheKit(t *testing.T) {
	for _, name := range []string{"real.json", "wire.json", "unlock.txt"} {
		to, err := os.Readlink("../../deploy/sites/" + name)
		if err != nil || to != "../../../given/kit/sites/"+name {
			t.Errorf("%s leads to %q, %v", name, to, err)
		}
	}
}
