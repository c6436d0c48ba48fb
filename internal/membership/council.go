package membership

import (
	"cmp"
	"slices"
	"time"
)

// PartitionSide says on which side of a split a process is.
type PartitionSide int

// Sides. Isolated and Minority mean that no majority of the roster is known to be with this process.
const (
	Isolated PartitionSide = iota // sees no other member, though the roster has some
	Minority                      // sees others, but not with a majority behind them
	Majority                      // a majority of the roster is with it, some members are missing
	Complete                      // the whole roster is with it
)

func (s PartitionSide) String() string {
	return [...]string{"alone", "minority", "majority", "whole"}[s]
}

// Epoch numbers the rosters. The leader that made a roster is part of its name, so that no two rosters share one.
type Epoch struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

func (e Epoch) compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, o.Number), cmp.Compare(e.Leader, o.Leader))
}

// Times of the council, on top of the detector's.
const (
	pollEvery = 400 * time.Millisecond
	lease     = 2 * time.Second  // a vote binds for so long; a lost poll or two do not matter
	hearing   = lease            // a leader that has heard no vote for so long is deaf to the voter
	settle    = time.Second      // a newcomer lives so long before the roster takes it in
	forget    = 30 * time.Second // then one that is gone leaves the roster
	mostRost  = 4096             // members of a roster
	mostNamed = 8                // missing members named to others
	mostPast  = 8                // former rosters kept, to tell others what has changed since
	mostMoved = 600              // bytes of names in one change: what changed since the roster before fits into a packet
)

// council decides on which side of a split this process is, and what the roster is. It is a state machine without I/O
// or a clock: the mesh feeds it the members that live, messages and the time since the process began.
//
// The member of the roster that has the lowest name among the living leads, unless another leads already with the
// majority. The leader polls all; each vote binds its sender to that process for a lease (Gray and Cheriton, Leases,
// 1989). While more than half of the roster is bound to it, or exactly half with the lowest name of the roster among
// them, it has the majority, and what it grants to others ends no later. Each side counts from its own clock's reading
// at an event that came no later than the other's, so that delays only shorten a claim. Since two such quorums share a
// member, no two leaders have the majority at one time. A process votes only a lease after its start, since one before
// it may have voted.
//
// Only a leader with the majority changes the roster, one change after another: it needs the majority of both the old
// roster and the new one, as in joint consensus (Ongaro and Ousterhout, In Search of an Understandable Consensus
// Algorithm, 2014). Members that leave go at once and vote until the roster is without them, so that leaving is not
// splitting, however many leave together; those gone stay for 30 s, newcomers enter after 1 s. The first roster is the
// seeds, and founds a fleet only with the votes of all of them: a majority of the seeds may have started again without
// a memory, cut off from the fleet that has gone on without them. One seed that remembers is enough to keep them from it. (Rejected: counting one that has left as a vote. Its next process may vote on the other side of a split.)
type council struct {
	self    string
	process uint64
	began   time.Duration

	epoch  Epoch
	roster []string // sorted
	prev   []string // the roster before, until the change holds; nil: it does
	past   []past   // former rosters, the newest last

	live map[string]time.Duration // by name: alive since
	gone map[string]time.Duration // by name, of the roster: not alive since
	left map[string]bool          // leave, or have left and are not back

	follow      string // who leads, as far as it polls
	followUntil time.Duration
	bound       uint64 // the process that has this one's vote
	boundUntil  time.Duration
	boundSince  time.Duration            // the first of its votes in a row
	deaf        map[string]time.Duration // by name: does not hear this process's votes; until then
	grant       uint64                   // the process that has granted the majority
	grantUntil  time.Duration
	grantWhole  bool

	votes    map[string]vote          // as a leader, the last of each
	granted  map[string]time.Duration // by name, until when one has the majority by this process's word at the latest
	nextPoll time.Duration
	mute     bool   // gets no answer from anybody: it leads nobody for now
	resigned bool   // leads no more, and never again
	over     uint64 // the process that has told this one so

	missing map[string][]string // roster members that others miss
	missed  []string            // the first that this process misses
}

type vote struct {
	process uint64
	until   time.Duration // by this process's clock
	epoch   Epoch
	at      time.Duration // the voter's clock at the vote
	came    time.Duration // this one's when it came
}

const (
	news messageKind = iota // a roster, for one that lacks it
	poll
	ballot
	resign // the sender leads no more: its majority is not to be claimed
	resigned
	free // nobody claims the sender's majority: its votes are free
	ask  // is a process there, or does it answer you?
	here
	vouch
	carry // a body of another part of the program
)

