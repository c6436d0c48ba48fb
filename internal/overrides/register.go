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

// Kind says what a message is.
type Kind int

// Kinds of messages.
const (
	Ask     Kind = iota // a member asks its leader for its state, and says what it holds
	Answer              // the leader's state, whole
	Notice              // something has changed: ask
	Collect             // a new leader asks what a member holds
	Held                // what it holds
)

// Message is what registers say to each other. Stamp is the clock of the process that asked, For that process.
type Message struct {
	Kind  Kind          `json:"k"`
	From  string        `json:"f"`
	For   uint64        `json:"p"`
	Stamp time.Duration `json:"s"`
	Mark  Mark          `json:"m"`           // of the sender's state
	Term  uint64        `json:"t"`           // in Collect: that the leader wants; in Held: that the sender has promised,
	To    uint64        `json:"w,omitempty"` // and to which process
	Facts []Fact        `json:"x,omitempty"`
}

// Out is a message to a member.
type Out struct {
	To string
	Message
}

// Register is what one process holds. It belongs to one goroutine; now never goes back.
type Register struct {
	self    string
	process uint64
	facts   map[string]*held
	own     map[string]*held // for this process alone
	mark    Mark             // of the newest state that it has taken over
	confirm time.Duration    // the question whose answer was the last

	leader string // of a proved majority; "": none is known
	next   time.Duration

	promised uint64 // the highest term that a leader has this process's word for,
	to       uint64 // and which process: one that starts again does not have its former self's promises

	leads  bool
	roster []string
	heard  map[string]bool // as a new leader, who has said what it holds, and whether it knew anything; nil: it has begun
	took   map[string]Mark // as a leader, what each member held when it asked last
}

// New returns an empty register of a process, whose number no other process has.
func New(self string, process uint64) *Register {
	return &Register{self: self, process: process, facts: map[string]*held{}, own: map[string]*held{}, took: map[string]Mark{}}
}

// View tells who leads with a proved majority, if anybody, and what the roster is.
func (r *Register) View(now time.Duration, leader string, roster []string) []Out {
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
	r.heard, r.took = map[string]bool{r.self: r.mark.Term > 0}, map[string]Mark{}
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
		r.mark = Mark{r.promised, r.self, 0}
	}
}

// Tick says what there is to ask, and forgets what has ended.
func (r *Register) Tick(now time.Duration) (out []Out) {
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
				out = append(out, r.say(name, Collect, now, nil))
			}
		}
	case r.leads:
		r.next = now + askEvery
	default:
		r.next = now + askAgain // until the answer comes
		out = append(out, r.say(r.leader, Ask, now, nil))
	}
	return out
}

func (r *Register) say(to string, k Kind, stamp time.Duration, facts []Fact) Out {
	return Out{to, Message{Kind: k, From: r.self, For: r.process, Stamp: stamp, Mark: r.mark, Term: r.promised, To: r.to, Facts: facts}}
}

// state is all that is held, as it goes to one that asks.
func (r *Register) state(now time.Duration) (all []Fact) {
	for _, id := range slices.Sorted(maps.Keys(r.facts)) {
		all = append(all, r.facts[id].out(now))
	}
	return all
}

// notice tells all members that there is something new.
func (r *Register) notice(now time.Duration) (out []Out) {
	for _, name := range r.roster {
		if name != r.self {
			out = append(out, r.say(name, Notice, now, nil))
		}
	}
	return out
}

// Hear takes a message.
func (r *Register) Hear(now time.Duration, m Message) []Out {
	if len(m.Facts) > MostFacts || m.From == r.self || max(m.Term, m.Mark.Term) > r.promised+mostJump {
		return nil
	}
	reply := func(k Kind) []Out {
		o := r.say(m.From, k, m.Stamp, r.state(now))
		o.For = m.For
		return []Out{o}
	}
	mine := m.For == r.process && m.Stamp <= now // an answer to this very process
	switch m.Kind {
	case Ask:
		if !r.leads || r.heard != nil {
			return nil
		}
		if m.Mark.Compare(r.mark) > 0 { // from before the fleet has forgotten: this one goes above it
			r.propose(max(m.Mark.Term, r.promised) + 1)
			return nil
		}
		r.took[m.From] = m.Mark
		return reply(Answer)
	case Collect:
		if m.From != r.leader || r.leads {
			return nil
		}
		if m.Term > r.promised {
			r.promised, r.to = m.Term, m.For
		}
		return reply(Held)
	case Held:
		if !mine || !r.leads || r.heard == nil || !slices.Contains(r.roster, m.From) {
			return nil
		}
		if m.Term > r.promised || m.Term == r.promised && m.To != r.process { // another had that term
			r.propose(m.Term + 1)
			return nil
		}
		if m.Term < r.promised {
			return nil // an answer to an earlier question
		}
		if m.Mark.Compare(r.mark) > 0 {
			r.adopt(m)
		}
		r.heard[m.From] = m.Mark.Term > 0
		if r.begin(); r.heard == nil {
			return r.notice(now)
		}
	case Notice:
		if m.From == r.leader && !r.leads && m.Mark != r.mark {
			r.next = now
			return r.Tick(now)
		}
	case Answer:
		if mine && m.From == r.leader && !r.leads && m.Mark.Compare(r.mark) >= 0 && m.Stamp >= r.confirm {
			r.adopt(m)
			r.next = now + askEvery
		}
	}
	return nil
}

