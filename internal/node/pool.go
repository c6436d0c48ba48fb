// The pool of connections to servers.

package node

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"keelusher/internal/metrics"
)

const (
	maxResponseHead = 16 << 10 // in bytes, including the interim responses before it

	// minStreamTimeout is how long a server may pause within a streamed response, also where idle connections are closed
	// sooner.
	minStreamTimeout = 5 * time.Second
)

var (
	errPoolClosed      = errors.New("the node is shutting down")
	errConnectionLimit = errors.New("the limit on connections to servers is reached")
)

// endpoint is a server process at an address: a server that is restarted or moved becomes a new endpoint.
type endpoint struct {
	id          string
	addr        string
	startedAt   time.Duration // by discovery's clock, as listed
	unavailable atomic.Bool   // the endpoint is draining or removed: no attempt may be sent to it
	removedAt   atomicTime    // when the node learned that it is unavailable

	// respondsLate is set once the server has sent unexpected bytes long after a response. From then on each of its
	// connections carries only one request.
	respondsLate atomic.Bool

	idle []*serverConn // ordered by last use, the most recent last; guarded by pool.mu
}

// pool holds the connections to servers, each of which carries one request at a time. It does not use http.Transport,
// which retries a request by itself when a reused connection breaks, and so could run a non-idempotent request twice.
type pool struct {
	clock            clock
	dialer           net.Dialer
	idleTimeout      time.Duration
	streamTimeout    time.Duration // for each read of a streamed response
	results          chan<- attemptOutcome
	requestsWritten  chan<- requestWritten
	responsesStarted chan<- responseStarted
	metrics          *metrics.Recorder
	staleness        *stalenessMonitor // of the endpoint list
	buffers          buffers

	decisions    *metrics.Decisions
	removalGrace time.Duration // how long an endpoint may still get attempts after the node learned of its removal

	nonIdempotent map[string]bool // the names of the classes whose requests are not idempotent

	mu      sync.Mutex
	limit   int // the maximum number of connections, including those being established
	open    map[*serverConn]bool
	dialing int
	closed  bool
	idle    *list.List     // of *serverConn, ordered by last use, the least recent first
	running sync.WaitGroup // the goroutines of attempts and of readResponses
}

func newPool(cfg Config, limit int, l *eventLoop, b buffers) *pool {
	return &pool{
		clock:            l.clock,
		dialer:           net.Dialer{Timeout: cfg.connectTimeout, KeepAlive: -1},
		idleTimeout:      cfg.connectionIdleTimeout / 2,
		streamTimeout:    max(cfg.connectionIdleTimeout, minStreamTimeout),
		results:          l.attemptResults,
		requestsWritten:  l.requestsWritten,
		responsesStarted: l.responsesStarted,
		metrics:          l.metrics,
		buffers:          b,
		decisions:        l.decisions,
		removalGrace:     cfg.removalGrace,
		nonIdempotent:    nonIdempotentClasses(cfg.Settings.Classes),
		limit:            limit,
		open:             map[*serverConn]bool{},
		idle:             list.New(),
	}
}

// acquire returns an idle connection for an attempt, or a new one if no idle one can be used.
func (p *pool) acquire(att *attempt) (*serverConn, error) {
	deadline := p.clock.at(att.deadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.acquireIdle(att, deadline); c != nil {
		return c, nil
	}
	if !p.evictIdle() {
		return nil, fmt.Errorf("connect to endpoint %s: %w", att.endpoint.id, errConnectionLimit)
	}
	p.dialing++
	p.mu.Unlock()
	dialer := p.dialer
	dialer.Deadline = deadline
	connected, err := dialer.Dial("tcp", att.endpoint.addr)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint %s: %w", att.endpoint.id, err)
	}
	return p.add(connected, att.endpoint, deadline)
}

// full reports whether the limit on connections is reached. The caller holds p.mu.
func (p *pool) full() bool { return len(p.open)+p.dialing >= p.limit }

// evictIdle closes the least recently used idle connections until the limit permits a new connection. It returns false
// if the limit still does not permit one, because too many connections are in use. The caller holds p.mu.
func (p *pool) evictIdle() bool {
	for p.full() && p.idle.Len() > 0 {
		p.idle.Front().Value.(*serverConn).transition(serverConnDropped)
	}
	return !p.full()
}

// add adds a new connection to the pool, in use by an attempt, and starts its reader. The caller holds p.mu.
func (p *pool) add(connected net.Conn, e *endpoint, deadline time.Time) (*serverConn, error) {
	if p.closed { // shutdown has already closed all connections of the pool
		connected.Close()
		return nil, fmt.Errorf("connect to endpoint %s: %w", e.id, errPoolClosed)
	}
	c, err := newServerConn(connected, p, e, deadline)
	if err != nil {
		connected.Close()
		return nil, err
	}
	p.open[c] = true
	c.setDeadline(deadline)
	p.running.Add(1)
	go func() { // ends with the connection
		defer p.running.Done()
		c.readResponses()
	}()
	return c, nil
}

// setLimit changes the limit on connections. Connections in excess of a lower limit stay open.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// setDeadline sets the deadline of a connection in use. The zero time means no deadline.
func (p *pool) setDeadline(c *serverConn, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.setDeadline(deadline)
}

// deadlineOf returns the deadline of a connection in use; the zero time means that there is none.
func (p *pool) deadlineOf(c *serverConn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.deadline
}

// setClientDeadline records when the client of the request on a connection stops waiting; the zero time means that this
// is not known yet.
func (p *pool) setClientDeadline(c *serverConn, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.clientDeadline = deadline
}

// clientDeadlineOf returns when the client of the request on a connection stops waiting; the zero time means that this
// is not known yet.
func (p *pool) clientDeadlineOf(c *serverConn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.clientDeadline
}

// setDeadline sets the deadline of reads and writes; the zero time means none. The error is ignored: it occurs only on
// a closed connection, where reads and writes fail too. The caller holds pool.mu.
func (c *serverConn) setDeadline(deadline time.Time) {
	c.deadline = deadline
	_ = c.SetDeadline(deadline)
}

// addIdle makes a connection available to the next attempt. The caller holds p.mu.
func (p *pool) addIdle(c *serverConn) {
	c.endRequest()
	c.setDeadline(time.Now().Add(p.idleTimeout))
	c.idleElement = p.idle.PushBack(c)
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// removeIdle makes a connection unavailable to other attempts. The caller holds p.mu.
func (p *pool) removeIdle(c *serverConn) {
	p.idle.Remove(c.idleElement)
	c.idleElement = nil
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
}

// close closes a connection, unless it is closed already.
func (p *pool) close(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.transition(serverConnDropped)
}

// closeIdle closes the idle connections of an endpoint that gets no further attempts.
func (p *pool) closeIdle(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.dropIdle()
}

// shutdown closes all connections and waits until every attempt has ended. It must be called only after the requests of
// these attempts have been answered or abandoned.
func (p *pool) shutdown() {
	p.mu.Lock()
	p.closed = true
	for c := range p.open {
		c.transition(serverConnDropped)
	}
	p.mu.Unlock()
	p.running.Wait()
}
