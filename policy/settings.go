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
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 {
			return fmt.Errorf("policy: Classes[%d] (%s): Aim, Deadline or Window out of range", i, c.Name)
		}
		if !(c.Worth >= 0) || !(c.LateShare >= 0 && c.LateShare <= 1) {
			return fmt.Errorf("policy: Classes[%d] (%s): Worth or LateShare out of range", i, c.Name)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("policy: Tenants[%d] (%s): Quota out of range", i, t.Name)
		}
	}
	if !(s.OverWorth >= 0 && s.OverWorth <= 1) {
		return fmt.Errorf("policy: OverWorth must be from 0 to 1")
	}
	if !(s.ColdFrom >= 0 && s.ColdFrom <= 1) {
		return fmt.Errorf("policy: ColdFrom must be from 0 to 1")
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"AskWithin", s.AskWithin}, {"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"OrderSettle", s.OrderSettle},
		{"WarmAfter", s.WarmAfter}} {
		if d.v < 0 {
			return fmt.Errorf("policy: %s is negative", d.name)
		}
	}
	if s.Tiers < 0 || s.Tier < 0 || s.Balancers < 0 || s.Self < 0 || s.MaxAttempts < 0 || !(s.FallMultiple >= 0) {
		return fmt.Errorf("policy: Tiers, Tier, Balancers, Self, MaxAttempts or FallMultiple is negative")
	}
	return nil
}

// addClass takes a class of the settings in, with a pool for each placement.
func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, mean: float64(c.Aim) / 4, dev: float64(c.Aim) / 8}
	i := slices.IndexFunc(b.pools, func(p *pool) bool {
		return reflect.DeepEqual([][]string{p.zones, p.kinds}, [][]string{c.OnlyZones, c.OnlyKinds})
	})
	if i < 0 {
		i, b.pools = len(b.pools), append(b.pools, &pool{zones: c.OnlyZones, kinds: c.OnlyKinds})
	}
	k.pool = b.pools[i]
	for _, t := range b.set.Tenants { // who sends what is not told: each class counts alike
		if c.Name != "" {
			k.pool.promise += t.Quota * c.Aim.Seconds() / float64(len(b.set.Classes))
		}
	}
	b.classes[c.Name] = k
	b.order = append(b.order, k)
}
