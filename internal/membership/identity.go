package membership

import (
	"math/rand/v2"
	"time"
)

// Times of a process's identity.
const (
	conflictTimeout          = 5 * time.Second // two processes of one name live so long before the older steps out
	stepOutDuration          = 30 * time.Second
	incarnationBroadcasts    = 3
	incarnationBroadcastWait = 700 * time.Millisecond
)

// incarnations remembers the highest incarnation of each name whose processes have ended, by this process's memory and
// that of others.
type incarnations struct {
	highest map[string]uint64

	// A raised incarnation of this process is broadcast again a few times: where its death was refuted meanwhile, the
	// first broadcast may not arrive.
	broadcasts    int
	nextBroadcast time.Duration
}

func newIncarnations() incarnations {
	return incarnations{highest: map[string]uint64{}}
}

// record raises the highest incarnation of a name; reserved names are kept beyond the bound.
func (i *incarnations) record(name string, incarnation uint64, reserved bool) {
	if incarnation <= i.highest[name] {
		return
	}
	if len(i.highest) < maxMembers || reserved {
		i.highest[name] = incarnation
	}
}

// merge takes what another process remembers.
func (i *incarnations) merge(highest map[string]uint64, self string) {
	for name, incarnation := range highest {
		i.record(name, incarnation, i.highest[name] > 0 || name == self)
	}
}

// nameConflict is what this process does about another live one of its name.
type nameConflict struct {
	since        time.Duration // 0: there is none
	outsideUntil time.Duration // this process has stepped out until then; 0: it has not
}

// checkIdentity keeps this process's incarnation above those of all that have had its name, also after its clock went
// back, and finds another live process of the name. The older one steps out.
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
	older := newer(rival.metadata.Incarnation, rival.id, own, m.id())
	if older && now-m.conflict.since >= conflictTimeout {
		m.stepOut(now, rival)
	}
}

// namesakes looks at the other processes of this one's name: the newest live one, and the highest incarnation of those
// that have ended.
func (m *Mesh) namesakes() (rival *process, highest uint64) {
	highest = m.incarnations.highest[m.cfg.Name]
	for _, p := range m.processes.byName[m.cfg.Name] {
		live := p.isLive() && p.metadata.Phase != phaseLeaving
		if live && m.network != nil && p.address == m.network.addr() {
			live = false // this process has its address: it has ended, the others do not know yet
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

// stepOut leaves the fleet to a newer process of the name, and returns after a while.
func (m *Mesh) stepOut(now time.Duration, rival *process) {
	m.log.Error("membership: stepping out of the fleet, a newer process has this one's name; clients are still served",
		"address", rival.address)
	_ = m.detector.Leave(tickInterval) // where the broadcast is late the others find out
	m.shut()
	m.processes = newProcessTable()
	m.suspected = map[string]bool{}
	m.reachability = newReachability()
	m.conflict.since = 0
	m.conflict.outsideUntil = now + stepOutDuration/2 + rand.N(stepOutDuration)
	m.viewStale = true
}
