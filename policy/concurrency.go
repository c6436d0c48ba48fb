package policy

import (
	"math"
	"math/rand/v2"
)

// Parameters of the adaptive limit. A latency ratio is the mean latency over the latency objective.
const (
	initialLimitPerEndpoint = 5.0  // attempts per endpoint, times the number of tiers behind it
	minLimitShare           = 0.2  // lower bound of the limit, as a share of the initial limit
	targetLatencyRatio      = 0.65 // latency ratio that the limit is adjusted to
	maxTargetLatencyRatio   = 0.85 // upper bound of the target where the minimum latency is long
	uncongestedFactor       = 1.1  // the target is at least this times the minimum latency ratio
	minLatencyRiseWeight    = 5e-4 // weight of a new sample by which the minimum latency ratio rises
	varianceFactor          = 4.0  // reduction of the target per latency variance, at a shed rate of 1
	limitIncrease           = 0.02 // attempts added for each response in time
	limitRecoveryIncrease   = 1.0  // attempts added for each response in time, below the initial limit
	limitDecrease           = 0.05 // share of the limit removed for each response when all are late
	usedLimitShare          = 0.8  // share of the limit that must be in use for it to grow
	latencySampleBase       = 16   // the latency ratio is averaged over this many samples plus the limit
	latencySampleWeight     = 2    // a new sample has this weight, divided by that number of samples

	// minLimit is the least number of attempts that a limit allows. The limit is adjusted when an attempt ends, so one
	// that allowed none would stay as it is.
	minLimit = 1
)

// concurrencyLimit is an adaptive limit on this replica's attempts in flight at an endpoint subset. It grows
// while responses come in time, and falls when the mean latency gets close to the latency objective, since
// overloaded endpoints complete less work. It grows slowly, because new attempts affect the latency only
// after a delay.
type concurrencyLimit struct {
	size              float64 // the limit, in attempts in flight
	perEndpoint       float64 // attempts per endpoint in the initial limit
	fairShare         float64 // endpoints of the subset divided by the number of replicas
	baselineEndpoints float64 // endpoints that the initial limit and the lower bound are computed from
	maxEndpoints      float64 // largest number of endpoints that the subset has had
	quotaLoad         float64 // attempts in flight of all replicas at full quotas and objective latency
	roundingOffset    float64 // random fraction of an attempt, subtracted before a falling limit is rounded
	samples           float64 // responses that are included in the latency ratio
	latencyRatio      float64 // mean latency over the latency objective
	minLatencyRatio   float64 // latency ratio at the lowest load
}

// newConcurrencyLimit returns the limit for endpoints with the given number of tiers behind them. An endpoint
// waits for each of these tiers about as long as it works itself, so it can hold more attempts.
func newConcurrencyLimit(tiersBehind int) concurrencyLimit {
	return concurrencyLimit{perEndpoint: initialLimitPerEndpoint * float64(max(1, tiersBehind))}
}

// initial returns the limit that the endpoints are assumed to handle, before responses in time raise it
// further. It covers at least the load of the tenants' quotas. The minimum latency determines how many attempts
// in flight this load is: few at fast endpoints, many at endpoints that wait for others.
func (l *concurrencyLimit) initial() float64 {
	ratio := targetLatencyRatio / 2
	if l.measured() {
		ratio = l.minLatencyRatio
	}
	return max(l.perEndpoint, l.quotaLoad*ratio/max(l.maxEndpoints, 1)) * l.baselineEndpoints
}

// measured reports whether enough attempts have ended for the latency ratio to be representative: the number
// that the limit allows in flight, plus latencySampleBase. Before that, quick responses are overrepresented,
// because they arrive first.
func (l *concurrencyLimit) measured() bool { return l.samples >= l.size+latencySampleBase }

// reached reports whether no further attempt may start at this number of attempts in flight.
func (l *concurrencyLimit) reached(inFlight float64) bool {
	return inFlight >= max(minLimit, math.Ceil(l.size-l.roundingOffset))
}

