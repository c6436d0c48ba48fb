// A client's connection as the HTTP server sees it, and how it is closed.

package node

import (
	"container/list"
	"io"
	"net"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/metrics"
	"keelusher/policy/guard"
)

const (
	lingerTimeout  = 250 * time.Millisecond // wait for the client to close its end of a connection with unread bytes
	maxLingerBytes = 256 << 10              // limit on the bytes that are discarded within lingerTimeout

	// maxUnreadBehind is the number of unread bytes behind a request up to which the end of the stream is sure to have
	// room in the receive window, which has 64 KiB at least.
	maxUnreadBehind = 32 << 10
)

// clientConn is a client's connection. Its listener counts it until it is closed. It is safe for concurrent use.
type clientConn struct {
	net.Conn
	listener *limitedListener

	acceptedAt time.Time
	pacer      requestPacer
	body       bodyClock
	framer     inbound.Framer // divides the bytes that have been read into requests

	// Guarded by listener.mu.
	state          clientConnState
	list           *list.List    // the list of the listener that holds element
	element        *list.Element // nil if the connection cannot be evicted
	listedSince    time.Time
	reused         bool              // a response has been written to the connection before
	idleSince      time.Time         // when its last response was written; zero if it had none
	headMemory     memoryReservation // for the head of the current request
	closeRequested bool              // the reader has to close the connection unless a request has begun to arrive
	readDeadline   time.Time         // of the HTTP server's read; zero if it has none
	writeDeadline  time.Time         // of the HTTP server's writes; zero if it has none
}

// newClientConn wraps an accepted connection. The caller holds the listener's lock.
func newClientConn(accepted net.Conn, l *limitedListener, acceptedAt time.Time) *clientConn {
	c := &clientConn{
		Conn:       accepted,
		listener:   l,
		acceptedAt: acceptedAt,
		framer:     inbound.Framer{MaxHead: l.maxHead},
		headMemory: memoryReservation{budget: l.heads},
		state:      clientConnIdle,
	}
	c.enterList(l.awaitingHead)
	return c
}

// Close is called by the HTTP server. Closing a socket that has unread bytes, such as those of the next request, resets
// the connection, and the client loses the part of the response that it has not received yet. Such bytes are therefore
// read first, after the sending direction has been shut down. An expired connection has no response in flight and may
// be reset: the client retries a request that was not read.
func (c *clientConn) Close() error {
	if expired := c.startClose(); !expired && !c.listener.aborting.Load() && hasUnreadBytes(c.Conn) {
		c.linger()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.endClose()
}

// endRequest prepares the connection for its next request, after the response to the previous one has been written.
func (c *clientConn) endRequest() {
	c.framer.EndRequest()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.headMemory.release()
	c.transition(responseWritten)
}

// startClose begins the close and reports whether the connection was in the state clientConnExpired before.
func (c *clientConn) startClose() (expired bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	expired = c.state == clientConnExpired
	if c.awaitsHead() && c.framer.Partial() {
		c.listener.metrics.Update(func(c *metrics.Counters) { c.IncompleteHeads++ })
	}
	c.transition(closeStarted)
	return expired
}

// linger shuts down the sending direction and discards what the client still sends, usually until the client closes its
// end. Errors are ignored: each of them means that the connection has already ended.
func (c *clientConn) linger() {
	_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// endClose closes the socket. The caller holds the lock, so that no further connection is admitted while the descriptor
// is still in use.
func (c *clientConn) endClose() error {
	if c.state == clientConnClosed {
		return net.ErrClosed
	}
	c.transition(closeEnded)
	c.headMemory.release()
	c.listener.admitted--
	c.listener.changed.Signal()
	return c.Conn.Close()
}

// idleFor returns the longest time for which the connection may have been without a request: a client sends its next
// request after it has received the response to the previous one. An unknown connection (nil) may have been idle for
// any time, so the result is then inbound.MaxBudget.
func (c *clientConn) idleFor() time.Duration {
	if c == nil {
		return inbound.MaxBudget
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return time.Since(c.idleSince)
}

// sinceLastBytes returns how long ago the kernel received the last bytes from the client, read or not; 0 if unknown.
func (c *clientConn) sinceLastBytes() time.Duration {
	if c == nil {
		return 0
	}
	return sinceLastBytes(c.Conn)
}

// clientState reports whether the client has closed the connection. A client that has shut down only its sending
// direction cannot be distinguished from one that has closed the connection, and counts as disconnected. The background
// read of net/http does not suffice: it misses a disconnect while bytes of a body or of a next request are unread, and
// while the process is suspended or busy. The state is unknown if the client has sent so much behind a whole request
// that the end of the stream need not have found room: a close would be hidden behind it.
func (c *clientConn) clientState(requestComplete bool) guard.ClientState {
	if c == nil {
		return guard.ClientConnected
	}
	state, unread := peerState(c.Conn)
	if state == guard.ClientConnected && requestComplete && unread > maxUnreadBehind {
		return guard.ClientStateUnknown
	}
	return state
}
