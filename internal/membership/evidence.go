package membership

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Times of a process's own evidence. They come on top of the library's suspicion, which is short for it.
const (
	askMost     = 16                      // members under inquiry at a time, but for accused ones; those of whom least is known first
	helpers     = 3                       // others that are asked about one
	smallFleet  = 64                      // in a larger one all that ask would drown the accused: there the detector's word stands
	inquiry     = 900 * time.Millisecond  // an accused member answers within, or the accusation stands,
	inquiryAsks = 6                       // and was asked so often meanwhile
	verdict     = 1600 * time.Millisecond // one that answers nobody for so long is gone without an accusation,
	verdictAsks = 10                      // and was asked so often
	fresh       = time.Second             // an answer counts for so long
	quietAt     = 500 * time.Millisecond  // without any answer: a probe is answered in each 400 ms
	muteAt      = 600 * time.Millisecond
	cutOffAt    = 1200 * time.Millisecond
	vouchFor    = 10 * time.Second // then the word of others saves nobody any more
	cutOffFor   = 20 * time.Second // then all who are silent are gone, whoever is cut off
)

// question is an inquiry about a member without an answer yet.
type question struct {
	since time.Duration
	times int // it was asked
}

// evidence is what this process knows of the others by itself: who has answered it, and who is vouched for by one that
// has an answer. Peers advise, own evidence decides: a member that the failure detector calls dead is kept as a suspect
// while it answers, and one that answers nobody is gone without its word.
//
// A frame alone proves little: a process that is deaf still sends, and accuses everybody. Only a round trip counts. A
// process that gets none from anybody, though there are others, takes itself for the one that is cut off: it takes
// nobody for gone, says nothing against anybody and leads nobody, until an answer comes or 20 s are over.
type evidence struct {
	answered map[string]time.Duration // by member: its last answer to this process
	vouched  map[string]time.Duration // the last word of another that has one
	asked    map[string]*question     // those under inquiry
	accused  map[string]time.Duration // called dead by the detector, and not gone yet
	buried   map[string]bool          // gone by this process's verdict alone: the detector will not tell of a return
	last     time.Duration            // of all answers
}

func newEvidence() *evidence {
	return &evidence{answered: map[string]time.Duration{}, vouched: map[string]time.Duration{}, asked: map[string]*question{},
		accused: map[string]time.Duration{}, buried: map[string]bool{}}
}

// answer notes a round trip with a member.
func (e *evidence) answer(member string, now time.Duration) {
	e.answered[member], e.last = now, now
	delete(e.asked, member)
}

// answered takes a round trip with a process; one that was buried without the detector's word is back.
func (m *Mesh) answered(p *process) {
	now := m.now()
	if m.evidence.buried[p.member] && p.state == Dead {
		p.state, p.since, m.dirty = Alive, now, true
	}
	delete(m.evidence.buried, p.member)
	m.evidence.answer(p.member, now)
}

// known is when this process last knew, by itself or by one that vouches, that a member answers; -1: never.
func (e *evidence) known(member string) time.Duration {
	at := time.Duration(-1)
	if a, ok := e.answered[member]; ok {
		at = a
	}
	if v, ok := e.vouched[member]; ok {
		at = max(at, v)
	}
	return at
}

// forget drops what is known of a member.
func (e *evidence) forget(member string) {
	for _, x := range []map[string]time.Duration{e.answered, e.vouched, e.accused} {
		delete(x, member)
	}
	delete(e.asked, member)
	delete(e.buried, member)
}

// inquire puts a member under inquiry.
func (e *evidence) inquire(member string, now time.Duration) {
	if _, ok := e.asked[member]; !ok {
		e.asked[member] = &question{since: now}
	}
}

// cutOff says that this process gets no answer from anybody. While it is, it asks all.
func (m *Mesh) cutOff() bool {
	e, now := m.evidence, m.now()
	return m.others() > 0 && now-e.last > cutOffAt && now-e.last < cutOffFor
}

// unheard says that nobody has answered for some time. One that leads polls no more then: its votes must run out early.
func (m *Mesh) unheard() bool { return m.others() > 0 && m.now()-m.evidence.last > muteAt }

// others is how many processes there seem to be beside this one.
func (m *Mesh) others() (n int) {
	for _, p := range m.processes {
		if p.lives() {
			n++
		}
	}
	return n
}

// accuse takes the detector's word that a process is dead: it is asked whether it is.
func (m *Mesh) accuse(p *process) {
	now := m.now()
	if m.others() > smallFleet && !m.cutOff() {
		m.condemn(p)
		return
	}
	m.evidence.inquire(p.member, now)
	if _, ok := m.evidence.accused[p.member]; !ok {
		m.evidence.accused[p.member] = now
	}
}

