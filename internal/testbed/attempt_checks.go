package testbed

import (
	"fmt"
	"time"
)

const (
	lateSendTolerance  = 100 * time.Millisecond // for an attempt that arrives after its client disconnected
	budgetTolerance    = 150 * time.Millisecond // by which a server's budget may exceed the client's time
	linkFaultCarryOver = 2 * time.Second        // attempts that a link fault delayed arrive within this time after its end
)

// sender is the decoded sender header of a request: the node that the client wrote the request to, and the number of
// that write. Nodes pass the header on to servers.
type sender struct {
	node        string
	writeNumber int
}

// arrivedAttempt is an attempt that a server has read completely.
type arrivedAttempt struct {
	id, server string
	from       sender
	firstByte  time.Duration // when its head had arrived
	budget     time.Duration // from its X-Budget header
}

// verdict is what a server must do with an attempt.
type verdict int

const (
	verdictRun verdict = iota
	verdictUnknown
	verdictDuplicate
)

// recordAttempt records an attempt and checks the rules on attempts. It returns what the server does with the attempt,
// the node that sent it, and its number among the attempts of its request, from 1.
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
		r.addFinding(UnknownID, a.id, "", "an attempt arrived at "+a.server)
		return verdictUnknown, "", 0
	}
	r.checkForwardedUnread(a, &rec)
	if a.from.node != "" {
		rec.node = a.from.node
	}
	if duplicate {
		v = verdictDuplicate
		detail := fmt.Sprintf("attempt %d of a request of class %s arrived at %s after an attempt that may have run",
			rec.attempts, rec.class, a.server)
		r.addFinding(DuplicateExecution, a.id, rec.node, detail)
	}
	r.checkTiming(a, &rec, lateRetry)
	if rec.attempts > r.maxAttempts {
		r.addFinding(TooManyAttempts, a.id, rec.node, fmt.Sprintf("attempt %d arrived at %s", rec.attempts, a.server))
	}
	r.checkDraining(a, rec.node)
	return v, rec.node, rec.attempts
}

// addAttempt counts an attempt. The attempt also counts as an execution, until its server reports that it did not run.
func (rec *record) addAttempt(at time.Duration) {
	rec.attempts++
	if rec.executions == 0 {
		rec.firstRun = at
	}
	rec.executions++
}

// checkForwardedUnread reports an attempt of a request whose connection the node had closed without an answer. Such a
// close tells the client that the request was not read and may be sent again.
func (r *Checker) checkForwardedUnread(a arrivedAttempt, rec *record) {
	if a.from.writeNumber == 0 || a.from.writeNumber > rec.retractedWrite {
		return
	}
	if r.intervals.overlap(a.from.node, rec.retractedAt-slack, rec.retractedAt+slack) {
		return
	}
	detail := fmt.Sprintf("arrived at %s, though the node closed its connection without an answer", a.server)
	r.addFinding(ForwardedUnread, a.id, a.from.node, detail)
}

// checkTiming checks the rules on the time at which an attempt arrives. Attempts that a link fault may have delayed are
// excused.
func (r *Checker) checkTiming(a arrivedAttempt, rec *record, lateRetry bool) {
	from := a.firstByte - linkFaultCarryOver
	if r.intervals.overlap(rec.node+"->"+a.server, from, a.firstByte) || r.intervals.overlap(a.server, from, a.firstByte) {
		return
	}
	if lateRetry {
		delay := ms(a.firstByte - rec.firstRun)
		detail := fmt.Sprintf("arrived at %s %.0f ms after the first attempt that may have run", a.server, delay)
		r.addFinding(RetryAfterWindow, a.id, rec.node, detail)
	}
	if delay := a.firstByte - rec.disconnectedAt; rec.disconnectedAt > 0 && delay > lateSendTolerance+slack {
		detail := fmt.Sprintf("arrived at %s %.0f ms after its client had disconnected", a.server, ms(delay))
		r.addFinding(SentAfterDisconnect, a.id, rec.node, detail)
	}
	if left := rec.deadline - a.firstByte; a.budget > left+budgetTolerance {
		detail := fmt.Sprintf("%s was given %.0f ms, the client had %.0f ms left", a.server, ms(a.budget), ms(left))
		r.addFinding(BudgetTooLong, a.id, rec.node, detail)
	}
}

// checkDraining reports an attempt that arrived too long after its node was notified that the server is draining or
// removed. A node that was paused is not excused: it has to read the notifications that arrived
// meanwhile before it sends an attempt.
func (r *Checker) checkDraining(a arrivedAttempt, node string) {
	r.mu.Lock()
	at, notified := r.drainNotifiedAt[nodeAndServer{node, a.server}]
	r.mu.Unlock()
	delay := a.firstByte - at
	if !notified || delay <= drainDeadline+slack {
		return
	}
	if r.intervals.overlap(node+"->"+a.server, at, a.firstByte) || r.intervals.overlap(a.server, at, a.firstByte) {
		return
	}
	detail := fmt.Sprintf("arrived at %s %.2f s after the node was notified", a.server, delay.Seconds())
	r.addFinding(SentToDraining, a.id, node, detail)
}
