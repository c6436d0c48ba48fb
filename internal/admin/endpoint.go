// Package admin is the HTTP admin endpoint of a node, at which operators read its state and control it.
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
	// MaxConnections is the limit on connections to the admin endpoint, whose file descriptors are reserved.
	MaxConnections = 16
	// CallTimeout is the timeout for reading a call, and for writing its response.
	CallTimeout = 2 * time.Second

	// MaxHead is the limit on the size of the head of a call.
	MaxHead = 4 << 10
)

// Node is the node that the endpoint shows and controls. If a method returns a bool besides its result, the bool is
// false once the node has ended, unless the method's comment says otherwise.
type Node interface {
	// CanServe reports whether the node accepts clients and knows an endpoint that is in service.
	CanServe() bool
	// Transition passes an event to the lifecycle, and reports whether the current phase allows the event.
	Transition(lifecycle.Event) bool
	Counters() (metrics.CountersPage, bool)
	Decisions() metrics.DecisionsPage
	// Zones returns the zones and the clock time of the node.
	Zones() (zones []policy.Zone, now time.Duration, ok bool)
	// EvacuateZone starts or ends the evacuation of a zone, and returns an HTTP status.
	EvacuateZone(name string, evacuate, force bool) (status int, ok bool)
	// Members returns the JSON form of the fleet's members; the bool is false if there is no membership.
	Members() ([]byte, bool)
	// Overrides returns the handler of calls to OverridesPath and below, or nil if the node has no overrides.
	Overrides() http.Handler
}

// OverridesPath is the path of all overrides. The path of one override is below it.
const OverridesPath = "/control/overrides"

// NewServer returns the server of a node's admin endpoint. It serves one call per connection, and shares nothing with
// client traffic that could delay it. Its listener must be limited to MaxConnections and close the oldest connection
// when the limit is reached: calls are answered as they arrive, so the oldest connection has not sent a complete call.
func NewServer(node Node, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:        &endpoint{node: node},
		ReadTimeout:    CallTimeout,
		WriteTimeout:   CallTimeout,
		MaxHeaderBytes: MaxHead,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// Listen opens the listener of the admin endpoint. It returns nil if address is empty.
func Listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	return net.Listen("tcp", address)
}

// endpoint is the HTTP handler of all calls.
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

// isOverridesPath reports whether path is OverridesPath or below it.
func isOverridesPath(path string) bool {
	return path == OverridesPath || strings.HasPrefix(path, OverridesPath+"/")
}

// route returns the call of a path, and false if there is none.
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

// serveReady responds with 200 if the node can serve, whether or not it is in service, else with 503.
func (e *endpoint) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.node.CanServe() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveTransition returns a handler that passes an event to the lifecycle, and responds with 503 if the current phase
// does not allow the event.
func (e *endpoint) serveTransition(event lifecycle.Event) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !e.node.Transition(event) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// serveCounters responds with the current counters.
func (e *endpoint) serveCounters(w http.ResponseWriter, _ *http.Request) {
	page, ok := e.node.Counters()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

// serveDecisions responds with the decisions since the start of the process, counted by reason.
func (e *endpoint) serveDecisions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.node.Decisions())
}

// serveMembers responds with the members as this node sees them, or with 404 if there is no membership.
func (e *endpoint) serveMembers(w http.ResponseWriter, _ *http.Request) {
	page, ok := e.node.Members()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(page) // fails only if the operator disconnects
}

// writeJSON responds with a page in its JSON form.
func writeJSON(w http.ResponseWriter, page any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // fails only if the operator disconnects
}
