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
	call     *call
	n        int
	target   *target
	wait     time.Duration // for an answer, or for the server to take the next bytes of a body that passes through
	deadline time.Duration
	started  time.Duration
	told     time.Duration // the time that its server was told; set as its head is written

	repeatBefore time.Duration // servers discard a repeat until then; 0: it is none, or need not be discarded
}

var errDropped = errors.New("the rest of the answer is not wanted")

// start runs an attempt in a goroutine that ends with its result.
func (p *pool) start(att *attempt) {
	att.started = p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down { // shut waits for what was started before it; nobody is left to answer, and the loop ends next
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.results <- p.attempt(att)
	}()
}

// attempt makes the one send of an attempt and waits for what comes back.
func (p *pool) attempt(att *attempt) result {
	ended := func(e policy.AttemptResult, why error) result { return result{att: att, ending: e, err: why} }
	unsent := func(why guard.Verdict) result {
		p.decisions.attemptNotSent(att, why)
		return result{att: att, ending: policy.NotSent, why: why}
	}
	if why := p.maySend(att); why != guard.Allowed {
		return unsent(why)
	}
	c, err := p.take(att)
	if err != nil {
		return ended(policy.ConnectFailed, err)
	}
	// Connecting takes time: the request may be over by now, or the server may have been told to drain.
	if why := p.maySend(att); why != guard.Allowed {
		p.park(c)
		return unsent(why)
	}
	r, err := p.exchange(c, att)
	switch {
	case err != nil && att.call.rest != nil && att.call.rest.failed() != nil:
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
	res := result{att: att, ending: ending(r.resp), load: load(r.resp.Header), answer: answer{status: http.StatusOK,
		contentType: r.resp.Header.Get("Content-Type"), body: r.body, held: r.held, rest: r.rest}}
	switch {
	case r.rest == nil:
	case res.ending != policy.Success:
		r.rest.end(errDropped, true) // a long error is nobody's
		res.answer.rest = nil
	default:
		p.begins <- begun{att, res.answer}
		<-r.rest.over
		res.passed = true
		if res.err = r.rest.err; res.err != nil {
			res.answer.status, res.ending = http.StatusBadGateway, policy.ConnectionLost
			if r.rest.ours {
				res.ending = policy.Canceled
			}
		}
	}
	if r.early || r.resp.Close || r.rest != nil && r.rest.err != nil {
		p.close(c)
	} else {
		p.park(c)
	}
	return res
}

// exchange writes the request and waits for what comes back. The error says why the last byte was not written.
func (p *pool) exchange(c *conn, att *attempt) (reply, error) {
	if att.call.rest == nil {
		if _, err := c.Write(p.message(att)); err != nil {
			p.close(c)
			(<-c.replies).drop() // an answer that came beside it, or the close
			return reply{}, err
		}
		p.wrote(att, att.call.deadline)
		return <-c.replies, nil
	}
	p.setDeadline(c, time.Time{}) // the time for an answer runs from the last byte on
	bw := bufio.NewWriterSize(&paced{conn: c, wait: att.wait}, p.buffers.chunk)
	err := p.request(att, io.MultiReader(bytes.NewReader(att.call.body), att.call.rest)).Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		now := p.clock.now()
		p.wrote(att, now+att.call.budget)
		p.setDeadline(c, p.clock.at(now+min(att.wait, att.call.budget)))
		p.sents <- sent{att, now}
		return <-c.replies, nil
	}
	// The server may have answered what it had not seen the end of. If not, the close makes the reader say so.
	if !errors.Is(err, errEarly) {
		p.close(c)
	}
	r := <-c.replies
	if r.err != nil || !errors.Is(err, errEarly) {
		r.drop()
		return reply{}, err
	}
	r.early = true
	return r, nil
}

var errEarly = errors.New("answered before the end of the request")

// paced writes a body as a server takes it, until that answers.
type paced struct {
	*conn
	wait time.Duration
}

func (w *paced) Write(b []byte) (int, error) {
	if len(w.replies) > 0 {
		return 0, errEarly
	}
	w.SetWriteDeadline(time.Now().Add(w.wait))
	n, err := w.conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEarly // it broke, and what the server said last is still to be read
	}
	return n, err
}

// maySend asks the guard whether the attempt may be written now. Where the process has slept it waits until the news of
// the servers that came meanwhile is read.
func (p *pool) maySend(att *attempt) guard.Verdict {
	for {
		why := guard.Send{
			Now:             p.clock.now(),
			Deadline:        att.deadline,
			RetryBefore:     att.repeatBefore,
			RequestAnswered: att.call.closed.Load(),
			EndpointRemoved: att.target.stopped.Load(),
			ListOutdated:    p.staleness.hold(),
			Client:          att.call.caller.state(),
		}.Verdict()
		if why != guard.ListOutdated {
			return why
		}
		time.Sleep(settle / 10)
	}
}

// wrote counts an attempt that is whole at its server, and takes the second look at it.
func (p *pool) wrote(att *attempt, clientDeadline time.Duration) {
	p.stats.count(func(c *counts) { c.written++ })
	p.decisions.attemptWritten(att, guard.Sent{
		Now:            p.clock.now(),
		ClientDeadline: clientDeadline,
		Timeout:        att.told,
		RetryBefore:    att.repeatBefore,
		DisconnectedAt: att.call.leftAt.get(),
		RemovedAt:      att.target.removedAt.get(),
		RemovalGrace:   p.removalGrace,
	})
}

// message is the whole request as it goes to a server.
func (p *pool) message(att *attempt) []byte {
	var body io.Reader
	if len(att.call.body) > 0 {
		body = bytes.NewReader(att.call.body)
	}
	var b bytes.Buffer
	p.request(att, body).Write(&b) // neither the buffer nor the body can fail
	return b.Bytes()
}

// request is a request as it came, but for the time that is left, which runs from its last byte.
func (p *pool) request(att *attempt, body io.Reader) *http.Request {
	c := att.call
	header := c.header.Clone()
	left := att.deadline - p.clock.now()
	if c.rest != nil {
		left = min(att.wait, c.budget)
	}
	att.told = max(left, time.Microsecond)
	header.Set("X-Budget", strconv.FormatInt(att.told.Microseconds(), 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else Request.Write adds its own
	}
	req := &http.Request{Method: c.method, URL: c.url, Host: c.host, Header: header, ContentLength: c.length}
	if body != nil {
		req.Body = io.NopCloser(body)
	}
	return req
}

// ending reads off an answer how the attempt ended.
func ending(r *http.Response) policy.AttemptResult {
	switch {
	case r.StatusCode == http.StatusOK:
		return policy.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return policy.Overloaded
	}
	return policy.ServerError // it may have run
}

// load reads a load report, in which the fields have the names that the settings give them. What is absent
// or odd is left out.
func load(h http.Header) *policy.Load {
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
