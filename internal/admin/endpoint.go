// Package admin is the operators' HTTP endpoint of a node: what it shows, and what operators ask for.
package admin

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

const (
	// MaxConnections are the descriptors of the endpoint's own.
	MaxConnections = 16
	// CallTimeout is for a whole call.
	CallTimeout = 2 * time.Second

	maxHeaderBytes = 4 << 10
)

// Node is what the endpoint needs of the node. Where a method also returns a bool, it is false if the node has ended.
type Node interface {
	// CanServe reports whether clients are accepted here and some endpoint is known to be in service.
	CanServe() bool
	// Transition passes an event to the lifecycle and reports whether its phase allows it.
	Transition(lifecycle.Event) bool
	Counters() (metrics.CountersPage, bool)
	Decisions() metrics.DecisionsPage
	// Zones are the zones, and the clock time of the node.
	Zones() (zones []policy.Zone, now time.Duration, ok bool)
	// EvacuateZone starts or ends the evacuation of a zone and returns an HTTP status.
	EvacuateZone(name string, evacuate, force bool) (status int, ok bool)
	// Members is the JSON of the fleet's members; false: there is no membership.
	Members() ([]byte, bool)
	// Overrides answers the calls under OverridesPath; nil: there are none.
	Overrides() http.Handler
}

// OverridesPath is the path of the overrides; below it are those of single ones.
const OverridesPath = "/control/overrides"

// NewServer makes the server of a node's endpoint. It serves one call a connection and shares nothing with the clients'
// side that could make it wait. Its listener is to be limited to MaxConnections and to close the oldest connection when
// the limit is reached: calls are answered as they come, so that one has sent no complete call.
func NewServer(node Node, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:        &endpoint{node: node},
		ReadTimeout:    CallTimeout,
		WriteTimeout:   CallTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// Listen opens the listener of the endpoint; nil if address is empty.
func Listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// endpoint is the handler of the calls.
type endpoint struct{ node Node }

// call is the method that a path allows, and its handler.
type call struct {
	method string
	serve  http.HandlerFunc
}

// ServeHTTP answers a call under /control/.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if overrides := e.node.Overrides(); overrides != nil && isOverridesPath(r.URL.Path) {
		overrides.ServeHTTP(w, r)
		return
	}
	call, ok := e.route(r.URL.Path)
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

func isOverridesPath(path string) bool {
	return path == OverridesPath || strings.HasPrefix(path, OverridesPath+"/")
}

// route finds the call of a path.
func (e *endpoint) route(path string) (call, bool) {
	switch path {
	case "/control/counters":
		return call{http.MethodGet, e.serveCounters}, true
	case "/control/decisions":
		return call{http.MethodGet, e.serveDecisions}, true
	case "/control/members":
		return call{http.MethodGet, e.serveMembers}, true
	case "/control/zones":
		return call{http.MethodGet, e.serveZones}, true
	case "/control/ready":
		return call{http.MethodGet, e.serveReady}, true
	case "/control/out-of-service":
		return call{http.MethodPut, e.serveTransition(lifecycle.Drain)}, true
	case "/control/in-service":
		return call{http.MethodPut, e.serveTransition(lifecycle.Resume)}, true
	}
	if zone, action, ok := parseZonePath(path); ok {
		return call{http.MethodPut, e.serveEvacuation(zone, action)}, true
	}
	return call{}, false
}

// serveReady answers whether the node can serve, whether or not it is in service.
func (e *endpoint) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.node.CanServe() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveTransition makes a handler that answers whether the lifecycle allows an event.
func (e *endpoint) serveTransition(event lifecycle.Event) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !e.node.Transition(event) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// serveCounters answers with the counters as they are now.
func (e *endpoint) serveCounters(w http.ResponseWriter, _ *http.Request) {
	page, ok := e.node.Counters()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// serveDecisions answers with what was decided since the start, by reason.
func (e *endpoint) serveDecisions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.node.Decisions())
}

// serveMembers answers with the members as the node sees them; 404 without a membership.
func (e *endpoint) serveMembers(w http.ResponseWriter, _ *http.Request) {
	page, ok := e.node.Members()
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