func newCouncil(self string, process uint64, seeds []string, now time.Duration) *council {
	c := &council{self: self, process: process, began: now, live: map[string]time.Duration{self: now}, granted: map[string]time.Duration{},
		gone: map[string]time.Duration{}, deaf: map[string]time.Duration{}, votes: map[string]vote{}, missing: map[string][]string{}}
	c.roster = slices.Compact(slices.Sorted(slices.Values(seeds)))
	if len(c.roster) == 0 {
		c.roster = []string{self}
	}
	return c
}

// see tells who lives, this process included, and who leaves or has left, by name.
func (c *council) see(now time.Duration, live, left map[string]bool) {
	for name := range live {
		if _, ok := c.live[name]; !ok {
			c.live[name] = now
		}
	}
	for name := range c.live {
		if !live[name] && name != c.self {
			delete(c.live, name)
			delete(c.missing, name)
		}
	}
	c.left = left
	gone := map[string]time.Duration{}
	for _, name := range c.roster {
		if !c.lives(name) {
			gone[name] = now
			if since, ok := c.gone[name]; ok {
				gone[name] = since
			}
		}
	}
	c.gone = gone
	c.misses()
	for name, v := range c.votes {
		if v.until < now {
			delete(c.votes, name)
		}
	}
}

func (c *council) lives(name string) bool {
	_, ok := c.live[name]
	return ok
}

// leader is whom this process follows, or else the lowest living name of the roster; "" if none lives.
func (c *council) leader(now time.Duration) string {
	hears := func(name string) bool { return c.lives(name) && now >= c.deaf[name] }
	if now < c.followUntil && hears(c.follow) {
		return c.follow
	}
	for _, name := range c.roster {
		if hears(name) {
			return name
		}
	}
	return ""
}

