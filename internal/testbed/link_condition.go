package testbed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const tcpRetransmission = 200 * time.Millisecond // what the loss of a piece costs on TCP

// LinkCondition is the condition of one direction between two parts of the world. The zero value disturbs nothing.
type LinkCondition struct {
	Delay   time.Duration
	Jitter  time.Duration // added, drawn evenly from 0
	Loss    float64       // share of datagrams; on TCP a lost piece comes late by a retransmission
	Dup     float64       // share of datagrams that come twice
	Reorder float64       // share of datagrams that come after the next
	Rate    int           // bytes a second on a connection, in small pieces; 0: no limit
	Cut     bool          // nothing comes through, without an error
}

// direction is one direction. Its condition can change at any time.
type direction struct {
	mu      sync.Mutex
	cond    LinkCondition
	changed chan struct{} // closed at the next change
	plain   atomic.Bool   // the condition is zero
}

func newDirection() *direction {
	d := &direction{changed: make(chan struct{})}
	d.plain.Store(true)
	return d
}

func (d *direction) set(c LinkCondition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cond = c
	d.plain.Store(c == LinkCondition{})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *direction) get() (LinkCondition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cond, d.changed
}

// open waits while the direction is cut; it returns false once done closes.
func (d *direction) open(done <-chan struct{}) bool {
	for !d.plain.Load() {
		c, changed := d.get()
		if !c.Cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
	return true
}

// due returns when a piece that is sent now comes through, no earlier than the one before it.
func (d *direction) due(now, before time.Time, size int) time.Time {
	if d.plain.Load() {
		return before
	}
	c, _ := d.get()
	at := now.Add(c.Delay)
	if c.Jitter > 0 {
		at = at.Add(rand.N(c.Jitter))
	}
	if c.Loss > 0 && rand.Float64() < c.Loss {
		at = at.Add(tcpRetransmission)
	}
	if at.Before(before) {
		at = before
	}
	if c.Rate > 0 {
		at = at.Add(time.Duration(size) * time.Second / time.Duration(c.Rate))
	}
	return at
}

// sleepUntil waits until a time; it returns false once done closes.
func sleepUntil(t time.Time, done <-chan struct{}) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
