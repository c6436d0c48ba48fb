package membership

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// refreshInterval is the interval at which the counters are updated if nothing has changed, and the view is rebuilt
	// while any member has a flap penalty.
	refreshInterval = time.Second
	memberLogRate   = 20 // lines per second
)

// publish updates the quorum's liveness and the view, logs a change of the side or the epoch, and calls OnViewChange.
func (m *Mesh) publish() {
	now := m.now()
	before := m.view.Load()
	refresh := m.viewStale || now >= m.nextRefresh
	rebuild := m.viewStale || refresh && !m.flaps.isEmpty()
	if refresh {
		m.nextRefresh = now + refreshInterval
	}
	view := &View{}
	if before != nil {
		*view = *before
	}
	if rebuild {
		m.viewStale = false
		view.Members = m.rebuildMembers(now)
	}
	status := m.quorum.status(now)
	if rebuild || view.Epoch != status.epoch {
		view.Epoch = status.epoch
		view.MemberListSize = len(status.memberList)
		view.Digest = viewDigest(view.Epoch, view.Members)
	}
	m.updateSide(view, before, status)
	m.view.Store(view)
	changed := before == nil || before.Side != view.Side || before.Epoch != view.Epoch
	if changed {
		m.logView(view)
	}
	if m.cfg.OnViewChange != nil && (rebuild || changed) {
		m.cfg.OnViewChange(*view)
	}
	if refresh {
		m.publishCounters(view)
		m.publishDisagreements(now)
	}
}

// updateSide copies the side, the leader and the member list from the quorum to the view. The side of a process that
// has stepped out of the fleet or is leaving it is always Isolated.
func (m *Mesh) updateSide(view, before *View, status quorumStatus) {
	view.Side = status.side
	view.LeaderProcess = status.leaderProcess
	view.claimUntil = status.claimUntil
	view.MemberListSettled = status.settled
	view.MemberList = status.memberList
	if m.conflict.outsideUntil != 0 || m.members[m.cfg.Name].State == Left {
		view.Side = Isolated
		view.LeaderProcess = 0
	}
	changed := before == nil || view.LeaderProcess != before.LeaderProcess || view.Side != before.Side
	if changed || view.Leader == "" {
		view.Leader = m.leaderName(view)
	}
}

// leaderName returns the member name of the view's leading process, or "" without a proven majority.
func (m *Mesh) leaderName(view *View) string {
	switch {
	case view.Side < Majority:
		return ""
	case view.LeaderProcess == m.process:
		return m.cfg.Name
	}
	return m.processes.nameOfNumber(view.LeaderProcess)
}

// logView logs the view's side, epoch and leader.
func (m *Mesh) logView(view *View) {
	m.log.Info("view",
		"side", view.Side.String(),
		"epoch", fmt.Sprintf("%d/%s", view.Epoch.Number, view.Epoch.Leader),
		"live", len(m.quorum.liveness.liveSince),
		"member_list", view.MemberListSize,
		"leader_process", fmt.Sprintf("%016x", view.LeaderProcess),
		"digest", fmt.Sprintf("%016x", view.Digest))
}

// rebuildMembers computes all members from their processes, passes the live ones to the quorum, and returns the members
// sorted by name.
func (m *Mesh) rebuildMembers(now time.Duration) []Member {
	members := m.currentMembers(now)
	live, left := map[string]bool{m.cfg.Name: true}, map[string]bool{}
	for name, member := range members {
		members[name] = m.recordChange(member, now)
		if member.State == Left {
			left[name] = true
		}
		// A process that is leaving continues to vote until it has ended.
		votes := member.IsLive() || member.State == Left && m.processes.anyLive(name)
		if m.detector != nil && votes {
			live[name] = true
		}
	}
	m.members = members
	m.quorum.updateLiveness(now, live, left)
	byName := func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(members), byName)
}

// recordChange returns the member with the start of its state set. If the state or the incarnation has changed, it logs
// the change. If a dead member is live again, it also records the return for flap damping.
func (m *Mesh) recordChange(member Member, now time.Duration) Member {
	before, known := m.members[member.Name]
	member.since = before.since
	if known && before.State == member.State && before.Incarnation == member.Incarnation {
		return member
	}
	if known && before.State == Dead && member.IsLive() {
		m.flaps.recordReturn(member.Name, now)
	}
	member.since = now
	m.memberLog.write(before, member, known)
	return member
}

