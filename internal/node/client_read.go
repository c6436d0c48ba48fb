// How requests are read from a client's connection: deadlines, evictions, and what is refused before it is read.

package node

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy/guard"
)

// refusalWriteTimeout limits the write of a short response to a client whose connection is new or at rest.
const refusalWriteTimeout = 100 * time.Millisecond

// refusal is the response to a request that the node refuses before the HTTP server has read it: nothing of it was
// executed.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errNoMemoryForHead = errors.New("no memory is left for a head of this size")

// errReadBeyondRequest is the error of a read that asks for bytes of the next request before the response to the
// previous one has been written.
var errReadBeyondRequest = errors.New("the HTTP server reads beyond the end of a request")

// pastDeadline is a read deadline that has passed: it interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// SetReadDeadline is called by the HTTP server. While the connection is being evicted the deadline is only stored and
// takes effect later, since the eviction has interrupted the read in progress by a deadline of its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = t
	if c.listener.evicting == c {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// applyReadDeadline sets the socket's deadline to readDeadline. The error is ignored: the call fails only on a closed
// connection, where the next read fails too. The caller holds the lock.
func (c *clientConn) applyReadDeadline() { _ = c.Conn.SetReadDeadline(c.readDeadline) }

// postponeReadDeadline replaces the HTTP server's read deadline with one that is the given duration from now. The
// caller holds the lock.
func (c *clientConn) postponeReadDeadline(by time.Duration) {
	c.readDeadline = time.Now().Add(by)
	c.applyReadDeadline()
}

// interruptRead makes the read in progress and those that follow time out; handleReadTimeout then decides how they end.
// The error is ignored: the call fails only on a closed connection, where the reads fail too. The caller holds the
// lock.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(pastDeadline) }

// Read is called by the HTTP server. It makes sure that no connection is closed as idle while a request arrives.
func (c *clientConn) Read(b []byte) (int, error) {
	if n := c.framer.Next(b); n > 0 {
		return n, nil
	}
	for {
		limit := c.framer.ReadLimit(len(b))
		if limit == 0 {
			return 0, errReadBeyondRequest
		}
		n, err := c.readSocket(b[:limit])
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var retry bool
			if n, retry, err = c.handleReadTimeout(b[:limit], c.framer.IsBackgroundRead(len(b)), err); retry {
				continue
			}
		}
		n = c.framer.Receive(b, n)
		if !c.reserveHead() {
			return 0, c.refuseHead()
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readSocket reads from the socket. Of a body it records whether the read had to wait for the client.
func (c *clientConn) readSocket(b []byte) (int, error) {
	if !c.framer.InBody() || c.framer.IsBackgroundRead(len(b)) {
		return c.Conn.Read(b)
	}
	waits := unreadBytes(c.Conn) == 0
	n, err := c.Conn.Read(b)
	c.body.recordRead(n, waits, time.Now())
	return n, err
}

// bodyWrittenAt returns the earliest time at which the client may have written the last byte of its request.
func (c *clientConn) bodyWrittenAt(now time.Time) time.Time {
	if c == nil {
		return now
	}
	return c.body.earliestEnd(now, unreadBytes(c.Conn), c.framer.Missing())
}

// reserveHead reserves the memory for the head that is arriving. It returns false if too little is left.
func (c *clientConn) reserveHead() bool {
	size, lines := c.framer.HeadSize()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.state == clientConnClosed || c.headMemory.growTo(headMemory(size, lines))
}

// refuseHead answers a request for whose head no memory is left, before the HTTP server has read any of it, and returns
// the error that makes the server close the connection. A write error is ignored: the connection is closed in any case.
func (c *clientConn) refuseHead() error {
	c.listener.metrics.CountInvalidRequest(errNoMemoryForHead.Error())
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(c.Conn, refusal)
	return io.EOF
}

// handleReadTimeout decides how a read ends whose deadline has passed: with bytes that were waiting in the kernel, with
// the timeout, or with a retry. Bytes may be waiting because package net checks the deadline before it calls read(2). A
// connection without a complete request is closed only if no bytes are waiting. The argument requestComplete says that
// the read only notices a disconnect.
func (c *clientConn) handleReadTimeout(b []byte, requestComplete bool, timeout error) (n int, retry bool, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == clientConnClosed {
		return 0, false, net.ErrClosed
	}
	idle := c.awaitsHead() && !c.framer.Started()
	evicted := c.listener.evicting == c
	if requestComplete {
		c.transition(requestRead)
	}
	interrupted := evicted && !requestComplete || idle && c.closeRequested
	if !interrupted && !c.readDeadlineOver() { // a request has begun to arrive since the read was interrupted
		c.applyReadDeadline()
		return 0, true, nil
	}
	if c.element != nil {
		n = readAvailable(c.Conn, b)
	}
	switch (guard.Close{RequestRead: requestComplete || c.element == nil, BytesUnread: n > 0}).Verdict() {
	case guard.RequestRead: // the HTTP server set this deadline itself; the request is still served
		return 0, false, timeout
	case guard.BytesUnread:
		if idle && !evicted {
			c.postponeReadDeadline(headTimeout)
		}
		return n, false, nil
	}
	if left := c.headTimeLeft(); left > 0 && !evicted {
		c.postponeReadDeadline(left)
		return 0, true, nil
	}
	switch {
	case c.awaitsHead():
		c.transition(readExpired)
		c.listener.decisions.ConnectionClosed(c.closeCause(evicted, idle))
	case evicted && c.state == clientConnReceiving:
		c.listener.decisions.ConnectionClosed(metrics.CloseEvicted)
		c.refuseBody()
	}
	return 0, false, timeout
}

// refuseBody answers a request whose body is still arriving, and closes the connection at once: the HTTP server would
// keep it open for half a second after its response to such a request, and the next client waits for the place. The
// caller holds the lock.
func (c *clientConn) refuseBody() {
	writeAvailable(c.Conn, refusal)
	_ = c.endClose() // an error means that the connection has ended already
}

// readDeadlineOver reports whether the HTTP server's deadline has passed. The caller holds the lock.
func (c *clientConn) readDeadlineOver() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// headTimeLeft returns the time left for a head that has started to arrive on a reused connection, or 0 if there is no
// such head. It is needed because the read deadline is still that of the idle connection, which may pass before
// headTimeout. The caller holds the lock.
func (c *clientConn) headTimeLeft() time.Duration {
	if !c.reused || !c.awaitsHead() || !c.framer.Started() {
		return 0
	}
	return headTimeout - c.framer.Age()
}

// closeCause returns why the reader closes the connection. The caller holds the lock.
func (c *clientConn) closeCause(evicted, idle bool) metrics.CloseCause {
	switch {
	case evicted:
		return metrics.CloseEvicted
	case c.closeRequested:
		return metrics.CloseShutdown
	case idle && c.reused:
		return metrics.CloseIdle
	}
	return metrics.CloseSlowHead
}
