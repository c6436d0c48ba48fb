// The event loop's handling of updates of the endpoint list.

package node

import (
	"time"

	"keelusher/policy"
)

// handleWatchEvent updates the endpoints and stops sends to those that are no longer in service, then passes the update
// to the policy.
func (l *eventLoop) handleWatchEvent(event watchEvent) {
	if event.pollFailed {
		l.handle(policy.DiscoveryFailed{})
		return
	}
	update := policy.EndpointUpdate{Snapshot: event.list.Snapshot, Cached: event.cached}
	listed := map[string]bool{}
	for _, entry := range event.list.Endpoints {
		update.Endpoints = append(update.Endpoints, l.updateEndpoint(entry, event.clockAhead))
		listed[entry.ID] = true
	}
	if event.list.Snapshot {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.handle(update)
	l.hasReadyEndpoint.Store(len(l.endpoints) > 0)
}

// updateEndpoint applies one entry of a list and returns it in the policy's form, with its start time converted to this
// process's clock. If the address or the start time has changed, the entry is a different server: it replaces the
// previous one and does not use its connections.
func (l *eventLoop) updateEndpoint(entry listedEndpoint, clockAhead time.Duration) policy.Endpoint {
	listed := entry.endpoint()
	listedStart := listed.StartedAt
	if listedStart > 0 {
		listed.StartedAt += clockAhead
	}
	if listed.State != policy.Ready {
		l.removeEndpoint(entry.ID)
		return listed
	}
	known := l.endpoints[entry.ID]
	if known == nil || known.addr != entry.Address || known.startedAt != listedStart {
		l.removeEndpoint(entry.ID)
		l.endpoints[entry.ID] = &endpoint{id: entry.ID, addr: entry.Address, startedAt: listedStart}
	}
	return listed
}

// removeEndpoint removes an endpoint and stops all sends to it, including attempts that are waiting for a connection.
func (l *eventLoop) removeEndpoint(id string) {
	removed := l.endpoints[id]
	if removed == nil {
		return
	}
	removed.unavailable.Store(true)
	removed.removedAt.set(l.clock.now())
	l.sender.closeIdle(removed)
	delete(l.endpoints, id)
}
