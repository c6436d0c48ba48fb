package testbed

import (
	"testing"
	"time"
)

// Guards against a momentary fault, such as a reset, that closes the open interval of a lasting fault.
func TestTouchWithinAnInterval(t *testing.T) {
	var s intervals
	s.begin("a->b", time.Second)
	s.recordMoment("a->b", 2*time.Second)
	if !s.overlap("a->b", 3*time.Second, 3*time.Second) {
		t.Error("the open interval was closed by recordMoment")
	}
	s.end("a->b", 4*time.Second)
	s.recordMoment("a->b", 6*time.Second)
	for at, want := range map[time.Duration]bool{5 * time.Second: false, 6 * time.Second: true, 7 * time.Second: false} {
		if s.overlap("a->b", at, at) != want {
			t.Errorf("at %v: overlap is %t, want the opposite", at, !want)
		}
	}
}
