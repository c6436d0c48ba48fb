package policy

import (
	"reflect"
	"slices"
)

// inFlightPeakDecay is the part of the distance to the current number that the peak of attempts in flight
// loses with each new attempt.
const inFlightPeakDecay = averageWeight / 4

// endpointSubset holds the endpoints that are open to the classes of one placement, with its queue and its
// limit. Each draw is from a subset, so no path leads to an endpoint that is closed to the class, and a
// subset that is overloaded or down does not affect classes with other endpoints.
type endpointSubset struct {
	zones        []string    // nil: all
	machineTypes []string    // nil: all
	ready        []*endpoint // in the order that all replicas share
	preferred    []*endpoint // the ones to use first
	owned        []*endpoint // the ones that the limit counts

	queue        []*request // in the order of arrival
	inFlight     int        // own attempts of the subset's classes
	peakInFlight float64    // decays slowly
	shedRate     float64    // share of requests answered without an attempt

	limit     concurrencyLimit
	spillover spillover
}

func newEndpointSubset(placement Class, tiersBehind int) *endpointSubset {
	return &endpointSubset{
		zones:        placement.AllowedZones,
		machineTypes: placement.AllowedMachineTypes,
		limit:        newConcurrencyLimit(tiersBehind),
	}
}

// hasPlacement says that a class has the placement of the subset.
func (s *endpointSubset) hasPlacement(c Class) bool {
	return reflect.DeepEqual(s.zones, c.AllowedZones) &&
		reflect.DeepEqual(s.machineTypes, c.AllowedMachineTypes)
}

// allows says that an endpoint is open to the classes of the subset.
func (s *endpointSubset) allows(ep *endpoint) bool {
	return (s.zones == nil || slices.Contains(s.zones, ep.Zone)) &&
		(s.machineTypes == nil || slices.Contains(s.machineTypes, ep.MachineType))
}

// setReady selects the endpoints of the subset from all ready ones.
func (s *endpointSubset) setReady(ready []*endpoint) {
	s.ready = slices.DeleteFunc(slices.Clone(ready), func(ep *endpoint) bool { return !s.allows(ep) })
}

// assign selects the preferred endpoints: those of the local zone, if any, and of these the ones that no
// narrower subset allows, if any, since the classes of a narrower subset have no others. Endpoints of
// narrower subsets are not counted in the limit, so that no endpoint is counted twice.
func (s *endpointSubset) assign(localZone string, subsets []*endpointSubset) {
	neededElsewhere := func(ep *endpoint) bool {
		return slices.ContainsFunc(subsets, func(other *endpointSubset) bool {
			return len(other.ready) < len(s.ready) && other.allows(ep)
		})
	}
	local := without(s.ready, func(ep *endpoint) bool { return ep.Zone != localZone })
	s.preferred = without(local, neededElsewhere)
	s.owned = s.ready
	if len(s.preferred) < len(local) {
		s.owned = without(s.ready, neededElsewhere)
	}
}

// without returns the list without unwanted endpoints, or the complete list if all are unwanted.
func without(list []*endpoint, unwanted func(*endpoint) bool) []*endpoint {
	kept := slices.DeleteFunc(slices.Clone(list), unwanted)
	if len(kept) == 0 {
		return list
	}
	return kept
}

// recordSend counts an attempt that starts.
func (s *endpointSubset) recordSend() {
	s.inFlight++
	inFlight := float64(s.inFlight)
	s.peakInFlight = max(inFlight, s.peakInFlight-inFlightPeakDecay*(s.peakInFlight-inFlight))
}
