package mesh

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
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
		case one.State == Gone || one.State == Left:
		case p.meta.Phase == phaseLeaving:
			one.State = Left
		case claims[name] > 1 && one.State == Alive:
			one.State = Conflict
		case p.meta.Phase == phaseJoining && one.State == Alive:
			one.State = Joining
		}
		if f := m.penalties[name]; f != nil {
			one.Held = now < f.until
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
		m.council.see(now, m.live, m.left)
	}
	if rebuilt || v.Epoch != m.council.epoch {
		v.Epoch, v.Roster = m.council.epoch, len(m.council.roster)
		v.Digest = m.digest(v.Members)
	}
	v.Side, v.Under = m.council.side(now)
	v.until, v.Settled = m.council.grantUntil, m.council.prev == nil
	if self := m.shown[m.cfg.Name]; m.outUntil != 0 || self.State == Left {
		v.Side, v.Under = Alone, 0 // not of the fleet, for now or any more
	}
	if v.Names = m.council.roster; before == nil || v.Under != before.Under || v.Side != before.Side || v.Leader == "" {
		v.Leader = m.leaderName(v)
	}
	m.view.Store(v)
	if before == nil || before.Side != v.Side || before.Epoch != v.Epoch {
		m.log.Info("view", "side", v.Side.String(), "epoch", fmt.Sprintf("%d/%s", v.Epoch.Number, v.Epoch.Leader),
			"live", len(m.live), "roster", v.Roster, "under", fmt.Sprintf("%016x", v.Under), "digest", fmt.Sprintf("%016x", v.Digest))
	}
	if m.cfg.Changed != nil && (rebuilt || before.Side != v.Side || before.Epoch != v.Epoch) {
		m.cfg.Changed(*v)
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
	if v.Under == m.process {
		return m.cfg.Name
	}
	for _, p := range m.processes {
		if p.number() == v.Under {
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
			if known && before.State == Gone && one.Lives() {
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
		if m.ml != nil && (one.Lives() || one.State == Left && m.votes(name)) {
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
	fmt.Fprintf(&d, "%d/%s", m.council.epoch.Number, m.council.epoch.Leader)
	for _, one := range sorted {
		if one.Lives() {
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
	mine := m.council.missed
	list := []Disagreement{}
	for name, since := range m.differs {
		if !m.council.lives(name) {
			delete(m.differs, name)
			continue
		}
		theirs := m.council.missing[name]
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
		list = append(list, Disagreement{With: name, About: about, For: now - since})
	}
	slices.SortFunc(list, func(a, b Disagreement) int { return cmp.Compare(a.With, b.With) })
	m.disagree.Store(&list)
}

// hear takes a council's message.
func (m *Mesh) hear(msg message) {
	if m.attend(msg) {
		return
	}
	own := m.view.Load().Digest
	if msg.Digest == own {
		delete(m.differs, msg.From)
	} else if _, known := m.differs[msg.From]; !known && m.council.lives(msg.From) {
		m.differs[msg.From] = m.now()
	}
	if m.ml == nil {
		return
	}
	if msg.For == m.process && (msg.Kind == ballot || msg.Kind == poll && m.now()-msg.Vote < fresh) { // it has heard us
		for _, p := range m.named[msg.From] {
			if p.number() == msg.Process {
				m.answered(p)
			}
		}
	}
	if answer, ok := m.council.hear(m.now(), msg, own); ok {
		m.send(msg.From, answer)
	}
}

// sendTo sends a short message to one process, once.
func (m *Mesh) sendTo(p *process, msg message) {
	if p == nil || m.ml == nil {
		return
	}
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // plain values
	}
	m.ml.SendBestEffort(&p.node, text) // a lost one is as good as a lost answer
}

// send brings a message to the live process of a name; one that fits into no packet goes by a stream.
func (m *Mesh) send(to string, msg message) {
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // plain values
	}
	for _, p := range m.named[to] {
		if !p.lives() {
			continue
		}
		n := p.node
		if len(text) < mostPacket-frameHead-100 {
			m.ml.SendBestEffort(&n, text) // lost ones are sent again by the next poll
			continue
		}
		ml := m.ml
		select {
		case <-m.joining: // one stream at a time
			go func() {
				ml.SendReliable(&n, text)
				m.joining <- struct{}{}
			}()
		default:
		}
	}
}

// join looks for members that are lost: seeds, those gone that were members before, and for a while those that have left. It goes on as long as there are
// any, so that a split heals by itself, whichever side the seeds are on.
func (m *Mesh) join() {
	now := m.now()
	if now < m.nextJoin {
		return
	}
	var lost []string
	for _, s := range m.cfg.Seeds {
		name, addr, _ := strings.Cut(s, "=")
		if name != m.cfg.Name && !m.shown[name].lives() {
			lost = append(lost, name+"/"+addr)
		}
	}
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	lost = lost[:min(2, len(lost))]
	others := 1
	for name, one := range m.shown {
		if one.lives() {
			others++
		}
		back := one.State == Gone || one.State == Left && now-one.since < lookFor // it may start again where the seeds are out of reach
		if back && name != m.cfg.Name && len(lost) < 4 {
			lost = append(lost, name+"/"+one.Address)
		}
	}
	if len(lost) == 0 {
		m.joinWait, m.nextJoin = joinMin, now+joinMost/2+rand.N(joinMost)
		return
	}
	select {
	case <-m.joining:
	default:
		return
	}
	m.joinWait = min(2*m.joinWait, joinMost)
	m.nextJoin = now + m.joinWait/2 + rand.N(m.joinWait)
	if others > 16 && rand.N(others) > 16 { // some of a large fleet are enough
		m.joining <- struct{}{}
		return
	}
	ml := m.ml
	go func() { // ends within the streams' times
		ml.Join(lost) // an error means that they are still lost
		m.joining <- struct{}{}
	}()
}

// lives is Lives, and false for a member that is not known.
func (one Member) lives() bool { return one.Name != "" && one.Lives() }

// delegate is what memberlist calls; nothing in it may block.
type delegate Mesh

// NodeMeta is what this process tells of itself.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.mine)
	if err != nil || len(text) > limit {
		return nil // names are bounded so that it fits
	}
	return text
}

// NotifyMsg takes a council's message.
func (d *delegate) NotifyMsg(text []byte) {
	var msg message
	if err := json.Unmarshal(text, &msg); err != nil || msg.From == "" {
		d.drops.Malformed.Add(1)
		return
	}
	select {
	case d.mail <- msg:
	default:
		d.drops.Full.Add(1)
	}
}

// GetBroadcasts has nothing to add to the gossip.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// lore is what processes tell each other in full, at a join and now and then: the roster, and incarnations that nobody
// alive has.
type lore struct {
	Epoch   Epoch             `json:"e"`
	Roster  []string          `json:"r"`
	Prev    []string          `json:"b,omitempty"`
	Highest map[string]uint64 `json:"h"`
}

// LocalState is this process's lore.
func (d *delegate) LocalState(bool) []byte {
	m := (*Mesh)(d)
	answer := make(chan []byte, 1)
	select {
	case m.asks <- func() {
		c := m.council
		all := lore{c.epoch, c.roster, c.prev, maps.Clone(m.highest)}
		for _, p := range m.processes {
			if !p.lives() && p.meta.Incarnation > all.Highest[p.name] {
				all.Highest[p.name] = p.meta.Incarnation
			}
		}
		text, _ := json.Marshal(all) // plain values
		answer <- text
	}:
		return <-answer
	case <-time.After(tickEvery):
		return nil // the mesh is busy with the library itself
	}
}

// MergeRemoteState takes another's LocalState.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var l lore
	if len(text) == 0 || json.Unmarshal(text, &l) != nil {
		return
	}
	select {
	case d.lores <- l:
	default:
	}
}

func (d *delegate) notify(n *memberlist.Node, live bool) {
	select {
	case d.events <- processEvent{*n, live}:
	default:
		d.missed.Store(true)
	}
}

// NotifyJoin, NotifyLeave and NotifyUpdate pass changes on to the mesh's goroutine.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.notify(n, true) }

// NotifyLeave tells of a process that is gone or has left.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.notify(n, false) }

// NotifyUpdate tells of new meta data.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.notify(n, true) }

// AckPayload has nothing to add to an answer.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete says that a process has answered this one's probe.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	(*Mesh)(d).suspect(n.Name, false)
}
