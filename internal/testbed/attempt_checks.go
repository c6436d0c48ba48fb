package testbed

import (
	"fmt"
	"time"
)

// Tolerances of the rules on attempts after a disconnect and on the time that servers are given.
const (
	lateSendTolerance  = 100 * time.Millisecond
	budgetTolerance    = 150 * time.Millisecond
	linkFaultCarryOver = 2 * time.Second // attempts that a faulty link delays come so soon after the fault
)

// sender is the node that forwarded an attempt, as a header that nodes pass through tells, and the number of the
// writing that it forwards.
type sender struct {
	node    string
	writing int
}

// arrivedAttempt is an attempt that came completely to a server.
type arrivedAttempt struct {
	id, server string
	from       sender
	firstByte  time.Duration // when its first byte came
	budget     time.Duration // that its header gives to the server
}

// verdict says what a server does with an attempt.
type verdict int

const (
	verdictRun verdict = iota
	verdictUnknown
	verdictDuplicate
)

// recordAttempt records an attempt and checks the rules on attempts. It returns what to do with it, which node has sent
// it and the number of the attempt of its request.
func (r *Checker) recordAttempt(a arrivedAttempt) (v verdict, node string, number int) {
	var rec record
	duplicate, lateRetry := false, false
	known := r.withRecord(a.id, func(p *record) {
		duplicate = p.executions > 0 && r.nonIdempotent[p.class]
		window := r.dedupWindows[p.class]
		lateRetry = window > 0 && p.executions > 0 && a.firstByte > p.firstRun+window+slack
		p.addAttempt(a.firstByte)
		rec = *p
	})
	if !known {
		r.addFinding(UnknownID, a.id, "", "came to "+a.server)
		return verdictUnknown, "", 0
	}
	r.checkForwardedUnread(a, &rec)
	if a.from.node != "" {
		rec.node = a.from.node
	}
	if duplicate {
		v = verdictDuplicate
		detail := fmt.Sprintf("attempt %d of a %s came to %s after one that may have run", rec.attempts, rec.class, a.server)
		r.addFinding(DuplicateExecution, a.id, rec.node, detail)
	}
	r.checkTiming(a, &rec, lateRetry)
	if rec.attempts > r.maxAttempts {
		r.addFinding(TooManyAttempts, a.id, rec.node, fmt.Sprintf("attempt %d came to %s", rec.attempts, a.server))
	}
	r.checkDraining(a, rec.node)
	return v, rec.node, rec.attempts
}

// addAttempt counts an attempt as executed, until its server reports that it never ran.
func (rec *record) addAttempt(at time.Duration) {
	rec.attempts++
	if rec.executions == 0 {
		rec.firstRun = at
	}
	rec.executions++
}

// checkForwardedUnread finds an attempt of a writing that its node gave back unread by closing the connection.
func (r *Checker) checkForwardedUnread(a arrivedAttempt, rec *record) {
	if a.from.writing == 0 || a.from.writing > rec.retracted {
		return
	}
	if r.intervals.overlap(a.from.node, rec.retractedAt-slack, rec.retractedAt+slack) {
		return
	}
	detail := fmt.Sprintf("came to %s, though its connection was closed with no answer", a.server)
	r.addFinding(ForwardedUnread, a.id, a.from.node, detail)
}

// checkTiming checks the rules on the time at which an attempt comes. What a faulty link has delayed is excused.
func (r *Checker) checkTiming(a arrivedAttempt, rec *record, lateRetry bool) {
	from := a.firstByte - linkFaultCarryOver
	if r.intervals.overlap(rec.node+"->"+a.server, from, a.firstByte) || r.intervals.overlap(a.server, from, a.firstByte) {
		return
	}
	if lateRetry {
		delay := ms(a.firstByte - rec.firstRun)
		detail := fmt.Sprintf("came to %s %.0f ms after the first that may have run", a.server, delay)
		r.addFinding(RetryAfterWindow, a.id, rec.node, detail)
	}
	if delay := a.firstByte - rec.leftAt; rec.leftAt > 0 && delay > lateSendTolerance+slack {
		detail := fmt.Sprintf("came to %s %.0f ms after its client had disconnected", a.server, ms(delay))
		r.addFinding(SentAfterDisconnect, a.id, rec.node, detail)
	}
	if left := rec.deadline - a.firstByte; a.budget > left+budgetTolerance {
		detail := fmt.Sprintf("%s was given %.0f ms, the client had %.0f ms left", a.server, ms(a.budget), ms(left))
		r.addFinding(BudgetTooLong, a.id, rec.node, detail)
	}
}

// checkDraining finds an attempt that came too long after its node was notified that the server drains. A node that was
// stopped is not excused: it has to read what came meanwhile before it sends.
func (r *Checker) checkDraining(a arrivedAttempt, node string) {
	r.mu.Lock()
	at, notified := r.drainNotifiedAt[nodeAndServer{node, a.server}]
	r.mu.Unlock()
	delay := a.firstByte - at
	if !notified || delay <= drainWithin+slack {
		return
	}
	if r.intervals.overlap(node+"->"+a.server, at, a.firstByte) || r.intervals.overlap(a.server, at, a.firstByte) {
		return
	}
	detail := fmt.Sprintf("came to %s %.2f s after the node was notified", a.server, delay.Seconds())
	r.addFinding(SentToDraining, a.id, node, detail)
}
