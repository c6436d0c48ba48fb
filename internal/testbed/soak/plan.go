// Package soak runs many real nodes under overlapping faults that are drawn from a seed. It judges a run by what
// clients, servers and discovery observed and by the nodes' own counters.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"keelusher/internal/testbed"
	"keelusher/internal/testbed/shim"
)

// Times of a run, counted from the start of the load.
const (
	firstCluster    = 3 * time.Second
	secondCluster   = 10 * time.Second
	clusterDuration = 1500 * time.Millisecond // all faults of a cluster begin within this time of its start
	loadDuration    = 18 * time.Second
	quietAfter      = 5 * time.Second // wait for pending requests before the counters are compared
)

// Settings of the shims, which make system calls of some nodes fail and the wall clock of some nodes jump.
const (
	shimChance   = 0.02
	shimFor      = 12 * time.Second
	clockStepMax = time.Hour
)

// Plan describes a run; all of it is drawn from a seed.
type Plan struct {
	Seed      uint64
	World     testbed.World
	Load      testbed.Load
	Faults    []testbed.Fault // Keep identifies faults by their indexes here
	Overrides []Override      // empty if the nodes have no membership
}

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, 11))
	p := &Plan{Seed: seed, World: world(seed, r), Load: testbed.Load{Rate: 70, Retries: 1, EarlyDisconnectShare: 0.2}}
	for _, at := range []time.Duration{firstCluster, secondCluster} {
		p.Faults = append(p.Faults, cluster(r, at)...)
	}
	p.extend(rand.New(rand.NewPCG(seed, 12)))
	return p
}

// Keep removes all faults but those with the given indexes. Shims stay.
func (p *Plan) Keep(numbers []int) error {
	var kept []testbed.Fault
	for _, n := range numbers {
		if n < 0 || n >= len(p.Faults) {
			return fmt.Errorf("fault %d does not exist: the plan has %d faults", n, len(p.Faults))
		}
		kept = append(kept, p.Faults[n])
	}
	p.Faults = kept
	return nil
}

func world(seed uint64, r *rand.Rand) testbed.World {
	work := func(d time.Duration) []time.Duration { return []time.Duration{d, d, d} }
	w := testbed.World{
		Seed:  seed,
		Zones: []string{"a", "b"},
		Tiers: []testbed.Tier{
			{Name: "front", Nodes: 10, Servers: 8, Calls: 1},
			{Name: "schedule", Servers: 8, Calls: 1},
			{Name: "rooms", Servers: 8},
		},
		Classes: []testbed.Class{
			{
				Name:             "view",
				Effect:           testbed.Idempotent,
				Share:            0.4,
				Work:             work(8 * time.Millisecond),
				LatencyObjective: time.Second,
				Deadline:         2 * time.Second,
			},
			{
				Name:             "glance",
				Effect:           testbed.Idempotent,
				Share:            0.2,
				Work:             work(4 * time.Millisecond),
				LatencyObjective: 200 * time.Millisecond,
				Deadline:         350 * time.Millisecond,
			},
			{
				Name:             "order",
				Effect:           testbed.IdempotentWithKey,
				Share:            0.2,
				Work:             work(8 * time.Millisecond),
				LatencyObjective: 1500 * time.Millisecond,
				Deadline:         3 * time.Second,
				Window:           600 * time.Millisecond,
			},
			{
				Name:             "booking",
				Effect:           testbed.NotIdempotent,
				Share:            0.2,
				Work:             work(8 * time.Millisecond),
				LatencyObjective: time.Second,
				Deadline:         2 * time.Second,
			},
		},
		Limits:    testbed.Limits{ConnectTimeout: 2 * time.Second},
		Discovery: testbed.DiscoverySpec{WatchOnRequest: r.IntN(2) == 0, NotificationDelay: 200 * time.Millisecond},
	}
	w.Shims = map[string]shim.Spec{}
	for _, node := range []string{"n1", "n2", "n@front-1"} {
		spec := shim.Spec{Seed: r.Uint64() >> 1, From: firstCluster, Until: firstCluster + shimFor, Chance: shimChance}
		if node == "n2" { // for half of the seeds the clock is wrong from the start
			spec.ClockStep = time.Duration(r.Int64N(int64(2*clockStepMax))) - clockStepMax
			spec.ClockAt = time.Duration(r.IntN(2)) * firstCluster
		}
		w.Shims[node] = spec
	}
	return w
}

