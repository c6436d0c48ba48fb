// The listener for clients: the limit on their connections, and the eviction of those without a request.

package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/metrics"
)

// limitedListener admits a limited number of connections at once. At the limit a further connection evicts the one
// that has been without a request's head for longest, else the one whose body has been arriving for longest: clients
// must not wait behind peers that send nothing, half a head or half a body. The reader of the evicted connection ends
// it, since it alone knows whether a whole request has arrived meanwhile; such a request is served, and another
// connection is evicted. The listener is safe for concurrent use.
type limitedListener struct {
	net.Listener
	metrics   *metrics.Recorder
	decisions *metrics.Decisions
	closing   chan struct{} // closed by Close
	aborting  atomic.Bool   // the node ends: open connections are closed at once

	mu           sync.Mutex
	changed      *sync.Cond // signaled when a connection has been closed or may be evicted
	limit        int        // on admitted connections
	admitted     int
	closed       bool
	awaitingHead *list.List  // of *clientConn, the longest waiting first
	awaitingBody *list.List  // of *clientConn, the longest waiting first
	evicting     *clientConn // its reader is to end it; nil: none
}

func newLimitedListener(ln net.Listener, limit int, m *metrics.Recorder, d *metrics.Decisions) *limitedListener {
	l := &limitedListener{
		Listener:     ln,
		metrics:      m,
		decisions:    d,
		closing:      make(chan struct{}),
		limit:        limit,
		awaitingHead: list.New(),
		awaitingBody: list.New(),
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept waits for a connection, and until the limit admits it.
func (l *limitedListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptWithBackoff()
	if err != nil {
		return nil, err
	}
	acceptedAt := time.Now()
	l.metrics.Update(func(c *metrics.Counters) { c.AcceptedConnections++ })
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.admitted >= l.limit && !l.closed {
		l.evictOne()
		l.changed.Wait()
	}
	l.admitted++
	return newClientConn(accepted, l, acceptedAt), nil
}

// acceptWithBackoff accepts a connection, and retries after errors that pass. It fails only when the listener can
// accept no more: http.Server.Serve, and the node with it, would end on each error that Go does not call temporary,
// such as ENOBUFS.
func (l *limitedListener) acceptWithBackoff() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		accepted, err := l.Listener.Accept()
		if err == nil || endsListener(err) {
			return accepted, err
		}
		l.decisions.AcceptFailed(err)
		if !isShortage(err) { // it concerns that connection only
			backoff = minAcceptBackoff
		}
		select {
		case <-time.After(backoff):
		case <-l.closing:
			return nil, net.ErrClosed
		}
	}
}

// evictOne asks the reader of one connection to end it, unless another is being evicted. The caller holds the lock
// and waits for changed, which is signaled when the connection is closed or has a request.
func (l *limitedListener) evictOne() {
	oldest := l.awaitingHead.Front()
	if oldest == nil {
		oldest = l.awaitingBody.Front()
	}
	if oldest == nil || l.evicting != nil {
		return
	}
	l.metrics.Update(func(c *metrics.Counters) { c.EvictedConnections++ })
	l.evicting = oldest.Value.(*clientConn)
	l.evicting.interruptRead()
}

// Close ends the accepting. Admitted connections stay open.
func (l *limitedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		close(l.closing)
	}
	l.closed = true
	l.changed.Broadcast()
	return l.Listener.Close()
}

// setLimit changes the limit. Admitted connections beyond it stay until they end.
func (l *limitedListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.changed.Broadcast()
}

// connStateChanged is called by the HTTP server. Of its states only StateIdle matters: that bytes of a request have
// arrived is no reason to keep a connection, and recordHeadRead is called when its head has.
func (l *limitedListener) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.transition(responseWritten)
}

// closeIdle ends the connections that have been without a request for an age at least. Their readers end them, since
// nobody else knows whether a request has arrived meanwhile.
func (l *limitedListener) closeIdle(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.awaitingHead.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if time.Since(c.listedSince) < age {
			return
		}
		c.closeRequested = true
		c.interruptRead()
	}
}

// openConnections is the number of admitted connections.
func (l *limitedListener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted
}

// clientConnKey finds the connection in the context of its requests.
type clientConnKey struct{}

// clientConnOf is the connection of a request; nil: it has none of a limitedListener's.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// headOf is the head of a request as its connection read it; nil: not known.
func headOf(r *http.Request) *inbound.Head {
	if c := clientConnOf(r); c != nil {
		return &c.head
	}
	return nil
}

// recordHeadRead records that the head of a request has been read. It reports whether the connection is still open: the
// connection may have been evicted since the read, and the request could not be answered.
func recordHeadRead(r *http.Request) (open bool) { return recordProgress(r, headRead) }

// recordRequestRead records that a request has been read, or that the remainder is about to be streamed: from now on
// until its response the connection is not evicted. It reports whether the connection is still open.
func recordRequestRead(r *http.Request) (open bool) { return recordProgress(r, requestRead) }

func recordProgress(r *http.Request, event clientConnEvent) (open bool) {
	c := clientConnOf(r)
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.transition(event)
	return c.state != clientConnClosed
}

// firstBodyByteDue is how soon the first bytes of a request's body have to arrive.
func firstBodyByteDue(r *http.Request) time.Duration {
	c := clientConnOf(r)
	if c == nil {
		return firstBodyByteTimeout
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.reused {
		return firstBodyByteTimeout
	}
	return min(firstBodyByteTimeout, headAndBodyTimeout-time.Since(c.acceptedAt))
}
