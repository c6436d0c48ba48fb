package soak

import (
	"math/rand/v2"
	"time"

	"keelusher/internal/testbed"
)

// Parameters of the additions that Plan.extend makes to the clusters. The additions are drawn from a separate random
// source, so that they do not change which clusters a seed gives.
const (
	persistentClients = 3 // for each node that is sent SIGTERM
	maxSignalGap      = 50 * time.Millisecond
	restartAfter      = time.Second

	floodSize     = 300
	floodSockets  = 256 // socket limit of a node, lower than the number of flooding connections
	floodDuration = 6 * time.Second

	overrideLasts = 4 * time.Second
)

// signalSeries holds the series of signals that a process can be sent: the same signal twice, a signal while the
// process is stopped, and further signals after SIGTERM. No series stops a process for longer than 0.15 s, a pause that
// the platform may impose at any time.
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

// Override is an operator's override that evacuates a zone for a limited time.
type Override struct {
	At   time.Duration // since the load began
	For  time.Duration
	Zone string
}

// extend adds a series of signals to the plan and, each with a probability of its own, a connection flood, halved
// deadlines, and membership with an override.
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
	if r.IntN(3) == 0 { // shorter deadlines also allow a node to be killed sooner
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

// drawClusterTime draws a time at which faults of a cluster may begin.
func drawClusterTime(r *rand.Rand) time.Duration {
	at := []time.Duration{firstCluster, secondCluster}[r.IntN(2)]
	return at + time.Duration(r.Int64N(int64(clusterDuration)))
}
