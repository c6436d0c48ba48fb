package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Ejection of endpoints whose attempts end in errors.
const (
	maxStreakChance      = 0.08 // probability of a streak, by the error rate, from which it does not eject
	probationSuccesses   = 3    // successes in a row that reduce the ejection count
	maxExcludedShare     = 0.2  // share of a list that may be excluded
	ejectionLatencies    = 12   // mean latencies that a first ejection, or the limit after a rejection, lasts
	maxBackoffDoublings  = 5    // of the duration of an ejection, or of the limit after a rejection
	initialErrorRate     = 0.02
	minErrorRate         = 0.01
	rejectionJitterStart = 0.5 // the limit after a rejection lasts half to one and a half times that
)

// errorRate is the share of errors among the attempts at all endpoints.
type errorRate float64

func (r *errorRate) recordSuccess() {
	*r = max(minErrorRate, *r-averageWeight**r)
}

func (r *errorRate) recordError() {
	*r += averageWeight * (1 - *r)
}

// outlierState is the health of one endpoint by the results of its attempts. An unlikely streak of errors
// ejects it, for twice as long each time. After that it is on probation until an attempt succeeds.
type outlierState struct {
	errorStreak   int
	successStreak int
	ejectionCount int // doublings of the next ejection
	ejectedUntil  time.Duration
}

func (o *outlierState) ejected(now time.Duration) bool { return now < o.ejectedUntil }

// onProbation says that no attempt has succeeded since the last ejection.
func (o *outlierState) onProbation() bool { return o.ejectionCount > 0 && o.successStreak == 0 }

func (o *outlierState) recordSuccess() {
	o.errorStreak = 0
	o.successStreak++
	if o.successStreak >= probationSuccesses && o.ejectionCount > 0 {
		o.ejectionCount--
		o.successStreak = 1
	}
}

// recordError ejects the endpoint if its streak of errors is unlikely by the error rate of all endpoints.
// Errors at all endpoints come from the tier below, and ejections would leave no endpoint.
func (o *outlierState) recordError(now time.Duration, meanLatency float64, rate errorRate) {
	o.errorStreak++
	o.successStreak = 0
	if o.ejected(now) || math.Pow(float64(rate), float64(o.errorStreak)) >= maxStreakChance {
		return
	}
	o.ejectedUntil = now + time.Duration(ejectionLatencies*meanLatency)<<o.ejectionCount
	o.ejectionCount = min(o.ejectionCount+1, maxBackoffDoublings)
}

// rejectionState limits the attempts at an endpoint that has rejected one, because its queue or its
// connections are full, to the number it had at that time. Such an endpoint is not unhealthy, and the bound
// on exclusions does not apply.
type rejectionState struct {
	inFlight int           // own attempts when it rejected another one
	until    time.Duration // the limit is in force until then
	count    int           // rejections in a row
}

// record records a rejection by an endpoint with a number of own attempts in flight.
func (r *rejectionState) record(now time.Duration, inFlight int, meanLatency float64, rng *rand.Rand) {
	length := time.Duration((rejectionJitterStart + rng.Float64()) * ejectionLatencies * meanLatency)
	r.until = now + length<<r.count
	r.inFlight = inFlight
	r.count = min(r.count+1, maxBackoffDoublings)
}

// limit is the number of own attempts from which the endpoint is passed over.
func (r *rejectionState) limit(now time.Duration) int {
	if now < r.until {
		return r.inFlight
	}
	return math.MaxInt
}