// adopt takes a state over whole: what it does not name was never confirmed, or has ended. What is left counts from the
// question, which came before the answer was made: by this clock that is never later than the true end.
func (r *Register) adopt(m Message) {
	r.mark, r.confirm = m.Mark, m.Stamp
	r.facts = map[string]*held{}
	for _, f := range m.Facts {
		if len(f.ID) > mostID {
			continue
		}
		r.facts[f.ID] = &held{Fact: f, end: m.Stamp + min(max(0, f.Left), MostTime), came: m.Stamp}
	}
}

// Put issues an override, or renews or replaces the one of its id if its version is named. It is idempotent by id and
// content while the override lives: only another content or a named version makes a new one.
func (r *Register) Put(now time.Duration, id string, o Override, lasts time.Duration, replaces *Mark) (Fact, []Out, error) {
	if err := check(id, o, lasts, MostTime); err != nil {
		return Fact{}, nil, err
	}
	if err := r.mayOrder(); err != nil {
		return Fact{}, nil, err
	}
	old := r.facts[id]
	live := old != nil && old.inForce(now)
	switch {
	case live && replaces == nil && old.Is == o:
		return old.out(now), nil, nil
	case live && (replaces == nil || *replaces != old.Mark):
		return old.out(now), nil, ErrLive
	case old == nil && len(r.facts) >= MostFacts:
		return Fact{}, nil, ErrFull
	}
	r.mark.N++
	h := &held{Fact: Fact{ID: id, Mark: r.mark, Is: o}, end: now + lasts, came: now, issued: true}
	r.facts[id] = h
	return h.out(now), r.notice(now), nil
}

// Revoke ends an override at once. It returns the mark from which on a member acts on it no more.
func (r *Register) Revoke(now time.Duration, id string) (Mark, []Out, error) {
	if err := r.mayOrder(); err != nil {
		return Mark{}, nil, err
	}
	if old := r.facts[id]; old == nil || !old.inForce(now) {
		return Mark{}, nil, ErrUnknown
	}
	delete(r.facts, id)
	r.mark.N++
	return r.mark, r.notice(now), nil
}

func (r *Register) mayOrder() error {
	switch {
	case r.leader != r.self || !r.leads:
		return ErrMinority
	case r.heard != nil:
		return ErrNotYet
	}
	return nil
}

// PutHere orders something for this process alone, whatever its side. It is never told to others.
func (r *Register) PutHere(now time.Duration, id string, o Override, lasts time.Duration) error {
	if err := check(id, o, lasts, MostHere); err != nil {
		return err
	}
	if len(r.own) >= MostFacts {
		return ErrFull
	}
	r.own[id] = &held{Fact: Fact{ID: id, Is: o}, end: now + lasts, came: now, issued: true}
	return nil
}

// InForce is what acts at a moment, by id; this process's own ones last.
func (r *Register) InForce(now time.Duration) (all []Fact) {
	for _, from := range []map[string]*held{r.facts, r.own} {
		for _, id := range slices.Sorted(maps.Keys(from)) {
			if h := from[id]; h.inForce(now) {
				all = append(all, h.out(now))
			}
		}
	}
	return all
}

// Lacking names the members that have not asked since a change, as its leader knows; they may still act on what was before.
func (r *Register) Lacking(since Mark) (names []string) {
	for _, name := range r.roster {
		if name != r.self && cmp.Compare(r.took[name].Compare(since), 0) < 0 {
			names = append(names, name)
		}
	}
	return names
}

// Mark is that of the state that this process holds.
func (r *Register) Mark() Mark { return r.mark }

// Confirmed is how long ago this process asked for the state that it holds; 0 for the leader, -1: it never got one.
func (r *Register) Confirmed(now time.Duration) time.Duration {
	switch {
	case r.leads:
		return 0
	case r.mark.Term == 0:
		return -1
	}
	return now - r.confirm
}
