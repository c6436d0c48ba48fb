package testbed

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rule names what a finding breaks.
type Rule string

// The rules of the platform, and what ends a run.
const (
	Lost                  Rule = "lost"             // a request taken got no whole answer in time
	AnsweredTwice         Rule = "answered twice"   // a second answer to one request
	ForeignAnswer         Rule = "foreign answer"   // served with something that no server made for it
	DuplicateExecution    Rule = "unsafe run twice" // a copy of what may have run, of a class that must not
	SentToDraining        Rule = "sent to drained"  // something new to a draining or removed server too late
	SlowStartOverloaded   Rule = "cold pushed over" // a server in slow start sent more than it bears
	UnknownID             Rule = "unknown id"       // a request that no client sent
	TooManyAttempts       Rule = "too many attempts"
	Crash                 Rule = "crash"                 // a node ended by itself
	SentAfterDisconnect   Rule = "sent after leave"      // an attempt that began too long after its client had disconnected
	RetryAfterWindow      Rule = "repeat too late"       // a copy of a keyed request after the window in which servers discard it
	BudgetTooLong         Rule = "told too much time"    // a server was told more time than the client had left
	ImproperClientKept    Rule = "improper client kept"  // it got neither an error nor a close in time
	ForwardedUnread       Rule = "ran though given back" // a request whose connection its node closed unanswered was sent on
	SelfReportedViolation Rule = "own violation"         // a node counted a broken promise of its own
	CountersDiffer        Rule = "counters differ"       // what a node counted is not what the servers saw
)

// Finding is one broken rule.
type Finding struct {
	At     time.Duration `json:"at"` // since the testbed's start
	Rule   Rule          `json:"rule"`
	ID     string        `json:"id,omitempty"`
	Node   string        `json:"node,omitempty"`
	Detail string        `json:"detail"`
	Void   bool          `json:"void,omitempty"` // the machine was too slow then: nothing is proved
}

func (f Finding) String() string {
	return fmt.Sprintf("%.3fs %s: id=%s node=%s %s", f.At.Seconds(), f.Rule, f.ID, f.Node, f.Detail)
}

// Slacks of the rules on late sends and on the time that servers are told.
const (
	lateSendTolerance = 100 * time.Millisecond
	budgetTolerance   = 150 * time.Millisecond
)

const (
	shards             = 64
	maxFindings        = 1000            // findings kept; more are counted
	linkFaultCarryOver = 2 * time.Second // what a faulty link delays comes so soon after
)

// Account says what became of the requests that nodes took: Taken = Answered + Left + CutOff + Lost.
type Account struct {
	Taken    int `json:"taken"`    // written whole to a node's connection
	Answered int `json:"answered"` // got a whole answer
	Left     int `json:"left"`     // the client disconnected first, or its time ran out
	CutOff   int `json:"cut_off"`  // their node or its link was killed, stopped or cut by the testbed
	Lost     int `json:"lost"`
	Unread   int `json:"unread"` // the connection ended before the node had read them: not taken, or free of blame
	Open     int `json:"open"`   // not ended yet
}

// Checker keeps one record for each request id, of clients and of servers calling on, and checks the rules.
type Checker struct {
	now       func() time.Duration
	intervals *intervals
	unsafe    map[string]bool          // by class
	windows   map[string]time.Duration // by class that is keyed: how long repeats are discarded
	attempts  int                      // limit for one id
	salt      uint64

	shard [shards]struct {
		sync.Mutex
		records map[string]*record
	}

	mu         sync.Mutex
	found      []Finding
	counts     map[Rule]int
	account    Account
	notifiedAt map[[2]string]time.Duration // by node and server: when it learned that it is draining or removed
}

// record is what is known of one request id.
type record struct {
	class       string
	node        string
	writing     int           // how often it was written: again after a close that crossed it unread
	retracted   int           // the last writing that was taken back
	retractedAt time.Duration // when that was
	deadline    time.Duration // when the client's time ends
	written     time.Duration // whole to a node; 0: not yet
	ended       bool
	attempts    int
	ran         int           // attempts that may have run
	served      int           // whole answers that servers made
	firstRan    time.Duration // when the first attempt that may have run came
	leftAt      time.Duration // when the client disconnected; 0: it has not
}

func newChecker(w *World, now func() time.Duration, s *intervals) *Checker {
	r := &Checker{now: now, intervals: s, unsafe: map[string]bool{}, windows: map[string]time.Duration{}, attempts: w.Limits.MaxAttempts, salt: w.Seed ^ 0x9e3779b97f4a7c15,
		counts: map[Rule]int{}, notifiedAt: map[[2]string]time.Duration{}}
	for _, c := range w.Classes {
		r.unsafe[c.Name] = c.Effect == "non_idempotent"
		if c.Effect == "idempotency_key" {
			r.windows[c.Name] = c.Window
		}
	}
	for i := range r.shard {
		r.shard[i].records = map[string]*record{}
	}
	return r
}

