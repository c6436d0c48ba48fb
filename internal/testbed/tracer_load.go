package testbed

import (
	"path/filepath"
	"time"

	"keelusher/internal/testbed/shim"
)

// A node under a shim proves nothing if its tracer waited for a processor for more than this part of the time before.
const (
	maxTracerWait    = 0.25
	tracerWaitPeriod = 4 * time.Second
)

// tracerLog is the file that holds the loads of the tracers of a node.
func (n *Node) tracerLog() string { return filepath.Join(n.process.dir, "tracer.log") }

// heldUpByTracer reports whether the tracer of a node has waited for a processor for much of the time before.
func (tb *Testbed) heldUpByTracer(node string, at time.Duration) bool {
	n := tb.nodes[node]
	if n == nil {
		return false
	}
	loads, err := shim.ReadLoads(n.tracerLog())
	if err != nil {
		return false
	}
	to := tb.began.Add(at)
	from := to.Add(-tracerWaitPeriod)
	var waited, length time.Duration
	for _, load := range loads {
		if load.Until.After(from) && load.From.Before(to) {
			waited += load.Waited
			length += load.Until.Sub(load.From)
		}
	}
	return float64(waited) > maxTracerWait*float64(length)
}
