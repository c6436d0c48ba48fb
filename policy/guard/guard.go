// Package guard decides whether the node may act now: send an attempt, retry a request, close a client's
// connection or accept clients. Each question is a struct of facts, each answer a Verdict. The package does
// no I/O and has no clock: the same facts always get the same verdict. Log lines, counters and tests use the
// verdict's name as it is.
//
// What the guard allowed can still be wrong when it is done, for the process may be suspended between the
// two. Sent is checked after the act; a verdict other than Allowed is a violation.
package guard

import "time"

// Verdict is the answer to a question, with its reason.
type Verdict int

// Verdicts. The zero value is no permission: a question that nobody asked allows nothing.
const (
	NotAsked Verdict = iota
	Allowed

	RequestAnswered         // the request has its final answer
	EndpointRemoved         // the endpoint is draining or removed
	DeadlineOver            // the request's time is over
	ClientDisconnected      // the client has closed its connection
	ClientUnknown           // the system did not say whether the client is still connected
	ListOutdated            // the process was suspended, and endpoint updates may be waiting
	DeduplicationWindowOver // endpoints do not discard a duplicate for much longer
	MayNotRunTwice          // the request may have run, and is not idempotent
	AttemptsExhausted       // the settings allow no more attempts
	BodyConsumed            // the request's body cannot be sent again
	ResponseStarted         // part of a response was forwarded
	RetryBudgetExhausted    // the node has used up its retry budget
	NoTimeForAnswer         // what is left of the request's time is too short for an answer
	NoEndpoint              // no endpoint may be drawn
	NoCapacity              // the limit on concurrent requests kept it queued for too long
	QueueTooLong            // too many requests of the same key are ahead of it
	ProcessEnds             // the process is about to be killed
	RequestRead             // a complete request was read from the connection, and has no answer
	BytesUnread             // bytes wait in the system, which may be a request
	TimeoutTooLong          // an endpoint was given more time than the client has left
	NotServing              // the process does not serve clients yet, or no longer
	NoEndpointKnown         // discovery has named no endpoint in service

	numberOfVerdicts // must stay the last
)

// NumberOfVerdicts is the length of an array indexed by verdict.
const NumberOfVerdicts = int(numberOfVerdicts)

// Limits in time.
const (
	MaxSuspension          = 150 * time.Millisecond // of the process between its clock and its write
	maxSendAfterDisconnect = 100 * time.Millisecond // an attempt may begin so long after its client left
	maxTimeoutExcess       = 150 * time.Millisecond // of an endpoint's time over what its client has left
	timerSlack             = 50 * time.Millisecond  // limits in time are so much longer on sockets
)

var names = [...]string{
	NotAsked:                "not_asked",
	Allowed:                 "allowed",
	RequestAnswered:         "request_answered",
	EndpointRemoved:         "endpoint_removed",
	DeadlineOver:            "deadline_over",
	ClientDisconnected:      "client_left",
	ClientUnknown:           "client_unknown",
	ListOutdated:            "list_outdated",
	DeduplicationWindowOver: "repeat_window_over",
	MayNotRunTwice:          "effect_forbids",
	AttemptsExhausted:       "attempts_exhausted",
	BodyConsumed:            "body_spent",
	ResponseStarted:         "answer_begun",
	RetryBudgetExhausted:    "retry_budget_spent",
	NoTimeForAnswer:         "no_time_for_answer",
	NoEndpoint:              "no_endpoint",
	NoCapacity:              "no_room",
	QueueTooLong:            "queue_too_long",
	ProcessEnds:             "process_ends",
	RequestRead:             "request_read",
	BytesUnread:             "bytes_unread",
	TimeoutTooLong:          "told_too_much_time",
	NotServing:              "not_serving",
	NoEndpointKnown:         "no_server_known",
}

// String is the verdict's name in log lines, counters and tests.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// ClientState is what the system says of a client's connection.
type ClientState int

// Client states.
const (
	ClientConnected ClientState = iota
	ClientClosed
	ClientStateUnknown // the system gave an error
)

// Send is what is known just before the first byte of an attempt is written.
type Send struct {
	Now             time.Duration
	Deadline        time.Duration // until when the attempt may run
	RetryBefore     time.Duration // endpoints discard a duplicate until then; 0: they need not
	RequestAnswered bool
	EndpointRemoved bool
	ListOutdated    bool
	Client          ClientState
}

// Verdict says whether the attempt may be sent.
func (f Send) Verdict() Verdict {
	switch {
	case f.ListOutdated:
		return ListOutdated
	case f.RequestAnswered:
		return RequestAnswered
	case f.Client == ClientClosed:
		return ClientDisconnected
	case f.EndpointRemoved:
		return EndpointRemoved
	case f.Now >= f.Deadline:
		return DeadlineOver
	case f.RetryBefore > 0 && f.Now+MaxSuspension >= f.RetryBefore:
		return DeduplicationWindowOver
	case f.Client == ClientStateUnknown:
		return ClientUnknown
	}
	return Allowed
}

// Sent is what is known just after the last byte of an attempt was written. Times are zero for what has not
// happened.
type Sent struct {
	Now            time.Duration
	ClientDeadline time.Duration // when the client's time is over
	Timeout        time.Duration // the time that the endpoint was given
	RetryBefore    time.Duration // as in Send
	DisconnectedAt time.Duration // when the node was notified that the client had disconnected
	RemovedAt      time.Duration // when the node was notified that the endpoint was draining or removed
	RemovalGrace   time.Duration // a new attempt may still be sent so long after that
}

// Violation says which rule the attempt broke; Allowed: none.
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

// Retry is what is known of a request whose attempts have all ended without an answer for its client.
type Retry struct {
	Now             time.Duration
	Answered        bool
	ResponseStarted bool
	BodyConsumed    bool
	Attempts        int
	MaxAttempts     int
	MayHaveRun      bool          // an attempt may have run
	NotIdempotent   bool          // the class is not idempotent
	Before          time.Duration // endpoints discard a duplicate until then; 0: they need not
}

// Verdict says whether the request may be sent again.
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
		return MayNotRunTwice
	case f.MayHaveRun && f.Before > 0 && f.Now+MaxSuspension >= f.Before:
		return DeduplicationWindowOver
	}
	return Allowed
}

// Close is what is known of a client's connection that the node wants to close without a response: it has
// been idle for long enough, is evicted for another, or the process shuts down.
type Close struct {
	RequestRead bool // a complete request was read from it, and has no final answer
	BytesUnread bool // bytes wait in the system
}

// Verdict says whether the connection may be closed.
func (f Close) Verdict() Verdict {
	switch {
	case f.RequestRead:
		return RequestRead
	case f.BytesUnread:
		return BytesUnread
	}
	return Allowed
}

// AcceptClients is what is known when a health check asks whether clients may connect.
type AcceptClients struct {
	Serving         bool // the process is in service
	ShuttingDown    bool // it is shutting down
	SuccessorServes bool // a new process serves at the same address
	EndpointKnown   bool // some endpoint is in service
}

// Verdict says whether clients may connect. To clients two processes at one address are one node: while the
// predecessor shuts down, its successor accepts them.
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
