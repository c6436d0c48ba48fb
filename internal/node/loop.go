// Package node is the real node round the decision module: it takes callers' requests over HTTP,
// carries the module's actions out on sockets and tells it what happened.
//
// The loop (this file) owns the Balancer and decides every final answer; callers.go is the HTTP
// server, servers.go the attempts and their connections, discovery.go the watch of the server list.
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

// attemptSender carries attempts to servers. No method may block.
type attemptSender interface {
	start(*attempt)
	retire(*endpoint)
}

// eventLoop feeds the Balancer from one goroutine and carries out its actions.
type eventLoop struct {
	clock          clock
	log            *slog.Logger
	balancer       *policy.Balancer
	sender         attemptSender
	watchEndpoints func()            // asks discovery for a watch; must not block
	staleness      *stalenessMonitor // of discovery; nil: there is none

	endpointUpdates  chan watchEvent
	requests         chan *clientRequest
	disconnects      chan *clientRequest
	attemptResults   chan attemptOutcome
	requestsSent     chan requestWritten
	responsesStarted chan responseStarted
	replicaCounts    chan policy.ReplicaCounts     // holds the newest word of the mesh
	overrideUpdates  chan map[string]time.Duration // holds the zones that overrides send away, with their ends
	tasks            chan func()                   // run here; must not block
	stop             chan struct{}

	calls               map[string]*clientRequest
	targets             map[string]*endpoint
	timers              timerHeap
	metrics             *metrics
	decisions           *decisions
	attemptsOut         int // attempts without an ending
	zoneTransitions     int // of zones, as of the last look
	loggedZones         map[string]policy.ZoneState
	zoneLogLimit        *rate.Limiter            // of zones in the log
	suppressedZoneLines int                      // of these that were left out
	hasReadyEndpoint    atomic.Bool              // some listed server is in service
	operatorEvacuations map[string]bool          // zones ordered away at this node's door
	overrideExpiries    map[string]time.Duration // zones that overrides send away, and when each ends
}

func newEventLoop(ck clock, log *slog.Logger, bal *policy.Balancer, st *metrics) *eventLoop {
	return &eventLoop{clock: ck, log: log, balancer: bal, metrics: st, decisions: newDecisions(log),
		endpointUpdates: make(chan watchEvent), requests: make(chan *clientRequest), disconnects: make(chan *clientRequest),
		attemptResults: make(chan attemptOutcome), requestsSent: make(chan requestWritten), responsesStarted: make(chan responseStarted), replicaCounts: make(chan policy.ReplicaCounts, 1), overrideUpdates: make(chan map[string]time.Duration, 1), operatorEvacuations: map[string]bool{}, tasks: make(chan func()), stop: make(chan struct{}),
		loggedZones: map[string]policy.ZoneState{}, zoneLogLimit: rate.NewLimiter(zoneLinesPerSecond, 2*zoneLinesPerSecond), calls: map[string]*clientRequest{}, targets: map[string]*endpoint{}}
}

// run handles events until stop is closed. Senders on the channels may wait; the loop never does.
func (l *eventLoop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		// News of the servers goes ahead of waiting traffic: the grace of a drain is running.
		select {
		case n := <-l.endpointUpdates:
			l.handleWatchEvent(n)
			continue
		default:
		}
		for len(l.timers) > 0 && l.timers[0].At <= l.clock.now() {
			l.awaitPendingUpdates()
			w := heap.Pop(&l.timers).(policy.SetTimer)
			l.handle(policy.TimerFired{Token: w.Token})
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].At - l.clock.now()
		}
		timer.Reset(wait)
		select {
		case p := <-l.replicaCounts:
			l.handle(p)
		case o := <-l.overrideUpdates:
			l.handleOverrides(o)
		case n := <-l.endpointUpdates:
			l.handleWatchEvent(n)
		case c := <-l.requests:
			l.awaitPendingUpdates()
			l.handleRequest(c)
		case c := <-l.disconnects:
			l.awaitPendingUpdates()
			l.disconnect(c)
			l.forget(c)
		case r := <-l.attemptResults:
			l.awaitPendingUpdates()
			l.handleAttemptResult(r)
		case s := <-l.requestsSent:
			l.handleRequestSent(s)
		case b := <-l.responsesStarted:
			l.handleResponseStarted(b)
		case f := <-l.tasks:
			f()
		case <-timer.C:
		case <-report.C:
			l.metrics.logReport(l.log, l.attemptsOut)
		case <-l.stop:
			l.metrics.logReport(l.log, l.attemptsOut)
			return
		}
	}
}

