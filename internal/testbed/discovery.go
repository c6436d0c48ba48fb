package testbed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Health of an endpoint, as discovery lists it.
const (
	healthInService = "in_service"
	healthDraining  = "terminating"
	healthRemoved   = "terminated"
)

// endpointEntry is an entry of discovery's list. Its address differs between nodes.
type endpointEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// endpointUpdate is a list, or what has changed of it since a sequence number.
type endpointUpdate struct {
	Seq      int64           `json:"seq"`
	Snapshot bool            `json:"whole"`
	Hosts    []endpointEntry `json:"hosts"`
}

// discovery keeps a list for each tier and answers each node at an address of the node's own, since the servers'
// addresses may differ between nodes. Its notifications are late by the world's setting.
type discovery struct {
	testbed  *Testbed
	callSlot chan struct{} // calls are handled one at a time

	mu          sync.Mutex
	fault       DiscoveryFault
	late        time.Duration
	tiers       []*tierList
	gates       []*gate
	gateByNode  map[*Node]*gate       // where each node connects
	mutes       int                   // how often all open watches have fallen silent
	watchStates map[*Node]*watchState // how each node follows
}

const (
	silentWatchDelay = 6 * time.Second  // a node counts as notified of what its silent watch misses, after this
	maxPollInterval  = 10 * time.Second // between two polls of a node without a watch
)

// tierList is the list of one tier, with the log of its changes.
type tierList struct {
	seq     int64
	base    int64 // the first number that this discovery has a log for
	hosts   map[string]endpointEntry
	log     []change
	changed chan struct{} // closed at the next change
}

type change struct {
	seq  int64
	host endpointEntry
}

func newDiscovery(tb *Testbed) *discovery {
	d := &discovery{
		testbed:     tb,
		callSlot:    make(chan struct{}, 1),
		late:        tb.world.Discovery.Late,
		watchStates: map[*Node]*watchState{},
		gateByNode:  map[*Node]*gate{},
	}
	for range tb.world.Tiers {
		d.tiers = append(d.tiers, &tierList{hosts: map[string]endpointEntry{}, changed: make(chan struct{})})
	}
	return d
}

// wake makes watches look at the list at once; d.mu is held.
func (d *discovery) wake() {
	for _, t := range d.tiers {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// publish publishes the state of a server after a delay; the world's setting if late is negative.
func (d *discovery) publish(tier int, h endpointEntry, late time.Duration) {
	if late < 0 {
		late = d.late
	}
	write := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		t := d.tiers[tier]
		t.seq++
		if h.Health == healthRemoved {
			delete(t.hosts, h.Host)
		} else {
			t.hosts[h.Host] = h
		}
		t.log = append(t.log, change{t.seq, h})
		if h.Health != healthInService {
			for _, n := range d.testbed.nodeOrder {
				if n.tier == tier {
					d.testbed.checker.recordNotification(n.name, h.Host, false, d.notificationTime(n))
				}
			}
		}
		close(t.changed)
		t.changed = make(chan struct{})
	}
	if late == 0 {
		write()
		return
	}
	time.AfterFunc(late, write)
}

// since returns what a node that has version from is to be sent; d.mu is held.
func (t *tierList) since(from int64) endpointUpdate {
	n := endpointUpdate{Seq: t.seq, Hosts: []endpointEntry{}}
	if from <= 0 || from > t.seq || from < t.base {
		n.Snapshot = true
		for _, h := range t.hosts {
			n.Hosts = append(n.Hosts, h)
		}
		return n
	}
	last := map[string]int{}
	for _, c := range t.log {
		if c.seq <= from {
			continue
		}
		if i, ok := last[c.host.Host]; ok {
			n.Hosts[i] = c.host
			continue
		}
		last[c.host.Host] = len(n.Hosts)
		n.Hosts = append(n.Hosts, c.host)
	}
	return n
}

// known returns the complete list as it is now, for a node's configuration.
func (d *discovery) known(n *Node) endpointUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressed(n, d.tiers[n.tier].since(0))
}

// addressed fills in the addresses at which a node dials the servers.
func (d *discovery) addressed(n *Node, update endpointUpdate) endpointUpdate {
	for i := range update.Hosts {
		update.Hosts[i].Dial = d.testbed.serverAddr(n, update.Hosts[i].Host)
	}
	return update
}

// serve opens the address at which a node polls and watches.
func (d *discovery) serve(n *Node) (addr string, err error) {
	g, err := newGate(d.testbed.discoveryIP() + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		ErrorLog: d.testbed.discardLog,
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(n, w, r) }),
	}
	d.testbed.goOwned(func() { _ = server.Serve(g) }) // returns an error when the gate closes
	d.mu.Lock()
	d.gates = append(d.gates, g)
	d.gateByNode[n] = g
	d.mu.Unlock()
	return g.addr, nil
}

