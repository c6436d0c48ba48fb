// Package node is the real node round the decision module: it takes callers' requests over HTTP,
// carries the module's actions out on sockets and tells it what happened.
//
// The loop (this file) owns the Balancer and decides every final answer; client_handler.go is the
// HTTP handler, pool.go and attempt.go the attempts and their connections, discovery.go the watch of the server list.
package node

import (
	"container/heap"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"keelusher/policy"
	"keelusher/policy/guard"

	"golang.org/x/time/rate"
)

// sender carries attempts to servers. No method may block.
type sender interface {
	start(*attempt)
	retire(*endpoint)
}

// loop feeds the Balancer from one goroutine and carries out its actions.
type loop struct {
	clock     clock
	log       *slog.Logger
	bal       *policy.Balancer
	sender    sender
	subscribe func()    // asks discovery for a watch; must not block
	staleness *stalenessMonitor // of discovery; nil: there is none

	lists    chan news
	arrivals chan *clientRequest
	gone     chan *clientRequest
	results  chan attemptOutcome
	sents    chan requestWritten
	begins   chan responseStarted
	peers    chan policy.ReplicaCounts     // holds the newest word of the mesh
	ordered  chan map[string]time.Duration // holds the zones that overrides send away, with their ends
	asks     chan func()                   // run here; must not block
	stop     chan struct{}

	calls     map[string]*clientRequest
	targets   map[string]*endpoint
	wakes     wakeHeap
	stats     *metrics
	decisions *decisions
	out       int // attempts without an ending
	turns     int // of zones, as of the last look
	zones     map[string]policy.ZoneState
	lines     *rate.Limiter            // of zones in the log
	quiet     int                      // of these that were left out
	usable    atomic.Bool              // some listed server is in service
	byHand    map[string]bool          // zones ordered away at this node's door
	until     map[string]time.Duration // zones that overrides send away, and when each ends
}

func newLoop(ck clock, log *slog.Logger, bal *policy.Balancer, st *metrics) *loop {
	return &loop{clock: ck, log: log, bal: bal, stats: st, decisions: newDecisions(log),
		lists: make(chan news), arrivals: make(chan *clientRequest), gone: make(chan *clientRequest),
		results: make(chan attemptOutcome), sents: make(chan requestWritten), begins: make(chan responseStarted), peers: make(chan policy.ReplicaCounts, 1), ordered: make(chan map[string]time.Duration, 1), byHand: map[string]bool{}, asks: make(chan func()), stop: make(chan struct{}),
		zones: map[string]policy.ZoneState{}, lines: rate.NewLimiter(zoneLines, 2*zoneLines), calls: map[string]*clientRequest{}, targets: map[string]*endpoint{}}
}

// run handles events until stop is closed. Senders on the channels may wait; the loop never does.
func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		// News of the servers goes ahead of waiting traffic: the grace of a drain is running.
		select {
		case n := <-l.lists:
			l.takeNews(n)
			continue
		default:
		}
		for len(l.wakes) > 0 && l.wakes[0].At <= l.clock.now() {
			l.catchUp()
			w := heap.Pop(&l.wakes).(policy.SetTimer)
			l.handle(policy.TimerFired{Token: w.Token})
		}
		wait := time.Hour
		if len(l.wakes) > 0 {
			wait = l.wakes[0].At - l.clock.now()
		}
		timer.Reset(wait)
		select {
		case p := <-l.peers:
			l.handle(p)
		case o := <-l.ordered:
			l.takeOrders(o)
		case n := <-l.lists:
			l.takeNews(n)
		case c := <-l.arrivals:
			l.catchUp()
			l.takeCall(c)
		case c := <-l.gone:
			l.catchUp()
			l.leave(c)
			l.forget(c)
		case r := <-l.results:
			l.catchUp()
			l.takeResult(r)
		case s := <-l.sents:
			l.takeSent(s)
		case b := <-l.begins:
			l.takeBegun(b)
		case f := <-l.asks:
			f()
		case <-timer.C:
		case <-report.C:
			l.stats.logReport(l.log, l.out)
		case <-l.stop:
			l.stats.logReport(l.log, l.out)
			return
		}
	}
}

