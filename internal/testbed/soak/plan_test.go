package soak

import (
	"reflect"
	"testing"
	"time"

	"keelusher/internal/testbed"
)

// Guards against plans that a seed does not reproduce, faults that do not fit the world, and clusters with too few
// faults to overlap.
func TestSeedGivesOneValidPlan(t *testing.T) {
	for seed := range uint64(200) {
		p, again := NewPlan(seed), NewPlan(seed)
		if !reflect.DeepEqual(p, again) {
			t.Fatalf("seed %d gave two different plans", seed)
		}
		if err := p.World.Fill(); err != nil {
			t.Fatal(err)
		}
		early := 0
		for i, f := range p.Faults {
			if err := f.Check(&p.World, ""); err != nil {
				t.Errorf("seed %d, fault %d (%s): %v", seed, i, f.Kind, err)
			}
			if f.At < secondCluster {
				early++
			}
		}
		if late := len(p.Faults) - early; early < 2 || late < 2 {
			t.Errorf("seed %d: clusters have %d and %d faults, want at least 2 each", seed, early, late)
		}
	}
	if a, b := NewPlan(1), NewPlan(2); reflect.DeepEqual(a.Faults, b.Faults) {
		t.Error("seeds 1 and 2 gave the same faults")
	}
}

func TestKeep(t *testing.T) {
	p := NewPlan(3)
	second := p.Faults[1]
	if err := p.Keep([]int{1}); err != nil || len(p.Faults) != 1 || !reflect.DeepEqual(p.Faults[0], second) {
		t.Errorf("Keep left %v (error %v), want only the second fault", p.Faults, err)
	}
	if err := p.Keep([]int{7}); err == nil {
		t.Error("Keep accepted the index of a fault that does not exist")
	}
}

// Guards against plans that lack signals, floods, short deadlines or membership. Each seed must have one series of
// signals, a third of the seeds a connection flood, a third short deadlines, and half membership with overrides, all
// within a quarter of the expected count. No series may stop a process for longer than the platform does.
func TestPlansHaveSignalsFloodsAndMembership(t *testing.T) {
	const seeds, maxStop = 600, 150 * time.Millisecond
	floods, memberships, short := 0, 0, 0
	for seed := range uint64(seeds) {
		p := NewPlan(seed)
		series := 0
		for _, f := range p.Faults {
			switch f.Kind {
			case testbed.FaultSignals:
				series++
				if stopped := stopTime(f); stopped > maxStop {
					t.Errorf("seed %d: signals %v stop a process for %v, which is too long", seed, f.Signals, stopped)
				}
			case testbed.FaultConnectionFlood:
				floods++
			}
		}
		if series != 1 {
			t.Errorf("seed %d has %d series of signals, want 1", seed, series)
		}
		if p.World.Fleet != nil {
			memberships++
		}
		if p.World.Classes[0].Deadline < 2*time.Second {
			short++
		}
		if (p.World.Fleet != nil) != (len(p.Overrides) > 0) {
			t.Errorf("seed %d: membership %v, %d overrides, want both or neither", seed, p.World.Fleet != nil, len(p.Overrides))
		}
	}
	scaled := map[string]int{"a connection flood": 3 * floods, "short deadlines": 3 * short, "membership": 2 * memberships}
	for what, count := range scaled {
		if count < seeds*3/4 || count > seeds*5/4 {
			t.Errorf("%s: the share of the seeds that have it is off by more than a quarter", what)
		}
	}
}

// stopTime returns for how long a series of signals stops a process.
func stopTime(f testbed.Fault) (total time.Duration) {
	stopped := false
	for _, signal := range f.Signals {
		switch signal {
		case testbed.SignalStop:
			stopped = true
		case testbed.SignalContinue:
			stopped = false
		}
		if stopped {
			total += f.Gap
		}
	}
	return total
}
