package simulator

import (
	"encoding/json"
	"fmt"

	"keelusher/policy"
)

// settingsObject is the settings as the simulator and a node's configuration write them. The tags hold the protocol's
// words, and the names the terms of package policy. Numbers whose key ends in -ms are milliseconds.
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

// discoveryPolled is the DiscoveryMode in which the endpoint list has to be polled.
const discoveryPolled = "on_request"

// deduplicationScopes maps the scopes; one that is missing here is the narrowest, ScopeCell.
var deduplicationScopes = map[string]policy.DeduplicationScope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
}

// idempotencies maps the effects; one that is missing here is NotIdempotent.
var idempotencies = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotentWithKey,
}

// ParseSettings reads the settings object. Unknown keys are ignored, and unknown values of an enumeration mean the most
// careful one.
func ParseSettings(text []byte) (policy.Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return object.settings(), nil
}

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
