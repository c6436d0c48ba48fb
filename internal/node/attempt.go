// Attempts: one send each, and what came of it.

package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"keelusher/policy"
	"keelusher/policy/guard"
)

// attempt is one send of a call.
type attempt struct {
	request     *clientRequest
	number        int
	endpoint   *endpoint
	timeout     time.Duration // for an answer, or for the server to take the next bytes of a body that passes through
	deadline time.Duration
	startedAt  time.Duration
	budgetSent     time.Duration // the time that its server was told; set as its head is written

	retryBefore time.Duration // servers discard a repeat until then; 0: it is none, or need not be discarded
}

var errResponseUnwanted = errors.New("the rest of the answer is not wanted")

// start runs an attempt in a goroutine that ends with its result.
func (p *pool) start(att *attempt) {
	att.startedAt = p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed { // shut waits for what was started before it; nobody is left to answer, and the loop ends next
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.results <- p.runAttempt(att)
	}()
}

// runAttempt makes the one send of an runAttempt and waits for what comes back.
func (p *pool) runAttempt(att *attempt) attemptOutcome {
	ended := func(e policy.AttemptResult, why error) attemptOutcome { return attemptOutcome{attempt: att, result: e, err: why} }
	unsent := func(why guard.Verdict) attemptOutcome {
		p.decisions.attemptNotSent(att, why)
		return attemptOutcome{attempt: att, result: policy.NotSent, notSentReason: why}
	}
	if why := p.checkSend(att); why != guard.Allowed {
		return unsent(why)
	}
	c, err := p.acquire(att)
	if err != nil {
		return ended(policy.ConnectFailed, err)
	}
	// Connecting takes time: the request may be over by now, or the server may have been told to drain.
	if why := p.checkSend(att); why != guard.Allowed {
		p.release(c)
		return unsent(why)
	}
	r, err := p.roundTrip(c, att)
	switch {
	case err != nil && att.request.bodyStream != nil && att.request.bodyStream.failed() != nil:
		p.close(c)
		return ended(policy.NotSent, err) // the caller did not give the last byte
	case err != nil:
		p.close(c)
		return ended(policy.ConnectFailed, err) // the last byte was not written
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		return ended(policy.TimedOut, nil) // the reader has closed the connection
	case r.err != nil:
		return ended(policy.ConnectionLost, r.err)
	}
	res := attemptOutcome{attempt: att, result: attemptResult(r.resp), load: parseLoadReport(r.resp.Header), response: response{status: http.StatusOK,
		contentType: r.resp.Header.Get("Content-Type"), body: r.body, bodyMemory: r.held, bodyStream: r.rest}}
	switch {
	case r.rest == nil:
	case res.result != policy.Success:
		r.rest.end(errResponseUnwanted, true) // a long error is nobody's
		res.response.bodyStream = nil
	default:
		p.responsesStarted <- responseStarted{att, res.response}
		<-r.rest.over
		res.streamed = true
		if res.err = r.rest.err; res.err != nil {
			res.response.status, res.result = http.StatusBadGateway, policy.ConnectionLost
			if r.rest.ours {
				res.result = policy.Canceled
			}
		}
	}
	if r.early || r.resp.Close || r.rest != nil && r.rest.err != nil {
		p.close(c)
	} else {
		p.release(c)
	}
	return res
}

// roundTrip writes the request and waits for what comes back. The error says why the last byte was not written.
func (p *pool) roundTrip(c *conn, att *attempt) (reply, error) {
	if att.request.bodyStream == nil {
		if _, err := c.Write(p.encodeRequest(att)); err != nil {
			p.close(c)
			(<-c.replies).drop() // an answer that came beside it, or the close
			return reply{}, err
		}
		p.recordWritten(att, att.request.deadline)
		return <-c.replies, nil
	}
	p.setDeadline(c, time.Time{}) // the time for an answer runs from the last byte on
	bw := bufio.NewWriterSize(&streamWriter{conn: c, timeout: att.timeout}, p.buffers.chunkSize)
	err := p.outgoingRequest(att, io.MultiReader(bytes.NewReader(att.request.body), att.request.bodyStream)).Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		now := p.clock.now()
		p.recordWritten(att, now+att.request.budget)
		p.setDeadline(c, p.clock.at(now+min(att.timeout, att.request.budget)))
		p.requestsWritten <- requestWritten{att, now}
		return <-c.replies, nil
	}
	// The server may have answered what it had not seen the end of. If not, the close makes the reader say so.
	if !errors.Is(err, errEarlyResponse) {
		p.close(c)
	}
	r := <-c.replies
	if r.err != nil || !errors.Is(err, errEarlyResponse) {
		r.drop()
		return reply{}, err
	}
	r.early = true
	return r, nil
}

