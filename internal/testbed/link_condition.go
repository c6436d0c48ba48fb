package testbed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const tcpRetransmission = 200 * time.Millisecond // added delay of a piece that is lost on TCP

// LinkCondition is the condition of one direction between two parts of the world. The zero value has no effect.
type LinkCondition struct {
	Delay   time.Duration
	Jitter  time.Duration // largest additional delay; drawn uniformly from 0
	Loss    float64       // share of lost datagrams; on TCP a lost piece is delayed by a retransmission
	Dup     float64       // share of datagrams that are delivered twice
	Reorder float64       // share of datagrams that are delivered after the next one
	Rate    int           // bytes per second of a connection, sent in small pieces; 0: no limit
	Cut     bool          // nothing is delivered, and neither side gets an error
}

// direction is one direction of the traffic between two parts. Its condition can change at any time.
type direction struct {
	mu          sync.Mutex
	cond        LinkCondition
	changed     chan struct{} // closed when the condition is set next
	undisturbed atomic.Bool   // the condition is zero
}

func newDirection() *direction {
	d := &direction{changed: make(chan struct{})}
	d.undisturbed.Store(true)
	return d
}

func (d *direction) set(c LinkCondition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cond = c
	d.undisturbed.Store(c == LinkCondition{})
	close(d.changed)
	d.changed = make(chan struct{})
}

// get returns the condition, and a channel that is closed when it is set next.
func (d *direction) get() (LinkCondition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cond, d.changed
}

// waitWhileCut waits until the direction is not cut. It returns false if done is closed first.
func (d *direction) waitWhileCut(done <-chan struct{}) bool {
	for !d.undisturbed.Load() {
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

// deliveryTime returns when a piece of size bytes that is sent now is delivered, no earlier than before, the delivery
// time of the previous piece.
func (d *direction) deliveryTime(now, before time.Time, size int) time.Time {
	if d.undisturbed.Load() {
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

// sleepUntil waits until t. It returns false if done is closed first.
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
