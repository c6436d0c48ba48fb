package simulator

import (
	"encoding/json"
	"fmt"

	"keelusher/policy"
)

// settingsObject is the JSON form of the settings, used by the simulator and by a node's configuration. The tags are
// the protocol's words, and the field names the terms of package policy. Values whose key ends in -ms are in
// milliseconds.
type settingsObject struct {
	Replicas        int              `json:"balancers"`
	ReplicaIndex    int              `json:"me"`
	Zone            string           `json:"zone"`
	Tier            int              `json:"tier"`
	Tiers           []string         `json:"tiers"`
	Classes         []classObject    `json:"lanes"`
	Tenants         []tenantObject   `json:"tenants"`
	OverQuotaWeight float64          `json:"over-share-worth"`
	Weights         weightsObject    `json:"blend"`
	Clients         clientsObject    `json:"callers"`
	Limits          limitsObject     `json:"limits"`
	DiscoveryMode   string           `json:"registry-mode"`
	Deployment      deploymentObject `json:"rules"`
	TimerResolution float64          `json:"tick-ms"`
}

type classObject struct {
	Name                string   `json:"name"`
	Idempotency         string   `json:"effect"`
	DeduplicationScope  string   `json:"key-scope"`
	DeduplicationWindow float64  `json:"window-ms"`
	LatencyObjective    float64  `json:"target-ms"`
	Deadline            float64  `json:"deadline-ms"`
	LateAnswerWeight    float64  `json:"late-share"`
	PriorityWeight      float64  `json:"worth"`
	Stream              bool     `json:"stream"`
	SerializedByKey     bool     `json:"by-arrival"`
	AllowedMachineTypes []string `json:"bound-to"`
	AllowedZones        []string `json:"confined-to"`
}

type tenantObject struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-per-s"`
}

type weightsObject struct {
	Total      float64 `json:"whole"`
	WorstClass float64 `json:"worst-class"`
}

type clientsObject struct {
	SendRetryFlag bool `json:"marks-retry"`
}

type limitsObject struct {
	MaxAttempts       int     `json:"max-attempts"`
	MaxRetryAfter     float64 `json:"max-retry-after-ms"`
	RetryAfterAllowed bool    `json:"retry-after"`
}

type deploymentObject struct {
	MaxPollInterval          float64 `json:"ask-within-ms"`
	SlowStartInitialCapacity float64 `json:"cold-from"`
	SlowStartDuration        float64 `json:"warm-after-ms"`
	SlowStartOverloadFactor  float64 `json:"fall-multiple"`
	KeySettleTime            float64 `json:"order-settle-ms"`
}

// discoveryPolled is the DiscoveryMode in which the policy must poll for the endpoint list.
const discoveryPolled = "on_request"

// deduplicationScopes maps the protocol's words to scopes. An unknown word means ScopeCell, the narrowest scope.
var deduplicationScopes = map[string]policy.DeduplicationScope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
}

// idempotencies maps the protocol's words for the effect of a class. An unknown word means NotIdempotent.
var idempotencies = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotentWithKey,
}

// ParseSettings parses settings in their JSON form. Unknown keys are ignored. An unknown idempotency or deduplication
// scope means the most conservative one.
func ParseSettings(text []byte) (policy.Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return object.settings(), nil
}

// settings converts the settings to the types of package policy.
func (o *settingsObject) settings() policy.Settings {
	s := policy.Settings{
		OverQuotaWeight:          o.OverQuotaWeight,
		Replicas:                 o.Replicas,
		ReplicaIndex:             o.ReplicaIndex,
		Zone:                     o.Zone,
		Tiers:                    len(o.Tiers),
		Tier:                     o.Tier,
		TotalWeight:              o.Weights.Total,
		WorstClassWeight:         o.Weights.WorstClass,
		ClientsMarkRetries:       o.Clients.SendRetryFlag,
		MaxAttempts:              o.Limits.MaxAttempts,
		PollEndpoints:            o.DiscoveryMode == discoveryPolled,
		MaxPollInterval:          fromMilliseconds(o.Deployment.MaxPollInterval),
		TimerResolution:          fromMilliseconds(o.TimerResolution),
		KeySettleTime:            fromMilliseconds(o.Deployment.KeySettleTime),
		SlowStartInitialCapacity: o.Deployment.SlowStartInitialCapacity,
		SlowStartDuration:        fromMilliseconds(o.Deployment.SlowStartDuration),
		SlowStartOverloadFactor:  o.Deployment.SlowStartOverloadFactor,
	}
	if o.Limits.RetryAfterAllowed {
		s.MaxRetryAfter = fromMilliseconds(o.Limits.MaxRetryAfter)
	}
	for i := range o.Classes {
		s.Classes = append(s.Classes, o.Classes[i].class())
	}
	for _, tenant := range o.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return s
}

// class converts the settings of a class.
func (o *classObject) class() policy.Class {
	return policy.Class{
		Name:                o.Name,
		Idempotency:         idempotencies[o.Idempotency],
		DeduplicationScope:  deduplicationScopes[o.DeduplicationScope],
		DeduplicationWindow: fromMilliseconds(o.DeduplicationWindow),
		LatencyObjective:    fromMilliseconds(o.LatencyObjective),
		Deadline:            fromMilliseconds(o.Deadline),
		LateAnswerWeight:    o.LateAnswerWeight,
		PriorityWeight:      o.PriorityWeight,
		Stream:              o.Stream,
		SerializedByKey:     o.SerializedByKey,
		AllowedZones:        o.AllowedZones,
		AllowedMachineTypes: o.AllowedMachineTypes,
	}
}
