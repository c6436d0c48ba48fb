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
	slowStartFrom time.Duration // start of its slow start; 0: it started long ago
	inFlight      int           // attempts of this replica
	attempts      []*attempt    // those in flight, in the order of sending

	outlier         outlierState
	rejection       rejectionState
	lastSuccess     time.Duration
	relativeLatency float64 // moving average of the logarithm of latency over the mean of the class
}

// addAttempt adds an attempt that starts to those in flight.
func (ep *endpoint) addAttempt(a *attempt) {
	ep.attempts = append(ep.attempts, a)
	ep.inFlight++
}

// recordSuccess records a success, and the logarithm of its latency over the mean of the class. A slow
// endpoint is not ejected: its attempts stay in flight for longer, so that other endpoints are usually chosen.
func (ep *endpoint) recordSuccess(logRatio float64, now time.Duration) {
	ep.lastSuccess = now
	ep.relativeLatency += endpointAverageWeight * (logRatio - ep.relativeLatency)
	ep.rejection.count = 0
	ep.outlier.recordSuccess()
}

// unresponsive reports whether the oldest attempt that awaits a response is overdue and, since half of its
// expected wait was over, another endpoint has had a success and this one has not. An endpoint that hangs
// cannot be detected otherwise before its attempts time out.
func (ep *endpoint) unresponsive(now, lastSuccess time.Duration) bool {
	oldest := slices.IndexFunc(ep.attempts, (*attempt).awaitsResponse)
	if oldest < 0 {
		return false
	}
	overdue, halfway := ep.attempts[oldest].overdue(now)
	return overdue && lastSuccess > halfway && ep.lastSuccess < halfway
}

// removeAttempt removes an ended attempt from the list. The caller lowers the count in flight.
func (ep *endpoint) removeAttempt(a *attempt) {
	ep.attempts = slices.DeleteFunc(ep.attempts, func(other *attempt) bool { return other == a })
}

// latencyVariance returns the variance of the relative latencies of those endpoints that have one.
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

// logRatio returns the natural logarithm of a latency over a mean, both in ns.
func logRatio(latency, mean float64) float64 {
	return math.Log(max(latency, 1) / mean)
}
