package testbed

import "time"

// watchState is the state of a node's watches and polls of discovery. It determines when the node counts as notified of
// a change.
type watchState struct {
	watches  int           // number of open watches
	silent   time.Duration // since when its watch has been silent; 0: it is not silent
	lastPoll time.Duration // when it last polled, or its last watch ended
}

// notificationTime returns the time from which a node counts as notified of a change that happens now, by the rules of
// the platform. An update that is written to the node notifies it earlier. d.mu must be held.
func (d *discovery) notificationTime(n *Node) time.Duration {
	now, state := d.testbed.now(), d.watchStates[n]
	switch {
	case state == nil: // the node has never polled
		return now + maxPollInterval
	case state.silent > 0:
		return max(now, state.silent+silentWatchDelay)
	case state.watches > 0:
		return now + silentWatchDelay
	case d.testbed.world.Discovery.WatchOnRequest || d.fault.Down || d.fault.Fail:
		return max(now, state.lastPoll+maxPollInterval)
	}
	return now // the node has no watch, and a poll would return the change
}

// updateWatch calls f on the watch state of a node, and returns the state.
func (d *discovery) updateWatch(n *Node, f func(*watchState)) *watchState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchStates[n] == nil {
		d.watchStates[n] = &watchState{}
	}
	f(d.watchStates[n])
	return d.watchStates[n]
}

// recordNotified reports to the checker an update that was written to a node. A snapshot also notifies the node of the
// removal of the servers that it does not list.
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
