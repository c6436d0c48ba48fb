package admin

import (
	"net/http"
	"strings"
	"time"
)

// ZonesPage is the JSON of the zones that operators read.
type ZonesPage struct {
	Zones []ZonePage `json:"zones"`
}

// ZonePage is the JSON of one zone.
type ZonePage struct {
	Name                string        `json:"name"`
	State               string        `json:"state"`
	EvacuatedByOperator bool          `json:"ordered"`
	Share               float64       `json:"share"`   // part of its draws that it gets
	InState             time.Duration `json:"age_ns"`  // since the last transition
	Endpoints           int           `json:"servers"` // in service
	Unresponsive        int           `json:"silent"`  // of these, several attempts in a row without a response
	InFlight            int           `json:"out"`
}

// serveZones answers with what the node knows of each zone.
func (e *endpoint) serveZones(w http.ResponseWriter, _ *http.Request) {
	zones, now, ok := e.node.Zones()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	page := ZonesPage{Zones: []ZonePage{}}
	for _, zone := range zones {
		page.Zones = append(page.Zones, ZonePage{
			Name:                zone.Name,
			State:               zone.State.String(),
			EvacuatedByOperator: zone.EvacuatedByOperator,
			Share:               zone.Share,
			InState:             now - zone.Since,
			Endpoints:           zone.Endpoints,
			Unresponsive:        zone.Unresponsive,
			InFlight:            zone.InFlight,
		})
	}
	writeJSON(w, page)
}

// The actions on a zone, as the last part of its path.
const (
	actionEvacuate = "evacuate"
	actionRestore  = "restore"
)

// parseZonePath splits /control/zones/NAME/evacuate and /control/zones/NAME/restore. A name may contain slashes.
func parseZonePath(path string) (name, action string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/control/zones/")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at <= 0 {
		return "", "", false
	}
	name, action = rest[:at], rest[at+1:]
	return name, action, action == actionEvacuate || action == actionRestore
}

// serveEvacuation makes a handler that starts or ends the evacuation of a zone.
func (e *endpoint) serveEvacuation(zone, action string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		force := r.URL.Query().Get("force") == "yes"
		status, ok := e.node.EvacuateZone(zone, action == actionEvacuate, force)
		if !ok {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
	}
}
