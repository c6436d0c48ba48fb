package membership

import (
	"maps"
	"slices"
	"time"
)

// Timeouts and bounds of a process's own probes. They run after the failure detector's suspicion timeout, which is kept
// short for that reason.
const (
	// maxInquiries limits the number of open inquiries; those into processes that the detector suspects or reports dead
	// are opened even beyond it. It also limits the number of processes probed in one tick: those without an answer for
	// the longest time are probed first.
	maxInquiries     = 16
	indirectProbes   = 3  // other processes that are asked about a probed one
	maxVerifiedFleet = 64 // in a larger fleet the probes of all members would flood a suspect

	// A process that the detector reports dead is confirmed dead after this time and this many probes without an answer.
	suspectTimeout = 900 * time.Millisecond
	suspectProbes  = 6

	// A process without direct or indirect answers is confirmed dead, although the detector has not reported it dead,
	// after this time and this many probes.
	silenceTimeout = 1600 * time.Millisecond
	silenceProbes  = 10

	// answerValidity is the age up to which an echo of this process's own vote counts as an answer. Half of it is the
	// age up to which an answer counts as recent.
	answerValidity = time.Second

	// silenceThreshold is the time without any answer after which this process probes all others. Normally some probe
	// of the detector is answered every 400 ms.
	silenceThreshold  = 500 * time.Millisecond
	sendFailureAfter  = 600 * time.Millisecond  // without any answer: this process does not lead
	disconnectedAfter = 1200 * time.Millisecond // without any answer: this process confirms no process dead
	disconnectedLimit = 20 * time.Second        // without any answer: this process confirms deaths again, cut off or not
	indirectValidity  = 10 * time.Second        // age of an inquiry from which indirect answers no longer count
)

// reachability holds the results of this process's own probes: which processes have answered it, and which have
// answered another process. A report of the failure detector only starts an inquiry, and the answers to this process's
// own probes decide: a process that the detector reports dead stays a suspect while it answers, and one without any
// answer is confirmed dead even if the detector does not report it.
//
// Only a round trip counts as an answer. A received packet proves little: a process that can send but not receive
// suspects all others and continues to send. If no other process answers this one, this process assumes that it is
// itself cut off: until an answer arrives or 20 s have passed, it confirms no process dead and does not lead. The first
// answer after that proves only that this process receives again, and nothing about the processes that have not
// answered. Their inquiries therefore start again.
type reachability struct {
	answeredAt   map[string]time.Duration // by process ID: time of its last answer to this process
	indirectAt   map[string]time.Duration // by process ID: when another process last reported an answer from it
	inquiries    map[string]*inquiry      // by process ID: the open inquiries
	reportedDead map[string]time.Duration // by process ID: when the detector reported it dead; until it is confirmed
	// unreported has, by ID, the processes that were confirmed dead without a report of the detector. The detector will
	// not report their return either.
	unreported map[string]bool
	lastAnswer time.Duration // when any process last answered this one
}

// inquiry is a series of probes of one process that have not been answered yet.
type inquiry struct {
	since  time.Duration
	probes int
}

// assessment is the current result of an inquiry.
type assessment int

const (
	assessmentOpen      assessment = iota // undecided
	assessmentReachable                   // has answered, and is not reported dead
	assessmentSuspect                     // reported dead, but not confirmed
	assessmentDead                        // confirmed dead
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

// recordAnswer records a round trip with a process. It reports whether the process had been confirmed dead without a
// report of the detector.
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

// recordIndirect records that a process has answered another one.
func (r *reachability) recordIndirect(id string, now time.Duration) { r.indirectAt[id] = now }

// recordUnreported records that a process was confirmed dead without a report of the detector.
func (r *reachability) recordUnreported(id string) { r.unreported[id] = true }

// reachableAt returns when a process last answered this one, or when another process last reported an answer from it.
// It returns -1 if neither has happened.
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

// answeredRecently reports whether a process has answered this one within half of answerValidity.
func (r *reachability) answeredRecently(id string, now time.Duration) bool {
	at, answered := r.answeredAt[id]
	return answered && now-at <= answerValidity/2
}

// forget deletes all that is known about a process.
func (r *reachability) forget(id string) {
	delete(r.answeredAt, id)
	delete(r.indirectAt, id)
	delete(r.reportedDead, id)
	delete(r.inquiries, id)
	delete(r.unreported, id)
}

// openInquiry opens an inquiry into a process, unless there is one.
func (r *reachability) openInquiry(id string, now time.Duration) {
	if _, open := r.inquiries[id]; !open {
		r.inquiries[id] = &inquiry{since: now}
	}
}

// restartInquiries starts all open inquiries again, because missing answers prove nothing for the time in which this
// process could not receive.
func (r *reachability) restartInquiries(now time.Duration) {
	for _, open := range r.inquiries {
		*open = inquiry{since: now}
	}
}

func (r *reachability) closeInquiry(id string) { delete(r.inquiries, id) }

func (r *reachability) hasInquiry(id string) bool { return r.inquiries[id] != nil }

// recordProbe counts a probe of an open inquiry.
func (r *reachability) recordProbe(id string) { r.inquiries[id].probes++ }

// openInquiryIDs returns the IDs of the processes with an open inquiry.
func (r *reachability) openInquiryIDs() []string { return slices.Collect(maps.Keys(r.inquiries)) }

func (r *reachability) inquiryCount() int { return len(r.inquiries) }

// reportDead records that the failure detector has reported a process dead, and opens an inquiry into it.
func (r *reachability) reportDead(id string, now time.Duration) {
	r.openInquiry(id, now)
	if !r.isReportedDead(id) {
		r.reportedDead[id] = now
	}
}

// reportLive records that the failure detector has reported a process live, which revokes an earlier report that it is
// dead.
func (r *reachability) reportLive(id string) {
	delete(r.reportedDead, id)
	delete(r.unreported, id)
}

// reportedDeadIDs returns the IDs of the processes that the failure detector has reported dead, and that are not
// confirmed dead.
func (r *reachability) reportedDeadIDs() []string { return slices.Collect(maps.Keys(r.reportedDead)) }

func (r *reachability) isReportedDead(id string) bool {
	_, reported := r.reportedDead[id]
	return reported
}

// silence returns the time since the last answer of any process to this one.
func (r *reachability) silence(now time.Duration) time.Duration { return now - r.lastAnswer }

// assess returns the current result of an open inquiry. While this process is disconnected, the result is
// never assessmentDead.
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

// probeTargets returns the IDs of the processes to probe now: those with an open inquiry that have not answered for
// the longest time, up to maxInquiries.
func (r *reachability) probeTargets() []string {
	byAge := func(a, b string) int { return int(r.reachableAt(a) - r.reachableAt(b)) }
	ids := slices.SortedFunc(maps.Keys(r.inquiries), byAge)
	return ids[:min(len(ids), maxInquiries)]
}
