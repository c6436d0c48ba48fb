package policy

import (
	"slices"
	"time"

	"keelusher/policy/guard"
)

// Parameters of load shedding and of the request queue.
const (
	shedRateWeight     = averageWeight / 4 // weight of a new request in the average of the shed rate
	minArrivals        = 1e-9              // lower bound of arrival counts, to avoid a division by zero
	responseDeviations = 2                 // deviations above the mean latency reserved for the response
	queueTimeDivisor   = 4                 // the allowed queue time is at least the latency objective divided by this
)

// recordShed raises the shed rate for a request that is answered without an attempt.
func (s *endpointSubset) recordShed() { s.shedRate += shedRateWeight * (1 - s.shedRate) }

// recordAdmitted lowers the shed rate for a request whose first attempt is sent.
func (s *endpointSubset) recordAdmitted() { s.shedRate -= shedRateWeight * s.shedRate }

// atLimit reports whether a subset may get no further attempt: it has no ready endpoint, or its concurrency
// limit is reached. The limit is enforced only before the first tier, since shedding a request further down
// wastes the work of the tiers above.
func (b *Balancer) atLimit(subset *endpointSubset) bool {
	if len(subset.ready) == 0 {
		return true
	}
	if b.settings.Tier > 0 {
		return false
	}
	return subset.limit.reached(float64(subset.inFlight) - b.zones.uncountedAttempts(subset))
}

// adjustLimit adapts the concurrency limit of a subset to the latency of an attempt that has ended. It
// ignores attempts that were canceled or not sent, and server errors. Other failures count as at least as
// late as the latency objective.
func (b *Balancer) adjustLimit(a *attempt, result AttemptResult) {
	if b.settings.Tier > 0 || result == Canceled || result == NotSent || result == ServerError {
		return
	}
	subset := a.request.class.subset
	ratio := float64(a.latency(b.now)) / float64(a.request.class.LatencyObjective)
	if result != Success {
		ratio = max(ratio, 1)
	}
	subset.limit.recordLatency(ratio)
	target := subset.limit.target(subset.shedRate, latencyVariance(subset.ready))
	subset.limit.adjust(target, subset.inFlight, b.rng)
}

// sendOrQueue sends a request, or queues it if its key is in use, its subset is at the limit, or no endpoint
// is eligible.
func (b *Balancer) sendOrQueue(r *request) {
	if r.keyQueue.ready(r, b.now) && !b.atLimit(r.class.subset) {
		if target := b.choose(r); target != nil {
			b.send(r, target)
			return
		}
	}
	b.enqueue(r)
}

// enqueue adds a request to the queue of its subset and sets a timer for its queue deadline. A request that
// is past its queue deadline gets its final answer.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		b.answer(r, r.class.subset.shedReason())
		return
	}
	if !r.queued {
		r.queued = true
		r.class.subset.queue = append(r.class.subset.queue, r)
	}
	b.setRequestTimer(r, b.queueDeadline(r))
}

// shedReason returns why a request was not sent before its queue deadline.
func (s *endpointSubset) shedReason() guard.Verdict {
	if len(s.ready) == 0 {
		return guard.NoEndpointKnown
	}
	return guard.NoCapacity
}

// queueDeadline returns the time until which a request may be queued. If it were sent later, its answer would
// be likely to miss the latency objective, and late answers take capacity from timely ones. The deadline comes
// no later than half of the request's time, so that the client can still ask another replica, which matters
// most when this one has no endpoint.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	c := r.class
	deadline := min(r.answerDeadline(b.settings.Tier), (r.arrived+r.deadline)/2) - 2*b.settings.TimerResolution
	if len(c.subset.ready) == 0 {
		return deadline
	}
	response := time.Duration(c.meanLatency + responseDeviations*c.latencyDeviation)
	queueTime := max(c.LatencyObjective/queueTimeDivisor, c.LatencyObjective-response)
	return min(deadline, r.arrived+queueTime)
}

func (b *Balancer) removeFromQueue(r *request) {
	if r.queued {
		r.queued = false
		r.class.subset.removeFromQueue(r)
	}
}

func (s *endpointSubset) removeFromQueue(r *request) {
	s.queue = slices.DeleteFunc(s.queue, func(queued *request) bool { return queued == r })
}

// sendQueued sends queued requests, highest priority first, while their subsets are below their limits.
func (b *Balancer) sendQueued() {
	for _, subset := range b.subsets {
		for len(subset.queue) > 0 && !b.atLimit(subset) {
			next := b.highestPriority(subset.queue)
			if next == nil {
				break
			}
			target := b.choose(next)
			if target == nil {
				break
			}
			b.send(next, target)
		}
	}
}

// highestPriority returns the queued request to send next, or nil if all are blocked by earlier requests
// with the same key. Of several with the same priority it returns the last one, which has the most time left.
func (b *Balancer) highestPriority(queue []*request) *request {
	var best *request
	highest := 0.0
	for _, r := range queue {
		if !r.keyQueue.ready(r, b.now) {
			continue
		}
		priority := b.priority(r)
		if best == nil || priority >= highest {
			best = r
			highest = priority
		}
	}
	return best
}

// priority returns the weight of an answer to the request, divided by the mean latency of its class.
// Requests with the lowest priority are shed first. The class with the smallest share of answers in time
// gets an additional weight, so that no class starves.
func (b *Balancer) priority(r *request) float64 {
	c := r.class
	weight := b.settings.TotalWeight * c.PriorityWeight / max(b.classes.weightedArrivals(), minArrivals)
	if b.classes.worstServed(c) == c {
		weight += b.settings.WorstClassWeight / max(c.arrivals, minArrivals)
	}
	if r.isRetry { // the latency objective runs from the client's first request, so little of it is left
		weight *= c.LateAnswerWeight
	}
	if r.overQuota {
		weight *= b.settings.OverQuotaWeight
	}
	return weight / c.meanLatency
}
