package policy

import "time"

// EndpointCounts says how many servers the list has, and how many of these the Balancer avoids at the
// clock time now: those that want
// nothing new, that health keeps out of the draw, or that refused what they had no room for. It
// decides nothing itself: it asks the rules by which choose passes servers over, for a request that must not run twice.
func (b *Balancer) EndpointCounts(now time.Duration) (listed, avoided int) {
	b.now = max(b.now, now)
	drawn := map[*endpoint]bool{}
	for _, p := range b.subsets {
		out, _ := b.excludeUnhealthy(&request{class: &class{subset: p}}, p.ready)
		for i, s := range p.ready {
			drawn[s] = drawn[s] || !out[i] && s.inFlight < b.capacityOf(s)
		}
	}
	for _, s := range b.endpoints {
		if s.listed {
			listed++
			if !drawn[s] {
				avoided++
			}
		}
	}
	return listed, avoided
}

// ZoneTransitions counts the changes of zones' states: who sees it rise may look at Zones.
func (b *Balancer) ZoneTransitions() int { return b.zoneTransitions }

// Zones shows what the Balancer knows of each zone, by name. It decides nothing.
func (b *Balancer) Zones() (all []Zone) {
	for _, z := range b.zonesByName {
		all = append(all, Zone{z.name, z.state, z.evacuatedByOperator, z.share, z.since, z.endpoints, b.unresponsiveEndpoints(z), len(z.attempts)})
	}
	return all
}
