package testbed

import (
	"context"
	"time"
)

// T is what the testbed needs of a test.
type T interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// longEnough is how long a test waits for a condition before it fails.
const longEnough = time.Minute

// Start opens a world for a test and closes it at the test's end. A test that has failed logs the end of what each
// node said.
func Start(t T, w World) *Testbed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longEnough)
	defer cancel()
	tb, err := Open(ctx, w)
	if err != nil {
		t.Fatalf("testbed: %v", err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, n := range tb.nodeOrder {
				t.Logf("%s logged: %s", n.name, n.process.tail(4))
			}
		}
		tb.Close()
	})
	return tb
}

// Until waits for a condition, looking at it every 5 ms.
func Until(t T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(longEnough); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
