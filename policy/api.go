// Package policy decides to which endpoint a load balancer sends each request, when it retries and when it
// rejects. It does no I/O: the host feeds events to a Balancer and carries out the actions it returns.
// This file is the whole interface.
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must never go back,
// and its only randomness is the seed given to New, so the same events always give the same actions.
// Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each endpoint until it has been removed and its attempts have ended.
//
// The other files have one subject each, with a type that owns its state, and policy.go joins them. They are
// one package because most subjects work on the same endpoints, requests and attempts, and because tests
// drive them through a Balancer.
package policy

import (
	"time"

	"keelusher/policy/guard"
)

// Idempotency says what happens when a request runs more than once.
type Idempotency int

// The zero value is the careful one.
const (
	NotIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // the endpoints of one scope discard duplicates for a while
	Idempotent                           // may run any number of times
)

// DeduplicationScope names the endpoints that discard the duplicates of a request with an idempotency key.
type DeduplicationScope int

// Scopes, from the narrowest.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // for IdempotentWithKey
	DeduplicationWindow time.Duration      // for IdempotentWithKey; it starts with the first attempt
	LatencyObjective    time.Duration      // answers within it earn the full weight
	Deadline            time.Duration      // how long a client waits over all its attempts
	LateAnswerWeight    float64            // part of the weight that an answer after the objective earns
	PriorityWeight      float64
	Stream              bool
	SerializedByKey     bool     // requests with one key run one at a time, in the order of arrival
	AllowedZones        []string // zones open to the class; nil: all
	AllowedMachineTypes []string // machine types open to the class; nil: all
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all replicas
}

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Classes          []Class
	Tenants          []Tenant // none: nothing is over quota
	OverQuotaWeight  float64  // part of its weight that a request over its tenant's quota keeps
	Replicas         int      // replicas that send to this tier
	ReplicaIndex     int      // this replica's number among them, from 0
	Zone             string   // this replica's zone; "": unknown, then no endpoint is local
	Tiers            int      // how many there are, each calling the next; 0: not known
	Tier             int      // the tier sent to, 0 being the clients' first
	TotalWeight      float64  // how much the weight of all requests counts when load is shed
	WorstClassWeight float64  // how much the worst-served class counts when load is shed

	ClientsMarkRetries bool // clients mark their retries; else a short deadline shows one

	MaxAttempts     int
	PollEndpoints   bool          // the endpoint list follows only a WatchEndpoints
	MaxPollInterval time.Duration // without a watch the list must be polled at least this often
	TimerResolution time.Duration // events come no more often than this
	MaxRetryAfter   time.Duration // longest Retry-After that clients heed
	KeySettleTime   time.Duration // how long a key waits after an attempt that may still run

	SlowStartInitialCapacity float64       // part of its capacity that a started endpoint has at once
	SlowStartDuration        time.Duration // time after which it has all of it
	SlowStartOverloadFactor  float64       // load over capacity at which a warming endpoint fails; 0: unknown
}

// EndpointState is what discovery says of an endpoint.
type EndpointState int

// Endpoint states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the discovery list.
type Endpoint struct {
	ID          string
	Zone        string
	MachineType string
	Cell        int
	State       EndpointState
	StartedAt   time.Duration // clock time of its last start; 0: long ago
}

// AttemptResult says how an attempt ended.
type AttemptResult int

// Attempt results. Overloaded, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Success AttemptResult = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionLost
	Canceled
	NotSent
)

