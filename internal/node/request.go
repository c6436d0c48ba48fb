// Requests, their responses, and the messages about them that the event loop receives.

package node

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"keelusher/internal/inbound"
	"keelusher/policy"
	"keelusher/policy/guard"
)

// clientRequest is a request of a client from its acceptance until its last attempt has ended.
type clientRequest struct {
	meta          policy.Request // the request as the policy sees it
	method        string
	url           *url.URL
	host          string
	header        http.Header
	body          []byte             // complete, or the part that was read before the request was passed to the loop
	bodyMemory    *memoryReservation // for body
	bodyStream    *inbound.Body      // the remainder after body; nil if body is complete
	contentLength int64              // of body and bodyStream together; -1 if unknown
	budget        time.Duration
	deadline      time.Duration
	responses     chan response // buffered, so that sending the final response does not block
	connection    *clientConn   // nil if unknown

	finished       atomic.Bool // answered, or its client has disconnected: nothing more may be sent for it
	disconnectedAt atomicTime  // when the node learned that the client had disconnected

	// Used by the loop only.
	attemptCount int
	inFlight     int  // number of attempts in flight
	counted      bool // the metrics include the request
}

// release returns the memory of a request that is not passed to the loop; the request may be nil.
func (r *clientRequest) release() {
	if r != nil {
		r.bodyMemory.release()
	}
}

// response is the final response to a request.
type response struct {
	status      int
	retryAfter  time.Duration
	contentType string
	body        []byte
	bodyMemory  *memoryReservation // for body
	bodyStream  *responseStream    // the remainder after body; nil if body is complete
}

// discard releases the resources of a response that is not sent to any client.
func (r response) discard() {
	r.bodyMemory.release()
	if r.bodyStream != nil {
		r.bodyStream.finish(inbound.ErrBodyUnwanted, true)
	}
}

// abortResponse tells the handler to close the connection without a response, because the client has disconnected.
var abortResponse = response{}

// attemptOutcome is the message from the goroutine of an attempt to the loop that the attempt has ended.
type attemptOutcome struct {
	attempt       *attempt
	result        policy.AttemptResult
	load          *policy.Load
	response      response
	streamed      bool          // the response was forwarded while it arrived
	notSentReason guard.Verdict // for policy.NotSent
	err           error         // why there is no response
}

// requestWritten is the message from the goroutine of an attempt to the loop that a streamed request has been written
// completely.
type requestWritten struct {
	attempt        *attempt
	clientDeadline time.Duration // when the client stops waiting
}

// responseStarted is the message from the goroutine of an attempt to the loop that the response of the attempt can be
// forwarded while it arrives.
type responseStarted struct {
	attempt  *attempt
	response response
}
