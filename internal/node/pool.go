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

const maxResponseHead = 16 << 10 // with the interim responses before it

var (
	errPoolClosed      = errors.New("the node is shutting down")
	errConnectionLimit = errors.New("the limit on connections to servers is reached")
)

// endpoint is a server at one address, from one start of it to the next.
type endpoint struct {
	id          string
	addr        string
	startedAt   time.Duration // by the clock of the list
	unavailable atomic.Bool   // draining or removed: no attempt may be sent to it
	removedAt   atomicTime    // when the node learned of that

	// respondsLate is set once it has sent late bytes that no request asked for: its connections carry one request each.
	respondsLate atomic.Bool

	idle []*serverConn // guarded by pool.mu, the most recently used last
}

// pool keeps the connections to servers, with one request at a time on each. It does not use http.Transport, which
// sends a request again by itself when a reused connection breaks, and so could run one twice that is not idempotent.
type pool struct {
	clock            clock
	dialer           net.Dialer
	idleTimeout      time.Duration
	streamTimeout    time.Duration // for the next bytes of a streamed response
	results          chan<- attemptOutcome
	requestsWritten  chan<- requestWritten
	responsesStarted chan<- responseStarted
	metrics          *metrics.Recorder
	staleness        *stalenessMonitor // of discovery
	buffers          buffers

	decisions    *metrics.Decisions
	removalGrace time.Duration // for so long after its removal is known, an endpoint may still get attempts

	nonIdempotent map[string]bool // by class

	mu      sync.Mutex
	limit   int // on connections
	open    map[*serverConn]bool
	dialing int
	closed  bool
	idle    *list.List     // of *serverConn, the least recently used first
	running sync.WaitGroup // attempts and readers
}

func newPool(cfg Config, limit int, l *eventLoop, b buffers) *pool {
	return &pool{
		clock:            l.clock,
		dialer:           net.Dialer{Timeout: cfg.connectTimeout, KeepAlive: -1},
		idleTimeout:      cfg.connectionIdleTimeout / 2,
		streamTimeout:    cfg.connectionIdleTimeout,
		results:          l.attemptResults,
		requestsWritten:  l.requestsSent,
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

// acquire returns a connection for an attempt: an idle one, else a new one.
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

// full reports whether the limit on connections is reached. The caller holds the lock.
func (p *pool) full() bool { return len(p.open)+p.dialing >= p.limit }

// evictIdle closes the least recently used connections until there is room for a new one. It fails if the others are
// all busy. The caller holds the lock.
func (p *pool) evictIdle() bool {
	for p.full() && p.idle.Len() > 0 {
		p.idle.Front().Value.(*serverConn).transition(serverConnDropped)
	}
	return !p.full()
}

// add takes a new connection into the pool, in use, and starts its reader. The caller holds the lock.
func (p *pool) add(connected net.Conn, e *endpoint, deadline time.Time) (*serverConn, error) {
	if p.closed { // shutdown has closed the connections that it knew
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

// setLimit changes the limit on connections. Open ones beyond it stay until they end.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// setDeadline changes the deadline of a connection in use.
func (p *pool) setDeadline(c *serverConn, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.setDeadline(deadline)
}

// setDeadline changes the deadline of reads and writes. The caller holds pool.mu. The error is ignored: it fails only
// on a closed connection, and so do these.
func (c *serverConn) setDeadline(deadline time.Time) {
	c.deadline = deadline
	_ = c.SetDeadline(deadline)
}

// addIdle makes a connection available to the next attempt. The caller holds the lock.
func (p *pool) addIdle(c *serverConn) {
	c.endRequest()
	c.setDeadline(time.Now().Add(p.idleTimeout))
	c.idleElement = p.idle.PushBack(c)
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// removeIdle makes a connection unavailable to other attempts. The caller holds the lock.
func (p *pool) removeIdle(c *serverConn) {
	p.idle.Remove(c.idleElement)
	c.idleElement = nil
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
}

// close closes a connection. Further calls do nothing.
func (p *pool) close(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.transition(serverConnDropped)
}

// retire closes the idle connections of an endpoint that gets no attempts any more.
func (p *pool) retire(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.dropIdle()
}

// shutdown closes all connections and waits until every attempt has ended. Their requests have been answered or
// abandoned by then.
func (p *pool) shutdown() {
	p.mu.Lock()
	p.closed = true
	for c := range p.open {
		c.transition(serverConnDropped)
	}
	p.mu.Unlock()
	p.running.Wait()
}