// Load is an endpoint's own load report, late and noisy. Absent values are negative.
type Load struct {
	Busy    float64       // requests it holds
	Service time.Duration // recent service time without waiting
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate is a watch event of discovery. A snapshot is the complete list: absent endpoints are
	// removed. Otherwise it has only changed entries.
	EndpointUpdate struct {
		Snapshot  bool
		Cached    bool // known before a restart, possibly out of date
		Endpoints []Endpoint
	}
	// DiscoveryFailed says that a WatchEndpoints failed or that the watch broke.
	DiscoveryFailed struct{}
	// Request is a client's request; the Balancer gives it one final answer by Deadline.
	Request struct {
		ID             string
		Class          string
		Tenant         string
		Deadline       time.Duration // clock time
		IsRetry        bool          // the client marked it as a retry
		Key            uint64        // what it is about, where HasKey
		HasKey         bool
		BodyIncomplete bool // its last byte has not arrived yet; RequestSent follows
	}
	// AttemptEnded ends one attempt. Answered: the request has its final answer.
	AttemptEnded struct {
		ID           string
		Attempt      int
		Endpoint     string
		Result       AttemptResult
		Latency      time.Duration
		Answered     bool
		BodyConsumed bool // the request's body cannot be sent again
		Load         *Load
	}
	// RequestSent says that an attempt whose body was forwarded while it arrived is complete at its
	// endpoint only now: the time of both request and attempt counts from here.
	RequestSent struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time
	}
	// ResponseStarted says that a streamed response has begun. Its client sets the pace from here on, so
	// how long the rest takes says nothing of the endpoint.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected says that the client has closed its connection; it needs no answer.
	ClientDisconnected struct{ ID string }
	// ShutdownDeadline says that the process ends: the request gets its final answer now.
	ShutdownDeadline struct{ ID string }
	// ReplicaCounts says how many replicas send to this tier now, by zone, in place of Settings.Replicas.
	// Without any the number is not known, and that of the settings holds again.
	ReplicaCounts struct{ ByZone map[string]int }
	// ZoneEvacuation is an operator's override to send nothing to a zone, or its end. It holds until the
	// next one, and has no effect while all zones open to a class are evacuated.
	ZoneEvacuation struct {
		Zone     string
		Evacuate bool
	}
	// TimerFired says that the timer of a SetTimer has expired.
	TimerFired struct{ Token string }
)

func (EndpointUpdate) event()     {}
func (DiscoveryFailed) event()    {}
func (Request) event()            {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (RequestSent) event()        {}
func (ClientDisconnected) event() {}
func (ShutdownDeadline) event()   {}
func (ReplicaCounts) event()      {}
func (ZoneEvacuation) event()     {}
func (TimerFired) event()         {}

// ZoneState is the state of a zone as one replica sees it.
type ZoneState int

// States of a zone.
const (
	ZoneServing    ZoneState = iota
	ZoneDegraded             // some of its endpoints are unresponsive: it gets a part of its draws
	ZoneEvacuated            // it gets health probes only, or nothing by an override
	ZoneRecovering           // it has answered a probe: its part grows (recovery ramp)
)

// String gives the state's name at the admin endpoint and in the log; operators' pages rest on it.
func (s ZoneState) String() string {
	return [...]string{"serving", "degraded", "evacuated", "returning"}[s]
}

// Zone is what a replica shows of a zone.
type Zone struct {
	Name                string
	State               ZoneState
	EvacuatedByOperator bool          // by a ZoneEvacuation
	Share               float64       // part of its draws that it gets
	Since               time.Duration // clock time of the last change of the state
	Endpoints           int           // in service
	Unresponsive        int           // of them, whose last attempts got no answer
	InFlight            int           // own attempts
}

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// SendAttempt starts the next attempt of a request (numbered from 0); it times out after Timeout. A
	// retry of a request with an idempotency key may only be sent before the clock time RetryBefore:
	// endpoints do not discard it as a duplicate later. 0: no such bound.
	SendAttempt struct {
		ID          string
		Endpoint    string
		Timeout     time.Duration
		RetryBefore time.Duration
	}
	// Reject is a final answer which promises that a retry by the client does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
		Reason     guard.Verdict
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     string
		Reason guard.Verdict
	}
	// SetTimer asks for a TimerFired with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// WatchEndpoints asks discovery for the endpoint list and its changes.
	WatchEndpoints struct{}
)

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
