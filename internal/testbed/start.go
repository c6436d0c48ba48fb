package testbed

import (
	"context"
	"time"
)

// T is the part of testing.TB that the test bed needs.
type T interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = time.Minute

// Start opens a world for a test and closes it at the end of the test. If the test has failed, it logs the last log
// lines of each node.
func Start(t T, w World) *Testbed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	tb, err := Open(ctx, w)
	if err != nil {
		t.Fatalf("start of the test bed: %v", err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, n := range tb.orderedNodes {
				t.Logf("%s logged: %s", n.name, n.process.logTail(4))
			}
		}
		tb.Close()
	})
	return tb
}

// Until waits for a condition, checking it every 5 ms, and fails the test if it does not become true in time.
func Until(t T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}
