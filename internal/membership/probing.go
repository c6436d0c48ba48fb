package membership

import "time"

// isDisconnected reports whether no process has answered this one for a time between disconnectedAfter and
// disconnectedLimit, although other processes are live. This process is then assumed to be cut off itself, and probes
// all others.
func (m *Mesh) isDisconnected() bool {
	silence := m.reachability.silence(m.now())
	return m.processes.liveCount() > 0 && silence > disconnectedAfter && silence < disconnectedLimit
}

// hasSendFailure reports whether no process has answered this one for sendFailureAfter, although other processes are
// live. A leader then stops sending heartbeats, so that the votes for it expire early.
func (m *Mesh) hasSendFailure() bool {
	return m.processes.liveCount() > 0 && m.reachability.silence(m.now()) > sendFailureAfter
}

// recordAnswer records a round trip with a process. A process that was confirmed dead without a report of the failure
// detector becomes alive again, since the detector will not report its return.
func (m *Mesh) recordAnswer(p *process) {
	unreported := m.reachability.recordAnswer(p.id, m.now())
	if unreported && p.state == Dead {
		m.setState(p, Alive)
	}
}

// setState sets the state of a process. A change appears in the next view.
func (m *Mesh) setState(p *process, to State) {
	if p.transition(to, m.now()) {
		m.viewStale = true
	}
}

// reportDead handles the failure detector's report that a process is dead: this process probes that process to verify
// the report. In a fleet of more than maxVerifiedFleet, the report is accepted without probes, unless this process is
// disconnected.
func (m *Mesh) reportDead(p *process) {
	if m.processes.liveCount() > maxVerifiedFleet && !m.isDisconnected() {
		m.confirmDead(p)
		return
	}
	m.reachability.reportDead(p.id, m.now())
}

// confirmDead sets the state of a process that has ended: Left if it had announced that, otherwise Dead.
func (m *Mesh) confirmDead(p *process) {
	m.setState(p, p.endState())
	m.reachability.forget(p.id)
}

// advanceInquiries opens the inquiries that are due, acts on the result of each open one, and sends probes for those
// that stay open.
func (m *Mesh) advanceInquiries() {
	now := m.now()
	disconnected := m.isDisconnected()
	for id := range m.suspected {
		m.reachability.openInquiry(id, now)
	}
	m.inquireReported(now)
	if m.reachability.silence(now) > silenceThreshold || m.reachability.inquiryCount() > 1 {
		m.inquireAll(now) // this process may be cut off, or many others may be dead
	}
	for _, id := range m.reachability.openInquiryIDs() {
		m.resolveInquiry(id, now, disconnected)
	}
	m.sendProbes()
}

// inquireReported keeps the processes that the failure detector has reported dead as suspects, and opens inquiries into
// those without a recent answer. An answer closes the inquiry but does not revoke the report, because the detector
// reports a death only once.
func (m *Mesh) inquireReported(now time.Duration) {
	for _, id := range m.reachability.reportedDeadIDs() {
		p := m.processes.byID[id]
		if p == nil || !p.isLive() {
			m.reachability.forget(id)
			continue
		}
		m.setState(p, Suspect)
		if !m.reachability.answeredRecently(id, now) {
			m.reachability.openInquiry(id, now)
		}
	}
}

// inquireAll opens inquiries into live processes without a recent direct or indirect answer, up to maxInquiries.
func (m *Mesh) inquireAll(now time.Duration) {
	for id, p := range m.processes.byID {
		if m.reachability.inquiryCount() >= maxInquiries {
			return
		}
		if p.isLive() && now-m.reachability.reachableAt(id) > answerValidity/2 {
			m.reachability.openInquiry(id, now)
		}
	}
}

// resolveInquiry acts on the current result of an inquiry.
func (m *Mesh) resolveInquiry(id string, now time.Duration, disconnected bool) {
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

// sendProbes probes the processes that are due, if there is a failure detector to send with.
func (m *Mesh) sendProbes() {
	if m.detector == nil {
		return
	}
	for _, id := range m.reachability.probeTargets() {
		m.reachability.recordProbe(id)
		m.probe(id)
	}
}

// probe sends a probe to a process, and asks up to indirectProbes other processes whether it has answered them.
func (m *Mesh) probe(id string) {
	probe := m.newMessage(kindProbe)
	probe.Subject = id
	m.sendTo(m.processes.byID[id], probe)
	asked := 0
	for other, p := range m.processes.byID { // map order is random enough
		if asked == indirectProbes {
			return
		}
		if other != id && p.isLive() && !m.reachability.hasInquiry(other) {
			m.sendTo(p, probe)
			asked++
		}
	}
}

// handleProbe replies to a probe of this process. To a probe of another process it replies with an indirect
// acknowledgement if that process has answered this one recently; otherwise it opens an inquiry into that process, so
// that this process reaches a result as early as the sender.
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

// joinInquiry opens an inquiry into a live process that another one is probing, unless there are too many inquiries or
// the fleet is too large.
func (m *Mesh) joinInquiry(id string, now time.Duration) {
	p := m.processes.byID[id]
	if p == nil || !p.isLive() {
		return
	}
	if m.reachability.inquiryCount() < maxInquiries && m.processes.liveCount() <= maxVerifiedFleet {
		m.reachability.openInquiry(id, now)
	}
}

// handleProbeReply records a process's answer to a probe of this one.
func (m *Mesh) handleProbeReply(msg message) {
	p := m.processes.byID[msg.Subject]
	if p != nil && msg.TargetProcess == m.process && p.number() == msg.Process {
		m.recordAnswer(p)
	}
}

// handleIndirectAck records a process's report that another one has answered it. The report also counts as an answer
// of its sender.
func (m *Mesh) handleIndirectAck(msg message) {
	if m.processes.byID[msg.Subject] == nil || msg.TargetProcess != m.process {
		return
	}
	m.reachability.recordIndirect(msg.Subject, m.now())
	if p := m.processes.find(msg.From, msg.Process); p != nil {
		m.recordAnswer(p)
	}
}
