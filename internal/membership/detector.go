// The library's failure detector, and the processes that it knows.

package membership

import (
	"bytes"
	"encoding/json"
	"log"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// meta is what a process tells of itself.
type meta struct {
	Incarnation uint64 `json:"i"`
	Phase       string `json:"p"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	Tier        int    `json:"t"`
	Version     string `json:"v"`
	Digest      string `json:"d"`
}

// process is one process of a member.
type process struct {
	member, name string // with and without the process
	meta         meta
	addr         string
	node         memberlist.Node
	state        State // Alive, Suspect, Gone or Left
	since        time.Duration
}

type processEvent struct {
	node memberlist.Node
	live bool
}

// wire is what packets and streams go over.
type wire interface {
	memberlist.NodeAwareTransport
	addr() string // at which peers find this process
	sent() (packets, bytes int64)
}

// open listens and starts the failure detector.
func (m *Mesh) open() error {
	t, err := m.listen()
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = m.member()
	c.Transport = t
	c.ProbeInterval, c.ProbeTimeout = m.cfg.Probe, m.cfg.Probe/2
	// Suspicion is short, and Lifeguard's patience with a process's own health small: evidence.go has the last word.
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = 2, 2, 2
	c.GossipInterval, c.GossipNodes = m.cfg.Probe/4, 3
	c.PushPullInterval = 25 * m.cfg.Probe
	c.TCPTimeout = streamTime
	c.EnableCompression = false
	c.UDPBufferSize = mostPacket - frameHead
	c.HandoffQueueDepth = packetQueue
	c.Delegate, c.Events, c.Ping = (*delegate)(m), (*delegate)(m), (*delegate)(m)
	c.Logger = log.New(logWriter{m}, "", 0)
	ml, err := memberlist.Create(c)
	if err != nil {
		t.Shutdown()
		return err
	}
	m.wire, m.ml = t, ml
	m.missed.Store(true) // events of an earlier one may be under way
	return nil
}

func (m *Mesh) shut() {
	if m.ml == nil {
		return
	}
	m.ml.Shutdown() // the transport, too
	m.wire.Shutdown()
	packets, bytes := m.wire.sent()
	m.retired.packets += packets
	m.retired.bytes += bytes
	m.ml, m.wire = nil, nil
}

// logWriter passes the library's own lines on at the debug level. The library tells of a probe without an answer in no
// other way; a test holds it to its words.
type logWriter struct{ m *Mesh }

var unanswered = regexp.MustCompile(`Suspect (\S+) has failed, no acks received`)

func (w logWriter) Write(p []byte) (int, error) {
	if s := unanswered.FindSubmatch(p); s != nil {
		w.m.suspect(string(s[1]), true)
	}
	w.m.log.Debug("memberlist", "said", strings.TrimSpace(string(p)))
	return len(p), nil
}

// suspect notes that a probe of a process by this one got an answer or none.
func (m *Mesh) suspect(member string, is bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if is {
		m.unanswered[member] = true // memberlist probes members only: there are no more names than these
	} else {
		delete(m.unanswered, member)
		m.answering[member] = true
	}
}

// event takes a change in the failure detector.
func (m *Mesh) event(e processEvent) {
	if e.node.Name == m.member() {
		return
	}
	p := m.processes[e.node.Name]
	if p == nil {
		p = &process{member: e.node.Name, name: nameOf(e.node.Name), state: Dead, since: m.now()}
		m.processes[e.node.Name] = p
		m.named[p.name] = append(m.named[p.name], p)
	}
	m.dirty = true
	p.node, p.addr = e.node, e.node.Address()
	if len(e.node.Meta) > 0 {
		json.Unmarshal(e.node.Meta, &p.meta) // one that can't be read says nothing of itself
	}
	state := Dead
	switch {
	case e.live:
		state = Alive
	case e.node.State == memberlist.StateLeft || p.meta.Phase == phaseLeaving:
		state = Left
	}
	if state == Dead && p.lives() {
		m.accuse(p) // it may answer yet
		return
	}
	delete(m.evidence.accused, p.member)
	delete(m.evidence.buried, p.member)
	if state != p.state {
		p.state, p.since = state, m.now()
	}
}

// suspects takes over who is suspected. It costs as much as there are suspects, however large the fleet.
func (m *Mesh) suspects() {
	m.mu.Lock()
	for member := range m.answering {
		if p := m.processes[member]; p != nil {
			m.answered(p)
		}
		delete(m.answering, member)
	}
	for member := range m.unanswered {
		switch p := m.processes[member]; {
		case p == nil || !p.lives():
			delete(m.unanswered, member)
		case p.state == Alive:
			p.state, p.since, m.dirty = Suspect, m.now(), true
			m.suspected[member] = true
		}
	}
	for member := range m.suspected {
		if m.unanswered[member] {
			continue
		}
		if p := m.processes[member]; p != nil && p.state == Suspect && m.evidence.accused[member] == 0 {
			p.state, p.since, m.dirty = Alive, m.now(), true
		}
		delete(m.suspected, member)
	}
	m.mu.Unlock()
}

// compare takes over all that dropped events would have told. What came since is told once more by its event.
func (m *Mesh) compare() {
	live := map[string]bool{}
	for _, n := range m.ml.Members() {
		live[n.Name] = true
		if p := m.processes[n.Name]; p == nil || !p.lives() || !bytes.Equal(p.node.Meta, n.Meta) {
			m.event(processEvent{node: *n, live: true})
		}
	}
	for _, p := range m.processes {
		if !live[p.member] && p.lives() {
			m.accuse(p)
		}
	}
}

// lives says that the failure detector has it among the living.
func (p *process) lives() bool { return p.state == Alive || p.state == Suspect }

// prune forgets processes that ended long ago, and penalties that have decayed.
func (m *Mesh) prune() {
	now := m.now()
	var over []*process
	for _, p := range m.processes {
		if p.state == Dead || p.state == Left {
			if now-p.since > endedFor {
				m.drop(p)
				continue
			}
			over = append(over, p)
		}
	}
	if extra := len(over) - mostEnded; extra > 0 {
		slices.SortFunc(over, func(a, b *process) int { return int(a.since - b.since) })
		for _, p := range over[:extra] {
			m.drop(p)
		}
	}
	for name, p := range m.penalties {
		if now > p.until && p.now(now) < 0.1 {
			delete(m.penalties, name)
		}
	}
}

// drop forgets a process, but for its incarnation.
func (m *Mesh) drop(p *process) {
	delete(m.processes, p.member)
	m.evidence.forget(p.member)
	if m.named[p.name] = slices.DeleteFunc(m.named[p.name], func(o *process) bool { return o == p }); len(m.named[p.name]) == 0 {
		delete(m.named, p.name)
	}
	m.dirty = true
	if p.meta.Incarnation > m.highest[p.name] && len(m.highest) < maxMembers {
		m.highest[p.name] = p.meta.Incarnation
	}
}