// catchUp takes news before anything else once the process has slept: some of it may be overdue.
func (l *loop) catchUp() {
	for l.staleness.holdSends() {
		select {
		case n := <-l.lists:
			l.takeNews(n)
		case <-time.After(resumeQuietPeriod / 10):
		case <-l.stop:
			return
		}
	}
}

// handle gives one event to the module and carries out what it answers.
func (l *loop) handle(e policy.Event) {
	now := l.clock.now()
	l.endOrders(now)
	l.carry(now, e)
}

func (l *loop) carry(now time.Duration, e policy.Event) {
	for _, a := range l.bal.Handle(now, e) {
		switch a := a.(type) {
		case policy.SendAttempt:
			l.send(now, a)
		case policy.Reject:
			l.turnAway(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter}, a.Reason)
		case policy.Fail:
			l.turnAway(a.ID, response{status: http.StatusBadGateway}, a.Reason)
		case policy.SetTimer:
			heap.Push(&l.wakes, a)
		case policy.WatchEndpoints:
			l.subscribe()
		}
	}
	if l.bal.ZoneTransitions() != l.turns {
		l.logZones()
	}
}

func (l *loop) takeCall(c *clientRequest) {
	// An id still in use would be taken by the module for the request that it has, and never answered. Where only
	// attempts hold it whose client has gone, that client is here again: what may be repeated is refused, so that it
	// comes once more; of the rest it must not think that nothing has run.
	if held := l.calls[c.meta.ID]; held != nil {
		status := http.StatusConflict
		if held.finished.Load() && c.method == http.MethodGet {
			status = http.StatusServiceUnavailable
		}
		l.stats.countInvalidRequest("X-Call-Id is in use")
		c.bodyMemory.release()
		c.responses <- response{status: status}
		return
	}
	l.calls[c.meta.ID] = c
	if c.bodyStream == nil {
		l.count(c)
	}
	l.handle(c.meta)
}

// count counts a call as taken: when its last byte is there, or when it has its answer before that.
func (l *loop) count(c *clientRequest) {
	if !c.counted {
		c.counted = true
		l.stats.update(func(c *counters) { c.requests++ })
	}
}

// leave ends a call whose client is gone, if it has not ended yet.
func (l *loop) leave(c *clientRequest) bool {
	if c.finished.Swap(true) {
		return false
	}
	c.disconnectedAt.set(l.clock.now())
	if c.counted {
		l.stats.update(func(c *counters) { c.clientDisconnects++ })
	}
	l.handle(policy.ClientDisconnected{ID: c.meta.ID})
	return true
}

// giveUp gives every call that is open its final answer now.
func (l *loop) giveUp() {
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		l.handle(policy.ShutdownDeadline{ID: id})
	}
}

// takeSent starts the time of a request that came piece by piece.
func (l *loop) takeSent(s requestWritten) {
	c := s.attempt.request
	c.deadline = s.writtenAt + c.budget
	if !c.finished.Load() {
		l.count(c)
	}
	l.handle(policy.RequestSent{ID: c.meta.ID, Attempt: s.attempt.number, Deadline: c.deadline})
}

// takeBegun gives a long answer to the caller as it comes. It is counted when it has ended.
func (l *loop) takeBegun(b responseStarted) {
	c := b.attempt.request
	if c.finished.Swap(true) {
		b.response.discard()
		return
	}
	l.handle(policy.ResponseStarted{ID: c.meta.ID, Attempt: b.attempt.number})
	c.responses <- b.response
}

