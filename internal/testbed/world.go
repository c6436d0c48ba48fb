// Package testbed emulates the platform that keelusher runs on. It starts the real node program in several processes,
// each on a loopback address of its own, and emulates everything around them in this process: clients, the front that
// spreads their connections, servers of up to three tiers, discovery, and links between any two of these that can fail
// in one direction. A Checker checks the rules for every request ID. The node program runs unmodified: the test bed
// imports none of its internal packages and speaks to it only over its protocols.
package testbed

import (
	"encoding/json"
	"fmt"
	"time"

	"keelusher/internal/testbed/shim"
)

// World describes the emulated platform. The zero value of a field for which a default is named means that default.
type World struct {
	Zones   []string `toml:"zones"`
	Tiers   []Tier   `toml:"tier"` // in the order of calls; the first is behind the nodes that clients call
	Classes []Class  `toml:"class"`
	Tenants []Tenant `toml:"tenant"`
	// factor for the priority weight of requests that exceed their tenant's quota
	OverQuotaWeight float64       `toml:"over_worth"`
	Limits          Limits        `toml:"limits"`
	SlowStart       SlowStart     `toml:"cold"`
	Choke           Choke         `toml:"choke"`
	Discovery       DiscoverySpec `toml:"discovery"`
	// time after which the front drops an unresponsive node; default 2 s
	FrontDetectionDelay time.Duration `toml:"front_notice"`
	// FROM->TO patterns of links that get a proxy, in addition to those that faults need
	Links []string `toml:"links"`

	Fleet Tables `toml:"fleet"` // fleet configuration of all nodes, without the addresses; empty: none
	Seeds int    `toml:"seeds"` // number of front nodes that are seeds of the mesh; default 3

	Binary string   `toml:"-"` // the node program; required
	Args   []string `toml:"-"` // its arguments
	Env    []string `toml:"-"` // added to each node's environment
	Dir    string   `toml:"-"` // for files of this run; default: a new temporary folder that Close removes
	Seed   uint64   `toml:"-"`

	// program and arguments that run a node under a shim, which finds its spec in the variable SHIM_SPEC
	Shim  []string             `toml:"-"`
	Shims map[string]shim.Spec `toml:"-"` // by node name

	TrustNodes   bool          `toml:"-"` // nodes are stubs that answer requests themselves: bodies are not checked
	ReadyTimeout time.Duration `toml:"-"` // limit for a node to become ready; default 30 s
}

// Tables are TOML tables that the test bed passes to the nodes unread.
type Tables map[string]any

// UnmarshalTOML stores a table as it is.
func (t *Tables) UnmarshalTOML(v any) error {
	table, ok := v.(map[string]any)
	if !ok {
		return fmt.Errorf("got %T, want a table", v)
	}
	*t = table
	return nil
}

// Tier is one tier of servers. Nodes is set for the first tier only: requests to a later tier go through the nodes of
// the servers of the previous tier, each of which has its own.
type Tier struct {
	Name    string  `toml:"name"`
	Nodes   int     `toml:"nodes"`
	Servers int     `toml:"servers"`
	PerZone []int   `toml:"per_zone"` // servers by zone; default: even
	Cores   int     `toml:"cores"`    // of a server; default 2
	Slots   int     `toml:"slots"`    // limit of requests that a server handles at once; default 16 a core
	Queue   int     `toml:"queue"`    // limit of requests that wait for a slot; default: as many as slots
	Conns   int     `toml:"conns"`    // limit of connections that a server holds; default 1,000
	Calls   float64 `toml:"calls"`    // mean number of calls to the next tier for each request, one after another
}

// Values of Class.Effect: what a second execution of a request does.
const (
	Idempotent        = "read_like"
	IdempotentWithKey = "idempotency_key"
	NotIdempotent     = "non_idempotent"
)

