package testbed

import (
	"context"
	"testing"
	"time"
)

// Eight processes: overrides given at any admin endpoint are in force everywhere and end everywhere, also at one that
// is cut off and one that is stopped, and both come to what they missed.
func TestOverridesEndOnEveryNode(t *testing.T) {
	t.Parallel()
	for _, sc := range Scenarios {
		if sc.Name != "overrides" {
			continue
		}
		got, err := RunScenario(context.Background(), sc, binary, sc.Nodes, 1, 400*time.Millisecond)
		if err != nil || got.Failure != "" || len(got.Times["ended early by"]) < sc.Nodes-1 {
			t.Errorf("%v %s: %v, %v", err, got.Failure, got.Counts, got.Times)
		}
	}
}