func (l *loop) send(now time.Duration, a policy.SendAttempt) {
	c := l.calls[a.ID]
	if c == nil {
		l.log.Error("send for an unknown request", "id", a.ID)
		return
	}
	att := &attempt{request: c, number: c.attemptCount, endpoint: l.targets[a.Endpoint],
		timeout: a.Timeout, deadline: min(now+a.Timeout, c.deadline), retryBefore: a.RetryBefore}
	if att.endpoint == nil { // no such server any more: the attempt ends unsent
		att.endpoint = &endpoint{id: a.Endpoint}
		att.endpoint.unavailable.Store(true)
	}
	c.attemptCount++
	c.inFlight++
	l.out++
	l.sender.start(att)
}

// turnAway gives the one final answer of a request that the module refuses or fails; later ones go nowhere.
func (l *loop) turnAway(id string, a response, why guard.Verdict) {
	c := l.calls[id]
	if c == nil || c.finished.Swap(true) {
		return
	}
	l.decisions.requestRejected(id, a.status, c.attemptCount, why)
	c.responses <- a
	l.count(c)
	l.stats.countAnswer(c.meta.Class, a.status, c.attemptCount)
	l.forget(c)
}

// forget drops a call that is closed and has no attempt out.
func (l *loop) forget(c *clientRequest) {
	if c.finished.Load() && c.inFlight == 0 && l.calls[c.meta.ID] == c {
		delete(l.calls, c.meta.ID)
		c.bodyMemory.release()
	}
}

func (l *loop) takeResult(r attemptOutcome) {
	c := r.attempt.request
	c.inFlight--
	l.out--
	l.stats.countAttemptResult(r.attempt.endpoint.id, r.result, l.clock.now()-r.attempt.startedAt, r.err)
	if r.notSentReason == guard.ClientLeft && l.leave(c) {
		c.responses <- abortResponse
	}
	var spent bool
	if c.bodyStream != nil && !c.finished.Load() {
		spent = c.bodyStream.consumed.Load()
		if why := c.bodyStream.failure(); why != nil { // no server is to blame, and no other would get more of it
			l.leave(c)
			c.responses <- response{status: http.StatusRequestTimeout}
		}
	}
	switch {
	case r.streamed:
		l.count(c)
		l.stats.countAnswer(c.meta.Class, r.response.status, c.attemptCount)
	case r.result == policy.Success && !c.finished.Swap(true):
		l.count(c)
		l.stats.countAnswer(c.meta.Class, http.StatusOK, c.attemptCount)
		c.responses <- r.response
	default:
		r.response.discard()
	}
	l.handle(policy.AttemptEnded{ID: c.meta.ID, Attempt: r.attempt.number, Endpoint: r.attempt.endpoint.id, Result: r.result,
		Latency: l.clock.now() - r.attempt.startedAt, Answered: c.finished.Load(), BodyConsumed: spent, Load: r.load})
	l.forget(c)
}

// takeNews updates the servers' addresses, stops what must get nothing new, then tells the module.
func (l *loop) takeNews(n news) {
	if n.failed {
		l.handle(policy.DiscoveryFailed{})
		return
	}
	e := policy.EndpointUpdate{Snapshot: n.list.Whole, Cached: n.cached}
	listed := map[string]bool{}
	for _, h := range n.list.Hosts {
		s := h.server()
		e.Endpoints = append(e.Endpoints, s)
		listed[h.Host] = true
		old := l.targets[h.Host]
		if s.State != policy.Ready {
			l.drop(h.Host)
			continue
		}
		// A server that moved or started anew shares no connection with the one before.
		if old == nil || old.addr != h.Dial || old.startedAt != s.StartedAt {
			l.drop(h.Host)
			l.targets[h.Host] = &endpoint{id: h.Host, addr: h.Dial, startedAt: s.StartedAt}
		}
	}
	if n.list.Whole {
		for id := range l.targets {
			if !listed[id] {
				l.drop(id)
			}
		}
	}
	l.handle(e)
	l.usable.Store(len(l.targets) > 0)
}

// drop stops all sends to a server, those that wait for a connection among them.
func (l *loop) drop(id string) {
	if t := l.targets[id]; t != nil {
		t.unavailable.Store(true)
		t.removedAt.set(l.clock.now())
		l.sender.retire(t)
		delete(l.targets, id)
	}
}
