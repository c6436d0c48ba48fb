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

// siteFile holds the keys of a site file from which a node's settings are made. Other programs read the other keys.
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
		TotalWeight      float64 `toml:"whole"`
		WorstClassWeight float64 `toml:"worst_class"`
	}
	Load struct {
		OverQuotaWeight float64 `toml:"over_share_worth"`
	}
	Tier []struct {
		Name string
		Conn struct {
			IdleS          float64 `toml:"idle_s"`
			ConnectTimeout float64 `toml:"connect_timeout_ms"`
		}
	}
	Class  []siteClass
	Tenant []struct {
		Name  string
		Share float64
	}
}

// siteClass is a class of requests of a site.
type siteClass struct {
	Name, Effect, Group string
	LatencyObjective    float64 `toml:"aim_ms"`
	Deadline            float64 `toml:"deadline_ms"`
	Window              float64 `toml:"window_ms"`
	PriorityWeight      float64 `toml:"worth"`
	LateAnswerWeight    float64 `toml:"late_worth"`
}

// settings returns the settings of a node that sends to a tier, as the platform would provide them.
func (f siteFile) settings(tier int) map[string]any {
	effects := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	var classes, tenants []map[string]any
	for _, c := range f.Class {
		classes = append(classes, map[string]any{
			"name":        c.Name,
			"effect":      effects[c.Effect],
			"key-scope":   c.Group,
			"target-ms":   c.LatencyObjective,
			"deadline-ms": c.Deadline,
			"window-ms":   c.Window,
			"worth":       c.PriorityWeight,
			"late-share":  c.LateAnswerWeight,
		})
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
	return map[string]any{
		"balancers":        2,
		"me":               1,
		"tier":             tier,
		"tiers":            tiers,
		"registry-mode":    mode,
		"tick-ms":          5,
		"zone":             f.Net.Zones[0],
		"over-share-worth": f.Load.OverQuotaWeight,
		"lanes":            classes,
		"tenants":          tenants,
		"blend":            map[string]any{"whole": f.Goal.TotalWeight, "worst-class": f.Goal.WorstClassWeight},
		"callers":          map[string]any{"marks-retry": f.Clients.MarksRetry},
		"limits": map[string]any{
			"conn-idle-ms":       1000 * f.Tier[tier].Conn.IdleS,
			"connect-timeout-ms": f.Tier[tier].Conn.ConnectTimeout,
			"max-attempts":       f.Allow.MaxAttempts,
			"max-retry-after-ms": f.Clients.MaxRetryAfter,
			"retry-after":        f.Allow.RetryAfter,
		},
		"rules": map[string]any{
			"ask-within-ms": 10000,
			"cold-from":     0.4,
			"fall-multiple": f.Rules.FallMultiple,
			"warm-after-ms": 8000,
		},
	}
}

// With the settings of every site file a node starts for each tier, and serves each class with the HTTP method for its
// effect. A request that a server may have executed is retried only if the effect of its class allows that.
func TestSites(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("found %d site files, want at least two: %v", len(paths), err)
	}
	effects := map[string]bool{}
	for _, path := range paths {
		site := readSite(t, path)
		for _, class := range site.Class {
			effects[class.Effect] = true
		}
		for tier := range site.Tier {
			t.Run(fmt.Sprintf("%s/%d", site.Name, tier), func(t *testing.T) {
				run := startSite(t, site, tier)
				for _, class := range site.Class {
					run.checkClass(t, class)
				}
			})
		}
	}
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		if !effects[effect] {
			t.Errorf("no site has a class with the effect %q", effect)
		}
	}
}

func readSite(t *testing.T, path string) siteFile {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var f siteFile
	if _, err := toml.Decode(string(text), &f); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if f.Name+".toml" != filepath.Base(path) || len(f.Class) == 0 || len(f.Tier) == 0 || len(f.Net.Zones) == 0 {
		t.Fatalf("%s: the name differs from the file's, or there are no classes, tiers or zones", path)
	}
	return f
}

