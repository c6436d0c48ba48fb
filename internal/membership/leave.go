package membership

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts and limits of a leave.
const (
	leaveTimeout      = 800 * time.Millisecond // time for removal from the member list, step-down and acknowledgements
	leavePollInterval = tickInterval / 4
	maxLeaveNotices   = 256 // per tick: each is acknowledged, and the packet queue holds 256
	maxDepartedIDs    = 256 // in a full state; the most recent ones
)

// departure tracks which processes have acknowledged that this process is leaving. Gossip alone is not enough: a
// process that detects the end of this one before it has received the changed metadata cannot distinguish the leave
// from a failure.
type departure struct {
	acknowledged map[string]bool // by process ID
	nextNotice   time.Duration
}

func newDeparture() departure {
	return departure{acknowledged: map[string]bool{}}
}

// Leave announces that this process is leaving, and closes the mesh. Before it closes the mesh, it waits up to 0.8 s
// until this process is off the member list and has given up leadership, and all other live processes have acknowledged
// the leave.
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
			_ = m.detector.Leave(leaveTimeout / 4) // an error means that not all members were told in time
		}
	})
	m.Close()
}

// continueLeaving notifies the other processes, and gives up leadership once this process is off the member list. It
// reports whether nothing is left to do.
func (m *Mesh) continueLeaving() (done bool) {
	notified := m.notifyLeaving()
	if m.quorum.list.contains(m.cfg.Name) || m.quorum.list.previous != nil {
		return len(m.quorum.liveness.liveSince) == 1
	}
	out, done := m.quorum.continueStepDown(m.now(), m.view.Load().Digest)
	m.sendAll(out)
	return done && notified
}

// notifyLeaving sends a leave notice, once per tick, to the live processes that have not acknowledged one. It reports
// whether all of them have.
func (m *Mesh) notifyLeaving() (all bool) {
	var unacknowledged []*process
	for _, p := range m.processes.byID {
		if p.isLive() && !m.departure.acknowledged[p.id] {
			unacknowledged = append(unacknowledged, p)
		}
	}
	if m.now() < m.departure.nextNotice {
		return len(unacknowledged) == 0
	}
	m.departure.nextNotice = m.now() + tickInterval
	for _, p := range unacknowledged[:min(len(unacknowledged), maxLeaveNotices)] {
		m.sendTo(p, m.newMessage(kindLeaving))
	}
	return len(unacknowledged) == 0
}

// handleLeaving records that the sender is leaving, and acknowledges its notice.
func (m *Mesh) handleLeaving(msg message) {
	p := m.processes.find(msg.From, msg.Process)
	if p == nil {
		return // the failure detector has not reported the sender yet; the notice is repeated
	}
	m.recordLeaving(p)
	reply := m.newMessage(kindLeavingAck)
	reply.TargetProcess = msg.Process
	m.sendTo(p, reply)
}

// handleLeavingAck records that the sender knows that this process is leaving.
func (m *Mesh) handleLeavingAck(msg message) {
	if p := m.processes.find(msg.From, msg.Process); p != nil && msg.TargetProcess == m.process {
		m.departure.acknowledged[p.id] = true
	}
}

// recordLeaving records that a process is leaving or has left, which is never undone. A process that was confirmed dead
// is changed to Left.
func (m *Mesh) recordLeaving(p *process) {
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

// departedIDs returns the IDs of processes that are leaving or have left, for a full state. Beyond maxDepartedIDs only
// the most recent ones are included.
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

// mergeDeparted records that the processes in another process's departedIDs are leaving or have left. This takes
// precedence over this process's own conclusion that a process has failed.
func (m *Mesh) mergeDeparted(ids []string) {
	for _, id := range ids {
		if p := m.processes.byID[id]; p != nil {
			m.recordLeaving(p)
		}
	}
}
