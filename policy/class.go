package policy

import (
	"math"
	"slices"
	"time"
)

const (
	averageWeight      = 0.06 // weight of a new sample in averages over all endpoints (about 16 samples)
	arrivalDecay       = 0.99 // factor on the counts of arrivals and answers at each arrival
	overdueDeviations  = 3.0  // deviations above the mean latency from which an attempt is overdue
	retryDeadlineShare = 0.95 // a request with less time left than this share of longestTimeLeft counts as a retry
)

// class is a class of requests with its latency and arrival statistics.
type class struct {
	Class
	subset           *endpointSubset
	meanLatency      float64       // moving average of successes, in ns
	latencyDeviation float64       // mean absolute deviation, in ns
	arrivals         float64       // decayed count
	served           float64       // decayed count of answers within the latency objective
	longestTimeLeft  time.Duration // longest time that a client has allowed for an answer
}

func newClass(settings Class, subset *endpointSubset) *class {
	return &class{
		Class:            settings,
		subset:           subset,
		meanLatency:      float64(settings.LatencyObjective) / 4,
		latencyDeviation: float64(settings.LatencyObjective) / 8,
	}
}

func (c *class) recordLatency(latency float64) {
	c.latencyDeviation += averageWeight * (math.Abs(latency-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += averageWeight * (latency - c.meanLatency)
}

// recordTimeLeft records the time that a client allows for an answer.
func (c *class) recordTimeLeft(timeLeft time.Duration) {
	c.longestTimeLeft = max(c.longestTimeLeft, timeLeft)
}

// looksLikeRetry reports whether a client allows less time than it would for a first request. Clients allow the same
// time for each request, unless the deadline of the class, which covers all their retries, comes first.
func (c *class) looksLikeRetry(timeLeft time.Duration) bool {
	return float64(timeLeft) < retryDeadlineShare*float64(c.longestTimeLeft)
}

// classTable holds the classes of the settings, followed by one for requests of unknown classes.
type classTable struct {
	byName map[string]*class
	all    []*class // in the order of the settings, the one for unknown classes last
}

func newClassTable() classTable {
	return classTable{byName: map[string]*class{}}
}

func (t *classTable) add(c *class) {
	t.byName[c.Name] = c
	t.all = append(t.all, c)
}

// unknown returns the class for requests of unknown classes.
func (t *classTable) unknown() *class { return t.all[len(t.all)-1] }

func (t *classTable) find(name string) *class {
	if c := t.byName[name]; c != nil {
		return c
	}
	return t.unknown()
}

// countArrival counts a request and decays the counts of all classes.
func (t *classTable) countArrival(arrived *class) {
	for _, c := range t.all {
		c.arrivals *= arrivalDecay
		c.served *= arrivalDecay
	}
	arrived.arrivals++
}

// weightedArrivals returns the sum of the arrivals of all classes, each multiplied by its priority weight.
func (t *classTable) weightedArrivals() float64 {
	total := 0.0
	for _, c := range t.all {
		total += c.PriorityWeight * c.arrivals
	}
	return total
}

// worstServed returns the class with the smallest share of answers within the latency objective, or the
// candidate if no class has a smaller share. Other classes with a count of at most 1 arrival are left out.
func (t *classTable) worstServed(candidate *class) *class {
	worst := candidate
	for _, c := range t.all {
		if c.arrivals > 1 && c.served*worst.arrivals < worst.served*c.arrivals {
			worst = c
		}
	}
	return worst
}

// unknownClass returns the class for requests of unknown classes. It is not idempotent, and has the deadline,
// the latency objective and the weight of the class with the longest deadline.
func unknownClass(classes []Class) Class {
	longest := slices.MaxFunc(classes, func(x, y Class) int { return int(x.Deadline - y.Deadline) })
	return Class{
		LatencyObjective: longest.LatencyObjective,
		Deadline:         longest.Deadline,
		PriorityWeight:   longest.PriorityWeight,
	}
}

// slowestMean returns the mean latency of the slowest class of the settings.
func (t *classTable) slowestMean() time.Duration {
	known := t.all[:len(t.all)-1]
	slowest := slices.MaxFunc(known, func(x, y *class) int { return int(x.meanLatency - y.meanLatency) })
	return time.Duration(slowest.meanLatency)
}