// gateOf returns the gate at which a node polls and watches.
func (d *discovery) gateOf(n *Node) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gateByNode[n]
}

func (d *discovery) state() (DiscoveryFault, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.testbed.world.Discovery.Call + d.fault.Slow
}

// answer handles one call of a node.
func (d *discovery) answer(n *Node, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.acquireCallSlot(w, r) {
		return
	}
	fault, _ := d.state()
	switch {
	case fault.Down:
		d.hangUp(w)
		return
	case fault.Fail:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if r.URL.Query().Get("watch") == "1" {
		state := d.updateWatch(n, func(s *watchState) { s.watches++ })
		defer d.updateWatch(n, func(s *watchState) {
			s.lastPoll = d.testbed.now()
			s.watches--
			s.silent = 0
		})
		d.watch(n, w, r, from, state)
		return
	}
	if fault.Unresponsive {
		d.silent(r)
		return
	}
	d.mu.Lock()
	update := d.addressed(n, d.tiers[n.tier].since(0))
	d.mu.Unlock()
	d.write(n, w, update, fault)
}

// acquireCallSlot waits while other calls are handled, and takes the time of one call. It returns false when the
// caller has left or has waited for too long.
func (d *discovery) acquireCallSlot(w http.ResponseWriter, r *http.Request) bool {
	wait := time.NewTimer(d.testbed.world.Discovery.MaxLag)
	defer wait.Stop()
	select {
	case d.callSlot <- struct{}{}:
		_, takes := d.state()
		ok := sleep(r.Context(), takes)
		<-d.callSlot
		return ok
	case <-wait.C:
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return false
}

const (
	watchIdleLine  = 2 * time.Second // between two empty lines on an idle watch
	trickleSpacing = 100 * time.Millisecond
)

// watch writes what changed, then each change as it comes, and an empty line while there is none.
func (d *discovery) watch(n *Node, w http.ResponseWriter, r *http.Request, from int64, state *watchState) {
	flush := http.NewResponseController(w)
	idle := time.NewTicker(watchIdleLine)
	defer idle.Stop()
	d.mu.Lock()
	mutes := d.mutes
	d.mu.Unlock()
	for first := true; ; first = false {
		next := d.nextUpdate(n, from, mutes, state)
		switch {
		case next.fault.Down:
			d.hangUp(w)
			return
		case next.mute:
			d.silent(r)
			return
		case next.fault.Trickle:
			trickle(w, r)
			return
		}
		if first || len(next.update.Hosts) > 0 {
			if !d.write(n, w, next.update, next.fault) || flush.Flush() != nil {
				return
			}
		}
		from = max(next.update.Seq, 1) // 0 would ask for the complete list for ever
		select {
		case <-next.changed:
		case <-idle.C:
			if _, err := w.Write([]byte("\n")); err != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-d.testbed.done:
			return
		}
	}
}

// watchUpdate is what a watch has to do next.
type watchUpdate struct {
	update  endpointUpdate
	changed <-chan struct{} // closed at the next change
	fault   DiscoveryFault
	mute    bool // the watch is silent from now on
}

// nextUpdate returns what a watch has to do next, and records when it falls silent.
func (d *discovery) nextUpdate(n *Node, from int64, mutes int, state *watchState) watchUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tiers[n.tier]
	next := watchUpdate{
		update:  d.addressed(n, t.since(from)),
		changed: t.changed,
		fault:   d.fault,
		mute:    d.fault.Unresponsive || d.mutes > mutes,
	}
	if (next.mute || next.fault.Trickle) && state.silent == 0 {
		state.silent = d.testbed.now()
	}
	return next
}

// trickle writes spaces without an end of line until the node leaves.
func trickle(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	for sleep(r.Context(), trickleSpacing) {
		if _, err := w.Write([]byte(" ")); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// write writes a list, in the form that the fault gives it. It reports whether the node got all of it.
func (d *discovery) write(n *Node, w http.ResponseWriter, update endpointUpdate, o DiscoveryFault) bool {
	text, err := json.Marshal(update)
	if err == nil && o.Indent {
		text, err = json.MarshalIndent(update, "", "  ")
	}
	if err != nil {
		panic(err) // plain values
	}
	if o.Cut {
		_, _ = w.Write(text[:len(text)/2]) // its connection ends next in any case
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	d.recordNotified(n, update)
	return true
}

func (d *discovery) close() {
	d.mu.Lock()
	gates := d.gates
	d.mu.Unlock()
	for _, g := range gates {
		closeQuietly(g)
	}
}
