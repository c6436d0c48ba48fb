package policy

import (
	"fmt"
	"reflect"
	"slices"
	"time"
)

// validate names the setting at fault.
func (s Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("policy: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.Name == "" {
			return fmt.Errorf("policy: Classes[%d].Name is empty", i)
		}
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DeduplicationWindow < 0 {
			return fmt.Errorf("policy: Classes[%d] (%s): Aim, Deadline or Window out of range", i, c.Name)
		}
		if !(c.PriorityWeight >= 0) || !(c.LateAnswerWeight >= 0 && c.LateAnswerWeight <= 1) {
			return fmt.Errorf("policy: Classes[%d] (%s): Worth or LateShare out of range", i, c.Name)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("policy: Tenants[%d] (%s): Quota out of range", i, t.Name)
		}
	}
	if !(s.OverQuotaWeight >= 0 && s.OverQuotaWeight <= 1) {
		return fmt.Errorf("policy: OverWorth must be from 0 to 1")
	}
	if !(s.SlowStartInitialCapacity >= 0 && s.SlowStartInitialCapacity <= 1) {
		return fmt.Errorf("policy: ColdFrom must be from 0 to 1")
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"AskWithin", s.MaxPollInterval}, {"Tick", s.TimerResolution}, {"MaxRetryAfter", s.MaxRetryAfter}, {"OrderSettle", s.KeySettleTime},
		{"WarmAfter", s.SlowStartDuration}} {
		if d.v < 0 {
			return fmt.Errorf("policy: %s is negative", d.name)
		}
	}
	if s.Tiers < 0 || s.Tier < 0 || s.Replicas < 0 || s.ReplicaIndex < 0 || s.MaxAttempts < 0 || !(s.SlowStartOverloadFactor >= 0) {
		return fmt.Errorf("policy: Tiers, Tier, Balancers, Self, MaxAttempts or FallMultiple is negative")
	}
	return nil
}

// addClass takes a class of the settings in, with a pool for each placement.
func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, meanLatency: float64(c.LatencyObjective) / 4, latencyDeviation: float64(c.LatencyObjective) / 8}
	i := slices.IndexFunc(b.subsets, func(p *endpointSubset) bool {
		return reflect.DeepEqual([][]string{p.zones, p.machineTypes}, [][]string{c.AllowedZones, c.AllowedMachineTypes})
	})
	if i < 0 {
		i, b.subsets = len(b.subsets), append(b.subsets, &endpointSubset{zones: c.AllowedZones, machineTypes: c.AllowedMachineTypes})
	}
	k.subset = b.subsets[i]
	for _, t := range b.settings.Tenants { // who sends what is not told: each class counts alike
		if c.Name != "" {
			k.subset.quotaLoad += t.Quota * c.LatencyObjective.Seconds() / float64(len(b.settings.Classes))
		}
	}
	b.classes[c.Name] = k
	b.classOrder = append(b.classOrder, k)
}
