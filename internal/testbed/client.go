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
	outcomeDisconnected         // the client disconnected before the answer
	outcomeUnreached            // no connection was established
)

// String returns the name of the outcome in results.
func (o outcome) String() string {
	return [...]string{EndServed, EndRejected, EndFailed, EndDisconnected, EndUnreached}[o]
}

const (
	maxAnswerDelay = 500 * time.Millisecond // a paused node may answer this long after the deadline: late, but not lost
	pauseCarryOver = 500 * time.Millisecond // after a pause, a node answers its pending requests within this time
	maxBodySize    = 64 << 10
	readBufferSize = 2 << 10
	maxIdleConns   = 256             // per client
	maxIdleTime    = 5 * time.Second // after which a client closes a connection instead of using it again
	dialTimeout    = time.Second
)

// clientRequest is one request to a node.
type clientRequest struct {
	id           string
	class        *Class
	tenant       string
	deadline     time.Duration // on the test bed's clock
	disconnectAt time.Duration // when the client disconnects; 0: it stays until the answer
	isRetry      bool
}

// response is the result of a request for its client.
type response struct {
	end        outcome
	node       string
	retryAfter time.Duration // from the Retry-After header; 0: there was none
	at         time.Duration // when its last byte arrived, or the request ended without one
}

// client sends requests to nodes on keep-alive connections, one request at a time on each. It opens another connection
// when all are busy.
type client struct {
	testbed   *Testbed
	name      string
	dial      func(context.Context) (net.Conn, string, error) // connects to a node and returns the node's name
	checkBody bool                                            // whether bodies of answers must be those that servers made
	idPrefix  string                                          // from which send derives request IDs

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
	pending          string // ID of the request whose answer is pending; "": none
	lastAnswered     string // ID of the last request answered
	previousAnswered string // ID of the request answered before that
	replies          chan connReply
}

// connReply is an answer read from a connection, or the end of the connection.
type connReply struct {
	status     int
	retryAfter string
	body       string
	closing    bool // the node closes the connection after this answer
	partial    bool // at least part of an answer arrived
	allRead    bool // the connection ended after the node had read all bytes written to it
	err        error
	at         time.Duration
}

// hasPending reports whether an answer is pending. If the connection ends while none is pending, the node has not read
// a request that is written to it a moment later.
func (cc *clientConn) hasPending() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.pending != ""
}

// takePending returns the pending request, which from now on counts as answered, and the request answered before it.
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

// readReplies reads answers from a connection until the connection ends.
func (c *client) readReplies(cc *clientConn) {
	defer c.readers.Done()
	reader := bufio.NewReaderSize(cc.Conn, readBufferSize)
	for {
		r := c.readReply(cc, reader)
		pending, lastAnswered := cc.takePending()
		if pending != "" {
			cc.replies <- r // does not block: only one request is pending at a time
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

// readReply waits for the next answer on a connection, or for the connection's end.
func (c *client) readReply(cc *clientConn, reader *bufio.Reader) connReply {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		atBoundary := errors.Is(err, io.ErrUnexpectedEOF) && reader.Buffered() == 0
		return connReply{
			err:     err,
			partial: errors.Is(err, io.ErrUnexpectedEOF) && !atBoundary,
			allRead: atBoundary && cc.hasPending() && !c.testbed.hasProxy(c.name, cc.node) && peerReadAll(cc.Conn),
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

// get returns an idle connection if there is one and newConn is not set, else a new one.
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

// takeIdle removes and returns the most recently used idle connection, and closes those that were idle for too long. It
// returns nil if none is left. c.mu must be held.
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

// close closes all idle connections and waits for the others to end. Later requests fail.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	for _, cc := range c.idle {
		closeQuietly(cc)
	}
	c.mu.Unlock()
	c.readers.Wait()
}

// do sends one request and returns its result, at the latest when its deadline and the slack have passed. It sends the
// request again on a new connection if a used one ended before the node had read it.
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

// attempt writes the request to one connection and waits for the answer. unread reports that the connection ended
// before the node read the request, which may be written again.
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
	writeNumber := c.testbed.checker.beginWrite(req.id, cc.node)
	cc.mu.Lock()
	cc.pending = req.id
	cc.mu.Unlock()
	if _, err := cc.Write(c.format(req, sender{cc.node, writeNumber})); err != nil {
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

// giveUp closes a connection on which no answer arrived in time: either the client disconnects now, or the deadline and
// the slack have passed.
func (c *client) giveUp(cc *clientConn, req clientRequest) response {
	closeQuietly(cc)
	resp := response{node: cc.node, at: c.testbed.now(), end: outcomeDisconnected}
	if resp.at < req.deadline+slack {
		c.testbed.checker.recordDisconnect(req.id)
		return resp
	}
	resp.end = outcomeFailed
	c.testbed.checker.recordUnanswered(req.id, c.name, "no answer before the deadline")
	return resp
}

// lateReply waits longer for the answer of a node that the test bed had paused: until maxAnswerDelay after the deadline
// the answer is late, but not lost.
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

// handleReply handles an answer, or the end of the connection, after a complete request was written.
func (c *client) handleReply(cc *clientConn, req clientRequest, r connReply) (resp response, unread bool) {
	resp = response{node: cc.node, at: r.at, end: outcomeFailed}
	if r.err != nil {
		closeQuietly(cc)
		return resp, c.handleConnEnd(cc, req, r)
	}
	if before, _, _ := strings.Cut(r.body, " "); c.checkBody && before != "" && before == cc.previousAnswered {
		// The node answered the previous request twice: all further answers on this connection would be shifted by one.
		c.testbed.checker.recordUnexpectedAnswer(before, cc.node, "the body is that of the previous request")
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

// handleConnEnd handles the end of a connection on which a request was pending. It reports whether the request may be
// written again: the node closed a reused connection before it read the request. If the node does that on a new
// connection, the request has failed, but is not lost.
func (c *client) handleConnEnd(cc *clientConn, req clientRequest, r connReply) (unread bool) {
	if !r.partial && c.testbed.checker.retractUnread(req.id, r.allRead) {
		return cc.used
	}
	how := fmt.Sprintf("the connection ended: %v (the node had read the whole request: %t)", r.err, r.allRead)
	c.testbed.checker.recordUnanswered(req.id, c.name, how)
	return false
}

// parseRetryAfter returns the value of a Retry-After header in seconds, capped at the world's limit, or 0 if it is
// missing or invalid.
func (c *client) parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), c.testbed.world.Limits.MaxRetryAfter)
}

// senderHeader carries the node that a request was written to and the number of that write. The node passes it on to
// the server, which hands it to the checker.
const senderHeader = "X-Lab-Sender"

// format returns a request as it is written to the connection.
func (c *client) format(req clientRequest, to sender) []byte {
	method := http.MethodGet
	if req.class.Effect != Idempotent {
		method = http.MethodPost
	}
	budget := max(1, (req.deadline - c.testbed.now()).Milliseconds())
	b := make([]byte, 0, 320)
	b = fmt.Appendf(b, "%s /api HTTP/1.1\r\nHost: service.internal\r\n", method)
	b = fmt.Appendf(b, "X-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n", req.id, req.class.Name, budget)
	b = fmt.Appendf(b, "%s: %s %d\r\n", senderHeader, to.node, to.writeNumber)
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
