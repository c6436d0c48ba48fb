package membership

import (
	"fmt"
	"testing"
	"time"
)

// Guards against flap damping that suppresses a member at its first two returns, does not double the suppression up to
// its maximum, or does not let the penalty decay by half in each half-life.
func TestSuppressionGrowsAndPenaltyDecays(t *testing.T) {
	flaps := newFlapDamping()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	var suppressions []time.Duration
	for range 8 {
		flaps.recordReturn("x", now())
		suppressions = append(suppressions, max(0, flaps.penalties["x"].suppressedUntil-now()).Round(time.Second))
	}
	if got, want := fmt.Sprint(suppressions), "[0s 0s 5s 10s 20s 40s 1m0s 1m0s]"; got != want {
		t.Errorf("suppressions after each return are %s, want %s", got, want)
	}
	p := flaps.penalties["x"]
	if weight := p.decayedPoints(p.updatedAt + 2*flapHalfLife); weight < 1.9 || weight > 2.1 {
		t.Errorf("after two half-lives a penalty of 8 has decayed to %.2f points, want 1.9 to 2.1", weight)
	}
}
