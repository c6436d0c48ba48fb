package policy

import (
	"slices"
	"time"
)

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id           string
	class        *class
	arrived      time.Duration // when the client first sent it
	deadline     time.Duration
	attempts     []*attempt
	inFlight     int           // number of its attempts
	isRetry      bool          // by the client
	overQuota    bool          // of its tenant
	keyQueue     *keyQueue     // nil: it is not serialized
	timerAt      time.Duration // when its timer expires
	queued       bool          // in the queue of its subset
	answered     bool          // has its final answer
	streaming    bool          // its response has begun
	bodyConsumed bool          // it cannot be sent again

	bodyIncomplete bool // its last byte has not arrived yet
}

// attempt is one attempt to get a response from an endpoint.
type attempt struct {
	request    *request
	endpoint   *endpoint
	zone       string
	cell       int
	sentAt     time.Duration
	responseAt time.Duration // when its response began, where that is streamed
	ended      bool
	neverRan   bool // proven
}

// neverRan says that the endpoint did not run the attempt.
func (r AttemptResult) neverRan() bool {
	return r == Overloaded || r == ConnectFailed || r == NotSent
}

// mayRunOn says that an attempt with this result may still run.
func (r AttemptResult) mayRunOn() bool {
	return r == TimedOut || r == ConnectionLost || r == Canceled
}

// addAttempt starts an attempt at an endpoint.
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

// mayHaveRun says that an endpoint may have run the request.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// usefulUntil is until when an answer counts. Attempts that run longer waste capacity of all tiers below.
func (r *request) usefulUntil(tier int) time.Duration {
	if tier == 0 && r.class.LateAnswerWeight == 0 {
		return min(r.deadline, r.arrived+r.class.LatencyObjective)
	}
	return r.deadline
}

// retryIsHarmless says that the client may retry the request at any endpoint.
func (r *request) retryIsHarmless() bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.class.DeduplicationScope == ScopeAll || !r.mayHaveRun()
	}
	return !r.mayHaveRun()
}

// mayBeSentTo says that an endpoint may get the next attempt: it has had none, and discards duplicates of
// the earlier attempts where that is necessary.
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

// sharesDeduplication says that an endpoint discards duplicates of the attempt.
func (a *attempt) sharesDeduplication(ep *endpoint) bool {
	switch a.request.class.DeduplicationScope {
	case ScopeAll:
		return true
	case ScopeCell:
		return a.zone == ep.Zone && a.cell == ep.Cell
	}
	return a.zone == ep.Zone
}

// awaitsResponse says that the attempt waits for its endpoint only, and not for the client.
func (a *attempt) awaitsResponse() bool {
	return !a.request.bodyIncomplete && !a.request.streaming
}

// overdue says that the attempt has taken longer than nearly all others of its class. halfway is when half
// of that time was over.
func (a *attempt) overdue(now time.Duration) (overdue bool, halfway time.Duration) {
	c := a.request.class
	wait := time.Duration(c.meanLatency + overdueDeviations*c.latencyDeviation)
	return now-a.sentAt > wait && a.awaitsResponse(), a.sentAt + wait/2
}

// latency is the time to the response, or to its start if it is streamed, since the client then determines
// the rest.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.responseAt > 0 {
		return a.responseAt - a.sentAt
	}
	return now - a.sentAt
}
