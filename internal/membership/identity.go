// Identity: incarnations, conflicts and members that come and go.

package membership

import (
	"math/rand/v2"
	"time"
)

type penalty struct {
	points float64
	at     time.Duration
	until  time.Duration
}

// merge takes the roster and the incarnations that another process remembers.
func (m *Mesh) merge(l lore) {
	m.quorum.adoptMemberList(message{Epoch: l.Epoch, MemberList: l.Roster, Previous: l.Prev})
	for name, i := range l.Highest {
		if i > m.highest[name] && (len(m.highest) < maxMembers || m.highest[name] > 0 || name == m.cfg.Name) {
			m.highest[name] = i
		}
	}
}

// identity keeps this process's incarnation above those of all that have had its name, also after its clock went back,
// and finds another live process of the name. The older one steps out.
func (m *Mesh) identity() {
	now := m.now()
	above := m.highest[m.cfg.Name]
	var rival *process
	for _, p := range m.named[m.cfg.Name] {
		live := p.lives() && p.meta.Phase != phaseLeaving
		if live && m.wire != nil && p.addr == m.wire.addr() {
			live = false // we hold its address: it has ended, the others do not know yet
		}
		if !live {
			above = max(above, p.meta.Incarnation)
		} else if p.state == Alive && (rival == nil || p.elder(rival)) {
			rival = p
		}
	}
	m.mu.Lock()
	bumped := above >= m.mine.Incarnation
	if bumped {
		m.mine.Incarnation = above + 1
	}
	mine := m.mine.Incarnation
	m.mu.Unlock()
	if bumped {
		m.log.Info("mesh incarnation raised", "to", mine)
		m.respread = respreads
	}
	if m.respread > 0 && now >= m.nextSpread {
		m.respread, m.nextSpread = m.respread-1, now+respreadIn
		m.spread()
	}
	if rival == nil {
		m.dirty = m.dirty || m.conflictAt != 0
		m.conflictAt = 0
		return
	}
	if m.conflictAt == 0 {
		m.conflictAt, m.dirty = now, true
		m.log.Warn("another process has this one's name", "address", rival.addr, "incarnation", rival.meta.Incarnation, "mine", mine)
	}
	older := rival.meta.Incarnation > mine || rival.meta.Incarnation == mine && rival.member > m.member()
	if older && now-m.conflictAt >= conflictFor {
		m.log.Error("this process steps out of the mesh: a newer one has its name; clients are served as ever", "address", rival.addr)
		m.ml.Leave(tickInterval) // where the word is late the others find out
		m.shut()
		m.processes, m.named, m.suspected, m.evidence = map[string]*process{}, map[string][]*process{}, map[string]bool{}, newEvidence()
		m.conflictAt, m.outUntil, m.dirty = 0, now+stepOut/2+rand.N(stepOut), true
	}
}

// elder says that p is to be taken for the newer process.
func (p *process) elder(o *process) bool {
	return p.meta.Incarnation > o.meta.Incarnation || p.meta.Incarnation == o.meta.Incarnation && p.member > o.member
}

// now is the penalty's weight after its decay.
func (p *penalty) now(at time.Duration) float64 {
	half := float64(at-p.at) / float64(flapHalf)
	w := p.points
	for ; half >= 1; half-- {
		w /= 2
	}
	return w * (1 - half/2)
}

// flap adds to a member's penalty when it comes back from being gone.
func (m *Mesh) flap(name string) {
	now := m.now()
	p := m.penalties[name]
	if p == nil {
		p = &penalty{}
		m.penalties[name] = p
	}
	p.points, p.at = min(p.now(now)+1, 10), now
	if over := p.points - flapHold; over >= 0 {
		hold := flapBase
		for ; over >= 1 && hold < flapMost; over-- {
			hold *= 2
		}
		p.until = now + min(hold, flapMost)
	}
}
