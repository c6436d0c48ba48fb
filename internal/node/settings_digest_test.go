package node

import (
	"testing"
	"time"

	"keelusher/policy"
)

// A fleet may have members of different builds, which compare digests of their settings. The digests must equal those
// that builds from before the renaming of the fields of policy.Settings compute.
func TestSettingsDigestIsThatOfOlderBuilds(t *testing.T) {
	settings := policy.Settings{
		Classes: []policy.Class{
			{
				Name: "view", Idempotency: policy.Idempotent, DeduplicationScope: policy.ScopeAll,
				LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, LateAnswerWeight: 0.25,
				PriorityWeight: 1, Stream: true,
			},
			{
				Name: "booking", Idempotency: policy.IdempotentWithKey, DeduplicationScope: policy.ScopeZone,
				DeduplicationWindow: 3 * time.Second, LatencyObjective: time.Second, Deadline: 4 * time.Second,
				PriorityWeight: 4, SerializedByKey: true, AllowedZones: []string{"x", "y"},
				AllowedMachineTypes: []string{"big"},
			},
		},
		Tenants:         []policy.Tenant{{Name: "a", Quota: 12.5}},
		OverQuotaWeight: 0.05, Replicas: 3, ReplicaIndex: 1, Zone: "x", Tiers: 3, Tier: 1, TotalWeight: 0.75,
		WorstClassWeight: 0.1, ClientsMarkRetries: true, MaxAttempts: 4, PollEndpoints: true,
		MaxPollInterval: 6 * time.Second, TimerResolution: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second,
		KeySettleTime: 200 * time.Millisecond, SlowStartInitialCapacity: 0.38, SlowStartDuration: 8500 * time.Millisecond,
		SlowStartOverloadFactor: 4,
	}
	for want, s := range map[string]policy.Settings{"534db520ede913ae": settings, "22865b52414ca0a1": {}} {
		if got := settingsDigest(s); got != want {
			t.Errorf("the digest is %s, that of older builds is %s", got, want)
		}
	}
}
