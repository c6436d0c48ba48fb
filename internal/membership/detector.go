package membership

import (
	"bytes"
	"log"

	"github.com/hashicorp/memberlist"
)

// Parameters of memberlist. The suspicion timeout is short, and so is the limit to which memberlist lengthens the probe
// interval and timeouts when the process's own health is poor (Lifeguard's awareness), because the probes of probing.go
// decide which process is dead.
const (
	suspicionMultiplier    = 2 // probe intervals; memberlist scales this with the logarithm of the fleet size
	maxSuspicionMultiplier = 2
	maxAwareness           = 2
	gossipPerProbe         = 4 // gossip rounds per probe interval
	gossipNodes            = 3
	probesPerFullState     = 25 // probe intervals between two exchanges of the full state with another process
)

// packetNetwork carries memberlist's packets and streams.
type packetNetwork interface {
	memberlist.NodeAwareTransport
	addr() string                 // the address at which peers reach this process
	sent() (packets, bytes int64) // without streams
}

// traffic counts the packets sent and their bytes, without streams.
type traffic struct{ packets, bytes int64 }

// startDetector listens and starts the failure detector, whose goroutines stopDetector ends.
func (m *Mesh) startDetector() error {
	network, err := m.listen()
	if err != nil {
		return err
	}
	reports := newDetectorReports(m.log)
	detector, err := memberlist.Create(m.detectorConfig(network, reports))
	if err != nil {
		_ = network.Shutdown() // the error of Create is the one to return
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
	c.PushPullInterval = probesPerFullState * m.cfg.Probe
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

// stopDetector stops the failure detector and closes its network, if there is one.
func (m *Mesh) stopDetector() {
	if m.detector == nil {
		return
	}
	_ = m.detector.Shutdown() // shuts the network down too, and fails only if that fails
	_ = m.network.Shutdown()  // never fails
	packets, bytes := m.network.sent()
	m.closedTraffic.packets += packets
	m.closedTraffic.bytes += bytes
	m.detector = nil
	m.reports = nil
	m.network = nil
}

// reportedEvents returns the events of the current failure detector. Without a detector it returns nil, a channel that
// never delivers.
func (m *Mesh) reportedEvents() <-chan processEvent {
	if m.reports == nil {
		return nil
	}
	return m.reports.events
}

// handleEvent applies a change that the failure detector has reported.
func (m *Mesh) handleEvent(e processEvent) {
	if e.node.Name == m.id() {
		return
	}
	p := m.processes.byID[e.node.Name]
	if p == nil {
		p = &process{id: e.node.Name, name: memberNameOf(e.node.Name), state: Dead, since: m.now()}
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
		m.reportDead(p) // it may still answer this process's own probes
		return
	}
	m.reachability.reportLive(p.id)
	m.setState(p, state)
}

// applyProbeResults applies the results of the failure detector's probes since the last tick: a process that failed to
// answer becomes a suspect, and is alive again after an answer unless the detector has reported it dead. Its cost grows
// with the number of results and suspects, not with the size of the fleet.
func (m *Mesh) applyProbeResults() {
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

// compareMembers makes up for events that were dropped, by applying all differences between memberlist's members and
// the process table. Changes whose events are still queued are applied a second time by those events.
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

// prune removes processes that ended long ago, keeping only their incarnations, and flap penalties that have decayed.
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
