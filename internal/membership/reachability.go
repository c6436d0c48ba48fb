package membership

import (
	"maps"
	"slices"
	"time"
)

// Times of a process's own probes. They come on top of the failure detector's suspicion, which is short for it.
const (
	maxInquiries      = 16                      // at a time, but for those that the detector reports; least known first
	indirectProbes    = 3                       // other processes that are asked about one
	maxVerifiedFleet  = 64                      // in a larger fleet probes by all would flood the suspect
	suspectTimeout    = 900 * time.Millisecond  // a process that the detector reports dead answers within, or is dead,
	suspectProbes     = 6                       // and was probed so often meanwhile
	silenceTimeout    = 1600 * time.Millisecond // one that answers nobody for so long is dead without a report,
	silenceProbes     = 10                      // and was probed so often
	answerValidity    = time.Second
	silenceThreshold  = 500 * time.Millisecond // without any answer: a probe is answered in each 400 ms
	sendFailureAfter  = 600 * time.Millisecond
	disconnectedAfter = 1200 * time.Millisecond
	disconnectedLimit = 20 * time.Second // then all that are silent are dead, whoever is cut off
	indirectValidity  = 10 * time.Second // of an inquiry: then indirect answers count no more
)

// reachability is what this process knows of the others by its own probes: who has answered it, and who has answered
// another one. The failure detector advises, own answers decide: a process that the detector reports dead is kept as a
// suspect while it answers, and one that answers nobody is confirmed dead without a report.
//
// A packet alone proves little: a process with a receive failure still sends, and suspects everybody. Only a round trip
// counts. A process that has none with anybody, though there are others, takes itself for the one that is cut off: it
// confirms nobody dead and leads nobody, until an answer comes or 20 s are over. The answer shows that it can hear
// again, and nothing of the others: their inquiries begin anew.
type reachability struct {
	answeredAt   map[string]time.Duration // by process ID: its last answer to this process
	indirectAt   map[string]time.Duration // its last answer to another process that reported so
	inquiries    map[string]*inquiry
	reportedDead map[string]time.Duration // by the failure detector, and not confirmed yet
	unreported   map[string]bool          // confirmed dead without a report: the detector will not report a return either
	lastAnswer   time.Duration            // of any process
}

// inquiry is a series of probes of a process without an answer yet.
type inquiry struct {
	since  time.Duration
	probes int
}

// assessment is the result of an inquiry so far.
type assessment int

const (
	assessmentOpen      assessment = iota // not known yet
	assessmentReachable                   // answers, and is not reported dead
	assessmentSuspect                     // reported dead, and may answer yet
	assessmentDead
)

func newReachability() *reachability {
	return &reachability{
		answeredAt:   map[string]time.Duration{},
		indirectAt:   map[string]time.Duration{},
		inquiries:    map[string]*inquiry{},
		reportedDead: map[string]time.Duration{},
		unreported:   map[string]bool{},
	}
}

// recordAnswer notes a round trip with a process, and reports whether it was confirmed dead without a report.
func (r *reachability) recordAnswer(id string, now time.Duration) (unreported bool) {
	unreported = r.unreported[id]
	delete(r.unreported, id)
	if r.silence(now) > disconnectedAfter {
		r.restartInquiries(now)
	}
	r.answeredAt[id] = now
	r.lastAnswer = now
	r.closeInquiry(id)
	return unreported
}

// recordIndirect notes that a process has answered another one.
func (r *reachability) recordIndirect(id string, now time.Duration) { r.indirectAt[id] = now }

// recordUnreported notes that a process was confirmed dead without a report.
func (r *reachability) recordUnreported(id string) { r.unreported[id] = true }

// reachableAt is when a process last answered this one, or another that reported so; -1: never.
func (r *reachability) reachableAt(id string) time.Duration {
	at := time.Duration(-1)
	if answered, ok := r.answeredAt[id]; ok {
		at = answered
	}
	if indirect, ok := r.indirectAt[id]; ok {
		at = max(at, indirect)
	}
	return at
}

// answeredRecently reports whether a process has answered this one lately.
func (r *reachability) answeredRecently(id string, now time.Duration) bool {
	at, answered := r.answeredAt[id]
	return answered && now-at <= answerValidity/2
}

// forget drops what is known of a process.
func (r *reachability) forget(id string) {
	delete(r.answeredAt, id)
	delete(r.indirectAt, id)
	delete(r.reportedDead, id)
	delete(r.inquiries, id)
	delete(r.unreported, id)
}

// inquire begins to probe a process.
func (r *reachability) inquire(id string, now time.Duration) {
	if _, open := r.inquiries[id]; !open {
		r.inquiries[id] = &inquiry{since: now}
	}
}

// restartInquiries begins all open inquiries anew: what was silent while this process could hear nobody proves nothing.
func (r *reachability) restartInquiries(now time.Duration) {
	for _, open := range r.inquiries {
		*open = inquiry{since: now}
	}
}

func (r *reachability) closeInquiry(id string) { delete(r.inquiries, id) }

func (r *reachability) isInquired(id string) bool { return r.inquiries[id] != nil }

// recordProbe counts a probe of an open inquiry.
func (r *reachability) recordProbe(id string) { r.inquiries[id].probes++ }

// inquired are the processes with an open inquiry.
func (r *reachability) inquired() []string { return slices.Collect(maps.Keys(r.inquiries)) }

func (r *reachability) openInquiries() int { return len(r.inquiries) }

// reportDead takes the failure detector's report.
func (r *reachability) reportDead(id string, now time.Duration) {
	r.inquire(id, now)
	if !r.isReportedDead(id) {
		r.reportedDead[id] = now
	}
}

// reportLive ends what was reported before.
func (r *reachability) reportLive(id string) {
	delete(r.reportedDead, id)
	delete(r.unreported, id)
}

// reported are the processes that the failure detector has reported dead, and that are not confirmed.
func (r *reachability) reported() []string { return slices.Collect(maps.Keys(r.reportedDead)) }

func (r *reachability) isReportedDead(id string) bool {
	_, reported := r.reportedDead[id]
	return reported
}

// silence is for how long nobody has answered this process.
func (r *reachability) silence(now time.Duration) time.Duration { return now - r.lastAnswer }

// assess weighs an open inquiry. A process that is itself disconnected confirms nobody dead.
func (r *reachability) assess(id string, now time.Duration, disconnected bool) assessment {
	inquiry := r.inquiries[id]
	reported := r.isReportedDead(id)
	reachableAt := r.reachableAt(id)
	if now-inquiry.since > indirectValidity {
		reachableAt = r.answeredAt[id]
	}
	silent := now - max(inquiry.since, reachableAt)
	switch {
	case reachableAt >= inquiry.since && !reported:
		return assessmentReachable
	case !disconnected && reported && silent >= suspectTimeout && inquiry.probes >= suspectProbes:
		return assessmentDead
	case reported:
		return assessmentSuspect
	case !disconnected && silent >= silenceTimeout && inquiry.probes >= silenceProbes && r.answeredAt[id] > 0:
		return assessmentDead
	}
	return assessmentOpen
}

// longestUnknown are the processes to probe now: those of which nothing is known for the longest time.
func (r *reachability) longestUnknown() []string {
	byAge := func(a, b string) int { return int(r.reachableAt(a) - r.reachableAt(b)) }
	ids := slices.SortedFunc(maps.Keys(r.inquiries), byAge)
	return ids[:min(len(ids), maxInquiries)]
}
