// Attempts: each sends a request to one endpoint once and reports the outcome to the event loop.

package node

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/metrics"
	"keelusher/policy"
	"keelusher/policy/guard"
)

// attempt is a single send of a request to one endpoint.
type attempt struct {
	request  *clientRequest
	number   int
	endpoint *endpoint

	// timeout limits the wait for the response. While a streamed request is written, it also limits each write.
	timeout    time.Duration
	deadline   time.Duration // when the attempt times out; of a streamed request, the latest time to begin the send
	startedAt  time.Duration
	budgetSent time.Duration // the value of X-Budget; set when the request head is built

	// retryBefore is the time until which servers discard a retry as a duplicate. It is zero if the attempt is not a
	// retry, or if servers need not discard it.
	retryBefore time.Duration
}

// earlyResponseTimeout limits the wait for the response to a request whose write has failed. A response that the server
// sent before the connection broke has arrived by then.
const earlyResponseTimeout = 500 * time.Millisecond

var (
	errResponseUnwanted = errors.New("the rest of the response is not needed")
	errEarlyResponse    = errors.New("the server responded or closed the connection before the request was written")
)

// start runs an attempt in its own goroutine, which ends once the event loop has received the outcome.
func (p *pool) start(att *attempt) {
	att.startedAt = p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // shutdown waits only for attempts started before it; the event loop ends after that
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.results <- p.runAttempt(att)
	}()
}

// runAttempt sends the request of an attempt at most once, waits for the response and returns the outcome.
func (p *pool) runAttempt(att *attempt) attemptOutcome {
	if reason := p.checkSend(att); reason != guard.Allowed {
		return p.notSent(att, reason)
	}
	c, err := p.acquire(att)
	if err != nil {
		return attemptOutcome{attempt: att, result: policy.ConnectFailed, err: err}
	}
	// Connecting takes time: meanwhile the request may have been answered, or the endpoint may have begun to drain.
	if reason := p.checkSend(att); reason != guard.Allowed {
		p.release(c)
		return p.notSent(att, reason)
	}
	received, err := p.roundTrip(c, att)
	if err != nil {
		p.close(c)
		return writeFailed(att, err)
	}
	if received.err != nil {
		return p.responseFailed(att, received.err) // readResponses has closed the connection
	}
	outcome := p.deliver(att, received)
	if received.early || received.httpResponse.Close || received.streamFailed() {
		p.close(c)
	} else {
		p.release(c)
	}
	return outcome
}

// notSent records that the guard did not allow an attempt, and returns its outcome.
func (p *pool) notSent(att *attempt, reason guard.Verdict) attemptOutcome {
	p.decisions.AttemptNotSent(att.logIdentity(), reason)
	return attemptOutcome{attempt: att, result: policy.NotSent, notSentReason: reason}
}

// writeFailed returns the outcome of an attempt whose request was not written completely, so that the server cannot
// have run the request.
func writeFailed(att *attempt, err error) attemptOutcome {
	outcome := attemptOutcome{attempt: att, result: policy.ConnectFailed, err: err}
	if att.request.bodyStream != nil && att.request.bodyStream.Failure() != nil {
		outcome.result = policy.NotSent // the body from the client was incomplete
	}
	return outcome
}

// responseFailed returns the outcome of an attempt whose request was written and got no complete response.
func (p *pool) responseFailed(att *attempt, err error) attemptOutcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if partial, ok := errors.AsType[*partialResponseError](err); ok {
			p.decisions.ResponseCutOff(att.logIdentity(), metrics.CutOffTimeout, partial.received)
		}
		return attemptOutcome{attempt: att, result: policy.TimedOut}
	}
	return attemptOutcome{attempt: att, result: policy.ConnectionLost, err: err}
}

// deliver returns the outcome of an attempt that got a response. It first hands a response that is to be streamed to
// the event loop, and waits until it has been forwarded.
func (p *pool) deliver(att *attempt, received reply) attemptOutcome {
	outcome := attemptOutcome{
		attempt: att,
		result:  attemptResult(received.httpResponse),
		load:    parseLoadReport(received.httpResponse.Header),
		response: response{
			status:      http.StatusOK,
			contentType: received.httpResponse.Header.Get("Content-Type"),
			body:        received.body,
			bodyMemory:  received.bodyMemory,
			bodyStream:  received.bodyStream,
		},
	}
	stream := received.bodyStream
	if stream == nil {
		return outcome
	}
	if outcome.result != policy.Success { // the body of an error response is not forwarded to clients
		stream.finish(errResponseUnwanted, true)
		outcome.response.bodyStream = nil
		return outcome
	}
	p.responsesStarted <- responseStarted{attempt: att, response: outcome.response}
	<-stream.done
	outcome.streamed = true
	outcome.err = stream.err
	if stream.err != nil {
		p.recordCutOff(att, stream)
		outcome.response.status = http.StatusBadGateway
		outcome.result = policy.ConnectionLost
		if stream.abandoned {
			outcome.result = policy.Canceled
		}
	}
	return outcome
}