// siteRun is a node that sends to a tier of a site, and two servers of that tier.
type siteRun struct {
	node         *runningNode
	listener     *gatedListener
	first        *backend
	second       *backend     // in the endpoint list from the first call of checkClass on
	failingClass atomic.Value // string: class whose next request at the first server ends without a response; "": none
}

// startSite starts the servers, and a node whose endpoint list has only the first of them.
func startSite(t *testing.T, site siteFile, tier int) *siteRun {
	t.Helper()
	run := &siteRun{}
	run.failingClass.Store("")
	run.first = newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		class := r.Header.Get("X-Call-Class")
		if run.failingClass.CompareAndSwap(class, "") {
			return false
		}
		return respond(c, "200 OK", class)
	})
	run.second = newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		return respond(c, "200 OK", r.Header.Get("X-Call-Class"))
	})
	settings, err := json.Marshal(site.settings(tier))
	if err != nil {
		t.Fatal(err)
	}
	known, err := json.Marshal(snapshotOf(1, inService("s-0", run.first.addr())))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
	 "seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		silentDiscovery(t), known, settings))
	if err != nil {
		t.Fatal(err)
	}
	run.listener = newGatedListener(t)
	run.node = startOn(t, run.listener, cfg)
	return run
}

// checkClass checks that a class is served, and that a request that a server may have executed is retried only if the
// effect of the class allows that.
func (run *siteRun) checkClass(t *testing.T, class siteClass) {
	t.Helper()
	if status := run.send(t, class, "-1"); status != http.StatusOK {
		t.Errorf("a request of class %s got status %d, want 200", class.Name, status)
	}
	run.failingClass.Store(class.Name)
	both := snapshotOf(2, inService("s-0", run.first.addr()), inService("s-1", run.second.addr()))
	run.node.loop.endpointUpdates <- watchEvent{list: both}
	for k, before := 2, run.second.requests(); run.failingClass.Load() == class.Name && k < 100; k++ {
		status := run.send(t, class, fmt.Sprint("-", k))
		if run.failingClass.Load() == class.Name {
			before = run.second.requests() // the request went to the second server
			continue
		}
		retried := run.second.requests() > before
		if retried && class.Effect == "unsafe" {
			t.Errorf("a request of class %s was retried though it may have been executed", class.Name)
		} else if status == http.StatusOK != retried {
			t.Errorf("class %s: got status %d, retried: %v; want 200 if and only if retried", class.Name, status, retried)
		}
	}
}

// send sends a request of a class on a new connection, and returns the status.
func (run *siteRun) send(t *testing.T, class siteClass, suffix string) int {
	t.Helper()
	method := http.MethodPost
	if class.Effect == "safe" {
		method = http.MethodGet
	}
	client := run.listener.dial(t)
	client.send(t, strings.Join([]string{
		method + " /api HTTP/1.1",
		"Host: s",
		"X-Call-Id: " + class.Name + suffix,
		"X-Call-Class: " + class.Name,
		fmt.Sprintf("X-Budget: %vm", class.Deadline),
		"Connection: close",
	}, "\r\n")+"\r\n\r\n")
	return client.readStatus()
}

// snapshotOf returns a complete endpoint list.
func snapshotOf(version int64, endpoints ...listedEndpoint) endpointList {
	return endpointList{Version: version, Snapshot: true, Endpoints: endpoints}
}

// The files that are read together with the site files are relative links into given/kit, so that none of them is
// copied.
func TestSitesLinkToTheKit(t *testing.T) {
	for _, name := range []string{"real.json", "wire.json", "unlock.txt"} {
		to, err := os.Readlink("../../deploy/sites/" + name)
		if err != nil || to != "../../../given/kit/sites/"+name {
			t.Errorf("%s links to %q, error %v, want a link into ../../../given/kit/sites", name, to, err)
		}
	}
}
