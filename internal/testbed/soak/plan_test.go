package soak

import (
	"reflect"
	"testing"
)

// A seed gives the same run each time, each of its faults passes its check, and both clusters overlap.
func TestPlanOfASeed(t *testing.T) {
	for seed := range uint64(200) {
		p, again := NewPlan(seed), NewPlan(seed)
		if !reflect.DeepEqual(p, again) {
			t.Fatalf("seed %d gave two plans", seed)
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
			t.Errorf("seed %d: %d and %d faults, want two or three in each cluster", seed, early, late)
		}
	}
	if a, b := NewPlan(1), NewPlan(2); reflect.DeepEqual(a.Faults, b.Faults) {
		t.Error("two seeds gave the same faults")
	}
}

func TestKeep(t *testing.T) {
	p := NewPlan(3)
	second := p.Faults[1]
	if err := p.Keep([]int{1}); err != nil || len(p.Faults) != 1 || !reflect.DeepEqual(p.Faults[0], second) {
		t.Errorf("kept %v, %v", p.Faults, err)
	}
	if err := p.Keep([]int{7}); err == nil {
		t.Error("a fault that there is not was kept")
	}
}
