package testbed

import (
	"path/filepath"
	"time"

	"keelusher/internal/testbed/shim"
)

// A finding at a node under a shim is void if the node's tracer waited for a processor for more than the share
// maxTracerWait of the tracerWaitPeriod before it.
const (
	maxTracerWait    = 0.25
	tracerWaitPeriod = 4 * time.Second
)

// tracerLog returns the path of the file in which the tracers of a node record their waiting times.
func (n *Node) tracerLog() string { return filepath.Join(n.process.dir, "tracer.log") }

// heldUpByTracer reports whether the tracer of a node waited for a processor for more than maxTracerWait of the time
// before a finding.
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
