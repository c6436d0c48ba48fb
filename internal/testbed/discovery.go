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

// endpointEntry is an entry of discovery's list. Its Dial address differs between nodes.
type endpointEntry struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Zone      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// endpointUpdate is a complete list, or the changes since a sequence number.
type endpointUpdate struct {
	Seq      int64           `json:"seq"`
	Snapshot bool            `json:"whole"`
	Hosts    []endpointEntry `json:"hosts"`
}

// discovery is the discovery service. It keeps a list of servers for each tier, and serves each node at a separate
// address, since the addresses of the servers may differ between nodes. It publishes changes after publishDelay.
type discovery struct {
	testbed  *Testbed
	callSlot chan struct{} // calls are handled one at a time

	mu           sync.Mutex
	fault        DiscoveryFault
	publishDelay time.Duration // from a change to its publication
	tiers        []*tierList
	gates        []*gate               // all gates opened so far
	gateByNode   map[*Node]*gate       // the current address of each node
	muteCount    int                   // number of calls of mute
	watchStates  map[*Node]*watchState // state of each node's watches and polls
}

const (
	silentWatchDelay = 6 * time.Second  // a node with a silent watch counts as notified after this time
	maxPollInterval  = 10 * time.Second // longest time between two polls of a node without a watch
)

// tierList is the list of one tier with the log of its changes.
type tierList struct {
	seq      int64
	logStart int64                    // sequence number at which the log starts; a node with an older list gets all
	hosts    map[string]endpointEntry // by name
	log      []change
	changed  chan struct{} // closed at the next change
}

// change is one entry of the log of a tier.
type change struct {
	seq  int64
	host endpointEntry
}

func newDiscovery(tb *Testbed) *discovery {
	d := &discovery{
		testbed:      tb,
		callSlot:     make(chan struct{}, 1),
		publishDelay: tb.world.Discovery.NotificationDelay,
		watchStates:  map[*Node]*watchState{},
		gateByNode:   map[*Node]*gate{},
	}
	for range tb.world.Tiers {
		d.tiers = append(d.tiers, &tierList{hosts: map[string]endpointEntry{}, changed: make(chan struct{})})
	}
	return d
}

// wakeWatches makes all watches check the list and the fault at once. d.mu must be held.
func (d *discovery) wakeWatches() {
	for _, t := range d.tiers {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// publish publishes the state of a server after delay, or after d.publishDelay if delay is negative.
func (d *discovery) publish(tier int, h endpointEntry, delay time.Duration) {
	if delay < 0 {
		delay = d.publishDelay
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
			for _, n := range d.testbed.orderedNodes {
				if n.tier == tier {
					d.testbed.checker.recordNotification(n.name, h.Host, false, d.notificationTime(n))
				}
			}
		}
		close(t.changed)
		t.changed = make(chan struct{})
	}
	if delay == 0 {
		write()
		return
	}
	time.AfterFunc(delay, write)
}

// updateSince returns the update for a node that has the list with sequence number from: the changes since then, or the
// complete list if from is not in the log. d.mu must be held.
func (t *tierList) updateSince(from int64) endpointUpdate {
	update := endpointUpdate{Seq: t.seq, Hosts: []endpointEntry{}}
	if from <= 0 || from > t.seq || from < t.logStart {
		update.Snapshot = true
		for _, h := range t.hosts {
			update.Hosts = append(update.Hosts, h)
		}
		return update
	}
	last := map[string]int{}
	for _, c := range t.log {
		if c.seq <= from {
			continue
		}
		if i, ok := last[c.host.Host]; ok {
			update.Hosts[i] = c.host
			continue
		}
		last[c.host.Host] = len(update.Hosts)
		update.Hosts = append(update.Hosts, c.host)
	}
	return update
}

// fullList returns the current complete list, for a node's configuration.
func (d *discovery) fullList(n *Node) endpointUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withDialAddresses(n, d.tiers[n.tier].updateSince(0))
}

// withDialAddresses sets the addresses at which a node dials the servers.
func (d *discovery) withDialAddresses(n *Node, update endpointUpdate) endpointUpdate {
	for i := range update.Hosts {
		update.Hosts[i].Dial = d.testbed.serverAddr(n, update.Hosts[i].Host)
	}
	return update
}

