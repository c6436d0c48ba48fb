package policy

import (
	"reflect"
	"slices"
)

// inFlightPeakDecay is the share of the distance between the peak and the current number of attempts in flight
// by which the peak falls with each new attempt.
const inFlightPeakDecay = averageWeight / 4

// endpointSubset holds the endpoints that are open to the classes with one placement (allowed zones and machine
// types), and the queue and concurrency limit of these classes. Endpoints are always drawn from a subset, so a
// request cannot reach an endpoint that is closed to its class, and a subset that is overloaded or down does not
// affect classes with other endpoints.
type endpointSubset struct {
	zones            []string    // nil: all
	machineTypes     []string    // nil: all
	ready            []*endpoint // ready endpoints, in the same order at all replicas
	preferred        []*endpoint // those of ready that are drawn from first
	limitedEndpoints []*endpoint // those of ready that the concurrency limit is computed from

	queue        []*request // requests in the order in which they were queued
	inFlight     int        // attempts of this replica in flight, of the subset's classes
	peakInFlight float64    // recent peak of inFlight, which decays slowly
	shedRate     float64    // moving average of the share of requests answered without an attempt

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

// hasPlacement reports whether a class has the placement of the subset.
func (s *endpointSubset) hasPlacement(c Class) bool {
	return reflect.DeepEqual(s.zones, c.AllowedZones) &&
		reflect.DeepEqual(s.machineTypes, c.AllowedMachineTypes)
}

// allows reports whether an endpoint is open to the classes of the subset.
func (s *endpointSubset) allows(ep *endpoint) bool {
	return (s.zones == nil || slices.Contains(s.zones, ep.Zone)) &&
		(s.machineTypes == nil || slices.Contains(s.machineTypes, ep.MachineType))
}

// setReady sets the ready endpoints of the subset, selected from all ready endpoints.
func (s *endpointSubset) setReady(ready []*endpoint) {
	s.ready = slices.DeleteFunc(slices.Clone(ready), func(ep *endpoint) bool { return !s.allows(ep) })
}

// assign selects the preferred endpoints. These are the endpoints of the local zone or, if it has none, all
// ready ones. Endpoints that a narrower subset allows are left out unless all would be, since the classes of
// the narrower subset have no other endpoints. If any endpoint is left out, the limit does not count the
// endpoints of narrower subsets either, so that no endpoint is counted twice.
func (s *endpointSubset) assign(localZone string, subsets []*endpointSubset) {
	inNarrowerSubset := func(ep *endpoint) bool {
		return slices.ContainsFunc(subsets, func(other *endpointSubset) bool {
			return len(other.ready) < len(s.ready) && other.allows(ep)
		})
	}
	local := excludeUnlessAll(s.ready, func(ep *endpoint) bool { return ep.Zone != localZone })
	s.preferred = excludeUnlessAll(local, inNarrowerSubset)
	s.limitedEndpoints = s.ready
	if len(s.preferred) < len(local) {
		s.limitedEndpoints = excludeUnlessAll(s.ready, inNarrowerSubset)
	}
}

// excludeUnlessAll returns the list without the unwanted endpoints, or the complete list if all are unwanted.
func excludeUnlessAll(list []*endpoint, unwanted func(*endpoint) bool) []*endpoint {
	kept := slices.DeleteFunc(slices.Clone(list), unwanted)
	if len(kept) == 0 {
		return list
	}
	return kept
}

// recordSend counts a started attempt and updates the peak of attempts in flight.
func (s *endpointSubset) recordSend() {
	s.inFlight++
	inFlight := float64(s.inFlight)
	s.peakInFlight = max(inFlight, s.peakInFlight-inFlightPeakDecay*(s.peakInFlight-inFlight))
}
