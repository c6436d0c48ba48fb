package node

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	doorPlaces = 16              // descriptors of the door's own, part of reserved
	doorTime   = 2 * time.Second // for a whole call; a peer that takes longer gets a close
)

// door answers the operators. It shares nothing with the callers' side that could make it wait: neither
// listener nor places, and a call reads only what is at hand.
type door struct {
	life   *lifecycle
	usable func() bool // some server is known to be in service
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
	calls := map[string]struct {
		method string
		answer func() int
	}{
		"/control/ready":          {http.MethodGet, func() int { return yes(d.life.knows() && d.usable()) }},
		"/control/out-of-service": {http.MethodPut, func() int { return yes(d.life.take(drain)) }},
		"/control/in-service":     {http.MethodPut, func() int { return yes(d.life.take(resume)) }},
	}
	call, ok := calls[r.URL.Path]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != call.method:
		w.Header().Set("Allow", call.method)
		w.WriteHeader(http.StatusMethodNotAllowed)
	default:
		w.WriteHeader(call.answer())
	}
}

func yes(ok bool) int {
	if ok {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
