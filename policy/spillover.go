package policy

// Cross-zone spillover.
const (
	minSpillover       = 0.03              // lower bound, so that the latency of the other endpoints is known
	spilloverThreshold = 0.25              // excess of preferredLatency over otherLatency at which the share grows
	spilloverWeight    = averageWeight / 2 // weight of a new latency in the share
)

// spillover is the share of requests that may be sent to other endpoints than the preferred ones. It grows
// while the preferred endpoints are slower than the others, and falls otherwise.
type spillover struct {
	share            float64
	preferredLatency float64 // preferred endpoints: mean log of the ratio of latency to the class's mean
	otherLatency     float64 // the same for the other endpoints
}

// record records the logarithm of the ratio of a latency to the mean of its class, and adapts the share.
func (s *spillover) record(preferred bool, logRatio float64) {
	mean := &s.otherLatency
	if preferred {
		mean = &s.preferredLatency
	}
	*mean += averageWeight * (logRatio - *mean)
	if s.preferredLatency > s.otherLatency+spilloverThreshold {
		s.share += spilloverWeight * (1 - s.share)
	} else {
		s.share -= spilloverWeight * s.share
	}
}

// current returns the spillover, given how many of the preferred endpoints are unhealthy. If more are unhealthy
// than may be excluded, the spillover is at least the share of the unhealthy ones.
func (s *spillover) current(unhealthy, preferred int) float64 {
	share := max(s.share, minSpillover)
	if float64(unhealthy) > maxExcludedShare*float64(preferred) {
		share = max(share, float64(unhealthy)/float64(preferred))
	}
	return share
}
