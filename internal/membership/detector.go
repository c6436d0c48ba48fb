package membership

import (
	"bytes"
	"log"

	"github.com/hashicorp/memberlist"
)

// Parameters of memberlist, by the probe interval. Suspicion is short, and Lifeguard's patience with a process's own
// health small: the probes of probing.go decide.
const (
	suspicionMultiplier    = 2
	maxSuspicionMultiplier = 2
	maxAwareness           = 2
	gossipPerProbe         = 4
	gossipNodes            = 3
	fullStateProbes        = 25
)

// packetNetwork is what packets and streams go over.
type packetNetwork interface {
	memberlist.NodeAwareTransport
	addr() string // at which peers find this process
	sent() (packets, bytes int64)
}

// traffic counts what was sent, streams left out.
type traffic struct{ packets, bytes int64 }

// open listens and starts the failure detector. Its goroutines end with shut.
func (m *Mesh) open() error {
	network, err := m.listen()
	if err != nil {
		return err
	}
	reports := newDetectorReports(m.log)
	detector, err := memberlist.Create(m.detectorConfig(network, reports))
	if err != nil {
		_ = network.Shutdown() // the first error counts
		return err
	}
	m.network = network
	m.detector = detector
	m.reports = reports
	return nil
}

func (m *Mesh) detectorConfig(network packetNetwork, reports *detectorReports) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = m.id()
	c.Transport = network
	c.ProbeInterval = m.cfg.Probe
	c.ProbeTimeout = m.cfg.Probe / 2
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = maxSuspicionMultiplier
	c.AwarenessMaxMultiplier = maxAwareness
	c.GossipInterval = m.cfg.Probe / gossipPerProbe
	c.GossipNodes = gossipNodes
	c.PushPullInterval = fullStateProbes * m.cfg.Probe
	c.TCPTimeout = streamOpenTimeout
	c.EnableCompression = false
	c.UDPBufferSize = maxPacketSize - frameHeaderSize
	c.HandoffQueueDepth = packetQueueSize
	c.Delegate = (*delegate)(m)
	c.Events = reports
	c.Ping = reports
	c.Logger = log.New(reports, "", 0)
	return c
}

// shut ends the failure detector and its network.
func (m *Mesh) shut() {
	if m.detector == nil {
		return
	}
	_ = m.detector.Shutdown() // with the network; fails only where that does
	_ = m.network.Shutdown()  // never fails
	packets, bytes := m.network.sent()
	m.closedTraffic.packets += packets
	m.closedTraffic.bytes += bytes
	m.detector = nil
	m.reports = nil
	m.network = nil
}

// reportedEvents are the events of the present failure detector; without one there are none.
func (m *Mesh) reportedEvents() <-chan processEvent {
	if m.reports == nil {
		return nil
	}
	return m.reports.events
}

// handleEvent takes a change in the failure detector.
func (m *Mesh) handleEvent(e processEvent) {
	if e.node.Name == m.id() {
		return
	}
	p := m.processes.byID[e.node.Name]
	if p == nil {
		p = &process{id: e.node.Name, name: nameOf(e.node.Name), state: Dead, since: m.now()}
		m.processes.add(p)
	}
	m.viewStale = true
	p.node = e.node
	p.address = e.node.Address()
	p.updateMetadata(e.node.Meta)
	state := Alive
	if !e.live {
		state = p.endState()
	}
	if state == Dead && p.isLive() {
		m.reportDead(p) // it may answer yet
		return
	}
	m.reachability.reportLive(p.id)
	m.setState(p, state)
}

// takeProbeResults takes over who answered the failure detector's probes. It costs as much as there are suspects,
// however large the fleet.
func (m *Mesh) takeProbeResults() {
	probes := &m.reports.probes
	for _, id := range probes.takeAnswered() {
		if p := m.processes.byID[id]; p != nil {
			m.recordAnswer(p)
		}
	}
	for _, id := range probes.failures() {
		p := m.processes.byID[id]
		switch {
		case p == nil || !p.isLive():
			probes.dropFailure(id)
		case p.state == Alive:
			m.setState(p, Suspect)
			m.suspected[id] = true
		}
	}
	for id := range m.suspected {
		if probes.hasFailed(id) {
			continue
		}
		p := m.processes.byID[id]
		if p != nil && p.state == Suspect && !m.reachability.isReportedDead(id) {
			m.setState(p, Alive)
		}
		delete(m.suspected, id)
	}
}

// compareMembers takes over all that dropped events would have reported. What came since is reported once more by its
// own event.
func (m *Mesh) compareMembers() {
	live := map[string]bool{}
	for _, node := range m.detector.Members() {
		live[node.Name] = true
		p := m.processes.byID[node.Name]
		if p == nil || !p.isLive() || !bytes.Equal(p.node.Meta, node.Meta) {
			m.handleEvent(processEvent{node: *node, live: true})
		}
	}
	for _, p := range m.processes.byID {
		if !live[p.id] && p.isLive() {
			m.reportDead(p)
		}
	}
}

// prune forgets processes that ended long ago, but for their incarnations, and penalties that have decayed.
func (m *Mesh) prune() {
	now := m.now()
	for _, p := range m.processes.expired(now) {
		m.processes.remove(p)
		m.reachability.forget(p.id)
		m.incarnations.record(p.name, p.metadata.Incarnation, false)
		m.viewStale = true
	}
	m.flaps.prune(now)
}
