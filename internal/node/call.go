// Calls, their answers, and what happens to attempts on the way.

package node

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"keelusher/policy"
	"keelusher/policy/guard"
)

// clientRequest is a caller's request. The loop alone uses the fields below the line.
type clientRequest struct {
	meta      policy.Request
	method   string
	url      *url.URL
	host     string
	header   http.Header
	body     []byte  // whole, or what was read before the request was taken
	bodyMemory     *memoryReservation  // for body
	bodyStream     *upload // what comes after body; nil: nothing
	contentLength   int64   // of both; -1: not known
	budget   time.Duration
	deadline time.Duration
	responses    chan response // takes the one final answer without blocking
	connection   *clientConn // where it came; nil: not known
	finished   atomic.Bool // answered or given up by the client: nothing more may be sent for it
	disconnectedAt   atomicTime  // when the node heard that its client had gone

	attemptCount int
	inFlight      int
	counted  bool // as taken
}

// response is the final response to a call.
type response struct {
	status      int
	retryAfter  time.Duration
	contentType string
	body        []byte
	bodyMemory        *memoryReservation    // for body
	bodyStream        *download // what comes after body; nil: nothing
}

// discard gives up an answer that nobody gets.
func (a response) discard() {
	a.bodyMemory.shrink(0)
	if a.bodyStream != nil {
		a.bodyStream.end(errClosed, true)
	}
}

// abortResponse is the answer to a call that ends its connection without one: its client has gone.
var abortResponse = response{}

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	attempt    *attempt
	result policy.AttemptResult
	load   *policy.Load
	response response
	streamed bool          // the answer was passed on while it came
	notSentReason    guard.Verdict // why nothing was sent
	err    error         // why there is no answer
}

// requestWritten is the moment at which an attempt whose request was passed on while it came is whole at its server.
type requestWritten struct {
	attempt *attempt
	writtenAt  time.Duration
}

// responseStarted is an answer that is passed on while it comes.
type responseStarted struct {
	attempt    *attempt
	response response
}
