package policy

import (
	"math"
	"slices"
	"time"
)

// endpointAverageWeight is the weight of a new sample in the averages of a single endpoint.
const endpointAverageWeight = 0.25

// endpoint is a listed endpoint, or a removed one with attempts of this replica still in flight.
type endpoint struct {
	Endpoint
	listed        bool
	slowStartFrom time.Duration // 0: it started long ago
	inFlight      int           // own attempts
	attempts      []*attempt    // in flight, in the order of sending

	outlier         outlierState
	rejection       rejectionState
	lastSuccess     time.Duration
	relativeLatency float64 // mean logarithm of latency over the mean of the class
}

// addAttempt counts an attempt that starts.
func (ep *endpoint) addAttempt(a *attempt) {
	ep.attempts = append(ep.attempts, a)
	ep.inFlight++
}

// recordSuccess records a success and the logarithm of its latency over the mean. A slow endpoint is not
// ejected: its attempts stay in flight for longer, so it loses most draws.
func (ep *endpoint) recordSuccess(logRatio float64, now time.Duration) {
	ep.lastSuccess = now
	ep.relativeLatency += endpointAverageWeight * (logRatio - ep.relativeLatency)
	ep.rejection.count = 0
	ep.outlier.recordSuccess()
}

// unresponsive says that an old attempt at the endpoint has no response, while a younger one succeeded
// elsewhere. An endpoint that hangs shows no other sign until its attempts time out.
func (ep *endpoint) unresponsive(now, lastSuccess time.Duration) bool {
	oldest := slices.IndexFunc(ep.attempts, (*attempt).awaitsResponse)
	if oldest < 0 {
		return false
	}
	overdue, halfway := ep.attempts[oldest].overdue(now)
	return overdue && lastSuccess > halfway && ep.lastSuccess < halfway
}

// removeAttempt removes an attempt that has ended.
func (ep *endpoint) removeAttempt(a *attempt) {
	ep.attempts = slices.DeleteFunc(ep.attempts, func(other *attempt) bool { return other == a })
}

// latencyVariance is the variance of the endpoints' mean log latencies.
func latencyVariance(list []*endpoint) float64 {
	var count, sum, squares float64
	for _, ep := range list {
		if ep.relativeLatency != 0 {
			count++
			sum += ep.relativeLatency
			squares += ep.relativeLatency * ep.relativeLatency
		}
	}
	count = max(count, 1)
	return squares/count - sum/count*sum/count
}

// logRatio is the logarithm of a latency over a mean, both in ns.
func logRatio(latency, mean float64) float64 {
	return math.Log(max(latency, 1) / mean)
}
