package membership

import (
	"fmt"
	"testing"
	"time"
)

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
		t.Errorf("suppressed for %s, want %s", got, want)
	}
	p := flaps.penalties["x"]
	if weight := p.weight(p.updatedAt + 2*flapHalfLife); weight < 1.9 || weight > 2.1 {
		t.Errorf("after two half-lives 8 points weigh %.2f", weight)
	}
}