var errEarlyResponse = errors.New("answered before the end of the request")

// streamWriter writes a body as a server takes it, until that answers.
type streamWriter struct {
	*conn
	timeout time.Duration
}

func (w *streamWriter) Write(b []byte) (int, error) {
	if len(w.replies) > 0 {
		return 0, errEarlyResponse
	}
	w.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEarlyResponse // it broke, and what the server said last is still to be read
	}
	return n, err
}

// checkSend asks the guard whether the attempt may be written now. Where the process has slept it waits until the news of
// the servers that came meanwhile is read.
func (p *pool) checkSend(att *attempt) guard.Verdict {
	for {
		why := guard.Send{
			Now:             p.clock.now(),
			Deadline:        att.deadline,
			RepeatBefore:    att.retryBefore,
			RequestAnswered: att.request.finished.Load(),
			EndpointRemoved: att.endpoint.unavailable.Load(),
			ListOutdated:    p.staleness.holdSends(),
			Client:          att.request.connection.state(),
		}.Verdict()
		if why != guard.ListOutdated {
			return why
		}
		time.Sleep(resumeQuietPeriod / 10)
	}
}

// recordWritten counts an attempt that is whole at its server, and takes the second look at it.
func (p *pool) recordWritten(att *attempt, clientDeadline time.Duration) {
	p.stats.update(func(c *counters) { c.attemptsWritten++ })
	p.decisions.attemptWritten(att, guard.Sent{
		Now:            p.clock.now(),
		ClientDeadline: clientDeadline,
		Told:           att.budgetSent,
		RepeatBefore:   att.retryBefore,
		ClientLeft:     att.request.disconnectedAt.get(),
		RemovedAt:      att.endpoint.removedAt.get(),
		RemovalGrace:   p.removalGrace,
	})
}

// encodeRequest is the whole request as it goes to a server.
func (p *pool) encodeRequest(att *attempt) []byte {
	var body io.Reader
	if len(att.request.body) > 0 {
		body = bytes.NewReader(att.request.body)
	}
	var b bytes.Buffer
	p.outgoingRequest(att, body).Write(&b) // neither the buffer nor the body can fail
	return b.Bytes()
}

// outgoingRequest is a outgoingRequest as it came, but for the time that is left, which runs from its last byte.
func (p *pool) outgoingRequest(att *attempt, body io.Reader) *http.Request {
	c := att.request
	header := c.header.Clone()
	left := att.deadline - p.clock.now()
	if c.bodyStream != nil {
		left = min(att.timeout, c.budget)
	}
	att.budgetSent = max(left, time.Microsecond)
	header.Set("X-Budget", strconv.FormatInt(att.budgetSent.Microseconds(), 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else Request.Write adds its own
	}
	req := &http.Request{Method: c.method, URL: c.url, Host: c.host, Header: header, ContentLength: c.contentLength}
	if body != nil {
		req.Body = io.NopCloser(body)
	}
	return req
}

// attemptResult reads off an answer how the attempt ended.
func attemptResult(r *http.Response) policy.AttemptResult {
	switch {
	case r.StatusCode == http.StatusOK:
		return policy.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return policy.Overloaded
	}
	return policy.ServerError // it may have run
}

// parseLoadReport reads a parseLoadReport report, in which the fields have the names that the settings give them. What is absent
// or odd is left out.
func parseLoadReport(h http.Header) *policy.Load {
	text := h.Get("X-Load-Report")
	if text == "" {
		return nil
	}
	var r struct {
		Busy    *float64 `json:"busy_reqs"`
		Service *float64 `json:"svc_ms"`
	}
	if json.Unmarshal([]byte(text), &r) != nil {
		return nil
	}
	l := &policy.Load{Busy: -1, Service: -1}
	if r.Busy != nil {
		l.Busy = *r.Busy
	}
	if r.Service != nil {
		l.Service = millis(*r.Service)
	}
	return l
}
