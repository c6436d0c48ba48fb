package policy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxPollBackoff is the longest wait before the endpoint list is polled again. With a discovery call of 2.3 s,
// a change is known within 6 s.
const maxPollBackoff = 2500 * time.Millisecond

// Backoff of polls.
const (
	pollsPerInterval    = 4  // MaxPollInterval over this is the longest wait, if it is below maxPollBackoff
	firstBackoffDivisor = 16 // the longest wait over this is the wait without failures
	maxBackoffExponent  = 4  // doublings up to the longest wait
)

// pollSchedule plans the next poll of the endpoint list, with jitter and exponential backoff.
type pollSchedule struct {
	maxInterval time.Duration // without a watch the list must be polled at least this often
	failures    int           // of polls or of the watch, in a row
	dueAt       time.Duration // 0: none is planned
}

// plan schedules the next poll and returns its time. The maximum wait doubles with each failure in a row, and
// leaves time for a discovery call before changes must be known. The wait is drawn from zero to that maximum,
// so that replicas do not poll at once.
func (p *pollSchedule) plan(now time.Duration, rng *rand.Rand) time.Duration {
	longest := min(p.maxInterval/pollsPerInterval, maxPollBackoff)
	wait := min(longest, longest/firstBackoffDivisor<<min(p.failures, maxBackoffExponent))
	p.dueAt = now + time.Duration(rng.Float64()*float64(wait)) + minTimerDelay
	return p.dueAt
}

// expire reports whether a planned poll is due within the timer resolution, and clears it in that case.
func (p *pollSchedule) expire(now, resolution time.Duration) bool {
	if p.dueAt <= 0 || now+resolution < p.dueAt {
		return false
	}
	p.dueAt = 0
	return true
}

// handleEndpointUpdate applies an endpoint list, or a change of it, to the endpoints, their zones and the
// subsets. After a cached list it schedules a poll.
func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	if e.Snapshot {
		for _, ep := range b.endpoints {
			ep.listed = false
		}
	}
	for _, entry := range e.Endpoints {
		b.updateEndpoint(entry)
	}
	b.listReceived = b.listReceived || !e.Cached
	ready := b.readyEndpoints()
	b.zones.countEndpoints(ready, b.now)
	b.updateSubsets(ready)
	if e.Cached {
		b.schedulePoll()
		return
	}
	b.poll.failures = 0
}

func (b *Balancer) handleDiscoveryFailed() {
	b.poll.failures++
	b.schedulePoll()
}

// updateEndpoint applies an entry of the list. A changed start time means a restart, which resets the state of
// the endpoint except for its attempts in flight.
func (b *Balancer) updateEndpoint(entry Endpoint) {
	ep := b.endpoints[entry.ID]
	switch {
	case ep == nil:
		ep = &endpoint{}
		ep.slowStartFrom = b.slowStart.startTime(entry.StartedAt, b.now, b.listReceived)
		b.endpoints[entry.ID] = ep
	case ep.StartedAt != entry.StartedAt:
		*ep = endpoint{
			inFlight:      ep.inFlight,
			attempts:      ep.attempts,
			slowStartFrom: b.slowStart.startTime(entry.StartedAt, b.now, b.listReceived),
		}
	}
	ep.Endpoint = entry
	ep.listed = entry.State != Removed
}

// readyEndpoints returns the ready endpoints sorted by ID, so that all replicas have the same order. It
// deletes endpoints that are neither listed nor have attempts in flight.
func (b *Balancer) readyEndpoints() []*endpoint {
	var ready []*endpoint
	for id, ep := range b.endpoints {
		switch {
		case !ep.listed && ep.inFlight == 0:
			delete(b.endpoints, id)
		case ep.listed && ep.State == Ready:
			ready = append(ready, ep)
		}
	}
	slices.SortFunc(ready, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	return ready
}

// updateSubsets distributes the ready endpoints to the subsets, and adapts the concurrency limits to them.
func (b *Balancer) updateSubsets(ready []*endpoint) {
	for _, subset := range b.subsets {
		before := b.zones.weight(subset.ready)
		subset.setReady(ready)
		after := b.zones.weight(subset.ready)
		subset.limit.shrinkWithList(before, after)
	}
	for _, subset := range b.subsets {
		subset.assign(b.settings.Zone, b.subsets)
		weight := b.zones.weight(subset.limitedEndpoints)
		subset.limit.setEndpoints(weight, weight/b.replicas.current)
	}
}

// updateFairShares adapts the concurrency limit of each subset to its fair share: its endpoints, weighted by
// the shares of their zones, over the replicas. The limit is multiplied by the ratio of the new fair share to
// the old one, raised to the exponent.
func (b *Balancer) updateFairShares(exponent float64) {
	for _, subset := range b.subsets {
		subset.limit.followFairShare(b.zones.weight(subset.limitedEndpoints)/b.replicas.current, exponent)
	}
}

// updateReplicas advances the number of replicas, and adapts this replica's fair shares of the endpoints and
// its parts of the quotas.
func (b *Balancer) updateReplicas() {
	if !b.replicas.advance(b.now) {
		return
	}
	for _, subset := range b.subsets {
		subset.limit.fairShare = b.zones.weight(subset.limitedEndpoints) / b.replicas.current
	}
	b.quotas.setReplicas(b.replicas.current)
}

// schedulePoll sets the timer of the next poll, if the Balancer decides when to poll.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollEndpoints {
		return
	}
	b.emit(SetTimer{
		At:    b.poll.plan(b.now, b.rng),
		Token: pollTimer,
	})
}
