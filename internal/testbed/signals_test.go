package testbed

import (
	"errors"
	"testing"
	"time"
)

// After SIGTERM the platform waits for the longest deadline, 3 s at most, and another 0.7 s before it kills a node.
// Guards against a test bed that kills earlier, which would blame nodes wrongly, or later, which would hide nodes that
// are too slow.
func TestKillComesAsEarlyAsAllowed(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		time.Second:     1700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond,
		9 * time.Second: 3700 * time.Millisecond,
	} {
		w := World{Classes: []Class{{Deadline: longest / 2}, {Deadline: longest}}}
		if got := w.minKillDelay(); got != want {
			t.Errorf("with deadlines up to %v SIGKILL comes after %v, want %v", longest, got, want)
		}
	}
}

// Guards against a signals fault that is accepted without signals or with an unknown one, or rejected with known ones.
func TestSignalsOfAFaultAreChecked(t *testing.T) {
	w := small(1, 1)
	for name, signals := range map[string][]Signal{
		"none":    nil,
		"unknown": {SignalStop, "usr1"},
	} {
		f := Fault{Kind: FaultSignals, Target: "n1", Signals: signals}
		var wrong *KeyError
		if err := f.Check(&w, ""); !errors.As(err, &wrong) || wrong.Key != "signals" {
			t.Errorf("check of a fault with signals %s: got error %v, want one for the key signals", name, err)
		}
	}
	known := []Signal{SignalReload, SignalStop, SignalContinue, SignalTerminate}
	f := Fault{Kind: FaultSignals, Target: "n1", Signals: known}
	if err := f.Check(&w, ""); err != nil {
		t.Error(err)
	}
}