// recordCutOff counts a streamed response that the node stopped to forward. It ignores one that its server broke off,
// and one whose client has disconnected.
func (p *pool) recordCutOff(att *attempt, stream *responseStream) {
	var cause metrics.CutOffCause
	switch {
	case errors.Is(stream.err, inbound.ErrBodyTooLong):
		cause = metrics.CutOffTooLong
	case !errors.Is(stream.err, os.ErrDeadlineExceeded):
		return
	case stream.abandoned:
		cause = metrics.CutOffClientSlow
	default:
		cause = metrics.CutOffServerSilent
	}
	p.decisions.ResponseCutOff(att.logIdentity(), cause, stream.bytesRead)
}

// roundTrip writes the request of an attempt and waits for the reply. It returns an error if the last byte of the
// request was not written; a failure to get a response is in reply.err.
func (p *pool) roundTrip(c *serverConn, att *attempt) (reply, error) {
	if att.request.bodyStream != nil {
		return p.roundTripStreamed(c, att)
	}
	p.setClientDeadline(c, p.clock.at(att.request.deadline))
	if err := writeBuffered(c, p.encodeRequest(att)); err != nil {
		p.close(c)
		(<-c.replies).discard() // an early response, or the error due to the close
		return reply{}, fmt.Errorf("write to endpoint %s: %w", att.endpoint.id, err)
	}
	p.recordWritten(att, att.request.deadline)
	return <-c.replies, nil
}

// roundTripStreamed is roundTrip for a request whose body is still arriving.
func (p *pool) roundTripStreamed(c *serverConn, att *attempt) (reply, error) {
	p.setDeadline(c, time.Time{}) // the timeout of the response starts with the last byte of the request
	p.setClientDeadline(c, time.Time{})
	err := p.writeStreamed(c, att)
	if err == nil {
		now := p.clock.now()
		clientDeadline := p.streamedDeadline(att.request)
		p.recordWritten(att, now+att.request.budget)
		p.setClientDeadline(c, p.clock.at(clientDeadline))
		p.setDeadline(c, p.clock.at(min(now+att.timeout, clientDeadline)))
		p.requestsWritten <- requestWritten{attempt: att, clientDeadline: clientDeadline}
		return <-c.replies, nil
	}
	// The server may have responded without reading the whole request. If it has not, the deadline or the close makes
	// readResponses send a reply with an error.
	if errors.Is(err, errEarlyResponse) || len(c.replies) > 0 {
		p.setDeadline(c, time.Now().Add(earlyResponseTimeout))
	} else {
		p.close(c)
	}
	received := <-c.replies
	if received.err != nil {
		return reply{}, fmt.Errorf("write to endpoint %s: %w", att.endpoint.id, err)
	}
	received.early = true
	return received, nil
}

// checkSend returns the guard's verdict on whether an attempt may be written now. After the process was suspended, it
// first waits until the buffered updates of the endpoint list have been read, for maxSendHold at most.
func (p *pool) checkSend(att *attempt) guard.Verdict {
	for {
		verdict := guard.Send{
			Now:               p.clock.now(),
			Deadline:          att.deadline,
			RetryBefore:       att.retryBefore,
			RequestAnswered:   att.request.finished.Load(),
			EndpointRemoved:   att.endpoint.unavailable.Load(),
			EndpointListStale: p.staleness.holdSends(),
			Client:            att.request.connection.clientState(att.request.bodyStream == nil),
		}.Verdict()
		if verdict != guard.EndpointListStale {
			return verdict
		}
		time.Sleep(resumeQuietPeriod / 10)
	}
}

// recordWritten counts an attempt whose request was written completely, and checks in retrospect that it was allowed:
// the process may have been suspended between checkSend and the write.
func (p *pool) recordWritten(att *attempt, clientDeadline time.Duration) {
	p.metrics.Update(func(c *metrics.Counters) { c.AttemptsWritten++ })
	p.decisions.AttemptWritten(att.logIdentity(), guard.Sent{
		Now:            p.clock.now(),
		ClientDeadline: clientDeadline,
		Timeout:        att.budgetSent,
		RetryBefore:    att.retryBefore,
		DisconnectedAt: att.request.disconnectedAt.get(),
		RemovedAt:      att.endpoint.removedAt.get(),
		RemovalGrace:   p.removalGrace,
	})
}
