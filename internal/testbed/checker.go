package testbed

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	recordShards = 64
	maxFindings  = 1000 // findings kept; more are only counted
	bodySalt     = 0x9e3779b97f4a7c15
)

// Checker checks the invariants of the platform. It keeps one record for each request id, both of clients and of
// servers that call the next tier. All methods are safe for concurrent use.
type Checker struct {
	now             func() time.Duration
	intervals       *intervals
	nonIdempotent   map[string]bool          // by class
	dedupWindows    map[string]time.Duration // by class with an idempotency key
	maxAttempts     int                      // of one id
	salt            uint64
	shards          [recordShards]recordShard
	mu              sync.Mutex // guards what follows
	found           []Finding
	counts          map[Rule]int
	account         Account
	drainNotifiedAt map[nodeAndServer]time.Duration
}

// nodeAndServer is the key of what one node knows of one server.
type nodeAndServer struct{ node, server string }

// recordShard holds the records of some ids.
type recordShard struct {
	sync.Mutex
	records map[string]*record
}

// record is what is known of one request id.
type record struct {
	class       string
	node        string
	writing     int           // how often it was written: again after a close that crossed it unread
	retracted   int           // the last writing that was retracted
	retractedAt time.Duration // when that was
	deadline    time.Duration // when the client's time ends
	written     time.Duration // completely, to a node; 0: not yet
	ended       bool
	attempts    int
	executions  int           // attempts that may have run
	served      int           // complete answers that servers made
	firstRun    time.Duration // when the first attempt that may have run came
	leftAt      time.Duration // when the client disconnected; 0: it has not
}

func newChecker(w *World, now func() time.Duration, excused *intervals) *Checker {
	r := &Checker{
		now:             now,
		intervals:       excused,
		nonIdempotent:   map[string]bool{},
		dedupWindows:    map[string]time.Duration{},
		maxAttempts:     w.Limits.MaxAttempts,
		salt:            w.Seed ^ bodySalt,
		counts:          map[Rule]int{},
		drainNotifiedAt: map[nodeAndServer]time.Duration{},
	}
	for _, c := range w.Classes {
		r.nonIdempotent[c.Name] = c.Effect == NotIdempotent
		if c.Effect == IdempotentWithKey {
			r.dedupWindows[c.Name] = c.Window
		}
	}
	for i := range r.shards {
		r.shards[i].records = map[string]*record{}
	}
	return r
}

func (r *Checker) shardOf(id string) *recordShard {
	return &r.shards[xxhash.Sum64String(id)%recordShards]
}

// withRecord calls f on the record of an id with its shard locked. It reports whether there is one.
func (r *Checker) withRecord(id string, f func(*record)) bool {
	s := r.shardOf(id)
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
	s := r.shardOf(id)
	s.Lock()
	defer s.Unlock()
	s.records[id] = &record{class: class, deadline: deadline}
}

// beginWrite records which node a request is about to be written to, and returns the number of that writing.
func (r *Checker) beginWrite(id, node string) (writing int) {
	r.withRecord(id, func(rec *record) {
		rec.node = node
		rec.writing++
		writing = rec.writing
	})
	return writing
}

// recordWritten records that a request is complete at a node's connection: the node has accepted it.
func (r *Checker) recordWritten(id string, at time.Duration) {
	r.withRecord(id, func(rec *record) { rec.written = at })
	r.updateAccount(func(a *Account) { a.Taken++ })
}

// retractUnread takes a request back whose connection ended without an answer, as it crossed the node's close. It
// reports whether that is possible: not if a server has the request, or if the node is known to have read all of it.
func (r *Checker) retractUnread(id string, allRead bool) (unread bool) {
	r.withRecord(id, func(rec *record) {
		unread = rec.attempts == 0 && !allRead
		if unread {
			rec.written = 0
			rec.retracted = rec.writing
			rec.retractedAt = r.now()
		}
	})
	if unread {
		r.updateAccount(func(a *Account) {
			a.Taken--
			a.Unread++
		})
	}
	return unread
}

