package node

import (
	"bufio"
	"bytes"
	"container/list"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"deckrelay"
)

const (
	maxBody   = 64 << 10 // of a request or an answer
	maxHeader = 16 << 10 // of an answer, with the interim ones before it
)

// target is a server at one address, from one start of it to the next.
type target struct {
	id      string
	addr    string
	boot    time.Duration
	stopped atomic.Bool // it drains or is gone: nothing new may go to it

	idle []*conn // guarded by pool.mu, the newest last
}

// attempt is one send of a call.
type attempt struct {
	call     *call
	n        int
	target   *target
	wait     time.Duration // for an answer, or for the server to take the next bytes of a body that passes through
	deadline time.Duration
	started  time.Duration
}

// pool keeps the connections to servers, one request at a time on each. It is own code since
// http.Transport sends a request again by itself when a kept connection breaks, which could run
// an unsafe one twice.
type pool struct {
	clock   clock
	dialer  net.Dialer
	idleFor time.Duration
	stall   time.Duration // a server that gives nothing more of a long answer for so long is gone
	results chan<- result
	sents   chan<- sent
	begins  chan<- begun
	stats   *stats
	guard   *watchdog // of discovery
	buffers buffers

	mu   sync.Mutex
	most int // connections at once
	open map[*conn]bool
	dial int        // connections that are coming up
	idle *list.List // of *conn, the oldest first
	wg   sync.WaitGroup
}

func newPool(cfg Config, most int, l *loop, b buffers) *pool {
	return &pool{clock: l.clock, dialer: net.Dialer{Timeout: cfg.connectTimeout, KeepAlive: -1},
		idleFor: cfg.connIdle / 2, stall: cfg.connIdle, most: most, buffers: b,
		results: l.results, sents: l.sents, begins: l.begins, stats: l.stats,
		open: map[*conn]bool{}, idle: list.New()}
}

// conn is a connection to a server. Its own goroutine always reads, also while it is idle, so a
// close by the server is seen before the next use.
type conn struct {
	net.Conn
	pool    *pool
	target  *target
	in      *io.LimitedReader // what an answer may still take: net/http sets no bound to an answer's header
	br      *bufio.Reader
	replies chan reply

	// guarded by pool.mu
	place    *list.Element // in pool.idle; nil: in use
	deadline time.Time     // of what it now waits for; zero: none
	dead     bool
	gone     chan struct{} // closed when it is dead
}

// reply is what came back on a connection.
type reply struct {
	resp *http.Response
	body []byte
	held *lease    // for body
	rest *download // what comes after body; nil: nothing
	err  error

	early bool // the server had not seen the whole request: the connection is out of step
}

func (r reply) drop() { answer{held: r.held, rest: r.rest}.drop() }

var errDropped = errors.New("the rest of the answer is not wanted")

// start runs an attempt in a goroutine that ends with its result.
func (p *pool) start(att *attempt) {
	att.started = p.clock.now()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.results <- p.attempt(att)
	}()
}

