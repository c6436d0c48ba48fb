package policy

import (
	"strings"
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":         func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":          func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1] (post)":        func(s *Settings) { s.Classes[1].DeduplicationWindow = -1 },
		"SlowStartInitialCapacity": func(s *Settings) { s.SlowStartInitialCapacity = 1.5 },
		"SlowStartDuration":        func(s *Settings) { s.SlowStartDuration = -1 },
		"Tenants[0] (big)":         func(s *Settings) { s.Tenants = []Tenant{{Name: "big", Quota: -1}} },
		"OverQuotaWeight":          func(s *Settings) { s.OverQuotaWeight = 2 },
		"LateAnswerWeight":         func(s *Settings) { s.Classes[0].LateAnswerWeight = 2 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
