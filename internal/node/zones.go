package node

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"keelusher/policy"
)

const zoneLinesPerSecond = 5 // lines about zones in the log, a second

// runTask runs f in the loop, and waits for it; false: the loop has ended.
func (l *eventLoop) runTask(f func()) bool {
	done := make(chan struct{})
	select {
	case l.tasks <- func() { f(); close(done) }:
		<-done
		return true
	case <-l.stop:
		return false
	}
}

// logZones says which zones have changed their state.
func (l *eventLoop) logZones() {
	l.zoneTransitions = l.balancer.ZoneTransitions()
	for _, z := range l.balancer.Zones() {
		was := l.loggedZones[z.Name]
		if was == z.State {
			continue
		}
		l.loggedZones[z.Name] = z.State
		if !l.zoneLogLimit.Allow() {
			l.suppressedZoneLines++
			continue
		}
		l.log.Info("zone", "name", z.Name, "was", was.String(), "is", z.State.String(), "ordered", z.EvacuatedByOperator, "share", z.Share,
			"servers", z.Endpoints, "silent", z.Unresponsive, "out", z.InFlight, "silenced", l.suppressedZoneLines)
		l.suppressedZoneLines = 0
	}
}

// zonePage is what operators read of a zone.
type zonePage struct {
	Name                string        `json:"name"`
	State               string        `json:"state"`
	EvacuatedByOperator bool          `json:"ordered"` // away, by an operator
	Share               float64       `json:"share"`   // part of its draws that it gets
	InState             time.Duration `json:"age_ns"`  // of the state
	Endpoints           int           `json:"servers"` // in service
	Unresponsive        int           `json:"silent"`  // of them, in a row without an answer
	InFlight            int           `json:"out"`
}

// serveZones answers with what the node knows of each zone.
func (d *adminEndpoint) serveZones(w http.ResponseWriter) {
	all := []zonePage{}
	if !d.loop.runTask(func() {
		now := d.loop.clock.now()
		for _, z := range d.loop.balancer.Zones() {
			all = append(all, zonePage{z.Name, z.State.String(), z.EvacuatedByOperator, z.Share, now - z.Since, z.Endpoints, z.Unresponsive, z.InFlight})
		}
	}) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"zones": all}) // fails only as the caller leaves
}

// parseZonePath takes /control/zones/NAME/evacuate and /control/zones/NAME/restore apart.
func parseZonePath(path string) (name, order string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/control/zones/")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at <= 0 {
		return "", "", false
	}
	name, order = rest[:at], rest[at+1:]
	return name, order, order == "evacuate" || order == "restore"
}

// serveZoneEvacuation orders a zone away, or ends that order. The last one that is served is not ordered away, unless by force.
func (d *adminEndpoint) serveZoneEvacuation(w http.ResponseWriter, name, order string, force bool) {
	status := http.StatusServiceUnavailable // the loop has ended
	d.loop.runTask(func() { status = d.loop.evacuateByOperator(name, order == "evacuate", force) })
	w.WriteHeader(status)
}

func (l *eventLoop) evacuateByOperator(name string, away, force bool) (status int) {
	all := l.balancer.Zones()
	i := slices.IndexFunc(all, func(z policy.Zone) bool { return z.Name == name })
	switch {
	case i < 0:
		return http.StatusNotFound
	case l.operatorEvacuations[name] == away:
		return http.StatusOK
	case away && !force && !slices.ContainsFunc(all, func(z policy.Zone) bool {
		return z.Name != name && z.Endpoints > 0 && z.State != policy.ZoneEvacuated
	}):
		return http.StatusConflict
	}
	l.log.Info("zone ordered", "name", name, "away", away, "force", force)
	l.operatorEvacuations[name] = away
	l.applyEvacuation(l.clock.now(), name)
	return http.StatusOK
}

// applyEvacuation tells the module whether a zone is ordered away, by hand or by an override in force.
func (l *eventLoop) applyEvacuation(now time.Duration, zone string) {
	l.apply(now, policy.ZoneEvacuation{Zone: zone, Evacuate: l.operatorEvacuations[zone] || now < l.overrideExpiries[zone]})
}

// handleOverrides takes over what overrides send away now.
func (l *eventLoop) handleOverrides(until map[string]time.Duration) {
	before, now := l.overrideExpiries, l.clock.now()
	l.overrideExpiries = until
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if _, still := until[zone]; !still {
			l.log.Info("override over", "zone", zone)
			l.applyEvacuation(now, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(until)) {
		if _, was := before[zone]; !was {
			l.log.Info("override in force", "zone", zone, "left", until[zone]-now)
			l.applyEvacuation(now, zone)
		}
	}
}

// expireOverrides ends what is over before anything else is decided: a process that slept through an end wakes without it.
func (l *eventLoop) expireOverrides(now time.Duration) {
	for _, zone := range slices.Sorted(maps.Keys(l.overrideExpiries)) {
		if now >= l.overrideExpiries[zone] {
			delete(l.overrideExpiries, zone)
			l.log.Info("override ended", "zone", zone)
			l.applyEvacuation(now, zone)
		}
	}
}
