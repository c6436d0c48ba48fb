package testbed

import (
	"errors"
	"testing"
	"time"
)

// The platform kills a node no sooner than the longest deadline, 3 s at most, and 0.7 s after SIGTERM: so soon it is.
func TestKillComesAsEarlyAsAllowed(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		time.Second:     1700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond,
		9 * time.Second: 3700 * time.Millisecond,
	} {
		w := World{Classes: []Class{{Deadline: longest / 2}, {Deadline: longest}}}
		if got := w.killDelay(); got != want {
			t.Errorf("deadlines up to %v: SIGKILL after %v, want %v", longest, got, want)
		}
	}
}

func TestSignalsOfAFaultAreChecked(t *testing.T) {
	w := small(1, 1)
	for name, signals := range map[string][]Signal{
		"none":    nil,
		"unknown": {SignalStop, "usr1"},
	} {
		f := Fault{Kind: FaultSignals, Target: "n1", Signals: signals}
		var wrong *KeyError
		if err := f.Check(&w, ""); !errors.As(err, &wrong) || wrong.Key != "signals" {
			t.Errorf("%s: %v", name, err)
		}
	}
	known := []Signal{SignalReload, SignalStop, SignalContinue, SignalTerminate}
	f := Fault{Kind: FaultSignals, Target: "n1", Signals: known}
	if err := f.Check(&w, ""); err != nil {
		t.Error(err)
	}
}
