package policy

import (
	"math"
	"slices"
)

// choose returns an endpoint for a request, or nil if there is none. It draws from this replica's slice of
// the preferred endpoints, except for the spillover, then from its slice of the subset, then from the
// complete subset, until there are eligible endpoints.
func (b *Balancer) choose(r *request) *endpoint {
	subset := r.class.subset
	lists := [][]*endpoint{subset.preferred, subset.ready, subset.ready}
	if b.leavesPreferred(r) {
		lists = lists[1:]
	}
	skippedZones := b.zones.skipped(r, b.now, b.rng)
	for i, list := range lists {
		last := i == len(lists)-1
		share := 1.0
		if !last {
			share = sliceShare(list, subset.peakInFlight)
		}
		left, right := b.selector.groups(list, share, skippedZones)
		if eligible := b.eligible(r, slices.Concat(left, right), last); eligible != nil {
			return b.selector.pick(keep(left, eligible), keep(right, eligible[len(left):]))
		}
	}
	return nil
}

// leavesPreferred draws whether a request may go to others than the preferred endpoints.
func (b *Balancer) leavesPreferred(r *request) bool {
	subset := r.class.subset
	preferred := len(subset.preferred)
	_, unhealthy := b.excludeUnhealthy(r, subset.preferred)
	share := subset.spillover.current(unhealthy, preferred)
	return preferred == 0 || preferred == len(subset.ready) || b.rng.Float64() < share
}

// keep returns the endpoints of a group that are marked. The named result saves an allocation.
func keep(group []*endpoint, marked []bool) (kept []*endpoint) {
	for i, ep := range group {
		if marked[i] {
			kept = append(kept, ep)
		}
	}
	return kept
}

// loadLimit is the count of own attempts in flight at which an endpoint is passed over.
type loadLimit func(*endpoint) int

func unlimited(*endpoint) int { return math.MaxInt }

// eligible marks the endpoints of a list that may be drawn: healthy, admitted by slow start, compatible
// with the earlier attempts of the request, and with capacity. Endpoints with no more than the mean load
// come first; only in the last list, endpoints without capacity may be drawn. It returns nil if there are
// none.
func (b *Balancer) eligible(r *request, list []*endpoint, last bool) []bool {
	excluded, _ := b.excludeUnhealthy(r, list)
	limits := []loadLimit{b.meanLoadLimit(list), b.rejectionLimit}
	if last {
		limits = append(limits, unlimited)
	}
	busy := busyShare(list)
	for _, limit := range limits {
		eligible := make([]bool, len(list))
		for i, ep := range list {
			eligible[i] = !excluded[i] && ep.inFlight < limit(ep) && r.mayBeSentTo(ep) &&
				b.slowStart.admits(ep, b.now, busy, b.rng)
		}
		if slices.Contains(eligible, true) {
			return eligible
		}
	}
	return nil
}

// busyShare is the share of a list that has own attempts in flight.
func busyShare(list []*endpoint) float64 {
	busy := 0.0
	for _, ep := range list {
		if ep.inFlight > 0 {
			busy += 1 / float64(len(list))
		}
	}
	return busy
}

// meanLoadLimit passes over endpoints with more than the mean number of own attempts, since repeated draws
// of the same endpoint would overload it.
func (b *Balancer) meanLoadLimit(list []*endpoint) loadLimit {
	inFlight := 0
	for _, ep := range list {
		inFlight += ep.inFlight
	}
	return func(ep *endpoint) int { return min(b.rejectionLimit(ep), 1+inFlight/len(list)) }
}

// rejectionLimit passes over endpoints that have as many own attempts as when they last rejected one.
func (b *Balancer) rejectionLimit(ep *endpoint) int { return ep.rejection.limit(b.now) }

// excludeUnhealthy marks and counts the endpoints that are excluded for their health. When many look
// unhealthy, the fault is more likely in this replica or in the tier below, and the remaining endpoints
// would get all the load. So only those with the longest error streaks are excluded, up to a share of the
// list. The share falls as more requests are shed, since timeouts then show overload and not a fault.
//
// With fewer than five endpoints that share is less than one. There, one endpoint is excluded if its error
// streak is longer than all others together.
func (b *Balancer) excludeUnhealthy(r *request, list []*endpoint) (excluded []bool, count int) {
	subset := r.class.subset
	var unhealthy []int
	streaks := 0
	for i, ep := range list {
		streaks += ep.outlier.errorStreak
		if b.unhealthy(ep, r) {
			unhealthy = append(unhealthy, i)
		}
	}
	streak := func(i int) int { return list[i].outlier.errorStreak }
	slices.SortStableFunc(unhealthy, func(x, y int) int { return streak(y) - streak(x) })
	limit := int(maxExcludedShare * (1 - subset.shedRate) * float64(len(list)))
	if maxExcludedShare*float64(len(list)) < 1 && len(unhealthy) > 0 && 2*streak(unhealthy[0]) > streaks {
		limit = min(1, len(subset.ready)-1) // the only endpoint there is stays
	}
	excluded = make([]bool, len(list))
	for _, i := range unhealthy[:min(len(unhealthy), limit)] {
		excluded[i] = true
		count++
	}
	return excluded, count
}

// unhealthy says that an endpoint should not be drawn now. After an ejection only one idempotent request at
// a time may probe it, so that it fails neither many requests nor one that cannot be retried.
func (b *Balancer) unhealthy(ep *endpoint, r *request) bool {
	if ep.outlier.ejected(b.now) || ep.unresponsive(b.now, b.lastSuccess) {
		return true
	}
	return ep.outlier.onProbation() && (r.class.Idempotency == NotIdempotent || ep.inFlight > 0)
}
