package testbed

import (
	"net/http"
	"time"
)

// DiscoveryFault is how discovery fails. The zero value is a healthy one.
type DiscoveryFault struct {
	Down bool          // watches end, calls are refused by a reset
	Fail bool          // calls end in 503; watches go on
	Slow time.Duration // added to the time of each call; calls are handled one at a time

	Unresponsive bool // calls are accepted and never answered; watches that are open fall silent
	Trickle      bool // instead of lines, spaces are sent without an end of line
	Cut          bool // each list ends in its middle, and with it the connection
	Indent       bool // lists come in many lines
}

func (d *discovery) set(o DiscoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = o
	d.wake()
}

// mute makes all watches that are open fall silent for good.
func (d *discovery) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mutes++
	d.wake()
}

// renumber makes discovery come back with other sequence numbers; all watches end.
func (d *discovery) renumber(higher bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.tiers {
		if t.seq += 1000; !higher {
			t.seq = 1
		}
		t.base, t.log = t.seq, nil
	}
	d.fault.Down = true
	d.wake()
	time.AfterFunc(50*time.Millisecond, func() { d.set(DiscoveryFault{}) })
}

// silent waits without an answer until the client leaves.
func (d *discovery) silent(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-d.testbed.done:
	}
}

// hangUp resets the connection of a call.
func (d *discovery) hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if g, ok := c.(*gatedConn); ok {
				g.reset()
			}
			closeQuietly(c)
		}
	}
}
