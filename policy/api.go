// Package policy decides to which endpoint a load balancer sends each request, when it retries and when it
// rejects. It does no I/O: the host feeds events to a Balancer and carries out the actions it returns.
// This file declares the types of the interface.
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must never go back,
// and its only randomness is the seed given to New, so the same events always give the same actions.
// Balancers share no state. A Balancer holds memory for each request until it is answered and its attempts
// have ended, and for each endpoint until it is removed and its attempts have ended.
//
// Each of the other files has one subject and the type that owns its state; policy.go connects them. They are
// one package because most subjects work on the same endpoints, requests and attempts, and because tests
// drive them through a Balancer.
package policy

import (
	"time"

	"keelusher/policy/guard"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// The zero value is the safe one.
const (
	NotIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // endpoints of one scope discard duplicates for a time
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
	Deadline            time.Duration      // how long a client waits in total, with its retries
	LateAnswerWeight    float64            // part of the weight that an answer after the objective earns
	PriorityWeight      float64            // weight of an answer within the objective
	Stream              bool
	SerializedByKey     bool     // requests with one key run one at a time, in the order of arrival
	AllowedZones        []string // zones that the class may use; nil: all
	AllowedMachineTypes []string // machine types that the class may use; nil: all
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all replicas
}

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Classes          []Class
	Tenants          []Tenant // none: no request is over quota
	OverQuotaWeight  float64  // part of its weight that a request over its tenant's quota keeps
	Replicas         int      // number of replicas that send to this tier
	ReplicaIndex     int      // this replica's number among them, from 0
	Zone             string   // this replica's zone; "": unknown, then no endpoint is local
	Tiers            int      // number of tiers, each of which calls the next; 0: not known
	Tier             int      // index of the tier that requests are sent to; 0: the first one behind the clients
	TotalWeight      float64  // importance of the total weight of answers when load is shed
	WorstClassWeight float64  // importance of the worst-served class when load is shed

	ClientsMarkRetries bool // clients mark their retries; otherwise a short deadline indicates one

	MaxAttempts     int
	PollEndpoints   bool          // the host reads the endpoint list only when it gets a WatchEndpoints
	MaxPollInterval time.Duration // without a watch the list must be polled at least this often
	TimerResolution time.Duration // the host gives events no more often than this
	MaxRetryAfter   time.Duration // longest Retry-After that clients obey
	KeySettleTime   time.Duration // how long the next request of a key waits after an attempt that may still run

	SlowStartInitialCapacity float64       // part of its capacity that an endpoint has at its start
	SlowStartDuration        time.Duration // time until an endpoint has all of its capacity
	SlowStartOverloadFactor  float64       // load over capacity at which an endpoint that is warming up fails; 0: unknown
}

// EndpointState is the state of an endpoint according to discovery.
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

// AttemptResult is the result of an attempt.
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

// Load is the load that an endpoint reports of itself, late and inaccurately. Absent values are negative.
type Load struct {
	BusyRequests float64       // requests that the endpoint holds
	ServiceTime  time.Duration // recent service time, without the time in its queue
}

// Event is an input to a Balancer: one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate is an endpoint list from discovery. A snapshot is the complete list, and endpoints that it
	// does not contain are removed. Otherwise it has only the changed entries.
	EndpointUpdate struct {
		Snapshot  bool
		Cached    bool // stored before a restart of the node, and possibly out of date
		Endpoints []Endpoint
	}
	// DiscoveryFailed reports that a WatchEndpoints failed or that the watch was broken off.
	DiscoveryFailed struct{}
	// Request is a request from a client, which gets one final answer by its deadline.
	Request struct {
		ID             string
		Class          string
		Tenant         string
		Deadline       time.Duration // clock time
		IsRetry        bool          // the client has marked it as a retry
		Key            uint64        // key to serialize it by, if HasKey
		HasKey         bool
		BodyIncomplete bool // its last byte has not arrived yet; RequestSent follows
	}
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID           string
		Attempt      int
		Endpoint     string
		Result       AttemptResult
		Latency      time.Duration
		Answered     bool // the request has its final answer
		BodyConsumed bool // the request's body cannot be sent again
		Load         *Load
	}
	// RequestSent reports that the last byte of a request has been sent to the endpoint. It follows a Request
	// with BodyIncomplete, whose body is forwarded while it arrives. The times of the request and of its attempt
	// start anew with this event.
	RequestSent struct {
		ID       string
		Attempt  int
		Deadline time.Duration // clock time
	}
	// ResponseStarted reports that a streamed response has begun. The time that the rest of the response takes
	// depends on the client, so it says nothing about the endpoint.
	ResponseStarted struct {
		ID      string
		Attempt int
	}
	// ClientDisconnected reports that the client has closed its connection; the request needs no answer.
	ClientDisconnected struct{ ID string }
	// ShutdownDeadline reports that the process is about to end; the request gets its final answer now.
	ShutdownDeadline struct{ ID string }
	// ReplicaCounts gives the number of replicas that send to this tier now, by zone, which replaces
	// Settings.Replicas. If it is empty, the number is not known, and Settings.Replicas applies again.
	ReplicaCounts struct{ ByZone map[string]int }
	// ZoneEvacuation starts or ends an operator's override to send nothing to a zone. It applies until the
	// next ZoneEvacuation of the zone, and has no effect on a class while all zones that it may use are evacuated.
	ZoneEvacuation struct {
		Zone     string
		Evacuate bool
	}
	// TimerFired reports that the timer of a SetTimer has expired.
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

// ZoneState is the state of a zone as one replica observes it.
type ZoneState int

// States of a zone.
const (
	ZoneServing    ZoneState = iota
	ZoneDegraded             // some of its endpoints are unresponsive: a part of its requests goes to other zones
	ZoneEvacuated            // it gets only health probes, or nothing if an operator evacuated it
	ZoneRecovering           // it has answered again: its share grows (recovery ramp)
)

// String returns the state's name at the admin endpoint and in the log. Operators' pages depend on it.
func (s ZoneState) String() string {
	return [...]string{"serving", "degraded", "evacuated", "returning"}[s]
}

// Zone is a zone as one replica observes it.
type Zone struct {
	Name                string
	State               ZoneState
	EvacuatedByOperator bool          // a ZoneEvacuation is in force
	Share               float64       // part of the requests that may use it, from 0 to 1
	Since               time.Duration // clock time of the last change of the state
	Endpoints           int           // endpoints in service
	Unresponsive        int           // endpoints that left attempts without an answer since the zone's last answer
	InFlight            int           // attempts of this replica in flight
}

// Action is something that the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// SendAttempt starts the next attempt of a request (numbered from 0), which times out after Timeout. A
	// retry of a request with an idempotency key may only be sent before the clock time RetryBefore, since
	// endpoints do not discard it as a duplicate later. 0: no such bound.
	SendAttempt struct {
		ID          string
		Endpoint    string
		Timeout     time.Duration
		RetryBefore time.Duration
	}
	// Reject is a final answer that tells the client that it may safely retry.
	Reject struct {
		ID         string
		RetryAfter time.Duration // recommended wait before a retry; 0: none
		Reason     guard.Verdict
	}
	// Fail is a final answer that does not tell whether the request has run.
	Fail struct {
		ID     string
		Reason guard.Verdict
	}
	// SetTimer asks the host for a TimerFired with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// WatchEndpoints asks the host to get the endpoint list and its changes from discovery.
	WatchEndpoints struct{}
)

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
