// Package guard decides whether the node may act now: send an attempt, retry a request, close a client's
// connection or accept clients. Each check is a struct of facts with a method that returns a Verdict. The
// package does no I/O and has no clock, so the same facts always get the same verdict. Log lines, counters and
// tests use the verdict's name as it is.
//
// The process may be suspended between a check and the act, so an act that was allowed may come too late. Sent
// is therefore checked after an attempt was written; a verdict other than Allowed is a violation.
package guard

import "time"

// Verdict is the result of a check: Allowed, or the reason why the act is not allowed.
type Verdict int

// Verdicts. The zero value is not a permission, so that a check that was left out allows nothing.
const (
	NotAsked Verdict = iota
	Allowed

	RequestAnswered         // the request has its final answer
	EndpointRemoved         // the endpoint is draining or removed
	DeadlineExceeded        // the deadline of the request has passed
	ClientDisconnected      // the client has closed its connection
	ClientUnknown           // the operating system did not tell whether the client is still connected
	EndpointListStale       // the process was suspended, and endpoint updates may be unread
	DeduplicationWindowOver // endpoints no longer discard a duplicate, or not for long enough
	NotIdempotent           // the request may have run, and is not idempotent
	AttemptsExhausted       // the settings allow no more attempts
	BodyConsumed            // the request's body cannot be sent again
	ResponseStarted         // a part of a response was forwarded to the client
	RetryBudgetExhausted    // the node has used up its retry budget
	NoTimeForAnswer         // too little of the request's time is left for an answer
	NoEndpoint              // no endpoint is eligible
	NoCapacity              // the concurrency limit kept the request queued for too long
	QueueTooLong            // too many requests of the same key are ahead of the request
	ProcessTerminating      // the process is about to be killed
	RequestRead             // a complete request was read from the connection and has no answer
	BytesUnread             // the socket holds unread bytes, which may be a request
	TimeoutTooLong          // an endpoint was given more time than the client has left
	NotServing              // the process does not serve clients yet, or no longer
	NoEndpointKnown         // discovery has named no endpoint in service

	numberOfVerdicts // must stay last
)

// NumberOfVerdicts is the length of an array indexed by verdict.
const NumberOfVerdicts = int(numberOfVerdicts)

// Time limits of the checks.
const (
	MaxSuspension          = 150 * time.Millisecond // longest suspension between check and write that is allowed for
	maxSendAfterDisconnect = 100 * time.Millisecond // an attempt may be written this long after its client has left
	maxTimeoutExcess       = 150 * time.Millisecond // of an endpoint's timeout over the time that its client has left
	timerSlack             = 50 * time.Millisecond  // tolerance of a time limit that is checked after a write to a socket
)

var names = [...]string{
	NotAsked:                "not_asked",
	Allowed:                 "allowed",
	RequestAnswered:         "request_answered",
	EndpointRemoved:         "endpoint_removed",
	DeadlineExceeded:        "deadline_over",
	ClientDisconnected:      "client_left",
	ClientUnknown:           "client_unknown",
	EndpointListStale:       "list_outdated",
	DeduplicationWindowOver: "repeat_window_over",
	NotIdempotent:           "effect_forbids",
	AttemptsExhausted:       "attempts_exhausted",
	BodyConsumed:            "body_spent",
	ResponseStarted:         "answer_begun",
	RetryBudgetExhausted:    "retry_budget_spent",
	NoTimeForAnswer:         "no_time_for_answer",
	NoEndpoint:              "no_endpoint",
	NoCapacity:              "no_room",
	QueueTooLong:            "queue_too_long",
	ProcessTerminating:      "process_ends",
	RequestRead:             "request_read",
	BytesUnread:             "bytes_unread",
	TimeoutTooLong:          "told_too_much_time",
	NotServing:              "not_serving",
	NoEndpointKnown:         "no_server_known",
}

// String returns the verdict's name, which appears in log lines, counters and tests.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// ClientState is the state of a client's connection as the operating system reports it.
type ClientState int

// Client states.
const (
	ClientConnected ClientState = iota
	ClientClosed
	ClientStateUnknown // the operating system returned an error
)

// Send holds what is known just before the first byte of an attempt is written.
type Send struct {
	Now               time.Duration
	Deadline          time.Duration // until when the attempt may run
	RetryBefore       time.Duration // endpoints discard a duplicate until then; 0: they need not
	RequestAnswered   bool
	EndpointRemoved   bool
	EndpointListStale bool
	Client            ClientState
}

