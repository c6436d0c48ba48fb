package node

import (
	"fmt"
	"strings"

	"keelusher/policy"

	"github.com/cespare/xxhash/v2"
)

// Members compare digests of their settings, and a fleet may have members of different builds. So the text that a
// digest is computed from is a wire form: its words and their order are fixed, whatever the policy calls its
// settings.
const (
	digestForm = "{Classes:[%s] Tenants:[%s] OverWorth:%v Balancers:0 Self:0 Zone: Tiers:%d Tier:0 WholeWeight:%v" +
		" ClassWeight:%v MarksRepeats:%t MaxAttempts:%d AskDiscovery:%t AskWithin:%v Tick:%v MaxRetryAfter:%v" +
		" OrderSettle:%v ColdFrom:%v WarmAfter:%v FallMultiple:%v}"
	classDigestForm = "{Name:%s Effect:%d Scope:%d Window:%v Aim:%v Deadline:%v LateShare:%v Worth:%v Stream:%t" +
		" InOrder:%t OnlyZones:%v OnlyKinds:%v}"
	tenantDigestForm = "{Name:%s Quota:%v}"
)

// settingsDigest is a hash of the settings that all nodes of a fleet have in common; those of one node are left out.
func settingsDigest(s policy.Settings) string {
	var classes, tenants []string
	for _, c := range s.Classes {
		classes = append(classes, fmt.Sprintf(classDigestForm,
			c.Name,
			c.Idempotency,
			c.DeduplicationScope,
			c.DeduplicationWindow,
			c.LatencyObjective,
			c.Deadline,
			c.LateAnswerWeight,
			c.PriorityWeight,
			c.Stream,
			c.SerializedByKey,
			c.AllowedZones,
			c.AllowedMachineTypes,
		))
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, fmt.Sprintf(tenantDigestForm, t.Name, t.Quota))
	}
	text := fmt.Sprintf(digestForm,
		strings.Join(classes, " "),
		strings.Join(tenants, " "),
		s.OverQuotaWeight,
		s.Tiers,
		s.TotalWeight,
		s.WorstClassWeight,
		s.ClientsMarkRetries,
		s.MaxAttempts,
		s.PollEndpoints,
		s.MaxPollInterval,
		s.TimerResolution,
		s.MaxRetryAfter,
		s.KeySettleTime,
		s.SlowStartInitialCapacity,
		s.SlowStartDuration,
		s.SlowStartOverloadFactor,
	)
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
