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

// outcome is how a call ended for its client.
type outcome int

const (
	outcomeServed       outcome = iota
	outcomeRejected             // 429 or 503
	outcomeFailed               // any other answer, or none
	outcomeDisconnected         // the client disconnected first
	outcomeUnreached            // no connection came up
)

func (e outcome) String() string {
	return [...]string{"served", "refused", "failed", "left", "unreached"}[e]
}

const (
	maxAnswerDelay = 500 * time.Millisecond // an answer that comes so late earns nothing, and is no loss
	pauseCarryOver = 500 * time.Millisecond // what a node that was held up owes comes so soon after
	maxBodySize    = 64 << 10
	maxIdleConns   = 256             // connections kept by one client
	maxIdleTime    = 5 * time.Second // a client closes what was idle for so long
	dialTimeout    = time.Second
)

// clientRequest is one request to a node.
type clientRequest struct {
	id           string
	class        *Class
	tenant       string
	deadline     time.Duration // on the testbed's clock
	disconnectAt time.Duration // the client disconnects then; 0: it stays
	isRetry      bool
}

// response is what came of it.
type response struct {
	end        outcome
	node       string
	retryAfter time.Duration // 0: none was given
	at         time.Duration // of its last byte
}

// client keeps connections to nodes and makes calls on them, one at a time on each, as the protocol's clients do. It
// opens more when all are busy.
type client struct {
	testbed   *Testbed
	name      string
	dial      func(context.Context) (net.Conn, string, error) // to some node, with its name
	checkBody bool                                            // answers must be what a server made

	mu      sync.Mutex
	idle    []*clientConn
	closed  bool
	readers sync.WaitGroup
}

type clientConn struct {
	net.Conn
	node      string
	used      bool
	idleSince time.Duration // idle since

	mu               sync.Mutex
	pending          string // the request whose answer is owed; "": none
	lastAnswered     string // the last one answered
	previousAnswered string // the one before that
	replies          chan connReply
}

type connReply struct {
	status     int
	retryAfter string
	body       string
	closing    bool
	partial    bool // part of a response came
	allRead    bool // the connection ended, and the node had read all that was written to it
	err        error
	at         time.Duration
}

// hasPending says that an answer is owed. A connection that ends while none is may be taken for a request a moment later: that
// one was not read.
func (cc *clientConn) hasPending() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.pending != ""
}

// read takes answers off a connection until it ends.
func (c *client) read(cc *clientConn) {
	defer c.readers.Done()
	br := bufio.NewReaderSize(cc.Conn, 2<<10)
	for {
		var r connReply
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			r.err = err
			r.partial = errors.Is(err, io.ErrUnexpectedEOF) && br.Buffered() > 0
			r.allRead = errors.Is(err, io.ErrUnexpectedEOF) && !r.partial && cc.hasPending() && !c.testbed.linked(c.name, cc.node) && peerReadAll(cc.Conn)
		} else {
			body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
			resp.Body.Close()
			r = connReply{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(body), closing: resp.Close,
				partial: true, err: err}
		}
		r.at = c.testbed.now()
		cc.mu.Lock()
		pending := cc.pending
		lastAnswered := cc.lastAnswered
		if pending != "" {
			cc.previousAnswered, cc.lastAnswered, cc.pending = cc.lastAnswered, pending, ""
		}
		cc.mu.Unlock()
		if pending != "" {
			cc.replies <- r // one is owed, one fits
		} else if r.err == nil {
			c.testbed.checker.recordUnexpectedAnswer(lastAnswered, cc.node, fmt.Sprintf("%d %.60q, closing %t", r.status, r.body, r.closing))
		}
		if r.err != nil || r.closing {
			cc.Close()
			return
		}
	}
}

// get returns an idle connection or a new one.
func (c *client) get(ctx context.Context, newConn bool) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	now := c.testbed.now()
	for n := len(c.idle); n > 0 && !newConn; n = len(c.idle) {
		cc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if now-cc.idleSince > maxIdleTime {
			cc.Close()
			continue
		}
		cc.used = true
		c.mu.Unlock()
		return cc, nil
	}
	c.readers.Add(1)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, node, err := c.dial(ctx)
	if err != nil {
		c.readers.Done()
		return nil, err
	}
	cc := &clientConn{Conn: conn, node: node, replies: make(chan connReply, 1)}
	go c.read(cc)
	return cc, nil
}

func (c *client) put(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.idleSince = c.testbed.now()
	if c.closed || len(c.idle) >= maxIdleConns {
		cc.Close()
		return
	}
	c.idle = append(c.idle, cc)
}

// close ends all idle connections and waits for the others; calls fail from now on.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	for _, cc := range c.idle {
		cc.Close()
	}
	c.mu.Unlock()
	c.readers.Wait()
}

