// Evacuation of zones by operators, at this node's admin endpoint or by an override, and log lines about zones.

package node

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"keelusher/policy"
)

// zoneLinesPerSecond limits the log lines about zones.
const zoneLinesPerSecond = 5

// zoneExpiries maps each zone that overrides evacuate to the clock time at which this evacuation ends.
type zoneExpiries map[string]time.Duration

// logZones logs each zone whose state has changed since the last call, within the limit on log lines.
func (l *eventLoop) logZones() {
	l.loggedZoneTransitions = l.balancer.ZoneTransitions()
	for _, zone := range l.balancer.Zones() {
		previous := l.loggedZones[zone.Name]
		if previous == zone.State {
			continue
		}
		l.loggedZones[zone.Name] = zone.State
		if !l.zoneLogLimit.Allow() {
			l.suppressedZoneLines++
			continue
		}
		l.log.Info("zone",
			"name", zone.Name,
			"was", previous.String(),
			"is", zone.State.String(),
			"evacuated_by_operator", zone.EvacuatedByOperator,
			"share", zone.Share,
			"endpoints", zone.Endpoints,
			"unresponsive", zone.Unresponsive,
			"in_flight", zone.InFlight,
			"suppressed_lines", l.suppressedZoneLines)
		l.suppressedZoneLines = 0
	}
}

// evacuateByOperator starts or ends the evacuation of a zone at the request of an operator, sent to the admin endpoint.
// It returns the HTTP status: 404 for an unknown zone; 409 for the last zone that is served, unless the operator forces
// it.
func (l *eventLoop) evacuateByOperator(name string, evacuate, force bool) (status int) {
	zones := l.balancer.Zones()
	known := slices.ContainsFunc(zones, func(z policy.Zone) bool { return z.Name == name })
	othersServed := slices.ContainsFunc(zones, func(z policy.Zone) bool {
		return z.Name != name && z.Endpoints > 0 && z.State != policy.ZoneEvacuated
	})
	switch {
	case !known:
		return http.StatusNotFound
	case l.operatorEvacuations[name] == evacuate:
		return http.StatusOK
	case evacuate && !force && !othersServed:
		return http.StatusConflict
	}
	l.log.Info("zone evacuation by operator", "name", name, "evacuate", evacuate, "force", force)
	l.operatorEvacuations[name] = evacuate
	l.applyEvacuation(l.clock.now(), name)
	return http.StatusOK
}

// applyEvacuation notifies the policy whether a zone is evacuated by an operator or by an override in force.
func (l *eventLoop) applyEvacuation(now time.Duration, zone string) {
	evacuate := l.operatorEvacuations[zone] || now < l.overrideExpiries[zone]
	l.apply(now, policy.ZoneEvacuation{Zone: zone, Evacuate: evacuate})
}

// handleOverrides replaces the set of zones that overrides evacuate, and applies the zones that were added or removed.
func (l *eventLoop) handleOverrides(expiries zoneExpiries) {
	before, now := l.overrideExpiries, l.clock.now()
	l.overrideExpiries = expiries
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if _, stillInForce := expiries[zone]; !stillInForce {
			l.log.Info("override removed", "zone", zone)
			l.applyEvacuation(now, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(expiries)) {
		if _, wasInForce := before[zone]; !wasInForce {
			l.log.Info("override in force", "zone", zone, "remaining", expiries[zone]-now)
			l.applyEvacuation(now, zone)
		}
	}
}

// expireOverrides ends the overrides that have expired. It runs before each event is handled, so that a process that
// was suspended past the expiry of an override makes no decision with it.
func (l *eventLoop) expireOverrides(now time.Duration) {
	for _, zone := range slices.Sorted(maps.Keys(l.overrideExpiries)) {
		if now >= l.overrideExpiries[zone] {
			delete(l.overrideExpiries, zone)
			l.log.Info("override expired", "zone", zone)
			l.applyEvacuation(now, zone)
		}
	}
}
