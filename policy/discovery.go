package policy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxPollBackoff bounds the wait before the endpoint list is polled again. With a call of 2.3 s, a change
// is known within 6 s.
const maxPollBackoff = 2500 * time.Millisecond

// Backoff of polls after failures.
const (
	pollsPerInterval    = 4  // the longest wait is this part of the interval that the settings allow
	firstBackoffDivisor = 16 // the wait after the first failure is this part of the longest one
	maxBackoffExponent  = 4  // doublings up to the longest wait
)

// pollSchedule plans the next poll of the endpoint list, with jitter and exponential backoff.
type pollSchedule struct {
	maxInterval time.Duration // without a watch the list must be polled at least this often
	failures    int           // in a row
	dueAt       time.Duration // 0: none is planned
}

// plan returns the time of the next poll. Jitter spreads the polls of replicas. The wait doubles with each
// failure, and leaves time for a call before changes must be known.
func (p *pollSchedule) plan(now time.Duration, rng *rand.Rand) time.Duration {
	longest := min(p.maxInterval/pollsPerInterval, maxPollBackoff)
	wait := min(longest, longest/firstBackoffDivisor<<min(p.failures, maxBackoffExponent))
	p.dueAt = now + time.Duration(rng.Float64()*float64(wait)) + minTimerDelay
	return p.dueAt
}

// expire says whether a planned poll is due, and clears it in that case.
func (p *pollSchedule) expire(now, resolution time.Duration) bool {
	if p.dueAt <= 0 || now+resolution < p.dueAt {
		return false
	}
	p.dueAt = 0
	return true
}

// handleEndpointUpdate applies a watch event to the endpoints, their zones and the subsets.
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

// updateEndpoint applies an entry of the list. A new start time resets the state of the endpoint.
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

// readyEndpoints returns the ready endpoints sorted by ID, an order that all replicas share. It drops those
// that are neither listed nor have attempts in flight.
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

// updateSubsets distributes the ready endpoints to the subsets.
func (b *Balancer) updateSubsets(ready []*endpoint) {
	for _, subset := range b.subsets {
		before := b.zones.weight(subset.ready)
		subset.setReady(ready)
		after := b.zones.weight(subset.ready)
		subset.limit.shrinkWithList(before, after)
	}
	for _, subset := range b.subsets {
		subset.assign(b.settings.Zone, b.subsets)
		weight := b.zones.weight(subset.owned)
		subset.limit.setEndpoints(weight, weight/b.replicas.current)
	}
}

// updateFairShares adapts the limit of each subset to its endpoints, weighted by the shares of their zones.
func (b *Balancer) updateFairShares(power float64) {
	for _, subset := range b.subsets {
		subset.limit.followFairShare(b.zones.weight(subset.owned)/b.replicas.current, power)
	}
}

// updateReplicas adapts what replicas share, endpoints and quotas, to their number.
func (b *Balancer) updateReplicas() {
	if !b.replicas.advance(b.now) {
		return
	}
	for _, subset := range b.subsets {
		subset.limit.fairShare = b.zones.weight(subset.owned) / b.replicas.current
	}
	b.quotas.setReplicas(b.replicas.current)
}

// schedulePoll sets the timer of the next poll, if the host leaves polling to the Balancer.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollEndpoints {
		return
	}
	b.emit(SetTimer{
		At:    b.poll.plan(b.now, b.rng),
		Token: pollTimer,
	})
}
