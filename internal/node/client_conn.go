// A client's connection as the HTTP server sees it: its reads, their timeouts, and how it is closed.

package node

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/metrics"
	"keelusher/policy/guard"
)

const (
	lingerTimeout  = 250 * time.Millisecond // for a client to close a connection that the node ends over unread bytes
	maxLingerBytes = 256 << 10              // of which so many are read

	// backgroundReadSize is how many bytes net/http asks for while a request is served, to notice a disconnect. It
	// does so when the whole request has been read, and at no other time.
	backgroundReadSize = 1
)

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection, counted by its listener until it is closed. It is safe for concurrent use.
type clientConn struct {
	net.Conn
	listener *limitedListener

	acceptedAt time.Time
	head       inbound.Head // of the request that is being read

	// Guarded by listener.mu.
	state          clientConnState
	list           *list.List    // the listener's, that element is in
	element        *list.Element // nil: the connection cannot be evicted
	listedSince    time.Time
	reused         bool      // it had a request before
	idleSince      time.Time // since its last response; zero: it had none
	closeRequested bool      // its reader is to end it if no request has begun to arrive
	readDeadline   time.Time // of the HTTP server's read; zero: none
}

// newClientConn wraps an accepted connection. The caller holds the listener's lock.
func newClientConn(accepted net.Conn, l *limitedListener, acceptedAt time.Time) *clientConn {
	c := &clientConn{
		Conn:       accepted,
		listener:   l,
		acceptedAt: acceptedAt,
		state:      clientConnIdle,
	}
	c.enterList(l.awaitingHead)
	return c
}

// Close is called by the HTTP server. A close over unread bytes, such as those of the next request, resets the
// connection, and the part of a response that is still on its way is lost: such bytes are read first, after the end of
// sending was announced. Without a response on its way the reset is right: the client retries what was not read.
func (c *clientConn) Close() error {
	if expired := c.startClose(); !expired && !c.listener.aborting.Load() && hasUnreadBytes(c.Conn) {
		c.linger()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.endClose()
}

// startClose begins the close and reports whether the reader had ended the connection before.
func (c *clientConn) startClose() (expired bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	expired = c.state == clientConnExpired
	if c.awaitsHead() && c.head.Partial() {
		c.listener.metrics.Update(func(c *metrics.Counters) { c.IncompleteHeads++ })
	}
	c.transition(closeStarted)
	return expired
}

// linger ends the sending and reads what the client still sends, as a rule until the client closes. Its errors are
// ignored: each of them means that the connection has ended already.
func (c *clientConn) linger() {
	_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// endClose closes the socket under the lock, which the caller holds: no further connection may be admitted while the
// descriptor is in use.
func (c *clientConn) endClose() error {
	if c.state == clientConnClosed {
		return net.ErrClosed
	}
	c.transition(closeEnded)
	c.listener.admitted--
	c.listener.changed.Signal()
	return c.Conn.Close()
}

// idleFor is for how long the connection can have been without a request: a client sends its next one when it has the
// response to the one before. An unknown connection, nil, may have been idle for any time.
func (c *clientConn) idleFor() time.Duration {
	if c == nil {
		return inbound.MaxBudget
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return time.Since(c.idleSince)
}

// sinceLastBytes is how long ago the system received the last bytes from the client, read or not; 0 if unknown.
func (c *clientConn) sinceLastBytes() time.Duration {
	if c == nil {
		return 0
	}
	return sinceLastBytes(c.Conn)
}

// SetReadDeadline is called by the HTTP server. The deadline takes effect later if the connection is being evicted,
// which has ended the read in progress by a deadline of its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = t
	if c.listener.evicting == c {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// applyReadDeadline restores the HTTP server's deadline. The error is ignored: it fails only on a closed connection,
// and so does the read that follows. The caller holds the lock.
func (c *clientConn) applyReadDeadline() { _ = c.Conn.SetReadDeadline(c.readDeadline) }

// postponeReadDeadline gives the read more time than the HTTP server did. The caller holds the lock.
func (c *clientConn) postponeReadDeadline(by time.Duration) {
	c.readDeadline = time.Now().Add(by)
	c.applyReadDeadline()
}

// interruptRead ends the read in progress and those that follow; their reader then decides in handleReadTimeout. The
// error is ignored: it fails only on a closed connection, and so do the reads. The caller holds the lock.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(pastDeadline) }

// Read is called by the HTTP server. It makes sure that no idle connection is ended while a request arrives.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var retry bool
			if n, retry, err = c.handleReadTimeout(b, err); retry {
				continue
			}
		}
		c.head.Add(b[:n])
		return n, err
	}
}

// handleReadTimeout decides what a read returns whose deadline is over: bytes after all, the timeout, or nothing, so
// that it is retried. Go checks the deadline before it asks the system, so that bytes may be waiting there: a
// connection without a whole request is ended only if there are none.
func (c *clientConn) handleReadTimeout(b []byte, timeout error) (n int, retry bool, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == clientConnClosed {
		return 0, false, net.ErrClosed
	}
	idle := c.awaitsHead() && !c.head.Started()
	evicted := c.listener.evicting == c
	requestComplete := len(b) == backgroundReadSize
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
	case guard.RequestRead: // the HTTP server itself wants this read to end, and the request goes on
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
	if c.awaitsHead() {
		c.transition(readExpired)
		c.listener.decisions.ConnectionClosed(c.closeCause(evicted, idle))
	}
	return 0, false, timeout
}

// readDeadlineOver reports whether the HTTP server's deadline is over. The caller holds the lock.
func (c *clientConn) readDeadlineOver() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// headTimeLeft is how much longer a head may take that has started to arrive on a reused connection, whose idle time
// may end before. The caller holds the lock.
func (c *clientConn) headTimeLeft() time.Duration {
	if !c.reused || !c.awaitsHead() || !c.head.Started() {
		return 0
	}
	return headTimeout - c.head.Age()
}

// closeCause is why the reader ends the connection. The caller holds the lock.
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

// clientState tells whether the client has closed the connection. A client that only ended its sending cannot be told
// from one that did, and counts as gone. net/http notices a disconnect by reading on, but not behind unread bytes of a
// body or of a next request, nor while the process is suspended or busy.
func (c *clientConn) clientState() guard.ClientState {
	if c == nil {
		return guard.ClientConnected
	}
	return peerState(c.Conn)
}
