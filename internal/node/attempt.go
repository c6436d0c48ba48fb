// Attempts: each sends a request to one endpoint once and reports the outcome.

package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"
	"keelusher/policy/guard"
)

// attempt is one sending of a request to one endpoint.
type attempt struct {
	request  *clientRequest
	number   int
	endpoint *endpoint

	// timeout is for the response or, of a streamed request, for the endpoint to take the next bytes.
	timeout    time.Duration
	deadline   time.Duration
	startedAt  time.Duration
	budgetSent time.Duration // the time that the endpoint was granted; set as the head is written

	// retryBefore is until when servers discard a retry. Zero: the attempt is none, or need not be discarded.
	retryBefore time.Duration
}

var (
	errResponseUnwanted = errors.New("the rest of the response is not needed")
	errEarlyResponse    = errors.New("answered before the end of the request")
)

// start runs an attempt in a goroutine of its own, which ends when its outcome has been sent to the loop.
func (p *pool) start(att *attempt) {
	att.startedAt = p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // shutdown waits for what was started before it, and the loop ends next
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.results <- p.runAttempt(att)
	}()
}

// runAttempt sends the request of an attempt once and waits for the response.
func (p *pool) runAttempt(att *attempt) attemptOutcome {
	if reason := p.checkSend(att); reason != guard.Allowed {
		return p.notSent(att, reason)
	}
	c, err := p.acquire(att)
	if err != nil {
		return attemptOutcome{attempt: att, result: policy.ConnectFailed, err: err}
	}
	// Connecting takes time: the request may be finished by now, or the endpoint draining.
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
		return responseFailed(att, received.err) // the reader has closed the connection
	}
	outcome := p.deliver(att, received)
	if received.early || received.httpResponse.Close || received.streamFailed() {
		p.close(c)
	} else {
		p.release(c)
	}
	return outcome
}

// notSent is the outcome of an attempt that the guard does not allow.
func (p *pool) notSent(att *attempt, reason guard.Verdict) attemptOutcome {
	p.decisions.AttemptNotSent(att.logName(), reason)
	return attemptOutcome{attempt: att, result: policy.NotSent, notSentReason: reason}
}

// writeFailed is the outcome of an attempt whose last byte was not written, so that its request cannot have run.
func writeFailed(att *attempt, err error) attemptOutcome {
	outcome := attemptOutcome{attempt: att, result: policy.ConnectFailed, err: err}
	if att.request.bodyStream != nil && att.request.bodyStream.Failure() != nil {
		outcome.result = policy.NotSent // the client did not send the last byte
	}
	return outcome
}

// responseFailed is the outcome of an attempt whose request was written and got no complete response.
func responseFailed(att *attempt, err error) attemptOutcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return attemptOutcome{attempt: att, result: policy.TimedOut}
	}
	return attemptOutcome{attempt: att, result: policy.ConnectionLost, err: err}
}

// deliver is the outcome of an attempt that got a response. A streamed one is given to the loop first, and forwarded
// to its end.
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
	if outcome.result != policy.Success { // clients get no body of an error
		stream.finish(errResponseUnwanted, true)
		outcome.response.bodyStream = nil
		return outcome
	}
	p.responsesStarted <- responseStarted{attempt: att, response: outcome.response}
	<-stream.done
	outcome.streamed = true
	outcome.err = stream.err
	if stream.err != nil {
		outcome.response.status = http.StatusBadGateway
		outcome.result = policy.ConnectionLost
		if stream.abandoned {
			outcome.result = policy.Canceled
		}
	}
	return outcome
}

// roundTrip writes the request of an attempt and waits for the reply. The error is why the last byte was not written.
func (p *pool) roundTrip(c *serverConn, att *attempt) (reply, error) {
	if att.request.bodyStream != nil {
		return p.roundTripStreamed(c, att)
	}
	if _, err := c.Write(p.encodeRequest(att)); err != nil {
		p.close(c)
		(<-c.replies).discard() // a response that came meanwhile, or the close
		return reply{}, fmt.Errorf("write to endpoint %s: %w", att.endpoint.id, err)
	}
	p.recordWritten(att, att.request.deadline)
	return <-c.replies, nil
}

// roundTripStreamed is roundTrip for a request whose body is still arriving.
func (p *pool) roundTripStreamed(c *serverConn, att *attempt) (reply, error) {
	p.setDeadline(c, time.Time{}) // the time for a response runs from the last byte on
	err := p.writeStreamed(c, att)
	if err == nil {
		now := p.clock.now()
		p.recordWritten(att, now+att.request.budget)
		p.setDeadline(c, p.clock.at(now+min(att.timeout, att.request.budget)))
		p.requestsWritten <- requestWritten{attempt: att, writtenAt: now}
		return <-c.replies, nil
	}
	// The server may have responded without having read the whole request. If not, the close makes the reader reply.
	if !errors.Is(err, errEarlyResponse) {
		p.close(c)
	}
	received := <-c.replies
	if received.err != nil || !errors.Is(err, errEarlyResponse) {
		received.discard()
		return reply{}, fmt.Errorf("write to endpoint %s: %w", att.endpoint.id, err)
	}
	received.early = true
	return received, nil
}