// awaitPendingUpdates takes news before anything else once the process has slept: some of it may be overdue.
func (l *eventLoop) awaitPendingUpdates() {
	for l.staleness.holdSends() {
		select {
		case n := <-l.endpointUpdates:
			l.handleWatchEvent(n)
		case <-time.After(resumeQuietPeriod / 10):
		case <-l.stop:
			return
		}
	}
}

// handle gives one event to the module and carries out what it answers.
func (l *eventLoop) handle(e policy.Event) {
	now := l.clock.now()
	l.expireOverrides(now)
	l.apply(now, e)
}

func (l *eventLoop) apply(now time.Duration, e policy.Event) {
	for _, a := range l.balancer.Handle(now, e) {
		switch a := a.(type) {
		case policy.SendAttempt:
			l.sendAttempt(now, a)
		case policy.Reject:
			l.reject(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter}, a.Reason)
		case policy.Fail:
			l.reject(a.ID, response{status: http.StatusBadGateway}, a.Reason)
		case policy.SetTimer:
			heap.Push(&l.timers, a)
		case policy.WatchEndpoints:
			l.watchEndpoints()
		}
	}
	if l.balancer.ZoneTransitions() != l.zoneTransitions {
		l.logZones()
	}
}

func (l *eventLoop) handleRequest(c *clientRequest) {
	// An id still in use would be taken by the module for the request that it has, and never answered. Where only
	// attempts hold it whose client has gone, that client is here again: what may be repeated is refused, so that it
	// comes once more; of the rest it must not think that nothing has run.
	if held := l.calls[c.meta.ID]; held != nil {
		status := http.StatusConflict
		if held.finished.Load() && c.method == http.MethodGet {
			status = http.StatusServiceUnavailable
		}
		l.metrics.countInvalidRequest("X-Call-Id is in use")
		c.bodyMemory.shrink(0)
		c.responses <- response{status: status}
		return
	}
	l.calls[c.meta.ID] = c
	if c.bodyStream == nil {
		l.countRequest(c)
	}
	l.handle(c.meta)
}

// countRequest counts a call as taken: when its last byte is there, or when it has its answer before that.
func (l *eventLoop) countRequest(c *clientRequest) {
	if !c.counted {
		c.counted = true
		l.metrics.update(func(c *counters) { c.requests++ })
	}
}

// disconnect ends a call whose client is gone, if it has not ended yet.
func (l *eventLoop) disconnect(c *clientRequest) bool {
	if c.finished.Swap(true) {
		return false
	}
	c.disconnectedAt.set(l.clock.now())
	if c.counted {
		l.metrics.update(func(c *counters) { c.clientDisconnects++ })
	}
	l.handle(policy.ClientDisconnected{ID: c.meta.ID})
	return true
}

// failOpenCalls gives every call that is open its final answer now.
func (l *eventLoop) failOpenCalls() {
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		l.handle(policy.ShutdownDeadline{ID: id})
	}
}

// handleRequestSent starts the time of a request that came piece by piece.
func (l *eventLoop) handleRequestSent(s requestWritten) {
	c := s.attempt.request
	c.deadline = s.writtenAt + c.budget
	if !c.finished.Load() {
		l.countRequest(c)
	}
	l.handle(policy.RequestSent{ID: c.meta.ID, Attempt: s.attempt.number, Deadline: c.deadline})
}

// handleResponseStarted gives a long answer to the caller as it comes. It is counted when it has ended.
func (l *eventLoop) handleResponseStarted(b responseStarted) {
	c := b.attempt.request
	if c.finished.Swap(true) {
		b.response.discard()
		return
	}
	l.handle(policy.ResponseStarted{ID: c.meta.ID, Attempt: b.attempt.number})
	c.responses <- b.response
}

