package policy

import (
	"fmt"
	"time"
)

// settingError is an invalid setting and what is wrong with it.
type settingError struct {
	setting string
	problem string
}

func (e *settingError) Error() string {
	return "policy: " + e.setting + " " + e.problem
}

// settingCheck is one requirement on a setting.
type settingCheck struct {
	setting string
	valid   bool
	problem string
}

// firstFailure returns the error of the first check that fails, or nil if none does.
func firstFailure(checks ...settingCheck) error {
	for _, check := range checks {
		if !check.valid {
			return &settingError{setting: check.setting, problem: check.problem}
		}
	}
	return nil
}

// The comparisons of these checks are false for NaN, so that NaN is never valid.

func isShare(setting string, value float64) settingCheck {
	return settingCheck{setting, value >= 0 && value <= 1, "must be from 0 to 1"}
}

func isPositive(setting string, value time.Duration) settingCheck {
	return settingCheck{setting, value > 0, "must be positive"}
}

func notNegative[T int | float64 | time.Duration](setting string, value T) settingCheck {
	return settingCheck{setting, value >= 0, "is negative"}
}

// validate returns an error that names the first invalid setting, or nil if all are valid.
func (s Settings) validate() error {
	if err := s.validateClasses(); err != nil {
		return err
	}
	for i, tenant := range s.Tenants {
		name := fmt.Sprintf("Tenants[%d] (%s).Quota", i, tenant.Name)
		if err := firstFailure(notNegative(name, tenant.Quota)); err != nil {
			return err
		}
	}
	return firstFailure(
		isShare("OverQuotaWeight", s.OverQuotaWeight),
		isShare("SlowStartInitialCapacity", s.SlowStartInitialCapacity),
		notNegative("MaxPollInterval", s.MaxPollInterval),
		notNegative("TimerResolution", s.TimerResolution),
		notNegative("MaxRetryAfter", s.MaxRetryAfter),
		notNegative("KeySettleTime", s.KeySettleTime),
		notNegative("SlowStartDuration", s.SlowStartDuration),
		notNegative("Tiers", s.Tiers),
		notNegative("Tier", s.Tier),
		notNegative("Replicas", s.Replicas),
		notNegative("ReplicaIndex", s.ReplicaIndex),
		notNegative("MaxAttempts", s.MaxAttempts),
		notNegative("SlowStartOverloadFactor", s.SlowStartOverloadFactor),
	)
}

func (s Settings) validateClasses() error {
	if len(s.Classes) == 0 {
		return &settingError{setting: "Classes", problem: "is empty"}
	}
	for i, c := range s.Classes {
		if c.Name == "" {
			return &settingError{setting: fmt.Sprintf("Classes[%d].Name", i), problem: "is empty"}
		}
		name := fmt.Sprintf("Classes[%d] (%s).", i, c.Name)
		err := firstFailure(
			isPositive(name+"LatencyObjective", c.LatencyObjective),
			isPositive(name+"Deadline", c.Deadline),
			notNegative(name+"DeduplicationWindow", c.DeduplicationWindow),
			notNegative(name+"PriorityWeight", c.PriorityWeight),
			isShare(name+"LateAnswerWeight", c.LateAnswerWeight),
		)
		if err != nil {
			return err
		}
	}
	return nil
}
