package policy

import (
	"math"
	"strings"
	"testing"
)

// The error for an invalid setting must name it.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":                       func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":                        func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1] (post).DeduplicationWindow ": func(s *Settings) { s.Classes[1].DeduplicationWindow = -1 },
		"Classes[0] (get).LateAnswerWeight ":     func(s *Settings) { s.Classes[0].LateAnswerWeight = 2 },
		"Classes[2] (pay).PriorityWeight ":       func(s *Settings) { s.Classes[2].PriorityWeight = math.NaN() },
		"Classes[2] (pay).LatencyObjective ":     func(s *Settings) { s.Classes[2].LatencyObjective = 0 },
		"Tenants[0] (big).Quota ":                func(s *Settings) { s.Tenants = []Tenant{{Name: "big", Quota: -1}} },
		"OverQuotaWeight ":                       func(s *Settings) { s.OverQuotaWeight = 2 },
		"SlowStartInitialCapacity ":              func(s *Settings) { s.SlowStartInitialCapacity = 1.5 },
		"SlowStartDuration ":                     func(s *Settings) { s.SlowStartDuration = -1 },
		"SlowStartOverloadFactor ":               func(s *Settings) { s.SlowStartOverloadFactor = math.NaN() },
		"ReplicaIndex ":                          func(s *Settings) { s.ReplicaIndex = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got the error %v, want one that contains %q", err, want)
		}
	}
}
