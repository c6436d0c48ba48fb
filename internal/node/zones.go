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

const zoneLines = 5 // lines about zones in the log, a second

// ask runs f in the loop, and waits for it; false: the loop has ended.
func (l *loop) ask(f func()) bool {
	done := make(chan struct{})
	select {
	case l.asks <- func() { f(); close(done) }:
		<-done
		return true
	case <-l.stop:
		return false
	}
}

// logZones says which zones have changed their state.
func (l *loop) logZones() {
	l.turns = l.bal.ZoneTransitions()
	for _, z := range l.bal.Zones() {
		was := l.zones[z.Name]
		if was == z.State {
			continue
		}
		l.zones[z.Name] = z.State
		if !l.lines.Allow() {
			l.quiet++
			continue
		}
		l.log.Info("zone", "name", z.Name, "was", was.String(), "is", z.State.String(), "ordered", z.EvacuatedByOperator, "share", z.Share,
			"servers", z.Endpoints, "silent", z.Unresponsive, "out", z.InFlight, "silenced", l.quiet)
		l.quiet = 0
	}
}

// zoneFigures is what operators read of a zone.
type zoneFigures struct {
	Name    string        `json:"name"`
	State   string        `json:"state"`
	Ordered bool          `json:"ordered"` // away, by an operator
	Share   float64       `json:"share"`   // part of its draws that it gets
	Age     time.Duration `json:"age_ns"`  // of the state
	Servers int           `json:"servers"` // in service
	Silent  int           `json:"silent"`  // of them, in a row without an answer
	Calls   int           `json:"out"`
}

// zones answers with what the node knows of each zone.
func (d *door) zones(w http.ResponseWriter) {
	all := []zoneFigures{}
	if !d.loop.ask(func() {
		now := d.loop.clock.now()
		for _, z := range d.loop.bal.Zones() {
			all = append(all, zoneFigures{z.Name, z.State.String(), z.EvacuatedByOperator, z.Share, now - z.Since, z.Endpoints, z.Unresponsive, z.InFlight})
		}
	}) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"zones": all}) // fails only as the caller leaves
}

// zonePath takes /control/zones/NAME/evacuate and /control/zones/NAME/restore apart.
func zonePath(path string) (name, order string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/control/zones/")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at <= 0 {
		return "", "", false
	}
	name, order = rest[:at], rest[at+1:]
	return name, order, order == "evacuate" || order == "restore"
}

// orderZone orders a zone away, or ends that order. The last one that is served is not ordered away, unless by force.
func (d *door) orderZone(w http.ResponseWriter, name, order string, force bool) {
	status := http.StatusServiceUnavailable // the loop has ended
	d.loop.ask(func() { status = d.loop.orderZone(name, order == "evacuate", force) })
	w.WriteHeader(status)
}

func (l *loop) orderZone(name string, away, force bool) (status int) {
	all := l.bal.Zones()
	i := slices.IndexFunc(all, func(z policy.Zone) bool { return z.Name == name })
	switch {
	case i < 0:
		return http.StatusNotFound
	case l.byHand[name] == away:
		return http.StatusOK
	case away && !force && !slices.ContainsFunc(all, func(z policy.Zone) bool {
		return z.Name != name && z.Endpoints > 0 && z.State != policy.ZoneEvacuated
	}):
		return http.StatusConflict
	}
	l.log.Info("zone ordered", "name", name, "away", away, "force", force)
	l.byHand[name] = away
	l.order(l.clock.now(), name)
	return http.StatusOK
}

// order tells the module whether a zone is ordered away, by hand or by an override in force.
func (l *loop) order(now time.Duration, zone string) {
	l.carry(now, policy.ZoneEvacuation{Zone: zone, Evacuate: l.byHand[zone] || now < l.until[zone]})
}

// takeOrders takes over what overrides send away now.
func (l *loop) takeOrders(until map[string]time.Duration) {
	before, now := l.until, l.clock.now()
	l.until = until
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if _, still := until[zone]; !still {
			l.log.Info("override over", "zone", zone)
			l.order(now, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(until)) {
		if _, was := before[zone]; !was {
			l.log.Info("override in force", "zone", zone, "left", until[zone]-now)
			l.order(now, zone)
		}
	}
}

// endOrders ends what is over before anything else is decided: a process that slept through an end wakes without it.
func (l *loop) endOrders(now time.Duration) {
	for _, zone := range slices.Sorted(maps.Keys(l.until)) {
		if now >= l.until[zone] {
			delete(l.until, zone)
			l.log.Info("override ended", "zone", zone)
			l.order(now, zone)
		}
	}
}
