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

// outcome is how a request ended for its client.
type outcome int

const (
	outcomeServed       outcome = iota
	outcomeRejected             // 429 or 503
	outcomeFailed               // any other answer, or none
	outcomeDisconnected         // the client disconnected first
	outcomeUnreached            // no connection came up
)

// String returns the name that results have for the outcome.
func (o outcome) String() string {
	return [...]string{EndServed, EndRejected, EndFailed, EndDisconnected, EndUnreached}[o]
}

const (
	maxAnswerDelay = 500 * time.Millisecond // an answer this late is worth nothing, but is not lost
	pauseCarryOver = 500 * time.Millisecond // a node that was paused answers so soon after
	maxBodySize    = 64 << 10
	readBufferSize = 2 << 10
	maxIdleConns   = 256             // connections kept by one client
	maxIdleTime    = 5 * time.Second // a client closes connections that are idle for longer
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

// response is what came of a request.
type response struct {
	end        outcome
	node       string
	retryAfter time.Duration // 0: none was given
	at         time.Duration // of its last byte
}

// client keeps connections to nodes and sends requests on them, one at a time on each, as the protocol's clients do. It
// opens more when all are busy.
type client struct {
	testbed   *Testbed
	name      string
	dial      func(context.Context) (net.Conn, string, error) // to some node, with its name
	checkBody bool                                            // answers must be what a server made
	idPrefix  string                                          // of the requests that the client makes up itself

	mu      sync.Mutex
	idle    []*clientConn
	closed  bool
	readers sync.WaitGroup
}

// clientConn is a connection of a client to a node.
type clientConn struct {
	net.Conn
	node      string
	used      bool
	idleSince time.Duration

	mu               sync.Mutex
	pending          string // the request whose answer is pending; "": none
	lastAnswered     string // the last request answered
	previousAnswered string // the one before that
	replies          chan connReply
}

// connReply is what came on a connection: an answer, or its end.
type connReply struct {
	status     int
	retryAfter string
	body       string
	closing    bool
	partial    bool // part of an answer came
	allRead    bool // the connection ended, and the node had read all that was written to it
	err        error
	at         time.Duration
}

// hasPending reports whether an answer is pending. A connection that ends while none is may be taken for a request a
// moment later: that one was not read.
func (cc *clientConn) hasPending() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.pending != ""
}

// takePending ends the pending request, if there is one, and also returns the request answered before it.
func (cc *clientConn) takePending() (pending, lastAnswered string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	pending = cc.pending
	lastAnswered = cc.lastAnswered
	if pending != "" {
		cc.previousAnswered = cc.lastAnswered
		cc.lastAnswered = pending
		cc.pending = ""
	}
	return pending, lastAnswered
}

// readReplies reads answers from a connection until it ends.
func (c *client) readReplies(cc *clientConn) {
	defer c.readers.Done()
	reader := bufio.NewReaderSize(cc.Conn, readBufferSize)
	for {
		r := c.readReply(cc, reader)
		pending, lastAnswered := cc.takePending()
		if pending != "" {
			cc.replies <- r // never blocks: one request is pending at a time
		} else if r.err == nil {
			what := fmt.Sprintf("%d %.60q, closing %t", r.status, r.body, r.closing)
			c.testbed.checker.recordUnexpectedAnswer(lastAnswered, cc.node, what)
		}
		if r.err != nil || r.closing {
			closeQuietly(cc)
			return
		}
	}
}

// readReply waits for the next answer on a connection, or for its end.
func (c *client) readReply(cc *clientConn, reader *bufio.Reader) connReply {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		atBoundary := errors.Is(err, io.ErrUnexpectedEOF) && reader.Buffered() == 0
		return connReply{
			err:     err,
			partial: errors.Is(err, io.ErrUnexpectedEOF) && !atBoundary,
			allRead: atBoundary && cc.hasPending() && !c.testbed.linked(c.name, cc.node) && peerReadAll(cc.Conn),
			at:      c.testbed.now(),
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	closeQuietly(resp.Body)
	return connReply{
		status:     resp.StatusCode,
		retryAfter: resp.Header.Get("Retry-After"),
		body:       string(body),
		closing:    resp.Close,
		partial:    true,
		err:        err,
		at:         c.testbed.now(),
	}
}

// get returns an idle connection or a new one.
func (c *client) get(ctx context.Context, newConn bool) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	if !newConn {
		if cc := c.takeIdle(); cc != nil {
			c.mu.Unlock()
			return cc, nil
		}
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
	go c.readReplies(cc)
	return cc, nil
}

// takeIdle returns the connection that was used last, and closes those that were idle for too long; c.mu is held.
func (c *client) takeIdle() *clientConn {
	now := c.testbed.now()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		cc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if now-cc.idleSince <= maxIdleTime {
			cc.used = true
			return cc
		}
		closeQuietly(cc)
	}
	return nil
}

func (c *client) put(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.idleSince = c.testbed.now()
	if c.closed || len(c.idle) >= maxIdleConns {
		closeQuietly(cc)
		return
	}
	c.idle = append(c.idle, cc)
}

// close ends all idle connections and waits for the others; requests fail from now on.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	for _, cc := range c.idle {
		closeQuietly(cc)
	}
	c.mu.Unlock()
	c.readers.Wait()
}