func (l *eventLoop) sendAttempt(now time.Duration, a policy.SendAttempt) {
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
	l.attemptsOut++
	l.sender.start(att)
}

// reject gives the one final answer of a request that the module refuses or fails; later ones go nowhere.
func (l *eventLoop) reject(id string, a response, why guard.Verdict) {
	c := l.calls[id]
	if c == nil || c.finished.Swap(true) {
		return
	}
	l.decisions.requestRejected(id, a.status, c.attemptCount, why)
	c.responses <- a
	l.countRequest(c)
	l.metrics.countAnswer(c.meta.Class, a.status, c.attemptCount)
	l.forget(c)
}

// forget drops a call that is closed and has no attempt out.
func (l *eventLoop) forget(c *clientRequest) {
	if c.finished.Load() && c.inFlight == 0 && l.calls[c.meta.ID] == c {
		delete(l.calls, c.meta.ID)
		c.bodyMemory.shrink(0)
	}
}

func (l *eventLoop) handleAttemptResult(r attemptOutcome) {
	c := r.attempt.request
	c.inFlight--
	l.attemptsOut--
	l.metrics.countAttemptResult(r.attempt.endpoint.id, r.result, l.clock.now()-r.attempt.startedAt, r.err)
	if r.notSentReason == guard.ClientLeft && l.disconnect(c) {
		c.responses <- abortResponse
	}
	var spent bool
	if c.bodyStream != nil && !c.finished.Load() {
		spent = c.bodyStream.touched.Load()
		if why := c.bodyStream.failed(); why != nil { // no server is to blame, and no other would get more of it
			l.disconnect(c)
			c.responses <- response{status: http.StatusRequestTimeout}
		}
	}
	switch {
	case r.streamed:
		l.countRequest(c)
		l.metrics.countAnswer(c.meta.Class, r.response.status, c.attemptCount)
	case r.result == policy.Success && !c.finished.Swap(true):
		l.countRequest(c)
		l.metrics.countAnswer(c.meta.Class, http.StatusOK, c.attemptCount)
		c.responses <- r.response
	default:
		r.response.discard()
	}
	l.handle(policy.AttemptEnded{ID: c.meta.ID, Attempt: r.attempt.number, Endpoint: r.attempt.endpoint.id, Result: r.result,
		Latency: l.clock.now() - r.attempt.startedAt, Answered: c.finished.Load(), BodyConsumed: spent, Load: r.load})
	l.forget(c)
}

// handleWatchEvent updates the servers' addresses, stops what must get nothing new, then tells the module.
func (l *eventLoop) handleWatchEvent(n watchEvent) {
	if n.pollFailed {
		l.handle(policy.DiscoveryFailed{})
		return
	}
	e := policy.EndpointUpdate{Snapshot: n.list.Snapshot, Cached: n.cached}
	listed := map[string]bool{}
	for _, h := range n.list.Endpoints {
		s := h.endpoint()
		e.Endpoints = append(e.Endpoints, s)
		listed[h.ID] = true
		old := l.targets[h.ID]
		if s.State != policy.Ready {
			l.removeTarget(h.ID)
			continue
		}
		// A server that moved or started anew shares no connection with the one before.
		if old == nil || old.addr != h.Address || old.startedAt != s.StartedAt {
			l.removeTarget(h.ID)
			l.targets[h.ID] = &endpoint{id: h.ID, addr: h.Address, startedAt: s.StartedAt}
		}
	}
	if n.list.Snapshot {
		for id := range l.targets {
			if !listed[id] {
				l.removeTarget(id)
			}
		}
	}
	l.handle(e)
	l.hasReadyEndpoint.Store(len(l.targets) > 0)
}

// removeTarget stops all sends to a server, those that wait for a connection among them.
func (l *eventLoop) removeTarget(id string) {
	if t := l.targets[id]; t != nil {
		t.unavailable.Store(true)
		t.removedAt.set(l.clock.now())
		l.sender.retire(t)
		delete(l.targets, id)
	}
}
