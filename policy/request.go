package policy

import (
	"slices"
	"time"
)

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id           string
	class        *class
	arrived      time.Duration // when the client first sent it, as estimated
	deadline     time.Duration
	attempts     []*attempt
	inFlight     int           // its attempts that have not ended
	isRetry      bool          // the client has sent it before
	overQuota    bool          // the quota of its tenant is used up
	keyQueue     *keyQueue     // nil: it is not serialized by key
	timerAt      time.Duration // when its timer expires
	queued       bool          // in the queue of its subset
	answered     bool          // it has its final answer
	streaming    bool          // its response is being streamed to the client
	bodyConsumed bool          // its body cannot be sent again

	bodyIncomplete bool // its last byte has not arrived yet
}

// attempt is one attempt to get a response from an endpoint.
type attempt struct {
	request    *request
	endpoint   *endpoint
	zone       string
	cell       int
	sentAt     time.Duration
	responseAt time.Duration // when its streamed response began; 0: none has
	ended      bool
	neverRan   bool // its result proves that the endpoint did not run it
}

// NeverRan reports whether the result proves that the endpoint did not run the attempt.
func (r AttemptResult) NeverRan() bool {
	return r == Overloaded || r == ConnectFailed || r == NotSent
}

// mayStillRun reports whether the endpoint may go on running an attempt that has ended with the result.
func (r AttemptResult) mayStillRun() bool {
	return r == TimedOut || r == ConnectionLost || r == Canceled
}

// addAttempt adds an attempt that is sent to the target now.
func (r *request) addAttempt(target *endpoint, now time.Duration) *attempt {
	a := &attempt{
		request:  r,
		endpoint: target,
		zone:     target.Zone,
		cell:     target.Cell,
		sentAt:   now,
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return a
}

// mayHaveRun reports whether an endpoint may have run the request.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// answerDeadline returns the time until which an answer has a weight: the end of the latency objective at the
// first tier, if late answers have no weight, and the deadline otherwise. Attempts that run longer waste
// capacity of all tiers below.
func (r *request) answerDeadline(tier int) time.Duration {
	if tier == 0 && r.class.LateAnswerWeight == 0 {
		return min(r.deadline, r.arrived+r.class.LatencyObjective)
	}
	return r.deadline
}

// clientMayRetry reports whether the client may safely retry the request, whichever endpoint the retry reaches.
func (r *request) clientMayRetry() bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.class.DeduplicationScope == ScopeAll || !r.mayHaveRun()
	}
	return !r.mayHaveRun()
}

// mayBeSentTo reports whether an endpoint may get the next attempt. It must not have had one yet, and in a
// class with idempotency keys it must discard duplicates of the earlier attempts that may have run.
func (r *request) mayBeSentTo(ep *endpoint) bool {
	for _, a := range r.attempts {
		if a.endpoint == ep {
			return false
		}
		if r.class.Idempotency == IdempotentWithKey && !a.neverRan && !a.sharesDeduplication(ep) {
			return false
		}
	}
	return true
}

// sharesDeduplication reports whether an endpoint discards duplicates of the attempt.
func (a *attempt) sharesDeduplication(ep *endpoint) bool {
	switch a.request.class.DeduplicationScope {
	case ScopeAll:
		return true
	case ScopeCell:
		return a.zone == ep.Zone && a.cell == ep.Cell
	}
	return a.zone == ep.Zone
}

// awaitsResponse reports whether the attempt waits for its endpoint alone, and not for the client to send the
// rest of the body or to read a streamed response.
func (a *attempt) awaitsResponse() bool {
	return !a.request.bodyIncomplete && !a.request.streaming
}

// overdue reports whether the attempt has waited for its endpoint longer than nearly all other attempts of its
// class have to. halfway is the time at which half of that wait is over.
func (a *attempt) overdue(now time.Duration) (overdue bool, halfway time.Duration) {
	c := a.request.class
	wait := time.Duration(c.meanLatency + overdueDeviations*c.latencyDeviation)
	return now-a.sentAt > wait && a.awaitsResponse(), a.sentAt + wait/2
}

// latency returns the time from sending to the response, or to the start of a streamed one, since the client
// determines how long the rest takes.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.responseAt > 0 {
		return a.responseAt - a.sentAt
	}
	return now - a.sentAt
}