// do sends one request and returns what came of it, no later than its deadline and the slack.
func (c *client) do(ctx context.Context, req clientRequest) response {
	c.testbed.checker.begin(req.id, req.class.Name, req.deadline)
	until := req.deadline + slack
	if req.disconnectAt != 0 {
		until = min(until, req.disconnectAt)
	}
	ctx, cancel := context.WithDeadline(ctx, c.testbed.began.Add(until))
	defer cancel()
	for newConn := false; ; newConn = true {
		resp, unread := c.attempt(ctx, req, newConn)
		if !unread {
			return resp
		}
	}
}

// attempt writes the request to one connection; unread reports that the connection ended before the node read it.
func (c *client) attempt(ctx context.Context, req clientRequest, newConn bool) (resp response, unread bool) {
	cc, err := c.get(ctx, newConn)
	if err != nil {
		resp.end = outcomeUnreached
		if ctx.Err() != nil {
			resp.end = outcomeDisconnected
		}
		resp.at = c.testbed.now()
		return resp, false
	}
	writing := c.testbed.checker.beginWrite(req.id, cc.node)
	cc.mu.Lock()
	cc.pending = req.id
	cc.mu.Unlock()
	if _, err := cc.Write(c.format(req, sender{cc.node, writing})); err != nil {
		closeQuietly(cc)
		if cc.used && ctx.Err() == nil {
			return response{node: cc.node}, true
		}
		return response{node: cc.node, at: c.testbed.now(), end: outcomeFailed}, false
	}
	c.testbed.checker.recordWritten(req.id, c.testbed.now())
	select {
	case r := <-cc.replies:
		return c.handleReply(cc, req, r)
	case <-ctx.Done():
	}
	if r, late := c.lateReply(cc, req); late {
		return c.handleReply(cc, req, r)
	}
	return c.giveUp(cc, req), false
}

// giveUp closes a connection on which no answer came: the client disconnects, or its time is over.
func (c *client) giveUp(cc *clientConn, req clientRequest) response {
	closeQuietly(cc)
	resp := response{node: cc.node, at: c.testbed.now(), end: outcomeDisconnected}
	if resp.at < req.deadline+slack {
		c.testbed.checker.recordDisconnect(req.id)
		return resp
	}
	resp.end = outcomeFailed
	c.testbed.checker.recordUnanswered(req.id, c.name, "no answer in time")
	return resp
}

// lateReply waits longer for the answer of a node that the testbed paused: up to maxAnswerDelay late, it is not lost.
func (c *client) lateReply(cc *clientConn, req clientRequest) (r connReply, late bool) {
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

// handleReply handles what came on a connection after a complete request was written to it.
func (c *client) handleReply(cc *clientConn, req clientRequest, r connReply) (resp response, unread bool) {
	resp = response{node: cc.node, at: r.at, end: outcomeFailed}
	if r.err != nil {
		closeQuietly(cc)
		return resp, c.handleConnEnd(cc, req, r)
	}
	if before, _, _ := strings.Cut(r.body, " "); c.checkBody && before != "" && before == cc.previousAnswered {
		// The connection is one answer behind from here on.
		c.testbed.checker.recordUnexpectedAnswer(before, cc.node, "that of the request before")
		c.testbed.checker.recordDisconnect(req.id)
		closeQuietly(cc)
		return resp, false
	}
	c.testbed.checker.recordAnswer(req.id, r.status, r.body, c.checkBody)
	switch r.status {
	case http.StatusOK:
		resp.end = outcomeServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		resp.end = outcomeRejected
		resp.retryAfter = c.parseRetryAfter(r.retryAfter)
	}
	if !r.closing {
		c.put(cc)
	}
	return resp, false
}

// handleConnEnd handles the end of a connection with a request pending. It reports whether the request may be written
// again: the close of a used connection crossed it. On a new connection it has failed, but is not lost.
func (c *client) handleConnEnd(cc *clientConn, req clientRequest, r connReply) (unread bool) {
	if !r.partial && c.testbed.checker.retractUnread(req.id, r.allRead) {
		return cc.used
	}
	how := fmt.Sprintf("the connection ended: %v (all was read: %t)", r.err, r.allRead)
	c.testbed.checker.recordUnanswered(req.id, c.name, how)
	return false
}

// parseRetryAfter reads a Retry-After in seconds, up to the world's limit; 0: there is none.
func (c *client) parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), c.testbed.world.Limits.MaxRetryAfter)
}

// senderHeader tells servers, through the node that passes it on, to which node a request was written, and the number
// of that writing.
const senderHeader = "X-Lab-Sender"

// format formats a request as the protocol has it.
func (c *client) format(req clientRequest, to sender) []byte {
	method := http.MethodGet
	if req.class.Effect != Idempotent {
		method = http.MethodPost
	}
	budget := max(1, (req.deadline - c.testbed.now()).Milliseconds())
	b := make([]byte, 0, 320)
	b = fmt.Appendf(b, "%s /api HTTP/1.1\r\nHost: service.internal\r\n", method)
	b = fmt.Appendf(b, "X-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n", req.id, req.class.Name, budget)
	b = fmt.Appendf(b, "%s: %s %d\r\n", senderHeader, to.node, to.writing)
	if req.tenant != "" {
		b = fmt.Appendf(b, "X-Caller: %s\r\n", req.tenant)
	}
	if req.isRetry {
		b = append(b, "X-Again: 1\r\n"...)
	}
	if req.class.Effect == IdempotentWithKey {
		b = fmt.Appendf(b, "Idempotency-Key: k-%s\r\n", req.id)
	}
	if method == http.MethodPost {
		return append(b, "Content-Length: 2\r\n\r\n{}"...)
	}
	return append(b, "\r\n"...)
}
