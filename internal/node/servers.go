package node

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxBufferedBody = 64 << 10 // of a request or an answer
	maxResponseHead = 16 << 10 // of an answer, with the interim ones before it
)

// endpoint is a server at one address, from one start of it to the next.
type endpoint struct {
	id          string
	addr        string
	startedAt   time.Duration
	unavailable atomic.Bool // it drains or is gone: nothing new may go to it

	removedAt atomicTime // when the node heard of that

	idle []*conn // guarded by pool.mu, the newest last
}

// pool keeps the connections to servers, one request at a time on each. It is own code since
// http.Transport sends a request again by itself when a kept connection breaks, which could run
// an unsafe one twice.
type pool struct {
	clock            clock
	dialer           net.Dialer
	idleTimeout      time.Duration
	streamTimeout    time.Duration // a server that gives nothing more of a long answer for so long is gone
	results          chan<- attemptOutcome
	requestsWritten  chan<- requestWritten
	responsesStarted chan<- responseStarted
	stats            *metrics
	staleness        *stalenessMonitor // of discovery
	buffers          buffers

	decisions    *decisions
	removalGrace time.Duration // so long after the news a server that drains or is gone may still get something new

	mu      sync.Mutex
	limit   int // connections at once
	open    map[*conn]bool
	dialing int        // connections that are coming up
	closed  bool       // the node ends
	idle    *list.List // of *conn, the oldest first
	running sync.WaitGroup
}

func newPool(cfg Config, most int, l *eventLoop, b buffers) *pool {
	return &pool{clock: l.clock, dialer: net.Dialer{Timeout: cfg.connectTimeout, KeepAlive: -1},
		idleTimeout: cfg.connectionIdleTimeout / 2, streamTimeout: cfg.connectionIdleTimeout, limit: most, buffers: b,
		results: l.attemptResults, requestsWritten: l.requestsSent, responsesStarted: l.responsesStarted, stats: l.metrics,
		decisions: l.decisions, removalGrace: cfg.removalGrace,
		open: map[*conn]bool{}, idle: list.New()}
}

var errPoolClosed = errors.New("the node ends")

var errConnectionLimit = errors.New("no socket left for another connection")

// minIdlePeriod is how long a connection rests between an answer and the next request. A server may answer twice, the second
// time some milliseconds late, and answers carry nothing by which the next request's could be told from it.
const minIdlePeriod = 20 * time.Millisecond

// pickIdle gives an idle connection that has pickIdle for long enough, the newest of these, else the one that comes to it
// next, and how long that still takes. The caller holds the lock, and there is one.
func (t *endpoint) pickIdle(now time.Time) (c *conn, wait time.Duration) {
	for _, c := range slices.Backward(t.idle) {
		if now.Sub(c.parked) >= minIdlePeriod {
			return c, 0
		}
	}
	c = t.idle[0] // the longest parked
	return c, minIdlePeriod - now.Sub(c.parked)
}

// acquire gives an idle connection, else opens one.
func (p *pool) acquire(att *attempt) (*conn, error) {
	t, deadline := att.endpoint, p.clock.at(att.deadline)
	p.mu.Lock()
	for len(t.idle) > 0 {
		c, wait := t.pickIdle(time.Now())
		if wait > 0 && len(p.open)+p.dialing < p.limit {
			break // a new one is worth more than the wait
		}
		p.removeIdle(c)
		c.deadline = deadline
		c.SetDeadline(deadline)
		if wait > 0 {
			p.mu.Unlock()
			time.Sleep(wait)
			p.mu.Lock()
		}
		if !c.dead && c.claim() {
			p.mu.Unlock()
			return c, nil
		}
		p.stats.update(func(c *counters) { c.staleConnections++ })
		p.closeLocked(c) // nothing of this attempt was on it
	}
	for len(p.open)+p.dialing >= p.limit && p.idle.Len() > 0 {
		p.closeLocked(p.idle.Front().Value.(*conn))
	}
	if len(p.open)+p.dialing >= p.limit {
		p.mu.Unlock()
		return nil, errConnectionLimit
	}
	p.dialing++
	p.mu.Unlock()

	d := p.dialer
	d.Deadline = deadline
	nc, err := d.Dial("tcp", t.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil && p.closed { // shut has closed all that it knew of
		nc.Close()
		err = errPoolClosed
	}
	if err != nil {
		return nil, err
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &conn{Conn: nc, raw: raw, pool: p, target: t, asked: true,
		replies: make(chan reply, 1), deadline: deadline, gone: make(chan struct{})}
	c.in = &io.LimitedReader{R: c}
	c.br = bufio.NewReaderSize(c.in, 4<<10)
	p.open[c] = true
	nc.SetDeadline(deadline)
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		c.read()
	}()
	return c, nil
}

// setLimit changes how many connections there may be. What is open beyond them stays until it ends.
func (p *pool) setLimit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = most
}

// setDeadline changes until when a connection in use waits.
func (p *pool) setDeadline(c *conn, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.deadline = t
	c.SetDeadline(t)
}

// release puts a connection by for the next attempt.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead {
		return
	}
	if c.target.unavailable.Load() {
		p.closeLocked(c)
		return
	}
	c.rest()
	c.deadline = time.Now().Add(p.idleTimeout)
	c.SetDeadline(c.deadline)
	c.place, c.parked = p.idle.PushBack(c), time.Now()
	c.target.idle = append(c.target.idle, c)
}

// removeIdle takes a connection from the idle ones. The caller holds the lock.
func (p *pool) removeIdle(c *conn) {
	p.idle.Remove(c.place)
	c.place = nil
	for i, o := range c.target.idle {
		if o == c {
			c.target.idle = append(c.target.idle[:i], c.target.idle[i+1:]...)
			break
		}
	}
}

func (p *pool) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *pool) closeLocked(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	close(c.gone)
	if c.place != nil {
		p.removeIdle(c)
	}
	c.Close()
	delete(p.open, c)
}

// retire closes the idle connections to a server that gets nothing new.
func (p *pool) retire(t *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(t.idle) > 0 {
		p.closeLocked(t.idle[len(t.idle)-1])
	}
}

// shutdown closes all connections and waits until every attempt has ended. What is still out then is for
// callers that have their answer or are gone.
func (p *pool) shutdown() {
	p.mu.Lock()
	p.closed = true
	for c := range p.open {
		p.closeLocked(c)
	}
	p.mu.Unlock()
	p.running.Wait()
}
