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
	doorPlaces = 16              // descriptors of the door's own, part of reserved
	doorTime   = 2 * time.Second // for a whole call; a peer that takes longer gets a close
)

// door answers the operators. It shares nothing with the callers' side that could make it wait: neither
// listener nor places, and a call reads only what is at hand.
type door struct {
	life    *lifecycle
	members func() ([]byte, bool) // JSON; false: there is no mesh
	orders  *atomic.Pointer[overridesHost]
	usable  func() bool // callers are served here, and some server is known to be in service
	loop    *loop
}

// newDoor serves one call a connection. When all places are taken, the oldest connection makes room whatever it
// has sent: calls are answered as they come, so one that is still there after so many others is mute.
func newDoor(d *door, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:        d,
		ReadTimeout:    doorTime,
		WriteTimeout:   doorTime,
		MaxHeaderBytes: 4 << 10,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// listenDoor opens the door where the configuration says; nil: nowhere.
func listenDoor(addr string) (net.Listener, error) {
	if addr == "" {
		return nil, nil
	}
	return net.Listen("tcp", addr)
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o := d.orders.Load(); o != nil && (r.URL.Path == "/control/overrides" || strings.HasPrefix(r.URL.Path, "/control/overrides/")) {
		o.ServeHTTP(w, r)
		return
	}
	calls := map[string]struct {
		method string
		answer func(http.ResponseWriter)
	}{
		"/control/counters":       {http.MethodGet, d.counters},
		"/control/decisions":      {http.MethodGet, d.decisions},
		"/control/members":        {http.MethodGet, d.fleet},
		"/control/zones":          {http.MethodGet, d.zones},
		"/control/ready":          {http.MethodGet, yes(func() bool { return d.life.canServe() && d.usable() })},
		"/control/out-of-service": {http.MethodPut, yes(func() bool { return d.life.transition(eventDrain) })},
		"/control/in-service":     {http.MethodPut, yes(func() bool { return d.life.transition(eventResume) })},
	}
	call, ok := calls[r.URL.Path]
	if name, order, is := zonePath(r.URL.Path); is {
		call.method, ok = http.MethodPut, true
		call.answer = func(w http.ResponseWriter) { d.orderZone(w, name, order, r.URL.Query().Get("force") == "yes") }
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

// counters answers with the figures as they are now, so that they are never old.
func (d *door) counters(w http.ResponseWriter) {
	var f countersPage
	if !d.loop.ask(func() { f = d.loop.stats.page(d.loop.bal.EndpointCounts(d.loop.clock.now())) }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(f) // fails only as the caller leaves
}

// decisions answers with what the guard decided since the start, by reason.
func (d *door) decisions(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.loop.decisions.page()) // fails only as the operator leaves
}

// fleet answers with the members as this node sees them; 404 without a mesh.
func (d *door) fleet(w http.ResponseWriter) {
	text, ok := d.members()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text) // fails only as the caller leaves
}

// yes answers yes or no.
func yes(is func() bool) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if !is() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}