// writeStreamed writes a request with the body that is still arriving.
func (p *pool) writeStreamed(c *serverConn, att *attempt) error {
	body := io.MultiReader(bytes.NewReader(att.request.body), att.request.bodyStream)
	w := bufio.NewWriterSize(&streamWriter{serverConn: c, timeout: att.timeout}, p.buffers.chunkSize)
	if err := p.outgoingRequest(att, body).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// streamWriter writes a body as fast as the server takes it, until a response arrives.
type streamWriter struct {
	*serverConn
	timeout time.Duration
}

// Write implements io.Writer. It fails with errEarlyResponse when a response has arrived, or may have.
func (w *streamWriter) Write(b []byte) (int, error) {
	if len(w.replies) > 0 {
		return 0, errEarlyResponse
	}
	// An error is ignored: it fails only on a closed connection, and so does the write.
	_ = w.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.serverConn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEarlyResponse // the connection broke; what the server sent before is still to be read
	}
	return n, err
}

// checkSend asks the guard whether an attempt may be written now. After a suspension of the process it waits until
// the updates of the endpoint list that arrived meanwhile have been read.
func (p *pool) checkSend(att *attempt) guard.Verdict {
	for {
		verdict := guard.Send{
			Now:             p.clock.now(),
			Deadline:        att.deadline,
			RetryBefore:     att.retryBefore,
			RequestAnswered: att.request.finished.Load(),
			EndpointRemoved: att.endpoint.unavailable.Load(),
			ListOutdated:    p.staleness.holdSends(),
			Client:          att.request.connection.clientState(),
		}.Verdict()
		if verdict != guard.ListOutdated {
			return verdict
		}
		time.Sleep(resumeQuietPeriod / 10)
	}
}

// recordWritten counts an attempt that was written completely, and checks afterwards that it was allowed.
func (p *pool) recordWritten(att *attempt, clientDeadline time.Duration) {
	p.metrics.Update(func(c *metrics.Counters) { c.AttemptsWritten++ })
	p.decisions.AttemptWritten(att.logName(), guard.Sent{
		Now:            p.clock.now(),
		ClientDeadline: clientDeadline,
		Timeout:        att.budgetSent,
		RetryBefore:    att.retryBefore,
		DisconnectedAt: att.request.disconnectedAt.get(),
		RemovedAt:      att.endpoint.removedAt.get(),
		RemovalGrace:   p.removalGrace,
	})
}

// encodeRequest is a buffered request as it is written to an endpoint.
func (p *pool) encodeRequest(att *attempt) []byte {
	var body io.Reader
	if len(att.request.body) > 0 {
		body = bytes.NewReader(att.request.body)
	}
	var encoded bytes.Buffer
	// An error is ignored: neither the buffer nor the body can fail.
	_ = p.outgoingRequest(att, body).Write(&encoded)
	return encoded.Bytes()
}

// outgoingRequest is the client's request with the remaining budget, which for a streamed request runs from its last
// byte on.
func (p *pool) outgoingRequest(att *attempt, body io.Reader) *http.Request {
	incoming := att.request
	header := incoming.header.Clone()
	left := att.deadline - p.clock.now()
	if incoming.bodyStream != nil {
		left = min(att.timeout, incoming.budget)
	}
	att.budgetSent = max(left, time.Microsecond)
	header.Set("X-Budget", strconv.FormatInt(att.budgetSent.Microseconds(), 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise Request.Write adds its own
	}
	outgoing := &http.Request{
		Method:        incoming.method,
		URL:           incoming.url,
		Host:          incoming.host,
		Header:        header,
		ContentLength: incoming.contentLength,
	}
	if body != nil {
		outgoing.Body = io.NopCloser(body)
	}
	return outgoing
}

// attemptResult is the result of an attempt by its response.
func attemptResult(r *http.Response) policy.AttemptResult {
	switch {
	case r.StatusCode == http.StatusOK:
		return policy.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return policy.Overloaded
	}
	return policy.ServerError // the request may have run
}

// parseLoadReport reads the load report of a response, whose fields have the names that the settings give them. It
// returns nil if there is none; a missing field is -1.
func parseLoadReport(h http.Header) *policy.Load {
	text := h.Get("X-Load-Report")
	if text == "" {
		return nil
	}
	var report struct {
		Busy    *float64 `json:"busy_reqs"`
		Service *float64 `json:"svc_ms"`
	}
	if json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	load := &policy.Load{Busy: -1, Service: -1}
	if report.Busy != nil {
		load.Busy = *report.Busy
	}
	if report.Service != nil {
		load.Service = millis(*report.Service)
	}
	return load
}
