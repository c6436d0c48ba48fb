// What a node counts as notified, by the rules of the platform.

package testbed

import (
	"time"
)

// watchState is what a node is held to, by the rules of the platform.
type watchState struct {
	watches  int           // open and well
	silent   time.Duration // since when its watch says nothing; 0: it does not
	lastPoll time.Duration // when it last asked, or its watch ended
}

// notificationTime says when a node counts as notified of what changes now, if nothing is written to it before; d.mu
// is held.
func (d *discovery) notificationTime(n *Node) time.Duration {
	now, e := d.testbed.now(), d.watchStates[n]
	switch {
	case e == nil: // it has never asked
		return now + maxPollInterval
	case e.silent > 0:
		return max(now, e.silent+silentWatchDelay)
	case e.watches > 0:
		return now + silentWatchDelay
	case d.testbed.world.Discovery.Asked || d.fault.Down || d.fault.Fail:
		return max(now, e.lastPoll+maxPollInterval)
	}
	return now // the agent has it, and the node has no watch
}

// updateWatch changes what a node can hear.
func (d *discovery) updateWatch(n *Node, f func(*watchState)) *watchState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchStates[n] == nil {
		d.watchStates[n] = &watchState{}
	}
	f(d.watchStates[n])
	return d.watchStates[n]
}

// recordNotified lets the checker know what a node has heard.
func (d *discovery) recordNotified(n *Node, update endpointUpdate) {
	listedNow := map[string]bool{}
	for _, h := range update.Hosts {
		d.testbed.checker.recordNotification(n.name, h.Host, h.Health == "in_service", d.testbed.now())
		listedNow[h.Host] = true
	}
	if update.Snapshot {
		for name, s := range d.testbed.servers {
			if s.tier == n.tier && !listedNow[name] {
				d.testbed.checker.recordNotification(n.name, name, false, d.testbed.now())
			}
		}
	}
}
