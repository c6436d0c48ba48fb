// The rules for the reuse of a connection to a server. A server may send two responses to one request, the second of
// them late. A response does not identify its request, so the node must make sure that the second one is not taken for
// the response to the next request on the connection.

package node

import (
	"slices"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"
)

// How long a connection has to be idle after a response before it carries the next request.
const (
	minIdlePeriod           = 20 * time.Millisecond
	nonIdempotentIdlePeriod = 100 * time.Millisecond // for non-idempotent classes, while the limit permits new connections
)

// lateResponseAfter is how long after a response an unexpected one counts as late. Such a delay is so close to the idle
// period that the next delay may exceed the period.
const lateResponseAfter = minIdlePeriod / 2

// statusTimeout is the status (408, Request Timeout) that a server may send, without a request, to announce that it
// closes an idle connection.
const statusTimeout = "408"

// statusOffset is the position of the status code in the status line of a response.
const statusOffset = len("HTTP/1.1 ")

// isTimeoutNotice reports whether unexpected bytes begin a response that announces the close of an idle connection.
func isTimeoutNotice(received []byte) bool {
	end := statusOffset + len(statusTimeout)
	return len(received) >= end && string(received[statusOffset:end]) == statusTimeout
}

// nonIdempotentClasses returns the names of the classes whose requests must not run twice. Such a request must not be
// given the response to another request either.
func nonIdempotentClasses(classes []policy.Class) map[string]bool {
	names := map[string]bool{}
	for _, class := range classes {
		if class.Idempotency == policy.NotIdempotent {
			names[class.Name] = true
		}
	}
	return names
}

// idlePeriod returns how long a connection has to be idle before it carries the request of an attempt. The caller holds
// p.mu.
func (p *pool) idlePeriod(att *attempt) time.Duration {
	if p.nonIdempotent[att.request.meta.Class] && !p.full() {
		return nonIdempotentIdlePeriod
	}
	return minIdlePeriod
}

// pickIdle chooses one of the idle connections of an endpoint, of which there must be at least one. It returns the most
// recently used connection that has been idle for the period; if there is none, it returns the least recently used one
// and the time until its period is over. The caller holds pool.mu.
func (e *endpoint) pickIdle(now time.Time, period time.Duration) (c *serverConn, wait time.Duration) {
	for _, c := range slices.Backward(e.idle) {
		if now.Sub(c.idleSince) >= period {
			return c, 0
		}
	}
	c = e.idle[0]
	return c, period - now.Sub(c.idleSince)
}

// acquireIdle returns an idle connection that has passed the check of claimForReuse, or nil if there is none. The
// caller holds p.mu, which is released while acquireIdle waits for the end of an idle period.
func (p *pool) acquireIdle(att *attempt, deadline time.Time) *serverConn {
	e := att.endpoint
	if e.respondsLate.Load() {
		e.dropIdle()
	}
	for len(e.idle) > 0 {
		c, wait := e.pickIdle(time.Now(), p.idlePeriod(att))
		if wait > 0 && !p.full() {
			return nil // a new connection is available sooner
		}
		c.transition(serverConnAcquired)
		c.setDeadline(deadline)
		if wait > 0 {
			p.mu.Unlock()
			time.Sleep(wait)
			p.mu.Lock()
		}
		if c.state != serverConnClosed && c.claimForReuse() {
			return c
		}
		p.metrics.Update(func(c *metrics.Counters) { c.StaleConnections++ })
		c.transition(serverConnDropped) // no byte of this attempt was written to it
	}
	return nil
}

// release returns a connection to the pool for the next attempt, or closes it if its endpoint permits no reuse.
func (p *pool) release(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.unavailable.Load() || c.endpoint.respondsLate.Load() {
		c.transition(serverConnDropped)
		return
	}
	c.transition(serverConnReleased)
}

// dropIdle closes the idle connections of an endpoint. The caller holds pool.mu.
func (e *endpoint) dropIdle() {
	for len(e.idle) > 0 {
		e.idle[len(e.idle)-1].transition(serverConnDropped)
	}
}

// recordUnexpected records bytes that arrived without a request on the connection. A second response that arrives soon
// falls into the idle period. A late one shows that on another connection a second response may already have arrived
// after the next request was sent. From then on, no connection of the endpoint carries a second request. The caller
// holds c.readMu.
func (c *serverConn) recordUnexpected(received []byte) {
	if isTimeoutNotice(received) {
		return
	}
	c.pool.decisions.UnexpectedResponse(c.endpoint.id)
	if time.Since(c.requestEndedAt) >= lateResponseAfter {
		c.endpoint.respondsLate.Store(true)
	}
}
