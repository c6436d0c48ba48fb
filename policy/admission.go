package policy

import (
	"slices"
	"time"

	"keelusher/policy/guard"
)

const (
	shedRateWeight   = averageWeight / 4 // weight of a new request in the shed rate
	minCount         = 1e-9              // lower bound of arrivals, against a division by zero
	queueDeviations  = 2                 // deviations above the mean latency left for the response
	queueTimeDivisor = 4                 // the objective over this is the shortest time in the queue
)

// recordShed counts a request that is answered without an attempt.
func (s *endpointSubset) recordShed() { s.shedRate += shedRateWeight * (1 - s.shedRate) }

// recordAdmitted counts a request that is sent.
func (s *endpointSubset) recordAdmitted() { s.shedRate -= shedRateWeight * s.shedRate }

// atLimit says whether the concurrency limit of a subset is reached. Only the first tier has one: a request
// that is shed further down wastes the work of the tiers above.
func (b *Balancer) atLimit(subset *endpointSubset) bool {
	if len(subset.ready) == 0 {
		return true
	}
	if b.settings.Tier > 0 {
		return false
	}
	return subset.limit.reached(float64(subset.inFlight) - b.zones.stranded(subset))
}

// adjustLimit adapts the concurrency limit of a subset to the latency of an attempt that has ended.
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

// sendOrQueue sends a request, or queues it while no endpoint may take it.
func (b *Balancer) sendOrQueue(r *request) {
	if r.keyQueue.ready(r, b.now) && !b.atLimit(r.class.subset) {
		if target := b.choose(r); target != nil {
			b.send(r, target)
			return
		}
	}
	b.enqueue(r)
}

// enqueue puts a request into the queue of its subset; its timer makes sure that it is answered.
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

// shedReason is why a request stayed in the queue until its queue deadline.
func (s *endpointSubset) shedReason() guard.Verdict {
	if len(s.ready) == 0 {
		return guard.NoEndpointKnown
	}
	return guard.NoCapacity
}

// queueDeadline is until when a request may be queued. Later, its answer is likely to miss the latency
// objective, and late answers take capacity from timely ones. With no endpoint at all it is half of the
// request's time, so that its client can still ask another replica.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	c := r.class
	deadline := min(r.usefulUntil(b.settings.Tier), (r.arrived+r.deadline)/2) - 2*b.settings.TimerResolution
	if len(c.subset.ready) == 0 {
		return deadline
	}
	response := time.Duration(c.meanLatency + queueDeviations*c.latencyDeviation)
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

// sendQueued sends queued requests in the order of their priority, while their subsets are under their
// limits.
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

// highestPriority returns the request to send next, among those that are not blocked by their key. Of equal
// priorities the last one is taken, since it has most time left.
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

// priority is the weight of an answer to the request for each unit of latency, so that requests with the
// least weight are shed first. The class that is served worst gets an extra weight, so that none starves.
func (b *Balancer) priority(r *request) float64 {
	c := r.class
	weight := b.settings.TotalWeight * c.PriorityWeight / max(b.classes.weightedArrivals(), minCount)
	if b.classes.worstServed(c) == c {
		weight += b.settings.WorstClassWeight / max(c.arrivals, minCount)
	}
	if r.isRetry { // its latency objective started with the client's first request and is nearly over
		weight *= c.LateAnswerWeight
	}
	if r.overQuota {
		weight *= b.settings.OverQuotaWeight
	}
	return weight / c.meanLatency
}
