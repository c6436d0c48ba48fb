package lab

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Outage is how discovery fails. The zero value is a well one.
type Outage struct {
	Down bool          // watches end, calls are refused by a reset
	Fail bool          // calls end in 503; watches go on
	Slow time.Duration // each call takes so much longer, and they are handled in turn
}

// listed is an entry of discovery's list, without the address, which is each node's own.
type listed struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

type rosterNews struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []listed `json:"hosts"`
}

// discovery keeps a list for each tier and answers each node at an address of the node's own, since the servers'
// addresses may differ between nodes. Its news are late by the world's figure.
type discovery struct {
	lab  *Lab
	turn chan struct{} // calls are handled one at a time

	mu     sync.Mutex
	outage Outage
	late   time.Duration
	tiers  []*tierList
	gates  []*gate
}

type tierList struct {
	seq     int64
	hosts   map[string]listed
	log     []change
	changed chan struct{} // closed at the next change
}

type change struct {
	seq  int64
	host listed
}

func newDiscovery(l *Lab) *discovery {
	d := &discovery{lab: l, turn: make(chan struct{}, 1), late: l.world.Discovery.Late}
	for range l.world.Tiers {
		d.tiers = append(d.tiers, &tierList{hosts: map[string]listed{}, changed: make(chan struct{})})
	}
	return d
}

func (d *discovery) set(o Outage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = o
	for _, t := range d.tiers { // watches look at once
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// publish tells of a server after so long; the world's figure if late is negative.
func (d *discovery) publish(tier int, h listed, late time.Duration) {
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
func (t *tierList) since(from int64) rosterNews {
	n := rosterNews{Seq: t.seq, Hosts: []listed{}}
	if from <= 0 || from > t.seq {
		n.Whole = true
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
func (d *discovery) known(n *Node) rosterNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressed(n, d.tiers[n.tier].since(0))
}

// addressed gives the servers the addresses that a node dials.
func (d *discovery) addressed(n *Node, news rosterNews) rosterNews {
	for i := range news.Hosts {
		news.Hosts[i].Dial = d.lab.serverAddr(n, news.Hosts[i].Host)
	}
	return news
}

// serve opens the address at which a node asks.
func (d *discovery) serve(n *Node) (addr string, err error) {
	g, err := newGate(d.lab.discoveryIP() + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ErrorLog: d.lab.discard, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(n, w, r) })}
	d.lab.own(func() { server.Serve(g) }) // ends with the gate
	d.mu.Lock()
	d.gates = append(d.gates, g)
	d.mu.Unlock()
	return g.addr, nil
}

func (d *discovery) state() (Outage, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage, d.lab.world.Discovery.Call + d.outage.Slow
}

func (d *discovery) answer(n *Node, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	wait := time.NewTimer(d.lab.world.Discovery.MaxLag)
	defer wait.Stop()
	select {
	case d.turn <- struct{}{}:
		_, takes := d.state()
		ok := sleep(r.Context(), takes)
		<-d.turn
		if !ok {
			return
		}
	case <-wait.C:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	switch o, _ := d.state(); {
	case o.Down:
		d.hangUp(w)
		return
	case o.Fail:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := r.URL.Query().Get("watch") == "1"
	if !watch {
		from = 0
	}
	d.watch(n, w, r, from, watch)
}

func (d *discovery) hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if g, ok := c.(*gatedConn); ok {
				g.reset()
			}
			c.Close()
		}
	}
}

// watch writes what changed, then each change as it comes, and an empty line every 2 s.
func (d *discovery) watch(n *Node, w http.ResponseWriter, r *http.Request, from int64, stay bool) {
	flush := http.NewResponseController(w)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		t := d.tiers[n.tier]
		news, changed, down := t.since(from), t.changed, d.outage.Down
		news = d.addressed(n, news)
		d.mu.Unlock()
		if down {
			d.hangUp(w)
			return
		}
		if first || len(news.Hosts) > 0 {
			text, err := json.Marshal(news)
			if err != nil {
				panic(err) // plain values
			}
			if _, err := w.Write(append(text, '\n')); err != nil || flush.Flush() != nil {
				return
			}
			d.told(n, news)
		}
		if !stay {
			return
		}
		from = max(news.Seq, 1) // 0 would ask for the whole list for ever
		select {
		case <-changed:
		case <-idle.C:
			if _, err := w.Write([]byte("\n")); err != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-d.lab.done:
			return
		}
	}
}

// told lets the referee know what a node has heard.
func (d *discovery) told(n *Node, news rosterNews) {
	listedNow := map[string]bool{}
	for _, h := range news.Hosts {
		d.lab.referee.tell(n.name, h.Host, h.Health == "in_service")
		listedNow[h.Host] = true
	}
	if news.Whole {
		for name, s := range d.lab.servers {
			if s.tier == n.tier && !listedNow[name] {
				d.lab.referee.tell(n.name, name, false)
			}
		}
	}
}

func (d *discovery) close() {
	d.mu.Lock()
	gates := d.gates
	d.mu.Unlock()
	for _, g := range gates {
		g.Close()
	}
}
