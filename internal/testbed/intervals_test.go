package testbed

import (
	"testing"
	"time"
)

// A fault of a moment, such as a reset, does not end one that lasts.
func TestTouchWithinAnInterval(t *testing.T) {
	var s intervals
	s.begin("a->b", time.Second)
	s.touch("a->b", 2*time.Second)
	if !s.overlap("a->b", 3*time.Second, 3*time.Second) {
		t.Error("the span is over")
	}
	s.end("a->b", 4*time.Second)
	s.touch("a->b", 6*time.Second)
	for at, want := range map[time.Duration]bool{5 * time.Second: false, 6 * time.Second: true, 7 * time.Second: false} {
		if s.overlap("a->b", at, at) != want {
			t.Errorf("at %v: %t", at, !want)
		}
	}
}
