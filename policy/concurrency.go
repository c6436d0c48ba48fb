package policy

import (
	"math"
	"math/rand/v2"
)

// Constants of the adaptive limit. A latency ratio is the mean latency over the latency objective.
const (
	initialLimitPerEndpoint = 5.0  // attempts for an endpoint, and for each tier behind it
	minLimitShare           = 0.2  // part of the initial limit that is the lower bound
	targetLatencyRatio      = 0.65 // latency ratio that the limit is adjusted to
	maxTargetLatencyRatio   = 0.85 // upper bound of the target, where the minimum latency is long
	uncongestedFactor       = 1.1  // times the minimum latency is the target, where that is higher
	minLatencyRiseWeight    = 5e-4 // weight of a new sample in the minimum latency, where that rises
	unevennessFactor        = 4.0  // reduction of the target by latency variance, when all is shed
	limitIncrease           = 0.02 // attempts, for each response in time
	limitRecoveryIncrease   = 1.0  // attempts, for each response in time under the initial limit
	limitDecrease           = 0.05 // part of the limit, for each response when all are late
	usedLimitShare          = 0.8  // part of the limit that must be in use before it grows
	latencySampleBase       = 16   // samples, besides the limit, that the latency ratio is averaged over
	latencySampleWeight     = 2    // divided by these samples, the weight of a new one
)

// concurrencyLimit is an adaptive limit on the attempts in flight at an endpoint subset. It grows while
// responses come in time and falls when the mean latency gets close to the latency objective, since
// overloaded endpoints do less work. It grows slowly, because new attempts affect the latency only later.
type concurrencyLimit struct {
	size             float64 // attempts in flight
	perEndpoint      float64 // attempts for each endpoint in the initial limit
	fairShare        float64 // endpoints of the subset over replicas
	countedEndpoints float64 // endpoints in the initial limit and the lower bound
	maxEndpoints     float64 // the most endpoints that the subset has had
	quotaLoad        float64 // attempts at all replicas, with used-up quotas and late responses
	roundingOffset   float64 // random part of an attempt that rounds a falling limit
	samples          float64 // responses in the latency ratio
	latencyRatio     float64 // mean latency over the latency objective
	minLatencyRatio  float64 // latency ratio at the lowest load
}

// newConcurrencyLimit returns the limit for endpoints with a number of tiers behind them. An endpoint waits
// for each of these about as long as it works itself, so it can hold more attempts.
func newConcurrencyLimit(tiersBehind int) concurrencyLimit {
	return concurrencyLimit{perEndpoint: initialLimitPerEndpoint * float64(max(1, tiersBehind))}
}

// initial is the limit that endpoints are assumed to handle. They must handle the load of the tenants'
// quotas, which at their minimum latency is a number of attempts in flight: few for quick endpoints, many
// for those that wait for others.
func (l *concurrencyLimit) initial() float64 {
	ratio := targetLatencyRatio / 2
	if l.measured() {
		ratio = l.minLatencyRatio
	}
	return max(l.perEndpoint, l.quotaLoad*ratio/max(l.maxEndpoints, 1)) * l.countedEndpoints
}

// measured says that a full limit of attempts has ended. Before that, quick responses are overrepresented.
func (l *concurrencyLimit) measured() bool { return l.samples >= l.size+latencySampleBase }

// reached says that no attempt may start while this number is in flight.
func (l *concurrencyLimit) reached(inFlight float64) bool {
	return inFlight >= math.Ceil(l.size-l.roundingOffset)
}

// setEndpoints sets the number of endpoints of the subset, and that number over replicas. The first
// endpoints set the limit.
func (l *concurrencyLimit) setEndpoints(count, fairShare float64) {
	l.fairShare = fairShare
	l.maxEndpoints = max(l.maxEndpoints, count)
	if l.size == 0 {
		l.countedEndpoints = fairShare
		l.size = l.initial()
	}
}

// shrinkWithList lowers the limit in proportion to the endpoints, so that the load of removed endpoints
// does not overload the others.
func (l *concurrencyLimit) shrinkWithList(before, after float64) {
	if after < before {
		l.size *= after / before
	}
}

// followFairShare changes the limit by a power of the change in the fair share.
func (l *concurrencyLimit) followFairShare(fairShare, power float64) {
	if l.fairShare > 0 {
		l.size = max(1, l.size*math.Pow(fairShare/l.fairShare, power))
		l.countedEndpoints = min(l.countedEndpoints, fairShare)
	}
	l.fairShare = fairShare
}

// recordLatency records the latency of an attempt over its latency objective, or 1 for one that failed.
func (l *concurrencyLimit) recordLatency(ratio float64) {
	l.samples++
	weight := max(1/l.samples, latencySampleWeight/(l.size+latencySampleBase))
	l.latencyRatio += weight * (min(ratio, 1) - l.latencyRatio)
	// The first responses are the quick ones: the minimum is unknown until a full limit of attempts has
	// ended.
	l.minLatencyRatio += minLatencyRiseWeight * (l.latencyRatio - l.minLatencyRatio)
	if l.latencyRatio < l.minLatencyRatio || !l.measured() {
		l.minLatencyRatio = l.latencyRatio
	}
}

// target is the latency ratio that the limit is adjusted to. It is lower when many requests are shed and
// the latencies of endpoints differ, since then some are overloaded. It is higher when latency is long even
// at low load, since then shedding would not reduce it.
func (l *concurrencyLimit) target(shedRate, unevenness float64) float64 {
	target := targetLatencyRatio * (1 - shedRate*min(1, unevennessFactor*unevenness))
	return max(target, min(uncongestedFactor*l.minLatencyRatio, maxTargetLatencyRatio))
}

// adjust changes the limit after a response. A falling limit is rounded at random: small limits that are
// rounded up at every replica would overload the endpoints.
func (l *concurrencyLimit) adjust(target float64, inFlight int, rng *rand.Rand) {
	l.roundingOffset = 0
	initial := l.initial()
	switch {
	case l.latencyRatio > target: // the later responses are, the faster it falls
		l.size -= limitDecrease * l.size * (l.latencyRatio - target) / (1 - target)
		l.roundingOffset = rng.Float64()
	case float64(inFlight+1) < usedLimitShare*l.size:
	case l.size < initial:
		l.size = min(initial, l.size+limitRecoveryIncrease)
	default:
		l.size += limitIncrease
		l.countedEndpoints += limitIncrease / l.perEndpoint
	}
	// A longer list does not show that the tiers below have grown: only responses raise the counted
	// endpoints.
	l.countedEndpoints = min(l.countedEndpoints, l.fairShare)
	l.size = max(l.size, 1, minLimitShare*l.perEndpoint*l.countedEndpoints)
}
