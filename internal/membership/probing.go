package membership

import "time"

// isDisconnected reports whether this process gets no answer from anybody. While it is, it probes all.
func (m *Mesh) isDisconnected() bool {
	silence := m.reachability.silence(m.now())
	return m.processes.liveCount() > 0 && silence > disconnectedAfter && silence < disconnectedLimit
}

// hasSendFailure reports whether nobody has answered for some time. A leader sends no heartbeats then: its votes must
// run out early.
func (m *Mesh) hasSendFailure() bool {
	return m.processes.liveCount() > 0 && m.reachability.silence(m.now()) > sendFailureAfter
}

// recordAnswer takes a round trip with a process. One that was confirmed dead without a report is back.
func (m *Mesh) recordAnswer(p *process) {
	unreported := m.reachability.recordAnswer(p.id, m.now())
	if unreported && p.state == Dead {
		m.setState(p, Alive)
	}
}

// setState lets a process enter a state; a change shows in the next view.
func (m *Mesh) setState(p *process, to State) {
	if p.transition(to, m.now()) {
		m.viewStale = true
	}
}

// reportDead takes the failure detector's report that a process is dead: it is probed whether that is so. In a large
// fleet the report decides.
func (m *Mesh) reportDead(p *process) {
	if m.processes.liveCount() > maxVerifiedFleet && !m.isDisconnected() {
		m.confirmDead(p)
		return
	}
	m.reachability.reportDead(p.id, m.now())
}

// confirmDead takes a process for dead, or for one that has left.
func (m *Mesh) confirmDead(p *process) {
	m.setState(p, p.endState())
	m.reachability.forget(p.id)
}

// verify goes through the open inquiries: it finds who is dead, and probes the others.
func (m *Mesh) verify() {
	now := m.now()
	disconnected := m.isDisconnected()
	for id := range m.suspected {
		m.reachability.inquire(id, now)
	}
	m.inquireReported(now)
	if m.reachability.silence(now) > silenceThreshold || m.reachability.openInquiries() > 1 {
		m.inquireAll(now) // it is this process that is cut off, or many are dead
	}
	for _, id := range m.reachability.inquired() {
		m.conclude(id, now, disconnected)
	}
	m.sendProbes()
}

// inquireReported keeps the processes that the failure detector has reported dead as suspects, and probes those that
// are silent. An answer ends an inquiry, but not the report: the detector reports a death once.
func (m *Mesh) inquireReported(now time.Duration) {
	for _, id := range m.reachability.reported() {
		p := m.processes.byID[id]
		if p == nil || !p.isLive() {
			m.reachability.forget(id)
			continue
		}
		m.setState(p, Suspect)
		if !m.reachability.answeredRecently(id, now) {
			m.reachability.inquire(id, now)
		}
	}
}

// inquireAll begins to probe live processes of which nothing is known lately, up to the bound.
func (m *Mesh) inquireAll(now time.Duration) {
	for id, p := range m.processes.byID {
		if m.reachability.openInquiries() >= maxInquiries {
			return
		}
		if p.isLive() && now-m.reachability.reachableAt(id) > answerValidity/2 {
			m.reachability.inquire(id, now)
		}
	}
}

// conclude acts on the result of an inquiry.
func (m *Mesh) conclude(id string, now time.Duration, disconnected bool) {
	p := m.processes.byID[id]
	if p == nil || !p.isLive() {
		m.reachability.forget(id)
		return
	}
	switch m.reachability.assess(id, now, disconnected) {
	case assessmentReachable:
		m.reachability.closeInquiry(id)
	case assessmentSuspect:
		m.setState(p, Suspect)
	case assessmentDead:
		reported := m.reachability.isReportedDead(id)
		m.confirmDead(p)
		if !reported {
			m.reachability.recordUnreported(id)
		}
	case assessmentOpen:
	}
}

func (m *Mesh) sendProbes() {
	if m.detector == nil {
		return
	}
	for _, id := range m.reachability.longestUnknown() {
		m.reachability.recordProbe(id)
		m.probe(id)
	}
}

// probe asks a process whether it is there, and a few others whether it has answered them.
func (m *Mesh) probe(id string) {
	probe := m.newMessage(kindProbe)
	probe.Subject = id
	m.sendTo(m.processes.byID[id], probe)
	asked := 0
	for other, p := range m.processes.byID { // map order is random enough
		if asked == indirectProbes {
			return
		}
		if other != id && p.isLive() && !m.reachability.isInquired(other) {
			m.sendTo(p, probe)
			asked++
		}
	}
}

// handleProbe answers for this process, or for one that has answered it lately. It begins to probe a process of which
// it knows nothing, so that it knows as soon as the other does.
func (m *Mesh) handleProbe(msg message) {
	now := m.now()
	reply := m.newMessage(kindProbeReply)
	reply.Subject = msg.Subject
	reply.TargetProcess = msg.Process
	if msg.Subject != m.id() {
		if !m.reachability.answeredRecently(msg.Subject, now) {
			m.joinInquiry(msg.Subject, now)
			return
		}
		reply.Kind = kindIndirectAck
	}
	if p := m.processes.find(msg.From, msg.Process); p != nil {
		m.sendTo(p, reply)
	}
}

// joinInquiry begins to probe a process that another one probes, within the bounds.
func (m *Mesh) joinInquiry(id string, now time.Duration) {
	p := m.processes.byID[id]
	if p == nil || !p.isLive() {
		return
	}
	if m.reachability.openInquiries() < maxInquiries && m.processes.liveCount() <= maxVerifiedFleet {
		m.reachability.inquire(id, now)
	}
}

// handleProbeReply takes a process's answer to this one's probe.
func (m *Mesh) handleProbeReply(msg message) {
	p := m.processes.byID[msg.Subject]
	if p != nil && msg.TargetProcess == m.process && p.number() == msg.Process {
		m.recordAnswer(p)
	}
}

// handleIndirectAck takes a process's report that another one has answered it. The report itself is an answer, too.
func (m *Mesh) handleIndirectAck(msg message) {
	if m.processes.byID[msg.Subject] == nil || msg.TargetProcess != m.process {
		return
	}
	m.reachability.recordIndirect(msg.Subject, m.now())
	if p := m.processes.find(msg.From, msg.Process); p != nil {
		m.recordAnswer(p)
	}
}
