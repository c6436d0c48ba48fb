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

// call is a caller's request. The loop alone uses the fields below the line.
type call struct {
	req      policy.Request
	method   string
	url      *url.URL
	host     string
	header   http.Header
	body     []byte  // whole, or what was read before the request was taken
	held     *lease  // for body
	rest     *upload // what comes after body; nil: nothing
	length   int64   // of both; -1: not known
	budget   time.Duration
	deadline time.Duration
	reply    chan answer // takes the one final answer without blocking
	caller   *clientConn // where it came; nil: not known
	closed   atomic.Bool // answered or given up by the client: nothing more may be sent for it
	leftAt   atomicTime  // when the node heard that its client had gone

	attempts int
	out      int
	counted  bool // as taken
}

// answer is the final answer to a call.
type answer struct {
	status      int
	retryAfter  time.Duration
	contentType string
	body        []byte
	held        *lease    // for body
	rest        *download // what comes after body; nil: nothing
}

// drop gives up an answer that nobody gets.
func (a answer) drop() {
	a.held.shrink(0)
	if a.rest != nil {
		a.rest.end(errClosed, true)
	}
}

// cut is the answer to a call that ends its connection without one: its client has gone.
var cut = answer{}

// result is how an attempt ended.
type result struct {
	att    *attempt
	ending policy.AttemptResult
	load   *policy.Load
	answer answer
	passed bool          // the answer was passed on while it came
	why    guard.Verdict // why nothing was sent
	err    error         // why there is no answer
}

// sent is the moment at which an attempt whose request was passed on while it came is whole at its server.
type sent struct {
	att *attempt
	at  time.Duration
}

// begun is an answer that is passed on while it comes.
type begun struct {
	att    *attempt
	answer answer
}
