package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// members makes a member of all processes of each name.
func (m *Mesh) members() map[string]Member {
	now := m.now()
	best, claims := map[string]*process{}, map[string]int{}
	for _, p := range m.processes {
		live := p.lives()
		if live && p.meta.Phase != phaseLeaving {
			claims[p.name]++
		}
		b := best[p.name]
		if b == nil {
			best[p.name] = p
			continue
		}
		blive := b.lives()
		if live != blive {
			if live {
				best[p.name] = p
			}
		} else if live && p.elder(b) || !live && p.since > b.since {
			best[p.name] = p
		}
	}
	all := map[string]Member{}
	for name, p := range best {
		if name == m.cfg.Name {
			continue
		}
		one := Member{Name: name, State: p.state, Zone: p.meta.Zone, Region: p.meta.Region, Tier: p.meta.Tier, Incarnation: p.meta.Incarnation,
			Version: p.meta.Version, Config: p.meta.Digest, Address: p.addr}
		switch {
		case one.State == Dead || one.State == Left:
		case p.meta.Phase == phaseLeaving:
			one.State = Left
		case claims[name] > 1 && one.State == Alive:
			one.State = Conflict
		case p.meta.Phase == phaseJoining && one.State == Alive:
			one.State = Joining
		}
		if f := m.penalties[name]; f != nil {
			one.Suppressed = now < f.until
		}
		all[name] = one
	}
	m.mu.Lock()
	mine := m.mine
	m.mu.Unlock()
	self := Member{Name: m.cfg.Name, State: Alive, Zone: mine.Zone, Region: mine.Region, Tier: mine.Tier, Incarnation: mine.Incarnation,
		Version: mine.Version, Config: mine.Digest, Address: m.cfg.Listen}
	switch {
	case m.conflictAt != 0 || m.outUntil != 0:
		self.State = Conflict
	case mine.Phase == phaseLeaving:
		self.State = Left
	case mine.Phase == phaseJoining || m.ml == nil:
		self.State = Joining
	}
	all[m.cfg.Name] = self
	return all
}

// viewEvery is how often the figures are made anew where nothing has changed, and the view while somebody is held down.
const viewEvery = time.Second