// Class is a class of requests. Work is the mean time on a core, by tier; Wait is the time that a request then spends
// waiting without a core.
type Class struct {
	Name             string          `toml:"name"`
	Effect           string          `toml:"effect"` // Idempotent, IdempotentWithKey or NotIdempotent
	Share            float64         `toml:"share"`
	Work             []time.Duration `toml:"work"`
	Wait             time.Duration   `toml:"wait"`
	LatencyObjective time.Duration   `toml:"aim"`
	Deadline         time.Duration   `toml:"deadline"`
	PriorityWeight   float64         `toml:"worth"` // default 1
	// deduplication window: servers discard retries with the same key within this time; default 5 s
	Window time.Duration `toml:"window"`
}

// Tenant is a customer. Share is its weight in the traffic, Quota the number of requests per second that it may send to
// the fleet.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"`
}

// Limits are limits of the platform, on each node unless noted otherwise.
type Limits struct {
	Cores          float64       `toml:"cores"`           // default 1
	MemoryMB       int           `toml:"memory_mb"`       // default 192
	Sockets        int           `toml:"sockets"`         // default 1,024
	ConnectTimeout time.Duration `toml:"connect_timeout"` // default 250 ms
	ConnIdle       time.Duration `toml:"conn_idle"`       // idle timeout of servers' connections; default 10 s
	MaxAttempts    int           `toml:"max_attempts"`    // of one request; default 5
	MaxRetryAfter  time.Duration `toml:"max_retry_after"` // longest Retry-After that clients obey; default 2 s
}

// SlowStart describes how servers start: with the share From of their capacity, which grows to the full capacity over
// Duration. A server crashes if all nodes together send it, within OverloadWindow, more than OverloadFactor times the
// work that it can do in that time.
type SlowStart struct {
	From           float64       `toml:"from"`     // default 0.38
	Duration       time.Duration `toml:"warm"`     // default 8.5 s
	OverloadFactor float64       `toml:"multiple"` // default 4
	OverloadWindow time.Duration `toml:"fall"`     // default 3 s
}

// Choke describes how servers slow down under overload: by Factor, once more than Waiting requests a core have been
// waiting for a core for the time After, until the server has been idle for the time Idle. A Factor of 0 turns it off.
type Choke struct {
	Waiting float64       `toml:"waiting"`
	After   time.Duration `toml:"after"`
	Factor  float64       `toml:"factor"`
	Idle    time.Duration `toml:"idle"`
}

// DiscoverySpec describes the timing of discovery.
type DiscoverySpec struct {
	NotificationDelay time.Duration `toml:"late"`    // from a change to the notification; default 1 s
	CallDuration      time.Duration `toml:"call"`    // of each call; calls are handled one at a time; default 1 ms
	WatchOnRequest    bool          `toml:"asked"`   // nodes get the endpoint list only if they ask for a watch
	MaxLag            time.Duration `toml:"max_lag"` // a call that has waited for longer fails; default 1 s
}

const (
	slack              = 50 * time.Millisecond // added to every time limit of the rules, as sockets and timers may be late
	drainDeadline      = 3 * time.Second       // from the notification until no new attempts may be sent to the server
	defaultDedupWindow = 5 * time.Second       // default of Class.Window
)

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Fill sets the defaults and validates the world. The error is a KeyError that names the invalid TOML key, such as
// "tier[1].cores".
func (w *World) Fill() error {
	w.setDefaults()
	if len(w.Tiers) == 0 || len(w.Tiers) > 3 {
		return &KeyError{"tier", fmt.Sprintf("got %d tiers, want 1 to 3", len(w.Tiers))}
	}
	if len(w.Classes) == 0 {
		return &KeyError{"class", "at least one class is needed"}
	}
	for i := range w.Tiers {
		if err := w.Tiers[i].fill(i, len(w.Tiers), w.Zones); err != nil {
			return err
		}
	}
	for i := range w.Classes {
		if err := w.Classes[i].fill(i, len(w.Tiers)); err != nil {
			return err
		}
	}
	for i, t := range w.Tenants {
		if t.Name == "" || !(t.Share > 0) || !(t.Quota >= 0) {
			key := fmt.Sprintf("tenant[%d].share", i)
			return &KeyError{key, "a tenant needs a name, a share above 0 and a quota from 0"}
		}
	}
	if !(w.SlowStart.From > 0 && w.SlowStart.From <= 1) || w.SlowStart.OverloadFactor <= 1 {
		return &KeyError{"cold.from", "from must be above 0 and at most 1, multiple above 1"}
	}
	return nil
}

