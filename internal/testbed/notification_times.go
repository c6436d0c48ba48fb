package testbed

import "time"

// watchState is how a node follows discovery, which determines when it counts as notified of a change.
type watchState struct {
	watches  int           // open
	silent   time.Duration // since when its watch is silent; 0: it is not
	lastPoll time.Duration // when it last polled, or its watch ended
}

// notificationTime returns when a node counts as notified, by the rules of the platform, of what changes now, if
// nothing is written to it before; d.mu is held.
func (d *discovery) notificationTime(n *Node) time.Duration {
	now, state := d.testbed.now(), d.watchStates[n]
	switch {
	case state == nil: // it has never polled
		return now + maxPollInterval
	case state.silent > 0:
		return max(now, state.silent+silentWatchDelay)
	case state.watches > 0:
		return now + silentWatchDelay
	case d.testbed.world.Discovery.Asked || d.fault.Down || d.fault.Fail:
		return max(now, state.lastPoll+maxPollInterval)
	}
	return now // discovery has the change, and the node has no watch
}

// updateWatch changes the watch state of a node, and returns it.
func (d *discovery) updateWatch(n *Node, f func(*watchState)) *watchState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchStates[n] == nil {
		d.watchStates[n] = &watchState{}
	}
	f(d.watchStates[n])
	return d.watchStates[n]
}

// recordNotified reports to the checker what was written to a node.
func (d *discovery) recordNotified(n *Node, update endpointUpdate) {
	listed := map[string]bool{}
	for _, h := range update.Hosts {
		d.testbed.checker.recordNotification(n.name, h.Host, h.Health == healthInService, d.testbed.now())
		listed[h.Host] = true
	}
	if update.Snapshot {
		for name, s := range d.testbed.servers {
			if s.tier == n.tier && !listed[name] {
				d.testbed.checker.recordNotification(n.name, name, false, d.testbed.now())
			}
		}
	}
}
