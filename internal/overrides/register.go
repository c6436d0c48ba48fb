package overrides

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of the register.
const (
	askEvery = time.Second            // a member asks its leader so often, without a notice
	askAgain = 200 * time.Millisecond // while an answer, or a majority's, is missing
	mostJump = 1 << 20                // terms that one message may be ahead: no junk brings the last one near
)

// MessageKind says what a message is.
type MessageKind int

// Kinds of messages.
const (
	KindStateRequest  MessageKind = iota // a member asks its leader for its state, and says what it holds
	KindStateResponse                    // the leader's state, whole
	KindChangeNotice                     // something has changed: ask
	KindPrepare                          // a new leader asks what a member holds
	KindPromise                          // what it holds
)

// Message is what registers say to each other. Stamp is the clock of the process that asked, For that process.
type Message struct {
	Kind        MessageKind   `json:"k"`
	From        string        `json:"f"`
	Requester   uint64        `json:"p"`
	RequestedAt time.Duration `json:"s"`
	Version     Version       `json:"m"`           // of the sender's state
	Term        uint64        `json:"t"`           // in Collect: that the leader wants; in Held: that the sender has promised,
	PromisedTo  uint64        `json:"w,omitempty"` // and to which process
	Entries     []Entry       `json:"x,omitempty"`
}

// OutboundMessage is a message to a member.
type OutboundMessage struct {
	To string
	Message
}

// Register is what one process holds. It belongs to one goroutine; now never goes back.
type Register struct {
	self    string
	process uint64
	facts   map[string]*held
	own     map[string]*held // for this process alone
	mark    Version          // of the newest state that it has taken over
	confirm time.Duration    // the question whose answer was the last

	leader string // of a proved majority; "": none is known
	next   time.Duration

	promised uint64 // the highest term that a leader has this process's word for,
	to       uint64 // and which process: one that starts again does not have its former self's promises

	leads  bool
	roster []string
	heard  map[string]bool    // as a new leader, who has said what it holds, and whether it knew anything; nil: it has begun
	took   map[string]Version // as a leader, what each member held when it asked last
}

// New returns an empty register of a process, whose number no other process has.
func New(self string, process uint64) *Register {
	return &Register{self: self, process: process, facts: map[string]*held{}, own: map[string]*held{}, took: map[string]Version{}}
}

// UpdateMembership tells who leads with a proved majority, if anybody, and what the roster is.
func (r *Register) UpdateMembership(now time.Duration, leader string, roster []string) []OutboundMessage {
	r.roster = roster
	if leader != r.leader {
		r.leader, r.next = leader, now
	}
	if was := r.leads; was != (leader == r.self) {
		if r.leads = !was; r.leads {
			r.propose(max(r.promised, r.mark.Term) + 1)
		} else {
			r.heard = nil
		}
	}
	return r.Tick(now)
}

// propose asks for the promises of a term.
func (r *Register) propose(term uint64) {
	r.promised, r.to = term, r.process
	r.heard, r.took = map[string]bool{r.self: r.mark.Term > 0}, map[string]Version{}
	r.begin()
}

// begin leads in the term once a majority has promised it. One that has started afresh may have forgotten what it had
// promised and held: it counts only where all of the roster have answered.
func (r *Register) begin() {
	knew, said := 0, 0
	for _, name := range r.roster {
		if k, ok := r.heard[name]; ok {
			said++
			if k {
				knew++
			}
		}
	}
	if 2*knew > len(r.roster) || said == len(r.roster) {
		r.heard = nil
		r.mark = Version{r.promised, r.self, 0}
	}
}

// Tick says what there is to ask, and forgets what has ended.
func (r *Register) Tick(now time.Duration) (out []OutboundMessage) {
	for _, all := range []map[string]*held{r.facts, r.own} {
		maps.DeleteFunc(all, func(_ string, h *held) bool { return h.left(now) == 0 })
	}
	if now < r.next || r.leader == "" {
		return nil
	}
	switch {
	case r.leads && r.heard != nil:
		r.next = now + askAgain
		for _, name := range r.roster {
			if _, ok := r.heard[name]; !ok {
				out = append(out, r.say(name, KindPrepare, now, nil))
			}
		}
	case r.leads:
		r.next = now + askEvery
	default:
		r.next = now + askAgain // until the answer comes
		out = append(out, r.say(r.leader, KindStateRequest, now, nil))
	}
	return out
}

func (r *Register) say(to string, k MessageKind, stamp time.Duration, facts []Entry) OutboundMessage {
	return OutboundMessage{to, Message{Kind: k, From: r.self, Requester: r.process, RequestedAt: stamp, Version: r.mark, Term: r.promised, PromisedTo: r.to, Entries: facts}}
}

// state is all that is held, as it goes to one that asks.
func (r *Register) state(now time.Duration) (all []Entry) {
	for _, id := range slices.Sorted(maps.Keys(r.facts)) {
		all = append(all, r.facts[id].out(now))
	}
	return all
}

// notice tells all members that there is something new.
func (r *Register) notice(now time.Duration) (out []OutboundMessage) {
	for _, name := range r.roster {
		if name != r.self {
			out = append(out, r.say(name, KindChangeNotice, now, nil))
		}
	}
	return out
}