// setDefaults sets the defaults of the world, but not those of its tiers and classes.
func (w *World) setDefaults() {
	orDefault(&w.Limits.Cores, 1)
	orDefault(&w.Limits.MemoryMB, 192)
	orDefault(&w.Limits.Sockets, 1024)
	orDefault(&w.Limits.ConnectTimeout, 250*time.Millisecond)
	orDefault(&w.Limits.ConnIdle, 10*time.Second)
	orDefault(&w.Limits.MaxAttempts, 5)
	orDefault(&w.Limits.MaxRetryAfter, 2*time.Second)
	orDefault(&w.SlowStart.From, 0.38)
	orDefault(&w.SlowStart.Duration, 8500*time.Millisecond)
	orDefault(&w.SlowStart.OverloadFactor, 4)
	orDefault(&w.SlowStart.OverloadWindow, 3*time.Second)
	orDefault(&w.Discovery.NotificationDelay, time.Second)
	orDefault(&w.Discovery.CallDuration, time.Millisecond)
	orDefault(&w.Discovery.MaxLag, time.Second)
	orDefault(&w.FrontDetectionDelay, 2*time.Second)
	orDefault(&w.ReadyTimeout, 30*time.Second)
	orDefault(&w.Seeds, 3)
	if len(w.Zones) == 0 {
		w.Zones = []string{"a"}
	}
}

// fill sets the defaults of a class and validates it.
func (c *Class) fill(i, tiers int) error {
	key := fmt.Sprintf("class[%d].", i)
	orDefault(&c.PriorityWeight, 1)
	orDefault(&c.Window, defaultDedupWindow)
	switch {
	case c.Name == "":
		return &KeyError{key + "name", "is empty"}
	case c.Effect != Idempotent && c.Effect != IdempotentWithKey && c.Effect != NotIdempotent:
		why := fmt.Sprintf("%q is none of read_like, idempotency_key, non_idempotent", c.Effect)
		return &KeyError{key + "effect", why}
	case !(c.Share > 0):
		return &KeyError{key + "share", "must be above 0"}
	case len(c.Work) != tiers:
		return &KeyError{key + "work", fmt.Sprintf("got %d values for %d tiers", len(c.Work), tiers)}
	case c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective:
		return &KeyError{key + "deadline", "aim and deadline must be above 0, the deadline no shorter than the aim"}
	}
	return nil
}

// fill sets the defaults of a tier and validates it.
func (t *Tier) fill(i, tiers int, zones []string) error {
	key := fmt.Sprintf("tier[%d].", i)
	orDefault(&t.Cores, 2)
	orDefault(&t.Slots, 16*t.Cores)
	orDefault(&t.Queue, t.Slots)
	orDefault(&t.Conns, 1000)
	if t.PerZone == nil {
		t.PerZone = make([]int, len(zones))
		for n := range t.Servers {
			t.PerZone[n%len(zones)]++
		}
	}
	sum := 0
	for _, n := range t.PerZone {
		sum += n
	}
	orDefault(&t.Servers, sum)
	switch {
	case t.Name == "":
		return &KeyError{key + "name", "is empty"}
	case len(t.PerZone) != len(zones) || sum != t.Servers || sum == 0 || sum > 200:
		return &KeyError{
			key + "servers",
			fmt.Sprintf("got %d servers, %v by zone, for %d zones; want 1 to 200", t.Servers, t.PerZone, len(zones)),
		}
	case i == 0 && (t.Nodes < 1 || t.Nodes > 100):
		return &KeyError{key + "nodes", "must be from 1 to 100 for the first tier"}
	case i > 0 && t.Nodes != 0:
		return &KeyError{key + "nodes", "may be set for the first tier only; behind it each server has a node of its own"}
	case t.Cores < 1 || t.Slots < 1 || t.Queue < 0 || t.Conns < 1:
		return &KeyError{key + "cores", "cores, slots and conns must be above 0, queue from 0"}
	case t.Calls < 0 || (t.Calls > 0) != (i < tiers-1):
		return &KeyError{key + "calls", "must be above 0 for each tier but the last, and 0 for the last"}
	}
	return nil
}

