package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Which part of an endpoint list one replica draws from.
const (
	leftGroupShare           = 0.5   // share of the list in the left group
	minSliceEndpoints        = 4.0   // least number of endpoints in a slice
	sliceEndpointsPerAttempt = 0.5   // additional endpoints for each attempt in flight
	sliceStride              = 0.618 // distance between the slices of successive replicas, in rings
)

// selector draws endpoints. A list is cut into two groups, one endpoint is drawn from each, and the one
// with fewer own attempts in flight is taken. Health, load limits and zones are the caller's concern.
type selector struct {
	rng          *rand.Rand
	replicaIndex int
}

// pick draws one endpoint uniformly from each group and returns the one with fewer attempts in flight.
// Equal counts above zero go left; at zero the sizes of the groups weight the draw. If a group is empty,
// the other one decides.
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

// draw returns an endpoint of a group, or nil if there is none.
func (s selector) draw(group []*endpoint) *endpoint {
	if len(group) == 0 {
		return nil
	}
	return group[s.rng.IntN(len(group))]
}

// groups cuts a list into the left and the right group, without the endpoints of skipped zones, and returns
// this replica's slice of each. The cut includes the skipped zones, so that endpoints stay in their groups.
func (s selector) groups(list []*endpoint, share float64, skippedZones []string) (left, right []*endpoint) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	left = withoutZones(list[:cut], skippedZones)
	right = withoutZones(list[cut:], skippedZones)
	return s.slice(left, share), s.slice(right, share)
}

// slice returns a share of a group, which is taken as a ring. The replica index determines its start, so
// that the slices of all replicas cover the endpoints evenly and move little when the list changes.
func (s selector) slice(group []*endpoint, share float64) []*endpoint {
	length := int(math.Ceil(share * float64(len(group))))
	_, position := math.Modf(sliceStride * float64(s.replicaIndex))
	start := int(position * float64(len(group)))
	return slices.Concat(group, group)[start : start+length]
}

// sliceShare is the share of a list that this replica draws from. It is small because connection tables are
// limited, and because attempts at too many endpoints would not show their load. It grows with the attempts
// in flight.
func sliceShare(list []*endpoint, inFlight float64) float64 {
	return min(1, (minSliceEndpoints+sliceEndpointsPerAttempt*inFlight)/float64(max(1, len(list))))
}

func withoutZones(group []*endpoint, zones []string) []*endpoint {
	if zones == nil {
		return group
	}
	skipped := func(ep *endpoint) bool { return slices.Contains(zones, ep.Zone) }
	return slices.DeleteFunc(slices.Clone(group), skipped)
}