// withRecord calls f on the record of an id with its shard locked. It reports whether there is one.
func (r *Checker) withRecord(id string, f func(*record)) bool {
	s := &r.shard[xxhash.Sum64String(id)%shards]
	s.Lock()
	defer s.Unlock()
	rec := s.records[id]
	if rec != nil {
		f(rec)
	}
	return rec != nil
}

func (r *Checker) addFinding(rule Rule, id, node, detail string) {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[rule]++
	if len(r.found) < maxFindings {
		r.found = append(r.found, Finding{At: at, Rule: rule, ID: id, Node: node, Detail: detail})
	}
}

func (r *Checker) updateAccount(f func(*Account)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.account)
}

// begin makes an id known, before its first byte is written.
func (r *Checker) begin(id, class string, deadline time.Duration) {
	s := &r.shard[xxhash.Sum64String(id)%shards]
	s.Lock()
	defer s.Unlock()
	s.records[id] = &record{class: class, deadline: deadline}
}

// beginWrite says which node a request is about to be written to, and returns the number of that writing.
func (r *Checker) beginWrite(id, node string) (writing int) {
	r.withRecord(id, func(rec *record) {
		rec.node = node
		rec.writing++
		writing = rec.writing
	})
	return writing
}

// recordWritten reports that a request is whole at a node's connection: the node has taken it.
func (r *Checker) recordWritten(id string, at time.Duration) {
	r.withRecord(id, func(rec *record) { rec.written = at })
	r.updateAccount(func(a *Account) { a.Taken++ })
}

// retractUnread takes a request back: its connection ended with nothing said, as it crossed the node's close. It says whether
// that can be; if some server has it, or the node's system has given its bytes away, the node had read it.
func (r *Checker) retractUnread(id string, allRead bool) (can bool) {
	r.withRecord(id, func(rec *record) {
		if can = rec.attempts == 0 && !allRead; can {
			rec.written, rec.retracted, rec.retractedAt = 0, rec.writing, r.now()
		}
	})
	if can {
		r.updateAccount(func(a *Account) { a.Taken--; a.Unread++ })
	}
	return can
}

// recordAnswer reports that a request got its answer. A 200 must carry what a server made.
func (r *Checker) recordAnswer(id string, status int, body string, checkBody bool) {
	var foreign, node string
	r.withRecord(id, func(rec *record) {
		rec.ended, node = true, rec.node
		if status == 200 && checkBody && (rec.served == 0 || body != r.expectedBody(id)) {
			foreign = fmt.Sprintf("%d servers served it, the body is %.60q", rec.served, body)
		}
	})
	r.updateAccount(func(a *Account) { a.Answered++ })
	if foreign != "" {
		r.addFinding(ForeignAnswer, id, node, foreign)
	}
}

// recordDisconnect reports that the client of a taken request went away first.
func (r *Checker) recordDisconnect(id string) {
	r.withRecord(id, func(rec *record) { rec.ended, rec.leftAt = true, r.now() })
	r.updateAccount(func(a *Account) { a.Left++ })
}

// recordUnanswered reports that a taken request will get no answer: its connection broke, or its time and the slack are over.
// It returns whether the testbed itself is the cause.
func (r *Checker) recordUnanswered(id, client, how string) bool {
	var rec record
	r.withRecord(id, func(p *record) { p.ended = true; rec = *p })
	now := r.now()
	excused := r.intervals.overlap(rec.node, rec.written-slack, now) || r.intervals.overlap(client+"->"+rec.node, rec.written-slack, now) ||
		r.intervals.overlap(rec.node+"->"+client, rec.written-slack, now) || r.intervals.overlap(client, rec.written-slack, now)
	r.updateAccount(func(a *Account) {
		if excused {
			a.CutOff++
		} else {
			a.Lost++
		}
	})
	if !excused {
		r.addFinding(Lost, id, rec.node, fmt.Sprintf("%s, %.0f ms after it was written, deadline %.3fs", how, ms(now-rec.written), rec.deadline.Seconds()))
	}
	return excused
}

// recordUnexpectedAnswer reports that a node answered a request that had its answer.
func (r *Checker) recordUnexpectedAnswer(id, node, what string) {
	r.addFinding(AnsweredTwice, id, node, "an answer came when none was owed: "+what)
}

