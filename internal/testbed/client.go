package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ending is how a call ended for its caller.
type ending int

const (
	servedEnd  ending = iota
	refusedEnd        // 429 or 503
	failedEnd         // any other answer, or none
	leftEnd           // the caller went away first
	unreached         // no connection came up
)

func (e ending) String() string {
	return [...]string{"served", "refused", "failed", "left", "unreached"}[e]
}

const (
	maxAnswerDelay = 500 * time.Millisecond // an answer that comes so late earns nothing, and is no loss
	pauseCarryOver = 500 * time.Millisecond // what a node that was held up owes comes so soon after
	maxBodySize    = 64 << 10
	maxIdleConns   = 256             // connections kept by one caller
	maxIdleTime    = 5 * time.Second // a caller closes what was idle for so long
	dialTimeout    = time.Second
)

// call is one request to a node.
type call struct {
	id       string
	class    *Class
	tenant   string
	deadline time.Duration // on the lab's clock
	leaves   time.Duration // the caller goes away then; 0: it stays
	again    bool
}

// answer is what came of it.
type answer struct {
	end        ending
	node       string
	retryAfter time.Duration // 0: none was given
	at         time.Duration // of its last byte
}

// caller keeps connections to nodes and makes calls on them, one at a time on each, as the protocol's clients do. It
// opens more when all are busy.
type caller struct {
	testbed   *Testbed
	name      string
	dial      func(context.Context) (net.Conn, string, error) // to some node, with its name
	checkBody bool                                            // answers must be what a server made

	mu     sync.Mutex
	idle   []*callerConn
	closed bool
	open   sync.WaitGroup
}

type callerConn struct {
	net.Conn
	node string
	used bool
	free time.Duration // idle since

	mu      sync.Mutex
	owed    string // the request whose answer is owed; "": none
	last    string // the last one answered
	prev    string // the one before that
	answers chan reply
}

type reply struct {
	status     int
	retryAfter string
	body       string
	closing    bool
	some       bool // some of an answer came
	taken      bool // the connection ended, and the node had read all that was written to it
	err        error
	at         time.Duration
}

// owes says that an answer is owed. A connection that ends while none is may be taken for a request a moment later: that
// one was not read.
func (cc *callerConn) owes() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.owed != ""
}

// read takes answers off a connection until it ends.
func (c *caller) read(cc *callerConn) {
	defer c.open.Done()
	br := bufio.NewReaderSize(cc.Conn, 2<<10)
	for {
		var r reply
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			r.err = err
			r.some = errors.Is(err, io.ErrUnexpectedEOF) && br.Buffered() > 0
			r.taken = errors.Is(err, io.ErrUnexpectedEOF) && !r.some && cc.owes() && !c.testbed.linked(c.name, cc.node) && allTaken(cc.Conn)
		} else {
			body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
			resp.Body.Close()
			r = reply{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(body), closing: resp.Close,
				some: true, err: err}
		}
		r.at = c.testbed.now()
		cc.mu.Lock()
		owed := cc.owed
		last := cc.last
		if owed != "" {
			cc.prev, cc.last, cc.owed = cc.last, owed, ""
		}
		cc.mu.Unlock()
		if owed != "" {
			cc.answers <- r // one is owed, one fits
		} else if r.err == nil {
			c.testbed.checker.recordUnexpectedAnswer(last, cc.node, fmt.Sprintf("%d %.60q, closing %t", r.status, r.body, r.closing))
		}
		if r.err != nil || r.closing {
			cc.Conn.Close()
			return
		}
	}
}

// get returns an idle connection or a new one.
func (c *caller) get(ctx context.Context, fresh bool) (*callerConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	now := c.testbed.now()
	for n := len(c.idle); n > 0 && !fresh; n = len(c.idle) {
		cc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if now-cc.free > maxIdleTime {
			cc.Conn.Close()
			continue
		}
		cc.used = true
		c.mu.Unlock()
		return cc, nil
	}
	c.open.Add(1)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, node, err := c.dial(ctx)
	if err != nil {
		c.open.Done()
		return nil, err
	}
	cc := &callerConn{Conn: conn, node: node, answers: make(chan reply, 1)}
	go c.read(cc)
	return cc, nil
}

func (c *caller) put(cc *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.free = c.testbed.now()
	if c.closed || len(c.idle) >= maxIdleConns {
		cc.Conn.Close()
		return
	}
	c.idle = append(c.idle, cc)
}

// close ends all idle connections and waits for the others; calls fail from now on.
func (c *caller) close() {
	c.mu.Lock()
	c.closed = true
	for _, cc := range c.idle {
		cc.Conn.Close()
	}
	c.mu.Unlock()
	c.open.Wait()
}

// do makes one call and returns its end, no later than its deadline and the slack.
func (c *caller) do(ctx context.Context, q call) answer {
	c.testbed.checker.begin(q.id, q.class.Name, q.deadline)
	until := q.deadline + slack
	if q.leaves != 0 {
		until = min(until, q.leaves)
	}
	ctx, cancel := context.WithDeadline(ctx, c.testbed.began.Add(until))
	defer cancel()
	for fresh := false; ; fresh = true {
		a, again := c.try(ctx, q, fresh)
		if !again {
			return a
		}
	}
}