// certain is until when a majority of a roster is bound to this process; 0: it is not.
func (c *council) certain(now time.Duration, roster []string) time.Duration {
	var until []time.Duration
	first := time.Duration(0) // of the roster's lowest name
	for i, name := range roster {
		var u time.Duration
		if v, ok := c.votes[name]; ok && v.epoch == c.epoch {
			u = v.until
		}
		if name == c.self && c.bound == c.process {
			u = c.boundUntil
		}
		if u <= now {
			continue
		}
		if i == 0 {
			first = u
		}
		until = append(until, u)
	}
	slices.SortFunc(until, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if c.epoch.Number == 0 { // founding: who only starts again may not know of a fleet that went on without it
		if len(until) < len(roster) {
			return 0
		}
		return until[len(roster)-1]
	}
	if need := len(roster)/2 + 1; len(until) >= need {
		return until[need-1]
	}
	if half := len(roster) / 2; len(roster)%2 == 0 && len(until) == half && first > 0 {
		return until[half-1]
	}
	return 0
}

// majority is until when this process, as the leader, has the majority of what it needs; 0: it has not.
func (c *council) majority(now time.Duration) time.Duration {
	until := c.certain(now, c.roster)
	if c.prev != nil {
		until = min(until, c.certain(now, c.prev))
	}
	return until
}

// whole says that every member of the roster lives, or has left.
func (c *council) whole() bool {
	for _, name := range c.roster {
		if !c.lives(name) && !c.left[name] {
			return false
		}
	}
	return true
}

// side is on which side this process is, and under which leading process it knows so.
func (c *council) side(now time.Duration) (s PartitionSide, under uint64) {
	switch {
	case now < c.grantUntil && c.grantWhole:
		return Complete, c.grant
	case now < c.grantUntil:
		return Majority, c.grant
	case len(c.live) == 1:
		return Isolated, 0
	}
	return Minority, 0
}

// tick returns what this process has to say now, by receiver: the leader's polls, or a word to one that leads and has not
// polled.
func (c *council) tick(now time.Duration, digest uint64) map[string]message {
	changed := c.bound == c.process && (c.prev != nil || now >= c.grantUntil) && c.majority(now) > now // let the others know
	if now < c.nextPoll && !changed || c.resigned || c.mute {
		return nil
	}
	c.nextPoll = now + pollEvery
	if leader := c.leader(now); leader != c.self {
		if leader == "" || now < c.followUntil {
			return nil
		}
		return map[string]message{leader: c.message(news, digest)} // it may not know yet that it is to lead
	}
	founder := len(c.roster) == 1 && c.roster[0] == c.self && c.epoch.Number == 0 // a fleet of one: nobody else votes
	if (founder || now >= c.began+lease) && (c.bound == c.process || now >= c.boundUntil) {
		c.bound, c.boundUntil = c.process, now+lease
	}
	until := c.majority(now)
	if until <= now {
		c.nextPoll = now + pollEvery/2 // it asks for votes
	}
	if holds := until > now; holds {
		c.prev = nil
		c.follow, c.followUntil = c.self, now+lease
		c.grant, c.grantUntil, c.grantWhole = c.process, until, c.whole()
		c.change(now)
	}
	out := map[string]message{}
	all := c.message(poll, digest)
	all.Poll, all.Whole, all.Holds = now, c.whole(), until > now && c.prev == nil
	for name := range c.live {
		if name == c.self {
			continue
		}
		m := all
		if v, ok := c.votes[name]; ok {
			m.For, m.Vote, m.Left = v.process, v.at, max(0, until-v.came)
			c.granted[name] = max(c.granted[name], until)
			if v.epoch != c.epoch {
				c.tell(&m, v.epoch)
			}
		}
		out[name] = m
	}
	return out
}

// resign gives the lead up, as one that leaves does, so that the next leader need not wait for the votes to run out: all
// who claim the majority by this process's word give it up and say so, then the votes are free. It returns what there is
// to say; done says that no more is. Who does not answer claims it no longer than the votes last, and all wait so long.
func (c *council) resign(now time.Duration, digest uint64) (out map[string]message, done bool) {
	if c.bound != c.process {
		return nil, true
	}
	if !c.resigned {
		c.resigned, c.grantUntil, c.followUntil, c.nextPoll = true, 0, 0, now
	}
	if now < c.nextPoll {
		return nil, false
	}
	c.nextPoll = now + tickEvery
	out = map[string]message{}
	for name, until := range c.granted {
		if until > now {
			out[name] = c.message(resign, digest)
		}
	}
	if len(out) > 0 {
		return out, false
	}
	for name := range c.live {
		if name != c.self {
			out[name] = c.message(free, digest)
		}
	}
	return out, true
}

// hear takes a message and returns the answer, if there is one.
func (c *council) hear(now time.Duration, m message, digest uint64) (answer message, ok bool) {
	if m.From == c.self || !c.lives(m.From) {
		return answer, false // the detector does not know it yet, or no more
	}
	c.adopt(m)
	c.missing[m.From] = m.Missing
	answer = c.message(news, digest)
	older := m.Epoch.compare(c.epoch)
	if older < 0 {
		c.tell(&answer, m.Epoch)
	}
	switch m.Kind {
	case ballot:
		if m.For == c.process && m.Poll <= now {
			c.votes[m.From] = vote{m.Process, m.Poll + lease, m.Epoch, m.Vote, now}
		}
	case resign:
		c.over = m.Process
		if c.grant == m.Process {
			c.grantUntil = 0
		}
		if c.follow == m.From {
			c.followUntil = 0
		}
		answer.Kind, answer.For = resigned, m.Process
	case resigned:
		if m.For == c.process && c.resigned {
			delete(c.granted, m.From)
			if len(c.granted) == 0 {
				c.nextPoll = now
			}
		}
	case free:
		if c.bound == m.Process {
			c.boundUntil, c.nextPoll = 0, now
		}
	case poll:
		if m.Process == c.over {
			break // sent before it gave the lead up
		}
		// A leader that does not hear the votes cannot lead: it gets none, so that those it has run out.
		echo := m.For == c.process && now-m.Vote < hearing
		if c.bound == m.Process && now < c.boundUntil && now-c.boundSince >= hearing && !echo {
			c.deaf[m.From] = now + lease
		}
		if echo {
			delete(c.deaf, m.From)
		}
		if now < c.deaf[m.From] {
			break
		}
		if m.Holds && now >= c.grantUntil || m.From == c.leader(now) {
			c.follow, c.followUntil = m.From, now+lease
		}
		if m.From != c.leader(now) || now < c.began+lease || c.bound != m.Process && now < c.boundUntil {
			break
		}
		if m.Holds && m.Epoch == c.epoch {
			c.prev = nil
		}
		if c.bound != m.Process || now >= c.boundUntil {
			c.boundSince = now
		}
		c.bound, c.boundUntil = m.Process, now+lease
		if until := m.Vote + m.Left; m.For == c.process && m.Left > 0 && until > now {
			c.grant, c.grantUntil, c.grantWhole = m.Process, until, m.Whole
		}
		answer.Kind, answer.For, answer.Poll, answer.Vote = ballot, m.Process, m.Poll, now
	}
	return answer, answer.Kind != news || older != 0 // an older epoch gets the roster, a newer one is asked for it
}
