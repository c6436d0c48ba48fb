package policy

import (
	"math"
	"slices"
)

// choose returns an endpoint for the next attempt of a request, or nil if none is eligible. It draws from
// the first of three lists that has eligible endpoints: the part of the preferred endpoints that this replica
// uses (skipped if the request spills over), the part that it uses of all ready endpoints of the subset, and
// all of these. See selector.slice for the part that a replica uses.
func (b *Balancer) choose(r *request) *endpoint {
	subset := r.class.subset
	lists := [][]*endpoint{subset.preferred, subset.ready, subset.ready}
	if b.spillsOver(r) {
		lists = lists[1:]
	}
	skippedZones := b.zones.drawSkipped(r, b.now, b.rng)
	for i, list := range lists {
		last := i == len(lists)-1
		share := 1.0
		if !last {
			share = sliceShare(list, subset.peakInFlight)
		}
		left, right := b.selector.groups(list, share, skippedZones)
		if eligible := b.eligible(r, slices.Concat(left, right), last); eligible != nil {
			return b.selector.pick(selectMarked(left, eligible), selectMarked(right, eligible[len(left):]))
		}
	}
	return nil
}

// spillsOver decides at random whether a request is part of the spillover: it may be sent to any ready
// endpoint of the subset, and not only to the preferred ones.
func (b *Balancer) spillsOver(r *request) bool {
	subset := r.class.subset
	preferred := len(subset.preferred)
	_, unhealthy := b.excludeUnhealthy(r, subset.preferred)
	share := subset.spillover.current(unhealthy, preferred)
	return preferred == 0 || preferred == len(subset.ready) || b.rng.Float64() < share
}

// selectMarked returns the marked endpoints of a group. The named result saves an allocation.
func selectMarked(group []*endpoint, marked []bool) (kept []*endpoint) {
	for i, ep := range group {
		if marked[i] {
			kept = append(kept, ep)
		}
	}
	return kept
}

// loadLimit returns the number of this replica's attempts in flight at which an endpoint is no longer drawn.
type loadLimit func(*endpoint) int

func unlimited(*endpoint) int { return math.MaxInt }

// eligible marks the endpoints of a list that may be drawn: they are healthy, admitted by slow start,
// compatible with the earlier attempts of the request, and below a load limit. It tries up to three limits
// until one leaves an endpoint: first meanLoadLimit, then rejectionLimit, and for the last list no limit. It
// returns nil if no endpoint is eligible.
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

// busyShare returns the share of endpoints in a list that have attempts of this replica in flight.
func busyShare(list []*endpoint) float64 {
	busy := 0.0
	for _, ep := range list {
		if ep.inFlight > 0 {
			busy += 1 / float64(len(list))
		}
	}
	return busy
}

// meanLoadLimit returns a limit that leaves out endpoints with more than the mean number of this replica's
// attempts in flight, since an endpoint that is drawn repeatedly would be overloaded. It never exceeds
// rejectionLimit.
func (b *Balancer) meanLoadLimit(list []*endpoint) loadLimit {
	inFlight := 0
	for _, ep := range list {
		inFlight += ep.inFlight
	}
	return func(ep *endpoint) int { return min(b.rejectionLimit(ep), 1+inFlight/len(list)) }
}

// rejectionLimit returns the number of this replica's attempts that an endpoint had in flight when it last
// rejected one. The limit expires after a while.
func (b *Balancer) rejectionLimit(ep *endpoint) int { return ep.rejection.limit(b.now) }

// excludeUnhealthy marks and counts the endpoints of a list that are excluded as unhealthy. When many look
// unhealthy, the fault is more likely at this replica or in the tier below, and the remaining endpoints
// would get all the load. So at most a share of the list is excluded, those with the longest error streaks
// first. The share falls as more requests are shed, since timeouts are then a sign of overload and not of a
// faulty endpoint.
//
// With fewer than five endpoints, that share is less than one endpoint. In this case one endpoint is excluded
// if its error streak is longer than those of all others together.
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
		limit = min(1, len(subset.ready)-1) // the only ready endpoint is never excluded
	}
	excluded = make([]bool, len(list))
	for _, i := range unhealthy[:min(len(unhealthy), limit)] {
		excluded[i] = true
		count++
	}
	return excluded, count
}

// unhealthy reports whether an endpoint should not be drawn for a request: it is ejected, unresponsive, or
// on probation after an ejection. On probation it still gets one request at a time that may be retried, as a
// health probe, so that a fault affects neither many requests nor one that cannot be retried.
func (b *Balancer) unhealthy(ep *endpoint, r *request) bool {
	if ep.outlier.ejected(b.now) || ep.unresponsive(b.now, b.lastSuccess) {
		return true
	}
	return ep.outlier.onProbation() && (r.class.Idempotency == NotIdempotent || ep.inFlight > 0)
}