// Handle takes a message.
func (r *Register) Handle(now time.Duration, m Message) []OutboundMessage {
	if len(m.Entries) > MaxEntries || m.From == r.self || max(m.Term, m.Version.Term) > r.promised+mostJump {
		return nil
	}
	reply := func(k MessageKind) []OutboundMessage {
		o := r.say(m.From, k, m.RequestedAt, r.state(now))
		o.Requester = m.Requester
		return []OutboundMessage{o}
	}
	mine := m.Requester == r.process && m.RequestedAt <= now // an answer to this very process
	switch m.Kind {
	case KindStateRequest:
		if !r.leads || r.heard != nil {
			return nil
		}
		if m.Version.Compare(r.mark) > 0 { // from before the fleet has forgotten: this one goes above it
			r.propose(max(m.Version.Term, r.promised) + 1)
			return nil
		}
		r.took[m.From] = m.Version
		return reply(KindStateResponse)
	case KindPrepare:
		if m.From != r.leader || r.leads {
			return nil
		}
		if m.Term > r.promised {
			r.promised, r.to = m.Term, m.Requester
		}
		return reply(KindPromise)
	case KindPromise:
		if !mine || !r.leads || r.heard == nil || !slices.Contains(r.roster, m.From) {
			return nil
		}
		if m.Term > r.promised || m.Term == r.promised && m.PromisedTo != r.process { // another had that term
			r.propose(m.Term + 1)
			return nil
		}
		if m.Term < r.promised {
			return nil // an answer to an earlier question
		}
		if m.Version.Compare(r.mark) > 0 {
			r.adopt(m)
		}
		r.heard[m.From] = m.Version.Term > 0
		if r.begin(); r.heard == nil {
			return r.notice(now)
		}
	case KindChangeNotice:
		if m.From == r.leader && !r.leads && m.Version != r.mark {
			r.next = now
			return r.Tick(now)
		}
	case KindStateResponse:
		if mine && m.From == r.leader && !r.leads && m.Version.Compare(r.mark) >= 0 && m.RequestedAt >= r.confirm {
			r.adopt(m)
			r.next = now + askEvery
		}
	}
	return nil
}

// adopt takes a state over whole: what it does not name was never confirmed, or has ended. What is left counts from the
// question, which came before the answer was made: by this clock that is never later than the true end.
func (r *Register) adopt(m Message) {
	r.mark, r.confirm = m.Version, m.RequestedAt
	r.facts = map[string]*held{}
	for _, f := range m.Entries {
		if len(f.ID) > maxIDBytes {
			continue
		}
		r.facts[f.ID] = &held{Entry: f, end: m.RequestedAt + min(max(0, f.Remaining), MaxDuration), came: m.RequestedAt}
	}
}

// Put issues an override, or renews or replaces the one of its id if its version is named. It is idempotent by id and
// content while the override lives: only another content or a named version makes a new one.
func (r *Register) Put(now time.Duration, id string, o Override, lasts time.Duration, replaces *Version) (Entry, []OutboundMessage, error) {
	if err := check(id, o, lasts, MaxDuration); err != nil {
		return Entry{}, nil, err
	}
	if err := r.mayOrder(); err != nil {
		return Entry{}, nil, err
	}
	old := r.facts[id]
	live := old != nil && old.inForce(now)
	switch {
	case live && replaces == nil && old.Override == o:
		return old.out(now), nil, nil
	case live && (replaces == nil || *replaces != old.Version):
		return old.out(now), nil, ErrIDInUse
	case old == nil && len(r.facts) >= MaxEntries:
		return Entry{}, nil, ErrRegisterFull
	}
	r.mark.Sequence++
	h := &held{Entry: Entry{ID: id, Version: r.mark, Override: o}, end: now + lasts, came: now, issued: true}
	r.facts[id] = h
	return h.out(now), r.notice(now), nil
}

// Revoke ends an override at once. It returns the mark from which on a member acts on it no more.
func (r *Register) Revoke(now time.Duration, id string) (Version, []OutboundMessage, error) {
	if err := r.mayOrder(); err != nil {
		return Version{}, nil, err
	}
	if old := r.facts[id]; old == nil || !old.inForce(now) {
		return Version{}, nil, ErrNotFound
	}
	delete(r.facts, id)
	r.mark.Sequence++
	return r.mark, r.notice(now), nil
}

func (r *Register) mayOrder() error {
	switch {
	case r.leader != r.self || !r.leads:
		return ErrNoQuorum
	case r.heard != nil:
		return ErrLeaderNotReady
	}
	return nil
}

// PutLocal orders something for this process alone, whatever its side. It is never told to others.
func (r *Register) PutLocal(now time.Duration, id string, o Override, lasts time.Duration) error {
	if err := check(id, o, lasts, MaxLocalDuration); err != nil {
		return err
	}
	if len(r.own) >= MaxEntries {
		return ErrRegisterFull
	}
	r.own[id] = &held{Entry: Entry{ID: id, Override: o}, end: now + lasts, came: now, issued: true}
	return nil
}

// InForce is what acts at a moment, by id; this process's own ones last.
func (r *Register) InForce(now time.Duration) (all []Entry) {
	for _, from := range []map[string]*held{r.facts, r.own} {
		for _, id := range slices.Sorted(maps.Keys(from)) {
			if h := from[id]; h.inForce(now) {
				all = append(all, h.out(now))
			}
		}
	}
	return all
}

// UnacknowledgedMembers names the members that have not asked since a change, as its leader knows; they may still act on what was before.
func (r *Register) UnacknowledgedMembers(since Version) (names []string) {
	for _, name := range r.roster {
		if name != r.self && cmp.Compare(r.took[name].Compare(since), 0) < 0 {
			names = append(names, name)
		}
	}
	return names
}

// Version is that of the state that this process holds.
func (r *Register) Version() Version { return r.mark }

// StateAge is how long ago this process asked for the state that it holds; 0 for the leader, -1: it never got one.
func (r *Register) StateAge(now time.Duration) time.Duration {
	switch {
	case r.leads:
		return 0
	case r.mark.Term == 0:
		return -1
	}
	return now - r.confirm
}
