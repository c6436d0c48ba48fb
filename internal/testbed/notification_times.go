// What a node counts as told, by the page's clock.

package testbed

import (
	"time"
)

// ear is what a node is held to, by the page's clock.
type ear struct {
	watches int           // open and well
	silent  time.Duration // since when its watch says nothing; 0: it does not
	called  time.Duration // when it last asked, or its watch ended
}

// heed says when a node counts as told of what changes now, if nothing is written to it before; d.mu is held.
func (d *discovery) heed(n *Node) time.Duration {
	now, e := d.testbed.now(), d.ears[n]
	switch {
	case e == nil: // it has never asked
		return now + askWithin
	case e.silent > 0:
		return max(now, e.silent+silentTold)
	case e.watches > 0:
		return now + silentTold
	case d.testbed.world.Discovery.Asked || d.outage.Down || d.outage.Fail:
		return max(now, e.called+askWithin)
	}
	return now // the agent has it, and the node has no watch
}

// hear changes what a node can hear.
func (d *discovery) hear(n *Node, f func(*ear)) *ear {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ears[n] == nil {
		d.ears[n] = &ear{}
	}
	f(d.ears[n])
	return d.ears[n]
}

// told lets the referee know what a node has heard.
func (d *discovery) told(n *Node, news rosterNews) {
	listedNow := map[string]bool{}
	for _, h := range news.Hosts {
		d.testbed.checker.recordNotification(n.name, h.Host, h.Health == "in_service", d.testbed.now())
		listedNow[h.Host] = true
	}
	if news.Whole {
		for name, s := range d.testbed.servers {
			if s.tier == n.tier && !listedNow[name] {
				d.testbed.checker.recordNotification(n.name, name, false, d.testbed.now())
			}
		}
	}
}
