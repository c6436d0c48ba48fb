package node

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
)

const (
	adminMaxConnections = 16 // descriptors of the admin endpoint's own, part of reservedDescriptors
	adminCallTimeout    = 2 * time.Second
	adminMaxHeaderBytes = 4 << 10
)

// adminEndpoint answers operators. It shares nothing with the clients' side that could make it wait: it has a listener
// and a connection limit of its own, and a call reads only what is at hand.
type adminEndpoint struct {
	lifecycle   *lifecycle.Machine
	membersPage func() ([]byte, bool) // JSON; false: there is no membership
	overrides   *atomic.Pointer[overridesHost]
	canServe    func() bool // clients are served here, and some endpoint is known to be in service
	loop        *eventLoop
}

// newAdminServer serves one call a connection. When the connection limit is reached, the oldest connection is closed
// whatever it has sent: calls are answered as they come, so it has sent no complete one.
func newAdminServer(endpoint *adminEndpoint, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:        endpoint,
		ReadTimeout:    adminCallTimeout,
		WriteTimeout:   adminCallTimeout,
		MaxHeaderBytes: adminMaxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// listenAdmin opens the listener of the admin endpoint; nil if the configuration names no address.
func listenAdmin(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// adminCall is a method that a path of the admin endpoint allows, and its handler.
type adminCall struct {
	method string
	serve  http.HandlerFunc
}

// ServeHTTP answers a call under /control/.
func (a *adminEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if host := a.overrides.Load(); host != nil && isOverridesPath(r.URL.Path) {
		host.ServeHTTP(w, r)
		return
	}
	call, ok := a.route(r.URL.Path)
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != call.method:
		w.Header().Set("Allow", call.method)
		w.WriteHeader(http.StatusMethodNotAllowed)
	default:
		call.serve(w, r)
	}
}

// route finds the call of a path.
func (a *adminEndpoint) route(path string) (adminCall, bool) {
	switch path {
	case "/control/counters":
		return adminCall{http.MethodGet, a.serveCounters}, true
	case "/control/decisions":
		return adminCall{http.MethodGet, a.serveDecisions}, true
	case "/control/members":
		return adminCall{http.MethodGet, a.serveMembers}, true
	case "/control/zones":
		return adminCall{http.MethodGet, a.serveZones}, true
	case "/control/ready":
		return adminCall{http.MethodGet, a.serveReady}, true
	case "/control/out-of-service":
		return adminCall{http.MethodPut, a.serveTransition(lifecycle.Drain)}, true
	case "/control/in-service":
		return adminCall{http.MethodPut, a.serveTransition(lifecycle.Resume)}, true
	}
	if zone, action, ok := parseZonePath(path); ok {
		return adminCall{http.MethodPut, a.serveEvacuation(zone, action)}, true
	}
	return adminCall{}, false
}

// serveReady answers whether this process can serve, whether or not it is in service.
func (a *adminEndpoint) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.lifecycle.CanServe() || !a.canServe() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveTransition makes a handler that passes an event to the lifecycle, and answers whether its phase allows it.
func (a *adminEndpoint) serveTransition(event lifecycle.Event) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !a.lifecycle.Transition(event) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// serveCounters answers with the counters as they are now.
func (a *adminEndpoint) serveCounters(w http.ResponseWriter, _ *http.Request) {
	var page metrics.CountersPage
	ok := a.loop.runTask(func() {
		listed, avoided := a.loop.balancer.EndpointCounts(a.loop.clock.now())
		page = a.loop.metrics.Page(listed, avoided)
	})
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// serveDecisions answers with what was decided since the start, by reason.
func (a *adminEndpoint) serveDecisions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, a.loop.decisions.Page())
}

// serveMembers answers with the members as this node sees them; 404 without a membership.
func (a *adminEndpoint) serveMembers(w http.ResponseWriter, _ *http.Request) {
	page, ok := a.membersPage()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(page) // fails only if the operator disconnects
}

func writeJSON(w http.ResponseWriter, page any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // fails only if the operator disconnects
}

// zonePage is the JSON of a zone that operators read.
type zonePage struct {
	Name                string        `json:"name"`
	State               string        `json:"state"`
	EvacuatedByOperator bool          `json:"ordered"`
	Share               float64       `json:"share"`   // part of its draws that it gets
	InState             time.Duration `json:"age_ns"`  // since the last transition
	Endpoints           int           `json:"servers"` // in service
	Unresponsive        int           `json:"silent"`  // of these, several attempts in a row without a response
	InFlight            int           `json:"out"`
}

// zonesPage is the JSON of all zones.
type zonesPage struct {
	Zones []zonePage `json:"zones"`
}

// serveZones answers with what the node knows of each zone.
func (a *adminEndpoint) serveZones(w http.ResponseWriter, _ *http.Request) {
	page := zonesPage{Zones: []zonePage{}}
	ok := a.loop.runTask(func() {
		now := a.loop.clock.now()
		for _, zone := range a.loop.balancer.Zones() {
			page.Zones = append(page.Zones, zonePage{
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
	})
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// The actions on a zone, as the last part of its path.
const (
	zoneEvacuate = "evacuate"
	zoneRestore  = "restore"
)

// parseZonePath splits /control/zones/NAME/evacuate and /control/zones/NAME/restore. A name may contain slashes.
func parseZonePath(path string) (name, action string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/control/zones/")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at <= 0 {
		return "", "", false
	}
	name, action = rest[:at], rest[at+1:]
	return name, action, action == zoneEvacuate || action == zoneRestore
}

// serveEvacuation makes a handler that starts or ends the evacuation of a zone.
func (a *adminEndpoint) serveEvacuation(zone, action string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		force := r.URL.Query().Get("force") == "yes"
		status := http.StatusServiceUnavailable // unless the loop still runs
		a.loop.runTask(func() { status = a.loop.evacuateByOperator(zone, action == zoneEvacuate, force) })
		w.WriteHeader(status)
	}
}