// try writes the request to one connection; again says that the connection's end crossed it unread.
func (c *caller) try(ctx context.Context, q call, fresh bool) (a answer, again bool) {
	cc, err := c.get(ctx, fresh)
	if err != nil {
		a.end = unreached
		if ctx.Err() != nil {
			a.end = leftEnd
		}
		a.at = c.testbed.now()
		return a, false
	}
	a.node = cc.node
	writing := c.testbed.checker.beginWrite(q.id, cc.node)
	cc.mu.Lock()
	cc.owed = q.id
	cc.mu.Unlock()
	head := c.format(q, sender{cc.node, writing})
	if _, err := cc.Write(head); err == nil {
		c.testbed.checker.recordWritten(q.id, c.testbed.now())
		select {
		case r := <-cc.answers:
			return c.answered(cc, q, r)
		case <-ctx.Done():
		}
		if r, late := c.lateAnswer(cc, q); late {
			return c.answered(cc, q, r)
		}
		cc.Close()
		a.at, a.end = c.testbed.now(), leftEnd
		if a.at < q.deadline+slack {
			c.testbed.checker.recordDisconnect(q.id)
		} else {
			a.end = failedEnd
			c.testbed.checker.recordUnanswered(q.id, c.name, "no answer in time")
		}
		return a, false
	}
	cc.Close()
	if cc.used && ctx.Err() == nil {
		return a, true
	}
	a.at, a.end = c.testbed.now(), failedEnd
	return a, false
}

// lateAnswer waits on for the answer of a node that was held up: one that comes up to half a second late is no loss.
func (c *caller) lateAnswer(cc *callerConn, q call) (r reply, late bool) {
	over := q.deadline + slack
	if c.testbed.now() < over || !c.testbed.intervals.overlap(pausedPart(cc.node), over-pauseCarryOver, over) {
		return r, false
	}
	select {
	case r = <-cc.answers:
		return r, true
	case <-time.After(maxAnswerDelay - slack):
		return r, false
	}
}

// answered sorts out what came on a connection after a whole request was written to it.
func (c *caller) answered(cc *callerConn, q call, r reply) (answer, bool) {
	a := answer{node: cc.node, at: r.at, end: failedEnd}
	if r.err != nil {
		cc.Close()
		switch {
		case !r.some && cc.used && c.testbed.checker.retractUnread(q.id, r.taken):
			return a, true // the close crossed the request
		case !r.some && !cc.used && c.testbed.checker.retractUnread(q.id, r.taken):
			// a new connection closed with no answer: failed, and not lost
		default:
			c.testbed.checker.recordUnanswered(q.id, c.name, fmt.Sprintf("the connection ended: %v (all was read: %t)", r.err, r.taken))
		}
		return a, false
	}
	if before, _, _ := strings.Cut(r.body, " "); c.checkBody && before != "" && before == cc.prev {
		c.testbed.checker.recordUnexpectedAnswer(before, cc.node, "that of the request before") // the connection is one answer behind from here on
		c.testbed.checker.recordDisconnect(q.id)
		cc.Close()
		return a, false
	}
	c.testbed.checker.recordAnswer(q.id, r.status, r.body, c.checkBody)
	switch r.status {
	case http.StatusOK:
		a.end = servedEnd
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.end = refusedEnd
		if s, err := strconv.ParseFloat(r.retryAfter, 64); err == nil && s > 0 {
			a.retryAfter = min(time.Duration(s*float64(time.Second)), c.testbed.world.Limits.MaxRetryAfter)
		}
	}
	if !r.closing {
		c.put(cc)
	}
	return a, false
}

// senderHeader tells servers, through the node that passes it on, to which node a request was written, and which writing
// that was.
const senderHeader = "X-Lab-Sender"

// format writes a request as the protocol has it.
func (c *caller) format(q call, to sender) []byte {
	method := "GET"
	if q.class.Effect != "read_like" {
		method = "POST"
	}
	b := make([]byte, 0, 320)
	b = fmt.Appendf(b, "%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%s: %s %d\r\n",
		method, q.id, q.class.Name, max(1, (q.deadline-c.testbed.now()).Milliseconds()), senderHeader, to.node, to.writing)
	if q.tenant != "" {
		b = fmt.Appendf(b, "X-Caller: %s\r\n", q.tenant)
	}
	if q.again {
		b = append(b, "X-Again: 1\r\n"...)
	}
	if q.class.Effect == "idempotency_key" {
		b = fmt.Appendf(b, "Idempotency-Key: k-%s\r\n", q.id)
	}
	if method == "POST" {
		b = append(b, "Content-Length: 2\r\n\r\n{}"...)
	} else {
		b = append(b, "\r\n"...)
	}
	return b
}
