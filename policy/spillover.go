package policy

// Cross-zone spillover.
const (
	minSpillover       = 0.03 // lower bound, so that the latency of the other endpoints is known
	spilloverThreshold = 0.25 // excess of the preferred endpoints' log latency from which the share grows
	spilloverWeight    = averageWeight / 2
)

// spillover is the share of requests that may leave the preferred endpoints. It grows while these are
// slower than the other endpoints, and falls otherwise.
type spillover struct {
	share            float64
	preferredLatency float64 // mean logarithm of latency over the mean of the class
	otherLatency     float64 // the same at the others
}

// record records the logarithm of a latency over the mean of its class.
func (s *spillover) record(preferred bool, logRatio float64) {
	side := &s.otherLatency
	if preferred {
		side = &s.preferredLatency
	}
	*side += averageWeight * (logRatio - *side)
	if s.preferredLatency > s.otherLatency+spilloverThreshold {
		s.share += spilloverWeight * (1 - s.share)
	} else {
		s.share -= spilloverWeight * s.share
	}
}

// current is the share of requests that may leave the preferred endpoints, given how many of these are
// unhealthy. It is at least the unhealthy share, if that is more than may be excluded.
func (s *spillover) current(unhealthy, preferred int) float64 {
	share := max(s.share, minSpillover)
	if float64(unhealthy) > maxExcludedShare*float64(preferred) {
		share = max(share, float64(unhealthy)/float64(preferred))
	}
	return share
}