// recordAnswer records that a request got its answer. A 200 must carry what a server made.
func (r *Checker) recordAnswer(id string, status int, body string, checkBody bool) {
	var foreign, node string
	r.withRecord(id, func(rec *record) {
		rec.ended = true
		node = rec.node
		if status == 200 && checkBody && (rec.served == 0 || body != r.expectedBody(id)) {
			foreign = fmt.Sprintf("%d servers served it, the body is %.60q", rec.served, body)
		}
	})
	r.updateAccount(func(a *Account) { a.Answered++ })
	if foreign != "" {
		r.addFinding(ForeignAnswer, id, node, foreign)
	}
}

// recordDisconnect records that the client of an accepted request disconnected before the answer.
func (r *Checker) recordDisconnect(id string) {
	r.withRecord(id, func(rec *record) {
		rec.ended = true
		rec.leftAt = r.now()
	})
	r.updateAccount(func(a *Account) { a.Left++ })
}

// recordUnanswered records that an accepted request will get no answer: its connection broke, or its time and the slack
// are over. It is a finding unless the testbed itself is the cause.
func (r *Checker) recordUnanswered(id, client, how string) {
	var rec record
	r.withRecord(id, func(p *record) {
		p.ended = true
		rec = *p
	})
	now := r.now()
	if r.excusesLoss(&rec, client, now) {
		r.updateAccount(func(a *Account) { a.CutOff++ })
		return
	}
	r.updateAccount(func(a *Account) { a.Lost++ })
	detail := fmt.Sprintf(
		"%s, %.0f ms after it was written, deadline %.3fs",
		how,
		ms(now-rec.written),
		rec.deadline.Seconds(),
	)
	r.addFinding(Lost, id, rec.node, detail)
}

// excusesLoss reports whether the testbed had disturbed the client, the node or a direction between them.
func (r *Checker) excusesLoss(rec *record, client string, now time.Duration) bool {
	from := rec.written - slack
	for _, part := range []string{rec.node, client + "->" + rec.node, rec.node + "->" + client, client} {
		if r.intervals.overlap(part, from, now) {
			return true
		}
	}
	return false
}

// recordUnexpectedAnswer records that a node answered a request that already had its answer.
func (r *Checker) recordUnexpectedAnswer(id, node, what string) {
	r.addFinding(AnsweredTwice, id, node, "an answer came when none was pending: "+what)
}

// Report adds a finding that does not concern a single request.
func (r *Checker) Report(rule Rule, node, detail string) { r.addFinding(rule, "", node, detail) }

// recordNotRun takes back an execution that its server rejected.
func (r *Checker) recordNotRun(id string) {
	r.withRecord(id, func(rec *record) { rec.executions-- })
}

// recordServed records that a server made an answer, and returns the answer's body.
func (r *Checker) recordServed(id string) string {
	r.withRecord(id, func(rec *record) { rec.served++ })
	return r.expectedBody(id)
}

func (r *Checker) expectedBody(id string) string {
	return fmt.Sprintf("%s %016x", id, xxhash.Sum64String(id)^r.salt)
}

// recordNotification records when a node counts as notified, possibly in the future, that a server is draining or
// removed, or that it is in service again. The earliest notification counts.
func (r *Checker) recordNotification(node, server string, inService bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := nodeAndServer{node, server}
	if inService {
		delete(r.drainNotifiedAt, key)
		return
	}
	if before, ok := r.drainNotifiedAt[key]; !ok || at < before {
		r.drainNotifiedAt[key] = at
	}
}

// forgetNotifications drops what a node was notified of: a new process knows nothing of it.
func (r *Checker) forgetNotifications(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.drainNotifiedAt {
		if key.node == node {
			delete(r.drainNotifiedAt, key)
		}
	}
}

// Account returns what became of the requests so far.
func (r *Checker) Account() Account {
	open := 0
	for i := range r.shards {
		open += r.shards[i].countOpen()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account
	a.Open = open
	return a
}

// countOpen returns how many requests were accepted and have not ended.
func (s *recordShard) countOpen() (open int) {
	s.Lock()
	defer s.Unlock()
	for _, rec := range s.records {
		if rec.written != 0 && !rec.ended {
			open++
		}
	}
	return open
}

// Findings returns the violations in order of time, and their count by rule.
func (r *Checker) Findings() ([]Finding, map[Rule]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := slices.Clone(r.found)
	sort.SliceStable(found, func(i, j int) bool { return found[i].At < found[j].At })
	return found, maps.Clone(r.counts)
}