// serve opens and serves a new address at which a node polls and watches.
func (d *discovery) serve(n *Node) (addr string, err error) {
	g, err := newGate(d.testbed.discoveryIP() + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		ErrorLog: d.testbed.discardLog,
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.handle(n, w, r) }),
	}
	d.testbed.startGoroutine(func() { _ = server.Serve(g) }) // returns an error when the gate closes
	d.mu.Lock()
	d.gates = append(d.gates, g)
	d.gateByNode[n] = g
	d.mu.Unlock()
	return g.addr, nil
}

// gateOf returns the gate of the address at which a node polls and watches.
func (d *discovery) gateOf(n *Node) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gateByNode[n]
}

// state returns the present fault and the duration of a call.
func (d *discovery) state() (DiscoveryFault, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.testbed.world.Discovery.CallDuration + d.fault.Slow
}

// handle handles one poll or watch of a node.
func (d *discovery) handle(n *Node, w http.ResponseWriter, r *http.Request) {
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
		d.resetConnection(w)
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
		d.blockUntilDisconnect(r)
		return
	}
	d.mu.Lock()
	update := d.withDialAddresses(n, d.tiers[n.tier].updateSince(0))
	d.mu.Unlock()
	d.write(n, w, update, fault)
}

// acquireCallSlot waits until no other call is handled, and then for the duration of one call. It returns false if the
// caller has disconnected, or if it answered the caller with 503 because the wait exceeded DiscoverySpec.MaxLag.
func (d *discovery) acquireCallSlot(w http.ResponseWriter, r *http.Request) bool {
	wait := time.NewTimer(d.testbed.world.Discovery.MaxLag)
	defer wait.Stop()
	select {
	case d.callSlot <- struct{}{}:
		_, callDuration := d.state()
		ok := sleep(r.Context(), callDuration)
		<-d.callSlot
		return ok
	case <-wait.C:
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return false
}

const (
	watchIdleLine  = 2 * time.Second        // interval between empty lines on an idle watch
	trickleSpacing = 100 * time.Millisecond // interval between two spaces
)

// watch serves a watch: it writes the changes since from, then each further change as it is published, and empty lines
// while there are no changes.
func (d *discovery) watch(n *Node, w http.ResponseWriter, r *http.Request, from int64, state *watchState) {
	flush := http.NewResponseController(w)
	idle := time.NewTicker(watchIdleLine)
	defer idle.Stop()
	d.mu.Lock()
	muteCount := d.muteCount
	d.mu.Unlock()
	for first := true; ; first = false {
		next := d.nextUpdate(n, from, muteCount, state)
		switch {
		case next.fault.Down:
			d.resetConnection(w)
			return
		case next.mute:
			d.blockUntilDisconnect(r)
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
		from = max(next.update.Seq, 1) // at 0, each update would be the complete list
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

// watchUpdate is what a watch is to send next, and the fault that applies to it.
type watchUpdate struct {
	update  endpointUpdate
	changed <-chan struct{} // closed at the next change
	fault   DiscoveryFault
	mute    bool // the watch must send nothing from now on
}

// nextUpdate returns what a watch is to send next. If the watch falls silent now, it records the time.
func (d *discovery) nextUpdate(n *Node, from int64, muteCount int, state *watchState) watchUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tiers[n.tier]
	next := watchUpdate{
		update:  d.withDialAddresses(n, t.updateSince(from)),
		changed: t.changed,
		fault:   d.fault,
		mute:    d.fault.Unresponsive || d.muteCount > muteCount,
	}
	if (next.mute || next.fault.Trickle) && state.silent == 0 {
		state.silent = d.testbed.now()
	}
	return next
}

// trickle writes spaces without an end of line until the node disconnects.
func trickle(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	for sleep(r.Context(), trickleSpacing) {
		if _, err := w.Write([]byte(" ")); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// write writes an update, indented or cut off if the fault says so. It reports whether all of it was written, and
// records that the node was notified.
func (d *discovery) write(n *Node, w http.ResponseWriter, update endpointUpdate, fault DiscoveryFault) bool {
	text, err := json.Marshal(update)
	if err == nil && fault.Indent {
		text, err = json.MarshalIndent(update, "", "  ")
	}
	if err != nil {
		panic(err) // cannot happen: endpoint updates can always be encoded
	}
	if fault.Cut {
		_, _ = w.Write(text[:len(text)/2]) // an error does not matter: the connection is aborted next
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	d.recordNotified(n, update)
	return true
}

// close closes all gates.
func (d *discovery) close() {
	d.mu.Lock()
	gates := d.gates
	d.mu.Unlock()
	for _, g := range gates {
		closeQuietly(g)
	}
}
