package soak

import (
	"math/rand/v2"
	"time"

	"keelusher/internal/testbed"
)

// What a plan adds to the clusters. It has a random source of its own: the clusters of a seed stay as they were.
const (
	persistentClients = 3 // of each node that is sent SIGTERM
	maxSignalGap      = 50 * time.Millisecond
	restartAfter      = time.Second

	floodSize     = 300
	floodSockets  = 256 // descriptors of a node: fewer than the flood wants
	floodDuration = 6 * time.Second

	overrideLasts = 4 * time.Second
)

// signalSeries are the series of signals: the same one twice, one within another, and others after SIGTERM. In none is
// a process stopped for longer than 0.15 s, which the platform allows at any time.
var signalSeries = [][]testbed.Signal{
	{testbed.SignalReload, testbed.SignalReload},
	{testbed.SignalTerminate, testbed.SignalTerminate},
	{testbed.SignalReload, testbed.SignalTerminate},
	{testbed.SignalTerminate, testbed.SignalReload},
	{testbed.SignalStop, testbed.SignalTerminate, testbed.SignalContinue},
	{testbed.SignalStop, testbed.SignalReload, testbed.SignalContinue, testbed.SignalTerminate},
	{testbed.SignalStop, testbed.SignalStop, testbed.SignalContinue, testbed.SignalContinue},
	{testbed.SignalTerminate, testbed.SignalStop, testbed.SignalContinue, testbed.SignalTerminate},
	{testbed.SignalReload, testbed.SignalStop, testbed.SignalContinue, testbed.SignalReload, testbed.SignalTerminate},
}

// Override evacuates a zone for a while.
type Override struct {
	At   time.Duration // since the load began
	For  time.Duration
	Zone string
}

// extend draws a series of signals for each run, and for some a connection flood, short deadlines, or membership with
// overrides.
func (p *Plan) extend(r *rand.Rand) {
	for i := range p.Faults {
		if p.Faults[i].Kind == testbed.FaultTerminate {
			p.Faults[i].Clients = persistentClients
		}
	}
	p.Faults = append(p.Faults, testbed.Fault{
		Kind:    testbed.FaultSignals,
		At:      drawClusterTime(r),
		Target:  frontNodes,
		Pick:    2,
		For:     restartAfter,
		Clients: persistentClients,
		Signals: signalSeries[r.IntN(len(signalSeries))],
		Gap:     randomDuration(r, 0, maxSignalGap),
	})
	if r.IntN(3) == 0 {
		p.World.Limits.Sockets = floodSockets
		p.Faults = append(p.Faults, testbed.Fault{
			Kind:   testbed.FaultConnectionFlood,
			At:     drawClusterTime(r),
			Target: "n[3-4]",
			Pick:   floodSize,
			For:    floodDuration,
		})
	}
	if r.IntN(3) == 0 { // a node may be killed sooner then
		for i := range p.World.Classes {
			p.World.Classes[i].Deadline /= 2
			p.World.Classes[i].LatencyObjective /= 2
		}
	}
	if r.IntN(2) == 0 {
		p.World.Fleet = testbed.Tables{"mesh": map[string]any{}, "orders": map[string]any{}}
		zone := p.World.Zones[r.IntN(len(p.World.Zones))]
		p.Overrides = []Override{{At: drawClusterTime(r), For: overrideLasts, Zone: zone}}
	}
}

// drawClusterTime draws a time within one of the clusters.
func drawClusterTime(r *rand.Rand) time.Duration {
	at := []time.Duration{firstCluster, secondCluster}[r.IntN(2)]
	return at + time.Duration(r.Int64N(int64(clusterDuration)))
}
