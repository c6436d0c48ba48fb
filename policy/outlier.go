package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Ejection of endpoints whose attempts end in errors.
const (
	maxStreakProbability  = 0.08 // an error streak ejects if the error rate makes it less probable than this
	successesPerReduction = 3    // successes in a row that reduce the ejection count by one
	maxExcludedShare      = 0.2  // largest share of a list that may be excluded
	ejectionLatencies     = 12   // duration of a first ejection, or of the limit after a rejection, in mean latencies
	maxBackoffDoublings   = 5    // how often the duration of either doubles at most
	initialErrorRate      = 0.02
	minErrorRate          = 0.01
	minRejectionJitter    = 0.5 // a first limit after a rejection lasts 0.5 to 1.5 times ejectionLatencies
)

// errorRate is a moving average of the share of errors among the attempts at all endpoints.
type errorRate float64

func (r *errorRate) recordSuccess() {
	*r = max(minErrorRate, *r-averageWeight**r)
}

func (r *errorRate) recordError() {
	*r += averageWeight * (1 - *r)
}

// outlierState is the health of one endpoint, derived from the results of its attempts. An improbable streak
// of errors ejects the endpoint, for twice as long each time up to a bound. After an ejection the endpoint is
// on probation until an attempt succeeds.
type outlierState struct {
	errorStreak   int // errors in a row
	successStreak int // successes in a row
	ejectionCount int // how often the duration of the next ejection is doubled
	ejectedUntil  time.Duration
}

func (o *outlierState) ejected(now time.Duration) bool { return now < o.ejectedUntil }

// onProbation reports whether the endpoint was ejected and has had no success since its last error.
func (o *outlierState) onProbation() bool { return o.ejectionCount > 0 && o.successStreak == 0 }

// recordSuccess ends an error streak. After several successes in a row it reduces the ejection count by one,
// which halves the duration of the next ejection.
func (o *outlierState) recordSuccess() {
	o.errorStreak = 0
	o.successStreak++
	if o.successStreak >= successesPerReduction && o.ejectionCount > 0 {
		o.ejectionCount--
		o.successStreak = 1 // not 0, which would put the endpoint on probation
	}
}

// recordError ejects the endpoint if its streak of errors is improbable at the error rate of all endpoints.
// Errors that are frequent at all endpoints come from the tier below, and ejections would leave no endpoint.
func (o *outlierState) recordError(now time.Duration, meanLatency float64, rate errorRate) {
	o.errorStreak++
	o.successStreak = 0
	if o.ejected(now) || math.Pow(float64(rate), float64(o.errorStreak)) >= maxStreakProbability {
		return
	}
	o.ejectedUntil = now + time.Duration(ejectionLatencies*meanLatency)<<o.ejectionCount
	o.ejectionCount = min(o.ejectionCount+1, maxBackoffDoublings)
}

// rejectionState limits the attempts of this replica at an endpoint that has rejected one, because its queue
// is full or it accepts no more connections, to the number in flight at that time. Such an endpoint is not
// unhealthy, so the bound on the share of excluded endpoints does not apply.
type rejectionState struct {
	inFlight int           // other attempts of this replica in flight at the rejection
	until    time.Duration // time until which the limit is in force
	count    int           // rejections in a row
}

// record records a rejection, and the number of other attempts that this replica had in flight at the
// endpoint. Each rejection in a row doubles the time for which the limit is in force, up to a bound.
func (r *rejectionState) record(now time.Duration, inFlight int, meanLatency float64, rng *rand.Rand) {
	length := time.Duration((minRejectionJitter + rng.Float64()) * ejectionLatencies * meanLatency)
	r.until = now + length<<r.count
	r.inFlight = inFlight
	r.count = min(r.count+1, maxBackoffDoublings)
}

// limit returns the number of this replica's attempts in flight at which the endpoint is no longer drawn.
func (r *rejectionState) limit(now time.Duration) int {
	if now < r.until {
		return r.inFlight
	}
	return math.MaxInt
}
