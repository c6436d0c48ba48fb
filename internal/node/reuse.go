// When a connection to a server may carry another request. A server may respond twice, the second time late, and
// nothing in that response tells which request it is for: it is not to be served to the next one.

package node

import (
	"slices"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"
)

// How long a connection is idle between a response and the next request.
const (
	minIdlePeriod           = 20 * time.Millisecond
	nonIdempotentIdlePeriod = 100 * time.Millisecond // where a new connection may be made instead
)

// lateResponseAfter is how long after a response another one, unasked for, is late: near to the idle period.
const lateResponseAfter = minIdlePeriod / 2

// statusTimeout is the status of the response with which a server may announce that it closes an idle connection. It
// is for no request.
const statusTimeout = "408"

// statusOffset is where the status stands in the first line of a response.
const statusOffset = len("HTTP/1.1 ")

// isTimeoutNotice reports whether unexpected bytes announce the end of an idle connection.
func isTimeoutNotice(received []byte) bool {
	end := statusOffset + len(statusTimeout)
	return len(received) >= end && string(received[statusOffset:end]) == statusTimeout
}

// nonIdempotentClasses names the classes whose requests must not run twice, and so must not get another's response.
func nonIdempotentClasses(classes []policy.Class) map[string]bool {
	names := map[string]bool{}
	for _, class := range classes {
		if class.Idempotency == policy.NotIdempotent {
			names[class.Name] = true
		}
	}
	return names
}

// idlePeriod is how long a connection has to be idle before it carries an attempt's request. The caller holds the lock.
func (p *pool) idlePeriod(att *attempt) time.Duration {
	if p.nonIdempotent[att.request.meta.Class] && !p.full() {
		return nonIdempotentIdlePeriod
	}
	return minIdlePeriod
}

// pickIdle chooses among the idle connections of an endpoint, of which there is one at least: the most recently used
// that has been idle for a period, else the one that will have been next, with the time until then. The caller holds
// pool.mu.
func (e *endpoint) pickIdle(now time.Time, period time.Duration) (c *serverConn, wait time.Duration) {
	for _, c := range slices.Backward(e.idle) {
		if now.Sub(c.idleSince) >= period {
			return c, 0
		}
	}
	c = e.idle[0]
	return c, period - now.Sub(c.idleSince)
}

// acquireIdle returns an idle connection for an attempt that passes the reuse check; nil: there is none. The caller
// holds the lock, which is released during a wait.
func (p *pool) acquireIdle(att *attempt, deadline time.Time) *serverConn {
	e := att.endpoint
	if e.respondsLate.Load() {
		e.dropIdle()
	}
	for len(e.idle) > 0 {
		c, wait := e.pickIdle(time.Now(), p.idlePeriod(att))
		if wait > 0 && !p.full() {
			return nil // a new connection is ready sooner
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
		c.transition(serverConnDropped) // nothing of this attempt was written on it
	}
	return nil
}

// release returns a connection to the pool, for the next attempt, or closes it.
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

// recordUnexpected notes bytes that no request asked for. The idle period covers a second response that comes soon. One
// that comes late may have crossed the next request of another connection already, so that no connection of the
// endpoint carries a second request from then on. The caller holds readMu.
func (c *serverConn) recordUnexpected(received []byte) {
	if isTimeoutNotice(received) {
		return
	}
	c.pool.decisions.UnexpectedResponse(c.endpoint.id)
	if time.Since(c.quietSince) >= lateResponseAfter {
		c.endpoint.respondsLate.Store(true)
	}
}
