package testbed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpointEntry is an entry of discovery's list, without the address, which is each node's own.
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

type endpointUpdate struct {
	Seq      int64           `json:"seq"`
	Snapshot bool            `json:"whole"`
	Hosts    []endpointEntry `json:"hosts"`
}

// discovery keeps a list for each tier and answers each node at an address of the node's own, since the servers'
// addresses may differ between nodes. Its notifications are late by the world's figure.
type discovery struct {
	testbed  *Testbed
	callSlot chan struct{} // calls are handled one at a time

	mu          sync.Mutex
	fault       DiscoveryFault
	late        time.Duration
	tiers       []*tierList
	gates       []*gate
	gateByNode  map[*Node]*gate       // where each node asks
	mutes       int                   // so often have all open watches fallen silent
	watchStates map[*Node]*watchState // what each node can hear
}

const (
	silentWatchDelay = 6 * time.Second  // what a silent watch misses counts as notified so long after it fell silent
	maxPollInterval  = 10 * time.Second // the list that a node without a watch has will do so long after its last call
)

type tierList struct {
	seq     int64
	base    int64 // the first number that this discovery knows of
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

// wake makes watches look at once; d.mu is held.
func (d *discovery) wake() {
	for _, t := range d.tiers {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// publish tells of a server after so long; the world's figure if late is negative.
func (d *discovery) publish(tier int, h endpointEntry, late time.Duration) {
	if late < 0 {
		late = d.late
	}
	write := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		t := d.tiers[tier]
		t.seq++
		if h.Health == "terminated" {
			delete(t.hosts, h.Host)
		} else {
			t.hosts[h.Host] = h
		}
		t.log = append(t.log, change{t.seq, h})
		if h.Health != "in_service" {
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

// since is what a node that has version from is told; d.mu is held.
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

// known is the whole list as it is now, for a node's configuration.
func (d *discovery) known(n *Node) endpointUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressed(n, d.tiers[n.tier].since(0))
}

// addressed gives the servers the addresses that a node dials.
func (d *discovery) addressed(n *Node, update endpointUpdate) endpointUpdate {
	for i := range update.Hosts {
		update.Hosts[i].Dial = d.testbed.serverAddr(n, update.Hosts[i].Host)
	}
	return update
}

// serve opens the address at which a node asks.
func (d *discovery) serve(n *Node) (addr string, err error) {
	g, err := newGate(d.testbed.discoveryIP() + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		ErrorLog: d.testbed.discard,
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(n, w, r) }),
	}
	d.testbed.goOwned(func() { server.Serve(g) }) // ends with the gate
	d.mu.Lock()
	d.gates = append(d.gates, g)
	d.gateByNode[n] = g
	d.mu.Unlock()
	return g.addr, nil
}

// gateOf is where a node asks.
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

func (d *discovery) answer(n *Node, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	wait := time.NewTimer(d.testbed.world.Discovery.MaxLag)
	defer wait.Stop()
	select {
	case d.callSlot <- struct{}{}:
		_, takes := d.state()
		ok := sleep(r.Context(), takes)
		<-d.callSlot
		if !ok {
			return
		}
	case <-wait.C:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	o, _ := d.state()
	switch {
	case o.Down:
		d.hangUp(w)
		return
	case o.Fail:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if r.URL.Query().Get("watch") != "1" {
		if o.Unresponsive {
			d.silent(r)
			return
		}
		d.mu.Lock()
		update := d.addressed(n, d.tiers[n.tier].since(0))
		d.mu.Unlock()
		d.write(n, w, update, o)
		return
	}
	e := d.updateWatch(n, func(e *watchState) { e.watches++ })
	defer d.updateWatch(n, func(e *watchState) { e.lastPoll, e.watches, e.silent = d.testbed.now(), e.watches-1, 0 })
	d.watch(n, w, r, from, e)
}

// watch writes what changed, then each change as it comes, and an empty line every 2 s.
func (d *discovery) watch(n *Node, w http.ResponseWriter, r *http.Request, from int64, e *watchState) {
	flush := http.NewResponseController(w)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	d.mu.Lock()
	mutes := d.mutes
	d.mu.Unlock()
	for first := true; ; first = false {
		d.mu.Lock()
		t := d.tiers[n.tier]
		update, changed, o := t.since(from), t.changed, d.fault
		update = d.addressed(n, update)
		mute := o.Unresponsive || d.mutes > mutes
		if (mute || o.Trickle) && e.silent == 0 {
			e.silent = d.testbed.now()
		}
		d.mu.Unlock()
		switch {
		case o.Down:
			d.hangUp(w)
			return
		case mute:
			d.silent(r)
			return
		case o.Trickle:
			for sleep(r.Context(), 100*time.Millisecond) {
				if _, err := w.Write([]byte(" ")); err != nil || flush.Flush() != nil {
					return
				}
			}
			return
		}
		if first || len(update.Hosts) > 0 {
			if !d.write(n, w, update, o) || flush.Flush() != nil {
				return
			}
		}
		from = max(update.Seq, 1) // 0 would ask for the whole list for ever
		select {
		case <-changed:
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

// write writes a list, in the form that the outage gives it. It reports whether the node has all of it.
func (d *discovery) write(n *Node, w http.ResponseWriter, update endpointUpdate, o DiscoveryFault) bool {
	text, err := json.Marshal(update)
	if err == nil && o.Indent {
		text, err = json.MarshalIndent(update, "", "  ")
	}
	if err != nil {
		panic(err) // plain values
	}
	if o.Cut {
		w.Write(text[:len(text)/2]) // its connection ends next, whatever came of this
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
		g.Close()
	}
}