// condemn takes a process for gone.
func (m *Mesh) condemn(p *process) {
	p.state, p.since, m.dirty = Dead, m.now(), true
	m.evidence.forget(p.member)
}

// judge goes through the members under inquiry: it asks them, and others about them, and finds who is gone.
func (m *Mesh) judge() {
	e, now := m.evidence, m.now()
	cut := m.cutOff()
	for member := range m.suspected {
		e.inquire(member, now)
	}
	if quiet := now - e.last; quiet > quietAt || len(e.asked) > 1 { // it is this process, or many: find out about all
		for member, p := range m.processes {
			if len(e.asked) >= askMost {
				break
			}
			if p.lives() && now-e.known(member) > fresh/2 {
				e.inquire(member, now)
			}
		}
	}
	for member, q := range e.asked {
		p := m.processes[member]
		_, accused := e.accused[member]
		known := e.known(member)
		if now-q.since > vouchFor {
			known = e.answered[member]
		}
		switch {
		case p == nil || !p.lives():
			e.forget(member)
		case known >= q.since && !accused:
			delete(e.asked, member)
		case cut:
			if accused {
				m.hold(p)
			}
		case accused && now-max(q.since, known) >= inquiry && q.times >= inquiryAsks,
			!accused && now-max(q.since, known) >= verdict && q.times >= verdictAsks && e.answered[member] > 0:
			m.condemn(p)
			e.buried[member] = !accused
		case accused:
			m.hold(p)
		}
	}
	if m.ml == nil || len(e.asked) == 0 {
		return
	}
	members := slices.SortedFunc(maps.Keys(e.asked), func(a, b string) int { return int(e.known(a) - e.known(b)) })
	for _, member := range members[:min(len(members), askMost)] {
		e.asked[member].times++
		m.ask1(member)
	}
}

// hold shows an accused member as a suspect.
func (m *Mesh) hold(p *process) {
	if p.state != Suspect {
		p.state, p.since, m.dirty = Suspect, m.now(), true
	}
}

// ask1 asks a member whether it is there, and a few others whether they have an answer of it.
func (m *Mesh) ask1(member string) {
	q := message{From: m.cfg.Name, Process: m.process, Kind: kindProbe, Subject: member}
	m.sendTo(m.processes[member], q)
	n := 0
	for other, p := range m.processes { // map order is random enough
		if n == helpers {
			return
		}
		if other != member && p.lives() && m.evidence.asked[other] == nil {
			m.sendTo(p, q)
			n++
		}
	}
}

// attend takes a message of the inquiries. It says whether that is all there is to it.
func (m *Mesh) attend(msg message) bool {
	now := m.now()
	switch msg.Kind {
	case kindProbe:
		answer := message{From: m.cfg.Name, Process: m.process, Kind: kindProbeReply, Subject: msg.Subject, TargetProcess: msg.Process}
		if msg.Subject != m.member() {
			at, ok := m.evidence.answered[msg.Subject]
			if !ok || now-at > fresh/2 {
				if p := m.processes[msg.Subject]; p != nil && p.lives() && len(m.evidence.asked) < askMost && m.others() <= smallFleet {
					m.evidence.inquire(msg.Subject, now) // so that this process knows as soon as the other does
				}
				return true
			}
			answer.Kind = kindIndirectAck
		}
		for _, p := range m.named[msg.From] {
			if p.number() == msg.Process {
				m.sendTo(p, answer)
			}
		}
	case kindProbeReply:
		if p := m.processes[msg.Subject]; p != nil && msg.TargetProcess == m.process && p.number() == msg.Process {
			m.answered(p)
		}
	case kindIndirectAck:
		if m.processes[msg.Subject] != nil && msg.TargetProcess == m.process {
			m.evidence.vouched[msg.Subject] = now
			for _, p := range m.named[msg.From] {
				if p.number() == msg.Process {
					m.answered(p)
				}
			}
		}
	case kindUserMessage:
		if m.cfg.OnMessage != nil {
			m.cfg.OnMessage(msg.From, msg.Body)
		}
	default:
		return false
	}
	return true
}

// Send sends a body, in JSON, to a member; it may be lost.
func (m *Mesh) Send(to string, body []byte) {
	m.ask(func() { m.send(to, message{From: m.cfg.Name, Process: m.process, Kind: kindUserMessage, Body: body}) })
}

// ProcessID is this process's number, which no other has.
func (m *Mesh) ProcessID() uint64 { return m.process }

// number is the process's number, as its frames have it.
func (p *process) number() uint64 {
	_, hex, _ := strings.Cut(p.member, nameSeparator)
	n, _ := strconv.ParseUint(hex, 16, 64) // a name of another form has none
	return n
}
