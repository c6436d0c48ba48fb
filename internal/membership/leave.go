package membership

import (
	"cmp"
	"slices"
	"time"
)

// Times and bounds of a leave.
const (
	leaveTimeout      = 800 * time.Millisecond // for the member list to be without this process, and all to know
	leavePollInterval = tickInterval / 4
	maxLeaveNotices   = 256 // in one tick: each is acknowledged, and this process's queue of packets is as long
	maxDepartedIDs    = 256 // in a full state, the newest
)

// departure is this process's own leave: which processes know of it. The gossip alone does not make sure of that: a
// member that the end of this process reaches before its changed metadata can't tell the two from a failure.
type departure struct {
	acknowledged map[string]bool // by process ID
	nextNotice   time.Duration
}

func newDeparture() departure {
	return departure{acknowledged: map[string]bool{}}
}

// Leave announces that this process leaves, waits up to 0.8 s for the member list to be without it, for the others to
// know that it leads no more and that its end is no failure, and ends the mesh.
func (m *Mesh) Leave() {
	m.announcePhase(phaseLeaving)
	poll := time.NewTicker(leavePollInterval)
	defer poll.Stop()
	for end := time.Now().Add(leaveTimeout); time.Now().Before(end); <-poll.C {
		done := make(chan bool, 1)
		running := m.do(func() { done <- m.continueLeaving() })
		if !running || <-done {
			break
		}
	}
	m.do(func() {
		if m.detector != nil {
			_ = m.detector.Leave(leaveTimeout / 4) // an error means that not all know in time
		}
	})
	m.Close()
}

// continueLeaving notifies the others, gives up the lead once the member list is without this process, and reports
// whether all is done.
func (m *Mesh) continueLeaving() (done bool) {
	notified := m.notifyLeaving()
	if m.quorum.list.contains(m.cfg.Name) || m.quorum.list.previous != nil {
		return len(m.quorum.liveness.liveSince) == 1
	}
	out, done := m.quorum.giveUpLead(m.now(), m.view.Load().Digest)
	m.sendAll(out)
	return done && notified
}

// notifyLeaving lets the live processes that have not acknowledged it know that this one leaves, again in each tick. It
// reports whether all have.
func (m *Mesh) notifyLeaving() (all bool) {
	var unnotified []*process
	for _, p := range m.processes.byID {
		if p.isLive() && !m.departure.acknowledged[p.id] {
			unnotified = append(unnotified, p)
		}
	}
	if m.now() < m.departure.nextNotice {
		return len(unnotified) == 0
	}
	m.departure.nextNotice = m.now() + tickInterval
	for _, p := range unnotified[:min(len(unnotified), maxLeaveNotices)] {
		m.sendTo(p, m.newMessage(kindLeaving))
	}
	return len(unnotified) == 0
}

// handleLeaving takes another process's notice that it leaves, and acknowledges it.
func (m *Mesh) handleLeaving(msg message) {
	p := m.processes.find(msg.From, msg.Process)
	if p == nil {
		return // the failure detector does not know it yet; the notice comes again
	}
	m.noteLeaving(p)
	reply := m.newMessage(kindLeavingAck)
	reply.TargetProcess = msg.Process
	m.sendTo(p, reply)
}

// handleLeavingAck notes that another process knows of this one's leave.
func (m *Mesh) handleLeavingAck(msg message) {
	if p := m.processes.find(msg.From, msg.Process); p != nil && msg.TargetProcess == m.process {
		m.departure.acknowledged[p.id] = true
	}
}

// noteLeaving notes that a process leaves, or has left: that is never taken back, and its end is no failure, though
// it was taken for one before.
func (m *Mesh) noteLeaving(p *process) {
	if p.leaving {
		return
	}
	p.leaving = true
	p.metadata.Phase = phaseLeaving
	m.viewStale = true
	if p.state == Dead {
		m.setState(p, Left)
	}
}

// departedIDs are the processes that are known to leave or to have left, the newest, for a full state.
func (m *Mesh) departedIDs() []string {
	var departed []*process
	for _, p := range m.processes.byID {
		if p.leaving {
			departed = append(departed, p)
		}
	}
	slices.SortFunc(departed, func(a, b *process) int { return cmp.Compare(b.since, a.since) })
	var ids []string
	for _, p := range departed[:min(len(departed), maxDepartedIDs)] {
		ids = append(ids, p.id)
	}
	return ids
}

// noteDeparted takes another process's departedIDs: its word that a process has left outweighs this one's finding that
// it failed.
func (m *Mesh) noteDeparted(ids []string) {
	for _, id := range ids {
		if p := m.processes.byID[id]; p != nil {
			m.noteLeaving(p)
		}
	}
}