// attempt makes the one send of an attempt and waits for what comes back.
func (p *pool) attempt(att *attempt) result {
	ended := func(e deckrelay.Ending, why error) result { return result{att: att, ending: e, err: why} }
	if !p.maySend(att) {
		return ended(deckrelay.Void, nil)
	}
	c, err := p.take(att)
	if err != nil {
		return ended(deckrelay.Unreachable, err)
	}
	// Connecting takes time: the request may be over by now, or the server may have been told to drain.
	if !p.maySend(att) {
		p.park(c)
		return ended(deckrelay.Void, nil)
	}
	r, err := p.exchange(c, att)
	switch {
	case err != nil && att.call.rest != nil && att.call.rest.failed() != nil:
		p.close(c)
		return ended(deckrelay.Void, err) // the caller did not give the last byte
	case err != nil:
		p.close(c)
		return ended(deckrelay.Unreachable, err) // the last byte was not written
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		return ended(deckrelay.TimedOut, nil) // the reader has closed the connection
	case r.err != nil:
		return ended(deckrelay.Broken, r.err)
	}
	res := result{att: att, ending: ending(r.resp), load: load(r.resp.Header), answer: answer{status: http.StatusOK,
		contentType: r.resp.Header.Get("Content-Type"), body: r.body, held: r.held, rest: r.rest}}
	switch {
	case r.rest == nil:
	case res.ending != deckrelay.Success:
		r.rest.end(errDropped, true) // a long error is nobody's
		res.answer.rest = nil
	default:
		p.begins <- begun{att, res.answer}
		<-r.rest.over
		res.passed = true
		if res.err = r.rest.err; res.err != nil {
			res.answer.status, res.ending = http.StatusBadGateway, deckrelay.Broken
			if r.rest.ours {
				res.ending = deckrelay.Withdrawn
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
			return reply{}, err
		}
		p.stats.count(func(c *counts) { c.written++ })
		return <-c.replies, nil
	}
	p.setDeadline(c, time.Time{}) // the time for an answer runs from the last byte on
	bw := bufio.NewWriterSize(&paced{conn: c, wait: att.wait}, p.buffers.chunk)
	err := p.request(att, io.MultiReader(bytes.NewReader(att.call.body), att.call.rest)).Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		p.stats.count(func(c *counts) { c.written++ })
		now := p.clock.now()
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

func (p *pool) maySend(att *attempt) bool {
	for p.guard.hold() { // the server may have been told to drain while the process slept
		time.Sleep(settle / 10)
	}
	return !att.call.closed.Load() && !att.target.stopped.Load() && p.clock.now() < att.deadline
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
	header.Set("X-Budget", strconv.FormatInt(max(left.Microseconds(), 1), 10)+"u")
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
func ending(r *http.Response) deckrelay.Ending {
	switch {
	case r.StatusCode == http.StatusOK:
		return deckrelay.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return deckrelay.Overloaded
	}
	return deckrelay.Failure // it may have run
}

// load reads a load report, in which the fields have the names that the settings give them. What is absent
// or odd is left out.
func load(h http.Header) *deckrelay.Load {
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
	l := &deckrelay.Load{Busy: -1, Service: -1}
	if r.Busy != nil {
		l.Busy = *r.Busy
	}
	if r.Service != nil {
		l.Service = millis(*r.Service)
	}
	return l
}

var errFull = errors.New("no socket left for another connection")

// take gives the newest idle connection, else opens one.
func (p *pool) take(att *attempt) (*conn, error) {
	t, deadline := att.target, p.clock.at(att.deadline)
	p.mu.Lock()
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		p.unpark(c)
		c.deadline = deadline
		c.SetDeadline(deadline)
		p.mu.Unlock()
		select {
		case <-c.replies: // it broke or got out of step just now, and nothing of this attempt was on it
			p.mu.Lock()
			p.closeLocked(c)
		default:
			return c, nil
		}
	}
	for len(p.open)+p.dial >= p.most && p.idle.Len() > 0 {
		p.closeLocked(p.idle.Front().Value.(*conn))
	}
	if len(p.open)+p.dial >= p.most {
		p.mu.Unlock()
		return nil, errFull
	}
	p.dial++
	p.mu.Unlock()

	d := p.dialer
	d.Deadline = deadline
	nc, err := d.Dial("tcp", t.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial--
	if err != nil {
		return nil, err
	}
	in := &io.LimitedReader{R: nc}
	c := &conn{Conn: nc, pool: p, target: t, in: in, br: bufio.NewReaderSize(in, 4<<10),
		replies: make(chan reply, 1), deadline: deadline, gone: make(chan struct{})}
	p.open[c] = true
	nc.SetDeadline(deadline)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c.read()
	}()
	return c, nil
}

// resize changes how many connections there may be. What is open beyond them stays until it ends.
func (p *pool) resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

// setDeadline changes until when a connection in use waits.
func (p *pool) setDeadline(c *conn, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deadline = t
	c.SetDeadline(t)
}

// park puts a connection by for the next attempt.
func (p *pool) park(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead {
		return
	}
	if c.target.stopped.Load() {
		p.closeLocked(c)
		return
	}
	c.deadline = time.Now().Add(p.idleFor)
	c.SetDeadline(c.deadline)
	c.place = p.idle.PushBack(c)
	c.target.idle = append(c.target.idle, c)
}

// unpark takes a connection from the idle ones. The caller holds the lock.
func (p *pool) unpark(c *conn) {
	p.idle.Remove(c.place)
	c.place = nil
	for i, o := range c.target.idle {
		if o == c {
			c.target.idle = append(c.target.idle[:i], c.target.idle[i+1:]...)
			break
		}
	}
}

func (p *pool) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *pool) closeLocked(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	close(c.gone)
	if c.place != nil {
		p.unpark(c)
	}
	c.Close()
	delete(p.open, c)
}

// retire closes the idle connections to a server that gets nothing new.
func (p *pool) retire(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(t.idle) > 0 {
		p.closeLocked(t.idle[len(t.idle)-1])
	}
}

// shut closes all connections and waits until every attempt has ended. What is still out then is for
// callers that have their answer or are gone.
func (p *pool) shut() {
	p.mu.Lock()
	for c := range p.open {
		p.closeLocked(c)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// read hands every answer to the attempt that waits for it and ends with the connection. An idle
// connection that is closed, gets bytes nobody asked for or is idle for long is dropped.
func (c *conn) read() {
	for {
		c.in.N = maxHeader
		_, err := c.br.Peek(1)
		c.pool.mu.Lock()
		idle := c.place != nil
		if !idle && errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
			c.pool.mu.Unlock() // the idle time ran out just as an attempt took the connection
			continue
		}
		if idle || err != nil {
			c.pool.closeLocked(c)
		}
		c.pool.mu.Unlock()
		if idle {
			return
		}
		var r reply
		if r.err = err; err == nil {
			r = c.answer()
			if r.err != nil {
				c.pool.close(c)
			}
		}
		c.replies <- r
		if r.rest != nil {
			select {
			case <-r.rest.over:
			case <-c.gone:
			}
		}
		if r.err != nil || r.resp.Close || r.rest != nil && r.rest.err != nil {
			return
		}
	}
}

// answer reads an answer: whole if it is short and there is room, else up to what is to be passed on.
func (c *conn) answer() reply {
	for {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return reply{err: err}
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.in.N = math.MaxInt64
		d := &download{conn: c, resp: resp, over: make(chan struct{})}
		room := int(min(uint64(resp.ContentLength), maxBody)) // all of it, if the length is not known
		held := c.pool.buffers.answers.take(room)
		if resp.ContentLength > maxBody || held == nil {
			held.shrink(0)
			return reply{resp: resp, rest: d}
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		held.shrink(len(body))
		if err != nil {
			held.shrink(0)
			return reply{err: err}
		}
		if len(body) < maxBody || resp.ContentLength == maxBody {
			d.check()
			return reply{resp: resp, body: body, held: held}
		}
		return reply{resp: resp, body: body, held: held, rest: d}
	}
}

// check sees to it that bytes that nobody asked for do not pass as the answer to the next request.
func (d *download) check() {
	d.resp.Close = d.resp.Close || d.conn.br.Buffered() > 0
}