// Verdict returns Allowed if the attempt may be sent, and otherwise why not.
func (f Send) Verdict() Verdict {
	switch {
	case f.EndpointListStale:
		return EndpointListStale
	case f.RequestAnswered:
		return RequestAnswered
	case f.Client == ClientClosed:
		return ClientDisconnected
	case f.EndpointRemoved:
		return EndpointRemoved
	case f.Now >= f.Deadline:
		return DeadlineExceeded
	case f.RetryBefore > 0 && f.Now+MaxSuspension >= f.RetryBefore:
		return DeduplicationWindowOver
	case f.Client == ClientStateUnknown:
		return ClientUnknown
	}
	return Allowed
}

// Sent holds what is known just after the last byte of an attempt was written. The time of an event that has
// not happened is zero.
type Sent struct {
	Now            time.Duration
	ClientDeadline time.Duration // when the time that the client allows is over
	Timeout        time.Duration // the time that the endpoint was given
	RetryBefore    time.Duration // as in Send
	DisconnectedAt time.Duration // when the node was notified that the client had disconnected
	RemovedAt      time.Duration // when the node was notified that the endpoint was draining or removed
	RemovalGrace   time.Duration // how long after RemovedAt an attempt may still be sent
}

// Violation returns the rule that the attempt broke, or Allowed if it broke none.
func (f Sent) Violation() Verdict {
	switch {
	case f.RetryBefore > 0 && f.Now >= f.RetryBefore:
		return DeduplicationWindowOver
	case f.RemovedAt > 0 && f.Now > f.RemovedAt+f.RemovalGrace+timerSlack:
		return EndpointRemoved
	case f.DisconnectedAt > 0 && f.Now > f.DisconnectedAt+maxSendAfterDisconnect:
		return ClientDisconnected
	case f.Timeout > f.ClientDeadline-f.Now+maxTimeoutExcess:
		return TimeoutTooLong
	}
	return Allowed
}

// Retry holds what is known of a request whose attempts have all ended without an answer for its client.
type Retry struct {
	Now             time.Duration
	Answered        bool
	ResponseStarted bool
	BodyConsumed    bool
	Attempts        int
	MaxAttempts     int
	MayHaveRun      bool          // an attempt may have run
	NotIdempotent   bool          // the class is not idempotent
	RetryBefore     time.Duration // endpoints discard a duplicate until then; 0: they need not
}

// Verdict returns Allowed if the request may be sent again, and otherwise why not.
func (f Retry) Verdict() Verdict {
	switch {
	case f.Answered:
		return RequestAnswered
	case f.ResponseStarted:
		return ResponseStarted
	case f.BodyConsumed:
		return BodyConsumed
	case f.Attempts >= f.MaxAttempts:
		return AttemptsExhausted
	case f.MayHaveRun && f.NotIdempotent:
		return NotIdempotent
	case f.MayHaveRun && f.RetryBefore > 0 && f.Now+MaxSuspension >= f.RetryBefore:
		return DeduplicationWindowOver
	}
	return Allowed
}

// Close holds what is known of a client's connection that the node wants to close without a response: it has
// been idle for long enough, is evicted in favor of another one, or the process shuts down.
type Close struct {
	RequestRead bool // a complete request was read from it and has no final answer
	BytesUnread bool // its socket holds unread bytes
}

// Verdict returns Allowed if the connection may be closed, and otherwise why not.
func (f Close) Verdict() Verdict {
	switch {
	case f.RequestRead:
		return RequestRead
	case f.BytesUnread:
		return BytesUnread
	}
	return Allowed
}

// AcceptClients holds what is known when a health check asks whether clients may connect.
type AcceptClients struct {
	Serving         bool // the process is in service
	ShuttingDown    bool // the process is shutting down
	SuccessorServes bool // its successor serves at the same address
	EndpointKnown   bool // discovery has named an endpoint in service
}

// Verdict returns Allowed if clients may connect, and otherwise why not. For clients, two processes at one
// address are one node: while the predecessor shuts down, its successor accepts them.
func (f AcceptClients) Verdict() Verdict {
	switch {
	case f.ShuttingDown && f.SuccessorServes:
		return Allowed
	case !f.Serving || f.ShuttingDown:
		return NotServing
	case !f.EndpointKnown:
		return NoEndpointKnown
	}
	return Allowed
}
