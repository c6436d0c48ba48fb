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
	maxFindings  = 1000 // findings that are stored; further ones are only counted
	bodySalt     = 0x9e3779b97f4a7c15
)

// Checker is the invariant checker. It keeps one record per request ID, both for requests of clients and for calls of
// servers to the next tier. All methods are safe for concurrent use.
type Checker struct {
	now             func() time.Duration
	intervals       *intervals
	nonIdempotent   map[string]bool          // by class name
	dedupWindows    map[string]time.Duration // by class name; only classes with an idempotency key
	maxAttempts     int                      // allowed per request
	salt            uint64
	shards          [recordShards]recordShard
	mu              sync.Mutex // guards the fields below
	findings        []Finding
	counts          map[Rule]int
	account         Account
	drainNotifiedAt map[nodeAndServer]time.Duration
}

// nodeAndServer identifies a pair of a node and a server.
type nodeAndServer struct{ node, server string }

// recordShard holds the records of the request IDs that hash to it.
type recordShard struct {
	sync.Mutex
	records map[string]*record
}

// record holds what is known of one request.
type record struct {
	class          string
	node           string        // to which the request was last written
	writes         int           // number of writes: a request that a node closed unread is written again
	retractedWrite int           // number of the last write that was retracted
	retractedAt    time.Duration // when that write was retracted
	deadline       time.Duration // of the client
	written        time.Duration // when it was completely written to a node; 0: not yet
	ended          bool
	attempts       int           // that arrived at servers
	executions     int           // attempts that may have run
	served         int           // complete answers that servers made
	firstRun       time.Duration // when the first attempt that may have run arrived
	disconnectedAt time.Duration // when the client disconnected; 0: it has not
}

func newChecker(w *World, now func() time.Duration, disturbed *intervals) *Checker {
	r := &Checker{
		now:             now,
		intervals:       disturbed,
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

// withRecord calls f on the record of a request ID while its shard is locked. It reports whether there is a record.
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
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{At: at, Rule: rule, ID: id, Node: node, Detail: detail})
	}
}

func (r *Checker) updateAccount(f func(*Account)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.account)
}

// begin creates the record of a request. It is called before the first byte of the request is written.
func (r *Checker) begin(id, class string, deadline time.Duration) {
	s := r.shardOf(id)
	s.Lock()
	defer s.Unlock()
	s.records[id] = &record{class: class, deadline: deadline}
}

// beginWrite records the node that a request is about to be written to, and returns the number of this write, from 1.
func (r *Checker) beginWrite(id, node string) (writeNumber int) {
	r.withRecord(id, func(rec *record) {
		rec.node = node
		rec.writes++
		writeNumber = rec.writes
	})
	return writeNumber
}

// recordWritten records that a request was completely written to a connection, which counts as accepted by the node.
func (r *Checker) recordWritten(id string, at time.Duration) {
	r.withRecord(id, func(rec *record) { rec.written = at })
	r.updateAccount(func(a *Account) { a.Taken++ })
}

// retractUnread marks a request as not accepted, because the node closed the connection before it read the request. It
// changes nothing and returns false if an attempt has arrived at a server or the node is known to have read all of it.
func (r *Checker) retractUnread(id string, allRead bool) (unread bool) {
	r.withRecord(id, func(rec *record) {
		unread = rec.attempts == 0 && !allRead
		if unread {
			rec.written = 0
			rec.retractedWrite = rec.writes
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

// recordAnswer records that a request was answered. If checkBody is true, it reports a 200 whose body is not the one
// that a server made for this request.
func (r *Checker) recordAnswer(id string, status int, body string, checkBody bool) {
	var foreign, node string
	r.withRecord(id, func(rec *record) {
		rec.ended = true
		node = rec.node
		if status == 200 && checkBody && (rec.served == 0 || body != r.expectedBody(id)) {
			foreign = fmt.Sprintf("%d servers answered the request, the client got the body %.60q", rec.served, body)
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
		rec.disconnectedAt = r.now()
	})
	r.updateAccount(func(a *Account) { a.Left++ })
}

// recordUnanswered records that an accepted request will get no answer: its connection broke, or its deadline and the
// slack have passed. It reports a finding unless a fault of the test bed excuses the loss.
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

// excusesLoss reports whether a fault of the test bed affected the client, the node or a direction of the link between
// them, from shortly before the request was written until now.
func (r *Checker) excusesLoss(rec *record, client string, now time.Duration) bool {
	from := rec.written - slack
	for _, part := range []string{rec.node, client + "->" + rec.node, rec.node + "->" + client, client} {
		if r.intervals.overlap(part, from, now) {
			return true
		}
	}
	return false
}

// recordUnexpectedAnswer reports that a node sent an answer while none was pending. The ID is that of the last request
// that was answered on the connection.
func (r *Checker) recordUnexpectedAnswer(id, node, what string) {
	r.addFinding(AnsweredTwice, id, node, "got an answer while none was pending: "+what)
}

// Report adds a finding that is not about a particular request.
func (r *Checker) Report(rule Rule, node, detail string) { r.addFinding(rule, "", node, detail) }

// recordNotRun records that a server rejected an attempt without running it, so that it does not count as an execution.
func (r *Checker) recordNotRun(id string) {
	r.withRecord(id, func(rec *record) { rec.executions-- })
}

// recordServed records that a server answered a request, and returns the body of the answer.
func (r *Checker) recordServed(id string) string {
	r.withRecord(id, func(rec *record) { rec.served++ })
	return r.expectedBody(id)
}

func (r *Checker) expectedBody(id string) string {
	return fmt.Sprintf("%s %016x", id, xxhash.Sum64String(id)^r.salt)
}

// recordNotification records the time, possibly in the future, from which a node counts as notified that a server is
// draining or removed, or with inService that it is in service again. The earliest notification counts.
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

// forgetNotifications drops the notifications of a node whose process is replaced: the new process has received none.
func (r *Checker) forgetNotifications(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.drainNotifiedAt {
		if key.node == node {
			delete(r.drainNotifiedAt, key)
		}
	}
}

// Account returns the counts of the requests so far, by how they ended.
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

// countOpen returns the number of requests that were accepted and have not ended.
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

// Findings returns the findings in order of time, at most maxFindings of them, and the count of all by rule.
func (r *Checker) Findings() ([]Finding, map[Rule]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := slices.Clone(r.findings)
	sort.SliceStable(found, func(i, j int) bool { return found[i].At < found[j].At })
	return found, maps.Clone(r.counts)
}