// publish brings the council and the view up to date, and logs what has changed.
func (m *Mesh) publish() {
	now := m.now()
	before := m.view.Load()
	v := &View{}
	if before != nil {
		*v = *before
	}
	figures := m.dirty || now >= m.nextView
	rebuilt := m.dirty || figures && len(m.penalties) > 0
	if figures {
		m.nextView = now + viewEvery
	}
	if rebuilt {
		m.dirty = false
		m.rebuild(now)
		v.Members = slices.SortedFunc(maps.Values(m.shown), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		m.quorum.updateLiveness(now, m.live, m.left)
	}
	if rebuilt || v.Epoch != m.quorum.list.epoch {
		v.Epoch, v.MemberListSize = m.quorum.list.epoch, len(m.quorum.list.names)
		v.Digest = m.digest(v.Members)
	}
	v.Side, v.LeaderProcess = m.quorum.side(now)
	v.until, v.MemberListSettled = m.quorum.claim.until, m.quorum.list.previous == nil
	if self := m.shown[m.cfg.Name]; m.outUntil != 0 || self.State == Left {
		v.Side, v.LeaderProcess = Isolated, 0 // not of the fleet, for now or any more
	}
	if v.MemberList = m.quorum.list.names; before == nil || v.LeaderProcess != before.LeaderProcess || v.Side != before.Side || v.Leader == "" {
		v.Leader = m.leaderName(v)
	}
	m.view.Store(v)
	if before == nil || before.Side != v.Side || before.Epoch != v.Epoch {
		m.log.Info("view", "side", v.Side.String(), "epoch", fmt.Sprintf("%d/%s", v.Epoch.Number, v.Epoch.Leader),
			"live", len(m.live), "roster", v.MemberListSize, "under", fmt.Sprintf("%016x", v.LeaderProcess), "digest", fmt.Sprintf("%016x", v.Digest))
	}
	if m.cfg.OnViewChange != nil && (rebuilt || before.Side != v.Side || before.Epoch != v.Epoch) {
		m.cfg.OnViewChange(*v)
	}
	if figures {
		m.figures(v)
	}
}

// leaderName is the name of the process that has proved a majority to this one.
func (m *Mesh) leaderName(v *View) string {
	if v.Side < Majority {
		return ""
	}
	if v.LeaderProcess == m.process {
		return m.cfg.Name
	}
	for _, p := range m.processes {
		if p.number() == v.LeaderProcess {
			return p.name
		}
	}
	return ""
}

// rebuild makes the members anew, and what the council is to see.
func (m *Mesh) rebuild(now time.Duration) {
	all := m.members()
	m.live, m.left = map[string]bool{m.cfg.Name: true}, map[string]bool{}
	for name, one := range all {
		before, known := m.shown[name]
		one.since = before.since
		if !known || before.State != one.State || before.Incarnation != one.Incarnation {
			if known && before.State == Dead && one.IsLive() {
				m.flap(name)
			}
			one.since = now
			m.line(before, one, known)
		}
		all[name] = one
		if one.State == Left {
			m.left[name] = true
		}
		// A process that leaves votes on until it has ended.
		if m.ml != nil && (one.IsLive() || one.State == Left && m.votes(name)) {
			m.live[name] = true
		}
	}
	m.shown = all
}

// votes says that some process of a name is still there.
func (m *Mesh) votes(name string) bool {
	return slices.ContainsFunc(m.named[name], (*process).lives)
}

// digest is over the epoch and the living members with their incarnations.
func (m *Mesh) digest(sorted []Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%d/%s", m.quorum.list.epoch.Number, m.quorum.list.epoch.Leader)
	for _, one := range sorted {
		if one.IsLive() {
			fmt.Fprintf(&d, "|%s %d", one.Name, one.Incarnation)
		}
	}
	return d.Sum64()
}

// line logs a member's change, so many a second at most.
func (m *Mesh) line(before, one Member, known bool) {
	if !m.lines.Allow() {
		m.silenced++
		return
	}
	was := "unknown"
	if known {
		was = before.State.String()
	}
	args := []any{"name", one.Name, "was", was, "is", one.State.String(), "incarnation", one.Incarnation, "zone", one.Zone, "tier", one.Tier}
	if m.silenced > 0 {
		args = append(args, "silenced", m.silenced)
		m.silenced = 0
	}
	m.log.Info("member", args...)
}

// figures publishes the counters and disagreements.
func (m *Mesh) figures(v *View) {
	c := &Counters{States: map[string]int{}, PacketsOut: m.retired.packets, BytesOut: m.retired.bytes}
	for _, one := range v.Members {
		c.States[one.State.String()]++
	}
	if m.wire != nil {
		packets, bytes := m.wire.sent()
		c.PacketsOut += packets
		c.BytesOut += bytes
		c.Health = m.ml.GetHealthScore()
	}
	d := &m.drops
	c.Dropped = map[string]int64{"malformed": d.Malformed.Load(), "version": d.Version.Load(), "foreign": d.Foreign.Load(),
		"oversized": d.Oversized.Load(), "replayed": d.Replayed.Load(), "flood": d.Flood.Load(), "full": d.Full.Load(), "streams": d.Streams.Load()}
	m.counters.Store(c)
	now := m.now()
	mine := m.quorum.liveness.missing
	list := []Disagreement{}
	for name, since := range m.differs {
		if !m.quorum.liveness.isLive(name) {
			delete(m.differs, name)
			continue
		}
		theirs := m.quorum.liveness.reportedMissing[name]
		var about []string
		for _, x := range mine {
			if !slices.Contains(theirs, x) {
				about = append(about, x)
			}
		}
		for _, x := range theirs {
			if !slices.Contains(mine, x) {
				about = append(about, x)
			}
		}
		list = append(list, Disagreement{Member: name, Disputed: about, Duration: now - since})
	}
	slices.SortFunc(list, func(a, b Disagreement) int { return cmp.Compare(a.Member, b.Member) })
	m.disagree.Store(&list)
}

// lives is Lives, and false for a member that is not known.
func (one Member) lives() bool { return one.Name != "" && one.IsLive() }
