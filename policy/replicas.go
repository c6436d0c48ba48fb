package policy

import (
	"math"
	"time"
)

// How far and how fast the number of replicas follows the reported counts.
const (
	maxReplicasFactor     = 4.0              // the number is within this factor of the configured one
	replicasHalfLife      = 10 * time.Second // time in which the distance to the target halves
	replicasStep          = time.Second      // least time between two updates
	replicasSettledWithin = 0.01             // distance, in replicas, at which the target counts as reached
)

// replicaCount is the number of replicas that send to this tier. It approaches a new number exponentially,
// so that concurrency limits do not change abruptly. While no counts are reported, it is the configured
// number.
type replicaCount struct {
	configured float64
	current    float64
	target     float64
	updatedAt  time.Duration
}

func newReplicaCount(configured int) replicaCount {
	count := float64(max(1, configured))
	return replicaCount{
		configured: count,
		current:    count,
		target:     count,
	}
}

// setTarget sets the target from the counts by zone, within maxReplicasFactor of the configured number: a
// wrong count must not let one replica use the capacity of all.
func (r *replicaCount) setTarget(now time.Duration, byZone map[string]int) {
	total := 0
	for _, count := range byZone {
		total += max(0, count)
	}
	r.target = r.configured
	if total > 0 {
		r.target = min(max(float64(total), r.configured/maxReplicasFactor), r.configured*maxReplicasFactor)
	}
	r.updatedAt = now
}

// advance moves the number towards its target and reports whether it changed.
func (r *replicaCount) advance(now time.Duration) bool {
	elapsed := now - r.updatedAt
	if r.current == r.target || elapsed < replicasStep {
		return false
	}
	r.current = r.target + (r.current-r.target)*math.Exp2(-float64(elapsed)/float64(replicasHalfLife))
	if math.Abs(r.current-r.target) < replicasSettledWithin {
		r.current = r.target
	}
	r.updatedAt = now
	return true
}
