package node

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	adminMaxConnections = 16              // descriptors of the door's own, part of reserved
	adminCallTimeout    = 2 * time.Second // for a whole call; a peer that takes longer gets a close
)

// adminEndpoint answers the operators. It shares nothing with the callers' side that could make it wait: neither
// listener nor places, and a call reads only what is at hand.
type adminEndpoint struct {
	lifecycle   *lifecycle
	membersPage func() ([]byte, bool) // JSON; false: there is no mesh
	overrides   *atomic.Pointer[overridesHost]
	canServe    func() bool // callers are served here, and some server is known to be in service
	loop        *eventLoop
}

// newAdminServer serves one call a connection. When all places are taken, the oldest connection makes room whatever it
// has sent: calls are answered as they come, so one that is still there after so many others is mute.
func newAdminServer(d *adminEndpoint, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:        d,
		ReadTimeout:    adminCallTimeout,
		WriteTimeout:   adminCallTimeout,
		MaxHeaderBytes: 4 << 10,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// listenAdmin opens the door where the configuration says; nil: nowhere.
func listenAdmin(addr string) (net.Listener, error) {
	if addr == "" {
		return nil, nil
	}
	return net.Listen("tcp", addr)
}

func (d *adminEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o := d.overrides.Load(); o != nil && (r.URL.Path == "/control/overrides" || strings.HasPrefix(r.URL.Path, "/control/overrides/")) {
		o.ServeHTTP(w, r)
		return
	}
	calls := map[string]struct {
		method string
		answer func(http.ResponseWriter)
	}{
		"/control/counters":       {http.MethodGet, d.serveCounters},
		"/control/decisions":      {http.MethodGet, d.serveDecisions},
		"/control/members":        {http.MethodGet, d.serveMembers},
		"/control/zones":          {http.MethodGet, d.serveZones},
		"/control/ready":          {http.MethodGet, answerWhether(func() bool { return d.lifecycle.canServe() && d.canServe() })},
		"/control/out-of-service": {http.MethodPut, answerWhether(func() bool { return d.lifecycle.transition(eventDrain) })},
		"/control/in-service":     {http.MethodPut, answerWhether(func() bool { return d.lifecycle.transition(eventResume) })},
	}
	call, ok := calls[r.URL.Path]
	if name, order, is := parseZonePath(r.URL.Path); is {
		call.method, ok = http.MethodPut, true
		call.answer = func(w http.ResponseWriter) {
			d.serveZoneEvacuation(w, name, order, r.URL.Query().Get("force") == "yes")
		}
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != call.method:
		w.Header().Set("Allow", call.method)
		w.WriteHeader(http.StatusMethodNotAllowed)
	default:
		call.answer(w)
	}
}

// serveCounters answers with the figures as they are now, so that they are never old.
func (d *adminEndpoint) serveCounters(w http.ResponseWriter) {
	var f countersPage
	if !d.loop.runTask(func() { f = d.loop.metrics.page(d.loop.balancer.EndpointCounts(d.loop.clock.now())) }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(f) // fails only as the caller leaves
}

// serveDecisions answers with what the guard decided since the start, by reason.
func (d *adminEndpoint) serveDecisions(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.loop.decisions.page()) // fails only as the operator leaves
}

// serveMembers answers with the members as this node sees them; 404 without a mesh.
func (d *adminEndpoint) serveMembers(w http.ResponseWriter) {
	text, ok := d.membersPage()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text) // fails only as the caller leaves
}

// answerWhether answers answerWhether or no.
func answerWhether(is func() bool) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if !is() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}