// currentMembers returns the members by name, each represented by the preferred one of its processes.
func (m *Mesh) currentMembers(now time.Duration) map[string]Member {
	chosen, claims := map[string]*process{}, map[string]int{}
	for _, p := range m.processes.byID {
		if p.isLive() && p.metadata.Phase != phaseLeaving {
			claims[p.name]++
		}
		if other := chosen[p.name]; other == nil || p.preferredTo(other) {
			chosen[p.name] = p
		}
	}
	members := map[string]Member{}
	for name, p := range chosen {
		if name != m.cfg.Name {
			members[name] = m.memberOf(p, claims[name], now)
		}
	}
	members[m.cfg.Name] = m.selfMember()
	return members
}

// memberOf returns the member that a process represents. claims is the number of live processes that use the member's
// name and are not leaving.
func (m *Mesh) memberOf(p *process, claims int, now time.Duration) Member {
	member := newMember(p.name, p.metadata, p.address)
	member.State = p.state
	member.Suppressed = m.flaps.isSuppressed(p.name, now)
	switch {
	case !p.isLive():
	case p.metadata.Phase == phaseLeaving:
		member.State = Left
	case claims > 1 && p.state == Alive:
		member.State = Conflict
	case p.metadata.Phase == phaseJoining && p.state == Alive:
		member.State = Joining
	}
	return member
}

// selfMember returns this process's own member.
func (m *Mesh) selfMember() Member {
	own := m.local.load()
	member := newMember(m.cfg.Name, own, m.cfg.Listen)
	switch {
	case m.conflict.since != 0 || m.conflict.outsideUntil != 0:
		member.State = Conflict
	case own.Phase == phaseLeaving:
		member.State = Left
	case own.Phase == phaseJoining || m.detector == nil:
		member.State = Joining
	default:
		member.State = Alive
	}
	return member
}

func newMember(name string, published metadata, address string) Member {
	return Member{
		Name:        name,
		Zone:        published.Zone,
		Region:      published.Region,
		Tier:        published.Tier,
		Incarnation: published.Incarnation,
		Version:     published.Version,
		Config:      published.Digest,
		Address:     address,
	}
}

// viewDigest returns a hash of the epoch and of the live members with their incarnations. Processes compare their
// digests, so all processes of a fleet must compute them in the same way.
func viewDigest(epoch Epoch, sorted []Member) uint64 {
	text := fmt.Appendf(nil, "%d/%s", epoch.Number, epoch.Leader)
	for _, member := range sorted {
		if member.IsLive() {
			text = fmt.Appendf(text, "|%s %d", member.Name, member.Incarnation)
		}
	}
	return xxhash.Sum64(text)
}

// memberLog logs changes of members, at most memberLogRate lines per second after a burst of twice as many.
type memberLog struct {
	log        *slog.Logger
	limiter    *rate.Limiter
	suppressed int // lines dropped since the last one that was written
}

func newMemberLog(log *slog.Logger) memberLog {
	return memberLog{log: log, limiter: rate.NewLimiter(memberLogRate, 2*memberLogRate)}
}

// write logs the change of a member, or counts it as suppressed above the rate.
func (l *memberLog) write(before, member Member, known bool) {
	if !l.limiter.Allow() {
		l.suppressed++
		return
	}
	was := "unknown"
	if known {
		was = before.State.String()
	}
	args := []any{
		"name", member.Name,
		"was", was,
		"is", member.State.String(),
		"incarnation", member.Incarnation,
		"zone", member.Zone,
		"tier", member.Tier,
	}
	if l.suppressed > 0 {
		args = append(args, "suppressed", l.suppressed)
		l.suppressed = 0
	}
	l.log.Info("member", args...)
}

// publishCounters updates the counters that Counters returns.
func (m *Mesh) publishCounters(view *View) {
	counters := &Counters{
		States:     map[string]int{},
		PacketsOut: m.closedTraffic.packets,
		BytesOut:   m.closedTraffic.bytes,
		Dropped:    m.drops.byReason(),
	}
	for _, member := range view.Members {
		counters.States[member.State.String()]++
	}
	if m.network != nil {
		packets, bytes := m.network.sent()
		counters.PacketsOut += packets
		counters.BytesOut += bytes
		counters.Health = m.detector.GetHealthScore()
	}
	m.counters.Store(counters)
}
