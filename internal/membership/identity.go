package membership

import (
	"math/rand/v2"
	"time"
)

// Parameters of name conflicts and of the broadcast of a raised incarnation.
const (
	conflictTimeout          = 5 * time.Second  // after it, the older of two live processes of one name steps out
	stepOutDuration          = 30 * time.Second // mean time outside the fleet; the actual one is 0.5 to 1.5 times this
	incarnationBroadcasts    = 3
	incarnationBroadcastWait = 700 * time.Millisecond
)

// incarnations holds, for each name, the highest incarnation of the processes that have ended, from the records of this
// process and from those that other processes have sent.
type incarnations struct {
	highest map[string]uint64 // by member name

	// A raised incarnation of this process is broadcast several times, because the first broadcast may not arrive if
	// this process has meanwhile refuted a report of its death.
	broadcasts    int // still to be sent
	nextBroadcast time.Duration
}

func newIncarnations() incarnations {
	return incarnations{highest: map[string]uint64{}}
}

// record raises the highest incarnation of a name. Once maxMembers names are recorded, only reserved names are still
// recorded.
func (i *incarnations) record(name string, incarnation uint64, reserved bool) {
	if incarnation <= i.highest[name] {
		return
	}
	if len(i.highest) < maxMembers || reserved {
		i.highest[name] = incarnation
	}
}

// merge records the incarnations that another process has sent. The names that this process has already recorded, and
// its own name, are reserved.
func (i *incarnations) merge(highest map[string]uint64, self string) {
	for name, incarnation := range highest {
		i.record(name, incarnation, i.highest[name] > 0 || name == self)
	}
}

// nameConflict is the state of a conflict with another live process that has this one's name.
type nameConflict struct {
	since        time.Duration // when the conflict was found; 0 without a conflict
	outsideUntil time.Duration // until when this process has stepped out of the fleet; 0 if it has not
}

// checkIdentity keeps this process's incarnation above those of all ended processes of its name, even if the clock was
// set back since they started. It also looks for another live process of the same name: after conflictTimeout, the
// older of the two steps out of the fleet.
func (m *Mesh) checkIdentity() {
	now := m.now()
	rival, highest := m.namesakes()
	own, raised := m.local.raiseIncarnation(highest)
	if raised {
		m.log.Info("membership: incarnation raised", "to", own)
		m.incarnations.broadcasts = incarnationBroadcasts
	}
	if m.incarnations.broadcasts > 0 && now >= m.incarnations.nextBroadcast {
		m.incarnations.broadcasts--
		m.incarnations.nextBroadcast = now + incarnationBroadcastWait
		m.broadcastMetadata()
	}
	if rival == nil {
		m.viewStale = m.viewStale || m.conflict.since != 0
		m.conflict.since = 0
		return
	}
	if m.conflict.since == 0 {
		m.conflict.since = now
		m.viewStale = true
		m.log.Warn("membership: name conflict, another process has this one's name",
			"address", rival.address, "incarnation", rival.metadata.Incarnation, "own", own)
	}
	rivalIsNewer := newer(rival.metadata.Incarnation, rival.id, own, m.id())
	if rivalIsNewer && now-m.conflict.since >= conflictTimeout {
		m.stepOut(now, rival)
	}
}

// namesakes examines the other processes that have this one's name. It returns the newest one in state Alive, or nil if
// there is none, and the highest incarnation of those that are leaving or have ended.
func (m *Mesh) namesakes() (rival *process, highest uint64) {
	highest = m.incarnations.highest[m.cfg.Name]
	for _, p := range m.processes.byName[m.cfg.Name] {
		live := p.isLive() && p.metadata.Phase != phaseLeaving
		if live && m.network != nil && p.address == m.network.addr() {
			live = false // it has ended, since this process has its address now; the detector has not reported that yet
		}
		if !live {
			highest = max(highest, p.metadata.Incarnation)
			continue
		}
		if p.state == Alive && (rival == nil || p.newerThan(rival)) {
			rival = p
		}
	}
	return rival, highest
}

// stepOut takes this process out of the fleet because a newer process has its name, and schedules the return.
func (m *Mesh) stepOut(now time.Duration, rival *process) {
	m.log.Error("membership: stepping out of the fleet, a newer process has this one's name; clients are still served",
		"address", rival.address)
	_ = m.detector.Leave(tickInterval) // if the broadcast is late, other processes detect the end by probes
	m.stopDetector()
	m.processes = newProcessTable()
	m.suspected = map[string]bool{}
	m.reachability = newReachability()
	m.conflict.since = 0
	m.conflict.outsideUntil = now + stepOutDuration/2 + rand.N(stepOutDuration)
	m.viewStale = true
}
