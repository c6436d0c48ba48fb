// Requests, their responses, and the messages about them that the loop receives.

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
	meta          policy.Request // what the policy knows of it
	method        string
	url           *url.URL
	host          string
	header        http.Header
	body          []byte             // complete, or what was read before the request was accepted
	bodyMemory    *memoryReservation // for body
	bodyStream    *inbound.Body      // what follows body; nil: nothing
	contentLength int64              // of body and bodyStream together; -1: not known
	budget        time.Duration
	deadline      time.Duration
	responses     chan response // takes the one final response without blocking
	connection    *clientConn   // nil: not known

	finished       atomic.Bool // answered or abandoned by the client: nothing more may be sent for it
	disconnectedAt atomicTime  // when the node learned that the client had disconnected

	// Used by the loop only.
	attemptCount int
	inFlight     int // attempts
	counted      bool
}

// response is the final response to a request.
type response struct {
	status      int
	retryAfter  time.Duration
	contentType string
	body        []byte
	bodyMemory  *memoryReservation // for body
	bodyStream  *responseStream    // what follows body; nil: nothing
}

// discard releases what belongs to a response that no client gets.
func (r response) discard() {
	r.bodyMemory.release()
	if r.bodyStream != nil {
		r.bodyStream.finish(inbound.ErrBodyUnwanted, true)
	}
}

// abortResponse closes the connection of a request without a response: its client has disconnected.
var abortResponse = response{}

// attemptOutcome is the message that an attempt has ended, from its goroutine to the loop.
type attemptOutcome struct {
	attempt       *attempt
	result        policy.AttemptResult
	load          *policy.Load
	response      response
	streamed      bool          // the response was forwarded while it arrived
	notSentReason guard.Verdict // for policy.NotSent
	err           error         // why there is no response
}

// requestWritten is the message that a streamed request has been written completely, from the attempt's goroutine to
// the loop.
type requestWritten struct {
	attempt   *attempt
	writtenAt time.Duration
}

// responseStarted is the message that a response is ready to be forwarded while it arrives, from the attempt's
// goroutine to the loop.
type responseStarted struct {
	attempt  *attempt
	response response
}
