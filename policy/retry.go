package policy

import (
	"slices"
	"time"

	"keelusher/policy/guard"
)

// Constants of the retry budget, in tokens. A token is worth one retry.
const (
	retryBudgetPerSuccess = 0.15
	maxRetryBudget        = 10
	initialRetryBudget    = maxRetryBudget / 2
	retryCost             = 1.0
	unsentRetryCost       = 0.1 // cost of a retry after an attempt that never ran
)

// retryTimeDivisor sets the least time that must be left for a retry: the mean latency of the class divided by this.
const retryTimeDivisor = 2

// retryBudget is a token bucket that successes fill. Without it, the retries of successive tiers would multiply.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetryBudget} }

func (b *retryBudget) recordSuccess() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerSuccess) }

func (b *retryBudget) covers(cost float64) bool { return b.tokens >= cost }

func (b *retryBudget) spend(cost float64) { b.tokens -= cost }

// retryOrAnswer retries a request that has no attempts in flight, if mayRetry allows it, the retry budget
// covers it, there is time for an answer and there is an eligible endpoint. Otherwise it answers the request.
func (b *Balancer) retryOrAnswer(r *request) {
	cost := r.retryCost()
	timeLeft := float64(r.answerDeadline(b.settings.Tier) - b.now)
	verdict := b.mayRetry(r)
	switch {
	case verdict != guard.Allowed:
	case !b.retries.covers(cost):
		verdict = guard.RetryBudgetExhausted
	case timeLeft < r.class.meanLatency/retryTimeDivisor:
		verdict = guard.NoTimeForAnswer
	default:
		if target := b.choose(r); target != nil {
			b.retries.spend(cost)
			b.send(r, target)
			return
		}
		verdict = guard.NoEndpoint
	}
	b.answer(r, verdict)
}

// mayRetry returns guard.Allowed if the state of the request, the idempotency of its class and the settings
// allow another attempt, and otherwise the reason why they do not.
func (b *Balancer) mayRetry(r *request) guard.Verdict {
	return guard.Retry{
		Now:             b.now,
		Answered:        r.answered,
		ResponseStarted: r.streaming,
		BodyConsumed:    r.bodyConsumed,
		Attempts:        len(r.attempts),
		MaxAttempts:     max(1, b.settings.MaxAttempts),
		MayHaveRun:      r.mayHaveRun(),
		NotIdempotent:   r.class.Idempotency == NotIdempotent,
		RetryBefore:     r.retryBefore(b.settings.TimerResolution),
	}.Verdict()
}

// retryCost returns the tokens that the next attempt costs.
func (r *request) retryCost() float64 {
	if last := r.attempts[len(r.attempts)-1]; last.neverRan {
		return unsentRetryCost
	}
	return retryCost
}

// retryBefore returns the time until which endpoints discard duplicates of the request, less a margin of twice
// the timer resolution, or 0 if they need not discard any. The deduplication window starts with the first
// attempt that may have run.
func (r *request) retryBefore(resolution time.Duration) time.Duration {
	if r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if first < 0 {
		return 0
	}
	return r.attempts[first].sentAt + r.class.DeduplicationWindow - 2*resolution
}
