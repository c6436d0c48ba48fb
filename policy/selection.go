package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Which part of an endpoint list one replica draws from.
const (
	leftGroupShare           = 0.5   // share of the list that is in the left group
	minSliceEndpoints        = 4.0   // minimum number of endpoints in a slice
	sliceEndpointsPerAttempt = 0.5   // additional endpoints for each attempt in flight
	sliceStride              = 0.618 // distance between the slices of successive replicas, as a share of the ring
)

// selector draws endpoints by the power of two choices: a list is cut into two groups, one endpoint is drawn
// from each, and the one with fewer attempts of this replica in flight is taken. The caller has to apply
// health, load limits and zones.
type selector struct {
	rng          *rand.Rand
	replicaIndex int
}

// pick draws one endpoint uniformly from each group and returns the one with fewer attempts in flight. At
// equal counts above zero it returns the left one; if both counts are zero, it chooses at random, weighted by
// the sizes of the groups. If a group is empty, it draws from the other one.
func (s selector) pick(left, right []*endpoint) *endpoint {
	if len(left) == 0 || len(right) == 0 {
		return s.draw(append(left, right...))
	}
	leftDraw := s.draw(left)
	rightDraw := s.draw(right)
	switch {
	case leftDraw.inFlight < rightDraw.inFlight:
		return leftDraw
	case rightDraw.inFlight < leftDraw.inFlight:
		return rightDraw
	case leftDraw.inFlight > 0:
		return leftDraw
	case s.rng.IntN(len(left)+len(right)) < len(left):
		return leftDraw
	}
	return rightDraw
}

// draw returns a random endpoint of a group, or nil if the group is empty.
func (s selector) draw(group []*endpoint) *endpoint {
	if len(group) == 0 {
		return nil
	}
	return group[s.rng.IntN(len(group))]
}

// groups cuts a list into a left and a right group and returns this replica's slice of each, without the
// endpoints of skipped zones. These are removed after the cut, so that the remaining endpoints stay
// in their groups.
func (s selector) groups(list []*endpoint, share float64, skippedZones []string) (left, right []*endpoint) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	left = withoutZones(list[:cut], skippedZones)
	right = withoutZones(list[cut:], skippedZones)
	return s.slice(left, share), s.slice(right, share)
}

// slice returns a share of a group, as consecutive endpoints on a ring. The replica index determines where the
// slice starts, so that the slices of all replicas cover the endpoints evenly, and change little when the list
// changes.
func (s selector) slice(group []*endpoint, share float64) []*endpoint {
	length := int(math.Ceil(share * float64(len(group))))
	_, position := math.Modf(sliceStride * float64(s.replicaIndex))
	start := int(position * float64(len(group)))
	return slices.Concat(group, group)[start : start+length]
}

// sliceShare returns the share of a list that this replica draws from. It is small because connection tables
// are limited, and because attempts that are spread over too many endpoints do not show the load of each. It
// grows with the number of attempts in flight.
func sliceShare(list []*endpoint, inFlight float64) float64 {
	return min(1, (minSliceEndpoints+sliceEndpointsPerAttempt*inFlight)/float64(max(1, len(list))))
}

// withoutZones returns the endpoints of a group that are not in the given zones.
func withoutZones(group []*endpoint, zones []string) []*endpoint {
	if zones == nil {
		return group
	}
	skipped := func(ep *endpoint) bool { return slices.Contains(zones, ep.Zone) }
	return slices.DeleteFunc(slices.Clone(group), skipped)
}