// KeyError is the error of an invalid key of a world or an experiment.
type KeyError struct{ Key, Why string }

// Error returns the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Why }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// object is a JSON object of the node's configuration.
type object = map[string]any

// settings returns the settings, as JSON, that the platform gives to the node of a tier with an index.
func (w *World) settings(tier, index int, zone string) json.RawMessage {
	text, err := json.Marshal(object{
		"balancers":        w.replicasOf(tier),
		"me":               index,
		"tier":             tier,
		"tiers":            w.tierNames(),
		"zone":             zone,
		"localities":       w.Zones,
		"blend":            object{"whole": 0.75, "worst-class": 0.1, "worst-tenant": 0.1, "worst-window": 0.05},
		"callers":          object{"marks-retry": true},
		"family":           "chain",
		"family-info":      object{"passes-deadline": true},
		"lanes":            w.classSettings(),
		"tenants":          w.tenantSettings(),
		"over-share-worth": w.OverQuotaWeight,
		"tick-ms":          5,
		"worth-by":         "request",
		"registry-mode":    w.registryMode(),
		"shapes":           []string{"m2"},
		"weights":          "silent",
		"telemetry":        object{"fields": []string{}, "via": "silent"},
		"limits":           w.limitSettings(),
		"rules":            w.ruleSettings(),
	})
	if err != nil {
		panic(err) // not reached: maps of plain values can always be encoded
	}
	return text
}

// replicasOf returns the number of nodes in front of a tier.
func (w *World) replicasOf(tier int) int {
	if tier == 0 {
		return w.Tiers[0].Nodes
	}
	return w.Tiers[tier-1].Servers
}

func (w *World) tierNames() (names []string) {
	for _, t := range w.Tiers {
		names = append(names, t.Name)
	}
	return names
}

func (w *World) registryMode() string {
	if w.Discovery.WatchOnRequest {
		return "on_request"
	}
	return "pushed"
}

func (w *World) classSettings() (lanes []object) {
	for _, c := range w.Classes {
		lanes = append(lanes, object{
			"name":        c.Name,
			"effect":      c.Effect,
			"key-scope":   "all",
			"late-share":  0,
			"stream":      false,
			"target-ms":   ms(c.LatencyObjective),
			"deadline-ms": ms(c.Deadline),
			"window-ms":   ms(c.Window),
			"worth":       c.PriorityWeight,
		})
	}
	return lanes
}

func (w *World) tenantSettings() (tenants []object) {
	for _, t := range w.Tenants {
		tenants = append(tenants, object{"name": t.Name, "quota-per-s": t.Quota, "share": t.Share})
	}
	return tenants
}

func (w *World) limitSettings() object {
	return object{
		"cancelling":         true,
		"conn-idle-ms":       ms(w.Limits.ConnIdle),
		"connect-timeout-ms": ms(w.Limits.ConnectTimeout),
		"max-attempts":       w.Limits.MaxAttempts,
		"max-retry-after-ms": ms(w.Limits.MaxRetryAfter),
		"max-streams":        1,
		"may-probe":          false,
		"open-cap":           20000,
		"peers":              false,
		"retry-after":        true,
		"second-copies":      true,
	}
}

func (w *World) ruleSettings() object {
	return object{
		"answer-slack-ms":        ms(slack),
		"ask-within-ms":          10000,
		"cold-from":              w.SlowStart.From,
		"fall-ms":                ms(w.SlowStart.OverloadWindow),
		"fall-multiple":          w.SlowStart.OverloadFactor,
		"stop-sending-within-ms": ms(drainDeadline),
		"warm-after-ms":          ms(w.SlowStart.Duration),
	}
}
