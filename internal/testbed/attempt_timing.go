// What an attempt owes to the time at which it comes, and to the request that it passes on.

package testbed

import (
	"fmt"
	"time"
)

// sender is the node that an attempt comes from, as a header that nodes pass on tells, and which writing of the request it
// passes on.
type sender struct {
	node    string
	writing int
}

// checkTiming checks what an attempt owes to the time at which it came. What a faulty link has delayed is excused.
func (r *Checker) checkTiming(id, server string, rec *record, first, given time.Duration, lateRepeat bool) {
	if r.intervals.overlap(rec.node+"->"+server, first-linkFaultCarryOver, first) || r.intervals.overlap(server, first-linkFaultCarryOver, first) {
		return
	}
	if lateRepeat {
		r.addFinding(RetryAfterWindow, id, rec.node, fmt.Sprintf("came to %s %.0f ms after the first that may have run", server, ms(first-rec.firstRan)))
	}
	if sinceDisconnect := first - rec.leftAt; rec.leftAt > 0 && sinceDisconnect > lateSendTolerance+slack {
		r.addFinding(SentAfterDisconnect, id, rec.node, fmt.Sprintf("came to %s %.0f ms after its client had disconnected", server, ms(sinceDisconnect)))
	}
	if left := rec.deadline - first; given > left+budgetTolerance {
		r.addFinding(BudgetTooLong, id, rec.node, fmt.Sprintf("%s was given %.0f ms, the client had %.0f ms left", server, ms(given), ms(left)))
	}
}