// setEndpoints sets the number of endpoints of the subset, and that number divided by the number of
// replicas. The first endpoints also set the limit to its initial value.
func (l *concurrencyLimit) setEndpoints(count, fairShare float64) {
	l.fairShare = fairShare
	l.maxEndpoints = max(l.maxEndpoints, count)
	if l.size == 0 {
		l.begin(fairShare)
	}
}

// begin sets the limit to its initial value for a fair share.
func (l *concurrencyLimit) begin(fairShare float64) {
	l.baselineEndpoints = fairShare
	l.size = l.initial()
}

// shrinkWithList lowers the limit in proportion when the number of endpoints falls, so that the load of
// removed endpoints does not overload the remaining ones. Without endpoints there is no limit to keep: the next
// ones begin with the initial one.
func (l *concurrencyLimit) shrinkWithList(before, after float64) {
	switch {
	case after >= before:
	case after > 0:
		l.size = max(minLimit, l.size*after/before)
	default:
		l.size = 0
	}
}

// followFairShare sets the fair share and multiplies the limit by the ratio of the new fair share to the old
// one, raised to the exponent.
func (l *concurrencyLimit) followFairShare(fairShare, exponent float64) {
	switch {
	case l.size == 0: // there was no endpoint with a share
		l.begin(fairShare)
	case l.fairShare > 0:
		l.size = max(minLimit, l.size*math.Pow(fairShare/l.fairShare, exponent))
		l.baselineEndpoints = min(l.baselineEndpoints, fairShare)
	}
	l.fairShare = fairShare
}

// recordLatency records the ratio of an attempt's latency to its latency objective, which is at least 1 for a
// failed attempt. Ratios above 1 count as 1.
func (l *concurrencyLimit) recordLatency(ratio float64) {
	l.samples++
	weight := max(1/l.samples, latencySampleWeight/(l.size+latencySampleBase))
	l.latencyRatio += weight * (min(ratio, 1) - l.latencyRatio)
	// The first responses to arrive are the quick ones, so the minimum is not known until measured returns true.
	l.minLatencyRatio += minLatencyRiseWeight * (l.latencyRatio - l.minLatencyRatio)
	if l.latencyRatio < l.minLatencyRatio || !l.measured() {
		l.minLatencyRatio = l.latencyRatio
	}
}

// target returns the latency ratio that the limit is adjusted to. It is lower when many requests are shed
// and the latencies of the endpoints differ, since some endpoints are then overloaded. It is higher where the
// latency is long even at low load, since shedding would not reduce it.
func (l *concurrencyLimit) target(shedRate, variance float64) float64 {
	target := targetLatencyRatio * (1 - shedRate*min(1, varianceFactor*variance))
	return max(target, min(uncongestedFactor*l.minLatencyRatio, maxTargetLatencyRatio))
}

// adjust changes the limit after a response. A falling limit is rounded up or down at random: if every
// replica rounded a small limit up, the endpoints would be overloaded.
func (l *concurrencyLimit) adjust(target float64, inFlight int, rng *rand.Rand) {
	l.roundingOffset = 0
	initial := l.initial()
	switch {
	case l.latencyRatio > target: // the limit falls faster the later the responses are
		l.size -= limitDecrease * l.size * (l.latencyRatio - target) / (1 - target)
		l.roundingOffset = rng.Float64()
	case float64(inFlight+1) < usedLimitShare*l.size:
	case l.size < initial:
		l.size = min(initial, l.size+limitRecoveryIncrease)
	default:
		l.size += limitIncrease
		l.baselineEndpoints += limitIncrease / l.perEndpoint
	}
	// A longer list does not prove that the tiers below have grown too, so the baseline grows only with
	// responses in time.
	l.baselineEndpoints = min(l.baselineEndpoints, l.fairShare)
	l.size = max(l.size, minLimit, minLimitShare*l.perEndpoint*l.baselineEndpoints)
}