// do makes one call and returns its end, no later than its deadline and the slack.
func (c *client) do(ctx context.Context, req clientRequest) response {
	c.testbed.checker.begin(req.id, req.class.Name, req.deadline)
	until := req.deadline + slack
	if req.disconnectAt != 0 {
		until = min(until, req.disconnectAt)
	}
	ctx, cancel := context.WithDeadline(ctx, c.testbed.began.Add(until))
	defer cancel()
	for newConn := false; ; newConn = true {
		a, again := c.attempt(ctx, req, newConn)
		if !again {
			return a
		}
	}
}

// attempt writes the request to one connection; again reports that the connection's end crossed it unread.
func (c *client) attempt(ctx context.Context, req clientRequest, newConn bool) (a response, again bool) {
	cc, err := c.get(ctx, newConn)
	if err != nil {
		a.end = outcomeUnreached
		if ctx.Err() != nil {
			a.end = outcomeDisconnected
		}
		a.at = c.testbed.now()
		return a, false
	}
	a.node = cc.node
	writing := c.testbed.checker.beginWrite(req.id, cc.node)
	cc.mu.Lock()
	cc.pending = req.id
	cc.mu.Unlock()
	head := c.format(req, sender{cc.node, writing})
	if _, err := cc.Write(head); err == nil {
		c.testbed.checker.recordWritten(req.id, c.testbed.now())
		select {
		case r := <-cc.replies:
			return c.handleReply(cc, req, r)
		case <-ctx.Done():
		}
		if r, late := c.lateAnswer(cc, req); late {
			return c.handleReply(cc, req, r)
		}
		cc.Close()
		a.at, a.end = c.testbed.now(), outcomeDisconnected
		if a.at < req.deadline+slack {
			c.testbed.checker.recordDisconnect(req.id)
		} else {
			a.end = outcomeFailed
			c.testbed.checker.recordUnanswered(req.id, c.name, "no answer in time")
		}
		return a, false
	}
	cc.Close()
	if cc.used && ctx.Err() == nil {
		return a, true
	}
	a.at, a.end = c.testbed.now(), outcomeFailed
	return a, false
}

// lateAnswer waits on for the answer of a node that was held up: one that comes up to half a second late is no loss.
func (c *client) lateAnswer(cc *clientConn, req clientRequest) (r connReply, late bool) {
	over := req.deadline + slack
	if c.testbed.now() < over || !c.testbed.intervals.overlap(pausedPart(cc.node), over-pauseCarryOver, over) {
		return r, false
	}
	select {
	case r = <-cc.replies:
		return r, true
	case <-time.After(maxAnswerDelay - slack):
		return r, false
	}
}

// handleReply sorts out what came on a connection after a whole request was written to it.
func (c *client) handleReply(cc *clientConn, req clientRequest, r connReply) (response, bool) {
	a := response{node: cc.node, at: r.at, end: outcomeFailed}
	if r.err != nil {
		cc.Close()
		switch {
		case !r.partial && cc.used && c.testbed.checker.retractUnread(req.id, r.allRead):
			return a, true // the close crossed the request
		case !r.partial && !cc.used && c.testbed.checker.retractUnread(req.id, r.allRead):
			// a new connection closed with no answer: failed, and not lost
		default:
			c.testbed.checker.recordUnanswered(req.id, c.name, fmt.Sprintf("the connection ended: %v (all was read: %t)", r.err, r.allRead))
		}
		return a, false
	}
	if before, _, _ := strings.Cut(r.body, " "); c.checkBody && before != "" && before == cc.previousAnswered {
		c.testbed.checker.recordUnexpectedAnswer(before, cc.node, "that of the request before") // the connection is one answer behind from here on
		c.testbed.checker.recordDisconnect(req.id)
		cc.Close()
		return a, false
	}
	c.testbed.checker.recordAnswer(req.id, r.status, r.body, c.checkBody)
	switch r.status {
	case http.StatusOK:
		a.end = outcomeServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.end = outcomeRejected
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
func (c *client) format(req clientRequest, to sender) []byte {
	method := "GET"
	if req.class.Effect != "read_like" {
		method = "POST"
	}
	b := make([]byte, 0, 320)
	b = fmt.Appendf(b, "%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%s: %s %d\r\n",
		method, req.id, req.class.Name, max(1, (req.deadline-c.testbed.now()).Milliseconds()), senderHeader, to.node, to.writing)
	if req.tenant != "" {
		b = fmt.Appendf(b, "X-Caller: %s\r\n", req.tenant)
	}
	if req.isRetry {
		b = append(b, "X-Again: 1\r\n"...)
	}
	if req.class.Effect == "idempotency_key" {
		b = fmt.Appendf(b, "Idempotency-Key: k-%s\r\n", req.id)
	}
	if method == "POST" {
		b = append(b, "Content-Length: 2\r\n\r\n{}"...)
	} else {
		b = append(b, "\r\n"...)
	}
	return b
}