// verdict says what a server does with an attempt.
type verdict int

const (
	runIt verdict = iota
	unknown
	duplicate
)

// recordAttempt records an attempt that came whole to a server; first is when its first byte came. It returns what to do
// with it, which node has sent it and which attempt of the request it is.
func (r *Checker) recordAttempt(id, server string, from sender, first, given time.Duration) (v verdict, node string, attempt int) {
	var rec record
	lateRepeat := false
	known := r.withRecord(id, func(p *record) {
		p.attempts++
		if p.ran > 0 && r.unsafe[p.class] {
			v = duplicate
		}
		if window := r.windows[p.class]; window > 0 && p.ran > 0 && first > p.firstRan+window+slack {
			lateRepeat = true
		}
		if p.ran == 0 {
			p.firstRan = first
		}
		p.ran++ // until it turns out that it never ran
		rec = *p
	})
	if known && from.writing != 0 && from.writing <= rec.retracted && !r.intervals.overlap(from.node, rec.retractedAt-slack, rec.retractedAt+slack) {
		r.addFinding(ForwardedUnread, id, from.node, fmt.Sprintf("came to %s, though its connection was closed with no answer", server))
	}
	if known && from.node != "" {
		rec.node = from.node
	}
	switch {
	case !known:
		r.addFinding(UnknownID, id, "", "came to "+server)
		return unknown, "", 0
	case v == duplicate:
		r.addFinding(DuplicateExecution, id, rec.node, fmt.Sprintf("attempt %d of a %s came to %s after one that may have run", rec.attempts, rec.class, server))
	}
	if known {
		r.checkTiming(id, server, &rec, first, given, lateRepeat)
	}
	if rec.attempts > r.attempts {
		r.addFinding(TooManyAttempts, id, rec.node, fmt.Sprintf("attempt %d came to %s", rec.attempts, server))
	}
	r.mu.Lock()
	at, notified := r.notifiedAt[[2]string{rec.node, server}]
	r.mu.Unlock()
	late := first - at
	// A node that was stopped is not excused: what came meanwhile it has to read before it sends.
	if notified && late > drainWithin+slack &&
		!r.intervals.overlap(rec.node+"->"+server, at, first) && !r.intervals.overlap(server, at, first) {
		r.addFinding(SentToDraining, id, rec.node, fmt.Sprintf("came to %s %.2f s after the node was notified", server, late.Seconds()))
	}
	return v, rec.node, rec.attempts
}

// Report adds what was found outside of the requests' records.
func (r *Checker) Report(rule Rule, node, detail string) { r.addFinding(rule, "", node, detail) }

// recordNotRun takes an attempt back that its server rejected.
func (r *Checker) recordNotRun(id string) { r.withRecord(id, func(rec *record) { rec.ran-- }) }

// recordServed reports that a server made an answer; it returns the answer's body.
func (r *Checker) recordServed(id string) string {
	r.withRecord(id, func(rec *record) { rec.served++ })
	return r.expectedBody(id)
}

func (r *Checker) expectedBody(id string) string {
	return fmt.Sprintf("%s %016x", id, xxhash.Sum64String(id)^r.salt)
}

// recordNotification records when a node counts as notified, which may be yet to come, that a server is draining or removed; or that it is in
// service. The earliest counts.
func (r *Checker) recordNotification(node, server string, inService bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{node, server}
	if inService {
		delete(r.notifiedAt, key)
	} else if before, ok := r.notifiedAt[key]; !ok || at < before {
		r.notifiedAt[key] = at
	}
}

// forgetNotifications lets a node's notifications go: a process that starts afresh has been told nothing.
func (r *Checker) forgetNotifications(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.notifiedAt {
		if key[0] == node {
			delete(r.notifiedAt, key)
		}
	}
}

// Account returns what became of the requests so far.
func (r *Checker) Account() Account {
	open := 0
	for i := range r.shard {
		s := &r.shard[i]
		s.Lock()
		for _, rec := range s.records {
			if rec.written != 0 && !rec.ended {
				open++
			}
		}
		s.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account
	a.Open = open
	return a
}

// Findings returns what broke a rule, in order, and the count by rule.
func (r *Checker) Findings() ([]Finding, map[Rule]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[Rule]int{}
	for k, v := range r.counts {
		counts[k] = v
	}
	found := append([]Finding(nil), r.found...)
	sort.SliceStable(found, func(i, j int) bool { return found[i].At < found[j].At })
	return found, counts
}

// summary names the rules that were broken.
func summary(counts map[Rule]int) string {
	if len(counts) == 0 {
		return "no rule broken"
	}
	var parts []string
	for rule, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
