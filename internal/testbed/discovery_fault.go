package testbed

import (
	"net/http"
	"time"
)

// DiscoveryFault holds the ways in which discovery fails. With the zero value it is healthy.
type DiscoveryFault struct {
	Down bool          // watches end, and the connections of calls are reset
	Fail bool          // calls are answered with 503; open watches go on
	Slow time.Duration // added to the duration of each call; calls are handled one at a time

	Unresponsive bool // calls are accepted and never answered; open watches fall silent
	Trickle      bool // watches send spaces without an end of line instead of updates
	Cut          bool // each list is cut off in the middle, and its connection closed
	Indent       bool // lists are indented JSON of many lines
}

// setFault replaces the fault, and wakes all watches so that it applies at once.
func (d *discovery) setFault(fault DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
	d.wakeWatches()
}

// mute makes all open watches fall silent until their clients disconnect.
func (d *discovery) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.muteCount++
	d.wakeWatches()
}

// renumber restarts discovery with other sequence numbers, higher ones or from 1, and without a log of changes. It is
// down for 50 ms, so that all watches end.
func (d *discovery) renumber(higher bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.tiers {
		if t.seq += 1000; !higher {
			t.seq = 1
		}
		t.logStart, t.log = t.seq, nil
	}
	d.fault.Down = true
	d.wakeWatches()
	time.AfterFunc(50*time.Millisecond, func() { d.setFault(DiscoveryFault{}) })
}

// blockUntilDisconnect blocks without an answer until the client disconnects.
func (d *discovery) blockUntilDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-d.testbed.done:
	}
}

// resetConnection resets the connection of a call, which it takes over from the HTTP server.
func (d *discovery) resetConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if g, ok := c.(*gatedConn); ok {
				g.reset()
			}
			closeQuietly(c)
		}
	}
}
