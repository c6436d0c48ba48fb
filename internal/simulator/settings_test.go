package simulator

import (
	"reflect"
	"testing"
	"time"

	"keelusher/policy"
)

func mustParseSettings(t *testing.T, text string) policy.Settings {
	t.Helper()
	settings, err := ParseSettings([]byte(text))
	if err != nil {
		t.Fatalf("parse settings %s: %v", text, err)
	}
	return settings
}

// Guards against a key of the settings that is not read, or read into the wrong field. All values differ from the zero
// value, so that a missing one shows.
func TestParseSettings(t *testing.T) {
	got := mustParseSettings(t, `{"balancers":4,"me":2,"zone":"z","tier":1,"tiers":["a","b","c"],
		"lanes":[{"name":"a","effect":"idempotency_key","key-scope":"zone","window-ms":3500,"target-ms":100,
			"deadline-ms":200.5,"late-share":0.3,"worth":9,"stream":true,"by-arrival":true,
			"bound-to":["k"],"confined-to":["z"]}],
		"tenants":[{"name":"t","quota-per-s":22}],"over-share-worth":0.05,
		"blend":{"whole":1.5,"worst-class":0.5},"callers":{"marks-retry":true},
		"limits":{"max-attempts":3,"max-retry-after-ms":2000,"retry-after":true},"registry-mode":"on_request",
		"rules":{"ask-within-ms":3000,"cold-from":0.2,"fall-multiple":4,"order-settle-ms":40,"warm-after-ms":5000},
		"tick-ms":2}`)
	want := policy.Settings{
		Classes: []policy.Class{{
			Name:                "a",
			Idempotency:         policy.IdempotentWithKey,
			DeduplicationScope:  policy.ScopeZone,
			DeduplicationWindow: 3500 * time.Millisecond,
			LatencyObjective:    100 * time.Millisecond,
			Deadline:            200500 * time.Microsecond,
			LateAnswerWeight:    0.3,
			PriorityWeight:      9,
			Stream:              true,
			SerializedByKey:     true,
			AllowedZones:        []string{"z"},
			AllowedMachineTypes: []string{"k"},
		}},
		Tenants:                  []policy.Tenant{{Name: "t", Quota: 22}},
		OverQuotaWeight:          0.05,
		Replicas:                 4,
		ReplicaIndex:             2,
		Zone:                     "z",
		Tiers:                    3,
		Tier:                     1,
		TotalWeight:              1.5,
		WorstClassWeight:         0.5,
		ClientsMarkRetries:       true,
		MaxAttempts:              3,
		PollEndpoints:            true,
		MaxPollInterval:          3 * time.Second,
		TimerResolution:          2 * time.Millisecond,
		MaxRetryAfter:            2 * time.Second,
		KeySettleTime:            40 * time.Millisecond,
		SlowStartInitialCapacity: 0.2,
		SlowStartDuration:        5 * time.Second,
		SlowStartOverloadFactor:  4,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings: got %+v\nwant %+v", got, want)
	}
}

func TestParseMarkedRetries(t *testing.T) {
	for text, want := range map[string]bool{`{"callers":{"marks-retry":true}}`: true, `{}`: false} {
		if s := mustParseSettings(t, text); s.ClientsMarkRetries != want {
			t.Errorf("settings %s: got ClientsMarkRetries %v, want the opposite", text, s.ClientsMarkRetries)
		}
	}
}

func TestParseTenants(t *testing.T) {
	s := mustParseSettings(t, `{"tenants":[{"name":"a","quota-per-s":22,"share":0.4}],"over-share-worth":0.05}`)
	if len(s.Tenants) != 1 || s.Tenants[0] != (policy.Tenant{Name: "a", Quota: 22}) || s.OverQuotaWeight != 0.05 {
		t.Errorf("got %+v, want tenant \"a\" with quota 22, and OverQuotaWeight 0.05", s)
	}
}

func TestUnknownEffectIsNotIdempotent(t *testing.T) {
	s := mustParseSettings(t, `{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1}`)
	if s.Classes[0].Idempotency != policy.NotIdempotent || s.Classes[1].Idempotency != policy.Idempotent {
		t.Fatalf("got %+v, want NotIdempotent for class \"a\" and Idempotent for class \"b\"", s)
	}
}

func TestParseClassRestrictions(t *testing.T) {
	s := mustParseSettings(t, `{"lanes":[{"name":"a","by-arrival":true,"bound-to":["k"],"confined-to":["z"]},`+
		`{"name":"b"}],"rules":{"order-settle-ms":40}}`)
	if s.KeySettleTime != 40*time.Millisecond {
		t.Fatalf("got %+v, want KeySettleTime 40ms", s)
	}
	restricted, open := s.Classes[0], s.Classes[1]
	if !restricted.SerializedByKey || len(restricted.AllowedMachineTypes) != 1 || len(restricted.AllowedZones) != 1 {
		t.Errorf("class with restrictions: got %+v, want all three", restricted)
	}
	if open.SerializedByKey || open.AllowedMachineTypes != nil || open.AllowedZones != nil {
		t.Errorf("class without restrictions: got %+v, want none", open)
	}
}

// Without "retry-after":true, MaxRetryAfter must stay 0 even if max-retry-after-ms is set.
func TestRetryAfterThatIsNotAllowed(t *testing.T) {
	s := mustParseSettings(t, `{"limits":{"max-retry-after-ms":2000}}`)
	if s.MaxRetryAfter != 0 {
		t.Errorf("MaxRetryAfter: got %v, want 0", s.MaxRetryAfter)
	}
}
