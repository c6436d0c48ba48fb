package admin

import (
	"net/http"
	"strings"
	"time"
)

// ZonesPage is the JSON form of all zones, for operators.
type ZonesPage struct {
	Zones []ZonePage `json:"zones"`
}

// ZonePage is the JSON form of one zone.
type ZonePage struct {
	Name                string        `json:"name"`
	State               string        `json:"state"`
	EvacuatedByOperator bool          `json:"ordered"`
	Share               float64       `json:"share"`   // fraction of the draws of its endpoints that are accepted
	InState             time.Duration `json:"age_ns"`  // time since the last change of the state
	Endpoints           int           `json:"servers"` // endpoints in service
	Unresponsive        int           `json:"silent"`  // endpoints in service whose last several attempts got no response
	InFlight            int           `json:"out"`     // attempts of this node
}

// serveZones responds with the state of each zone as this node sees it.
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

// Actions on a zone, given as the last element of the path.
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

// serveEvacuation returns a handler that starts or ends the evacuation of a zone.
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
