package testbed

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"keelusher/internal/testbed/shim"
)

// Findings at a node whose tracer waited for a processor for more than a quarter of the time are void, those at other
// nodes are not.
func TestHeldUpTracerVoidsFindings(t *testing.T) {
	for name, tt := range map[string]struct {
		waited time.Duration // by the tracer in each second
		void   bool
	}{
		"held up":  {300 * time.Millisecond, true},
		"in time":  {200 * time.Millisecond, false},
		"no waits": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			tb := Start(t, healthyStub())
			Until(t, "the test bed has run for 6 s and was not late for 2 s", func() bool {
				return tb.now() > 6*time.Second && !tb.Void(tb.now()-2*time.Second, tb.now())
			})
			writeLoads(t, tb.Node("n1").tracerLog(), tb.began, time.Now(), tt.waited)
			tb.checker.addFinding(Lost, "x", "n1", "planted")
			tb.checker.addFinding(Lost, "y", "n2", "planted")
			found, counts := tb.Findings()
			if found[0].Void != tt.void || found[1].Void {
				t.Errorf("got void %t at the traced node, %t at the other (want false); counts %v",
					found[0].Void, found[1].Void, counts)
			}
		})
	}
}

// writeLoads writes a tracer's log from one time to another or a little later. The tracer waited for the same time in
// each second of it.
func writeLoads(t *testing.T, path string, from, to time.Time, waited time.Duration) {
	t.Helper()
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for start := from; start.Before(to); start = start.Add(time.Second) {
		check(t, json.NewEncoder(f).Encode(shim.Load{From: start, Until: start.Add(time.Second), Waited: waited}))
	}
}
