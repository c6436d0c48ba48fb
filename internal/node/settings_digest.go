package node

import (
	"fmt"
	"strings"

	"keelusher/policy"

	"github.com/cespare/xxhash/v2"
)

// The formats of the text that the digest is computed from. Members compare digests of their settings, and a fleet may
// have members of different builds. The words of the text and their order are therefore part of the wire format: they
// must not change, even where the policy has renamed a setting since.
const (
	digestFormat = "{Classes:[%s] Tenants:[%s] OverWorth:%v Balancers:0 Self:0 Zone: Tiers:%d Tier:0 WholeWeight:%v" +
		" ClassWeight:%v MarksRepeats:%t MaxAttempts:%d AskDiscovery:%t AskWithin:%v Tick:%v MaxRetryAfter:%v" +
		" OrderSettle:%v ColdFrom:%v WarmAfter:%v FallMultiple:%v}"
	classDigestFormat = "{Name:%s Effect:%d Scope:%d Window:%v Aim:%v Deadline:%v LateShare:%v Worth:%v Stream:%t" +
		" InOrder:%t OnlyZones:%v OnlyKinds:%v}"
	tenantDigestFormat = "{Name:%s Quota:%v}"
)

// settingsDigest returns a hash of the settings that all nodes of a fleet have in common. Settings of a single node,
// such as its zone, are left out.
func settingsDigest(s policy.Settings) string {
	var classes, tenants []string
	for _, c := range s.Classes {
		classes = append(classes, fmt.Sprintf(classDigestFormat,
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
		tenants = append(tenants, fmt.Sprintf(tenantDigestFormat, t.Name, t.Quota))
	}
	text := fmt.Sprintf(digestFormat,
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
