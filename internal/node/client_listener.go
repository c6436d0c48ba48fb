// The listener for clients: the limit on their connections, and the eviction of connections without a request.

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

// limitedListener limits the number of connections that are open at once. At the limit, a further connection evicts the
// one that has waited for the head of a request for longest, or if there is none, the one whose body has been arriving
// for longest: a client must not have to wait because other clients send nothing, half a head or half a body. The
// reader of the evicted connection closes it, since only the reader knows whether a complete request has arrived
// meanwhile; such a request is served, and another connection is evicted instead. The listener is safe for concurrent
// use.
type limitedListener struct {
	net.Listener
	metrics   *metrics.Recorder
	decisions *metrics.Decisions
	maxHead   int           // limit of the HTTP server on the size of a request's head
	heads     *memoryBudget // for heads of more than the usual size
	closing   chan struct{} // closed by Close
	aborting  atomic.Bool   // the node stops: connections are closed without lingering

	mu           sync.Mutex
	changed      *sync.Cond // signaled when a connection has been closed or may be evicted
	limit        int        // on admitted connections
	admitted     int
	closed       bool
	awaitingHead *list.List  // of *clientConn, longest waiting first
	awaitingBody *list.List  // of *clientConn, longest waiting first
	evicting     *clientConn // the connection that its reader has been told to close; nil if there is none
}

func newLimitedListener(ln net.Listener, limit int, m *metrics.Recorder, d *metrics.Decisions) *limitedListener {
	l := &limitedListener{
		Listener:     ln,
		metrics:      m,
		decisions:    d,
		maxHead:      inbound.MaxHead,
		heads:        newMemoryBudget(limit * maxHeadMemory),
		closing:      make(chan struct{}),
		limit:        limit,
		awaitingHead: list.New(),
		awaitingBody: list.New(),
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept accepts a connection, and waits until the limit admits it.
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

// acceptWithBackoff accepts a connection, and retries after temporary errors. It returns an error only when the
// listener cannot accept any more: http.Server.Serve, and the node with it, would stop on every error that Go does not
// consider temporary, such as ENOBUFS.
func (l *limitedListener) acceptWithBackoff() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		accepted, err := l.Listener.Accept()
		if err == nil || isFatalAcceptError(err) {
			return accepted, err
		}
		l.decisions.AcceptFailed(err)
		if !isShortage(err) { // the error concerns only that connection
			backoff = minAcceptBackoff
		}
		select {
		case <-time.After(backoff):
		case <-l.closing:
			return nil, net.ErrClosed
		}
	}
}

// evictOne asks the reader of one connection to close it, unless another one is being evicted. The caller holds the
// lock and waits for changed, which is signaled when the connection is closed or has received a request.
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

// Close stops accepting connections. Admitted connections stay open.
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

// setLimit changes the limit on admitted connections. Those beyond a lower limit stay open until they end.
func (l *limitedListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.changed.Broadcast()
}

// connStateChanged is called by the HTTP server when the state of a connection changes. Only StateIdle matters:
// StateActive means that some bytes of a request have arrived, which does not keep a connection from being evicted, and
// recordHeadRead is called when the whole head has arrived.
func (l *limitedListener) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.endRequest()
	time.Sleep(c.pacer.delay()) // the response has been written
}

// closeIdle closes the connections that have waited for a request for at least age. Their readers close them, since
// only a reader knows whether a request has arrived meanwhile.
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

// openConnections returns the number of admitted connections.
func (l *limitedListener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted
}

// servingConnections returns the number of admitted connections that have a request, or are being closed after one.
func (l *limitedListener) servingConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted - l.awaitingHead.Len() - l.awaitingBody.Len()
}

// clientConnKey is the key of a connection in the context of its requests.
type clientConnKey struct{}

// clientConnOf returns the connection of a request; nil if it was not accepted by a limitedListener.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// framerOf returns the framer of a request's connection; nil if the connection is unknown.
func framerOf(r *http.Request) *inbound.Framer {
	if c := clientConnOf(r); c != nil {
		return &c.framer
	}
	return nil
}

// recordHeadRead records that the head of a request has been read. It reports whether the connection is still open: it
// may have been evicted since the read, and the request could then not be answered.
func recordHeadRead(r *http.Request) (open bool) {
	if c := clientConnOf(r); c != nil {
		c.body.start(time.Now())
	}
	return recordProgress(r, headRead)
}

// recordRequestRead records that a request has been read, or that the remainder of its body is about to be streamed:
// the connection is not evicted until the response has been written. It reports whether the connection is still open.
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

// firstBodyByteDue returns the time within which the first bytes of a request's body have to arrive.
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
