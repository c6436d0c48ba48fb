package testbed

import (
	"context"
	"testing"
	"time"
)

// Guards overrides among eight processes: an override issued at any admin endpoint must come into force and end on
// every node. An isolated node and a stopped one must end it too, and must afterwards get the override that they
// missed.
func TestOverridesEndOnEveryNode(t *testing.T) {
	t.Parallel()
	for _, sc := range Scenarios {
		if sc.Name != "overrides" {
			continue
		}
		got, err := RunScenario(context.Background(), sc, binary, sc.Nodes, 1, 400*time.Millisecond)
		if err != nil || got.Failure != "" || len(got.Times["ended early by"]) < sc.Nodes-1 {
			t.Errorf("error %v, failure %q, counts %v, times %v, want early ends at all nodes but one",
				err, got.Failure, got.Counts, got.Times)
		}
	}
}