// cluster draws two or three faults that begin within clusterDuration after at.
func cluster(r *rand.Rand, at time.Duration) (faults []testbed.Fault) {
	kinds := r.Perm(len(catalogue))
	discovery := false
	for _, k := range kinds {
		c := catalogue[k]
		if c.discovery && discovery { // discovery can have only one fault at a time
			continue
		}
		discovery = discovery || c.discovery
		f := c.draw(r)
		f.At += at + time.Duration(r.Int64N(int64(clusterDuration)))
		faults = append(faults, f)
		if len(faults) == 3 || len(faults) == 2 && r.IntN(3) == 0 {
			return faults
		}
	}
	return faults
}

// faultTemplate draws the parameters of one kind of fault.
type faultTemplate struct {
	discovery bool
	draw      func(*rand.Rand) testbed.Fault
}

func randomDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// anyServers draws a tier, and returns the pattern of its servers.
func anyServers(r *rand.Rand) string { return []string{"front-*", "schedule-*", "rooms-*"}[r.IntN(3)] }

const frontNodes = "n[0-9]*"

// catalogue holds the templates of all faults that a plan can draw. testbed.Fault documents the kinds.
var catalogue = []faultTemplate{
	{draw: func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultTerminate, Target: frontNodes, Pick: 2, For: time.Second}
	}},
	{draw: func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultKill, Target: frontNodes, Pick: 2, For: time.Second}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:   testbed.FaultPause,
			Target: "n*",
			Pick:   10,
			For:    randomDuration(r, 20*time.Millisecond, 150*time.Millisecond),
		}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:   testbed.FaultStop,
			Target: "n*",
			Pick:   3,
			For:    randomDuration(r, 300*time.Millisecond, 5*time.Second),
		}
	}},
	{draw: func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultReload, Target: "n*", Every: 20 * time.Millisecond}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultImproperClients, Target: frontNodes, Pick: 9 + r.IntN(200)}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:   testbed.FaultCrash,
			Target: anyServers(r),
			Pick:   2,
			For:    randomDuration(r, time.Second, 4*time.Second),
		}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultSlow, Target: anyServers(r), Pick: 3, For: 3 * time.Second, Factor: 10}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultErrors, Target: anyServers(r), Pick: 4, For: 4 * time.Second, Share: 0.5}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:   testbed.FaultHang,
			Target: anyServers(r),
			Pick:   2 + r.IntN(7),
			For:    randomDuration(r, 2*time.Second, 6*time.Second),
		}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:   testbed.FaultCorruptResponses,
			Target: anyServers(r),
			Pick:   4,
			For:    5 * time.Second,
			Share:  0.4,
		}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultSilent, Target: anyServers(r), Pick: 2, For: 3 * time.Second}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDrain, Target: anyServers(r), Pick: 2, For: 7 * time.Second}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultReplace, Target: anyServers(r), Pick: 3, For: 4 * time.Second}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind:  testbed.FaultLink,
			From:  frontNodes,
			To:    "front-[1-3]",
			Delay: randomDuration(r, 300*time.Millisecond, 1500*time.Millisecond),
			For:   3 * time.Second,
		}
	}},
	{draw: func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultLink, From: "n@*", To: "*-[1-3]", Rate: 3000, For: 3 * time.Second}
	}},
	{draw: func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultReset, From: "n*", To: "*-[1-4]"}
	}},
	{draw: func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{
			Kind: testbed.FaultCut,
			From: "n[1-4]",
			To:   "front-*",
			For:  randomDuration(r, time.Second, 3*time.Second),
		}
	}},
	{true, func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoveryDown, For: randomDuration(r, time.Second, 6*time.Second)}
	}},
	{true, func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoveryFail, For: 3 * time.Second}
	}},
	{true, func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoverySlow, For: 3 * time.Second, Delay: 30 * time.Millisecond}
	}},
	{true, func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoveryCut, For: time.Second}
	}},
	{true, func(*rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoveryIndent, For: 3 * time.Second}
	}},
	{draw: func(*rand.Rand) testbed.Fault { return testbed.Fault{Kind: testbed.FaultDiscoveryMute} }},
	{true, func(r *rand.Rand) testbed.Fault {
		return testbed.Fault{Kind: testbed.FaultDiscoveryRenumber, Factor: float64(1 + r.IntN(2))}
	}},
}
