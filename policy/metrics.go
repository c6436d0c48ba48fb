package policy

import "time"

// EndpointCounts returns how many endpoints are listed, and how many of these are avoided at the clock time
// now: those that are draining, excluded for their health, or at the limit after a rejection. It applies the
// rules of choose to a request that is not idempotent.
func (b *Balancer) EndpointCounts(now time.Duration) (listed, avoided int) {
	b.now = max(b.now, now)
	eligible := map[*endpoint]bool{}
	for _, subset := range b.subsets {
		sample := &request{class: &class{subset: subset}}
		excluded, _ := b.excludeUnhealthy(sample, subset.ready)
		for i, ep := range subset.ready {
			eligible[ep] = eligible[ep] || !excluded[i] && ep.inFlight < b.rejectionLimit(ep)
		}
	}
	for _, ep := range b.endpoints {
		if !ep.listed {
			continue
		}
		listed++
		if !eligible[ep] {
			avoided++
		}
	}
	return listed, avoided
}

// ZoneTransitions returns the number of changes of zone states so far. If it has risen, Zones returns the new
// states.
func (b *Balancer) ZoneTransitions() int { return b.zones.transitions }

// Zones returns the state of each zone, sorted by name.
func (b *Balancer) Zones() []Zone {
	var all []Zone
	for _, z := range b.zones.sorted {
		all = append(all, Zone{
			Name:                z.name,
			State:               z.state,
			EvacuatedByOperator: z.evacuatedByOperator,
			Share:               z.share,
			Since:               z.since,
			Endpoints:           z.endpoints,
			Unresponsive:        z.unresponsiveCount(b.now),
			InFlight:            len(z.attempts),
		})
	}
	return all
}
