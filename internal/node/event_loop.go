// Package node runs the policy on real sockets: it accepts clients' requests over HTTP, carries out the actions that
// the policy returns, and notifies the policy of the results.
//
// The event loop (event_loop.go) owns the Balancer and decides every final response. The HTTP server for clients, the
// attempts with their connections to servers, the watch of the endpoint list, the admin endpoint and the fleet
// membership run in goroutines of their own and send messages to the loop.
package node

import (
	"container/heap"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"

	"golang.org/x/time/rate"
)

const (
	// updatePollInterval is the interval between checks whether overdue endpoint updates have been read.
	updatePollInterval = resumeQuietPeriod / 10
	// waitWithoutTimer is how long the loop waits for messages while the policy has set no timer.
	waitWithoutTimer = time.Hour
)

// attemptSender sends attempts to servers. No method may block.
type attemptSender interface {
	start(*attempt)
	closeIdle(*endpoint)
}

// eventLoop passes events to the Balancer from one goroutine, and carries out the actions that it returns. Other
// goroutines communicate with it only through its channels.
type eventLoop struct {
	clock          clock
	log            *slog.Logger
	balancer       *policy.Balancer
	sender         attemptSender
	watchEndpoints func()            // requests a watch of the endpoint list; must not block
	staleness      *stalenessMonitor // of the endpoint list; nil: staleness is not monitored
	metrics        *metrics.Recorder
	decisions      *metrics.Decisions

	// Messages to the loop, which is their only receiver. Senders may block; the loop never blocks on a sender.
	endpointUpdates  chan watchEvent           // from discovery
	requests         chan *clientRequest       // from the handlers of clients' requests
	disconnects      chan *clientRequest       // from the same handlers, if the client disconnects before the response
	attemptResults   chan attemptOutcome       // from attempts that ended
	requestsWritten  chan requestWritten       // from attempts that stream a request body, once it is written
	responsesStarted chan responseStarted      // from attempts that stream a response
	replicaCounts    chan policy.ReplicaCounts // from the membership; holds only the newest
	overrideUpdates  chan zoneExpiries         // from overridesHost; holds only the newest
	tasks            chan func()               // run in the loop's goroutine; must not block
	stop             chan struct{}             // closed to end the loop

	// State that only the loop's goroutine uses.
	openRequests          map[string]*clientRequest // by ID; not answered yet, or with an attempt in flight
	endpoints             map[string]*endpoint      // by ID; those in service
	timers                timerHeap
	attemptsInFlight      int
	loggedZoneTransitions int                         // the policy's count when logZones last ran
	loggedZones           map[string]policy.ZoneState // by zone, as logZones last saw them
	zoneLogLimit          *rate.Limiter
	suppressedZoneLines   int
	recent                *recentRequests // that must not run again; nil: none are recorded
	shareID               func(id string) // passes an ID to the other processes of the node; must not block
	operatorEvacuations   map[string]bool // by zone; set at this node's admin endpoint
	overrideExpiries      zoneExpiries    // of the zones that overrides evacuate

	hasReadyEndpoint atomic.Bool // read by other goroutines
}

func newEventLoop(ck clock, log *slog.Logger, balancer *policy.Balancer, m *metrics.Recorder) *eventLoop {
	return &eventLoop{
		clock:               ck,
		log:                 log,
		balancer:            balancer,
		metrics:             m,
		decisions:           metrics.NewDecisions(log),
		endpointUpdates:     make(chan watchEvent),
		requests:            make(chan *clientRequest),
		disconnects:         make(chan *clientRequest),
		attemptResults:      make(chan attemptOutcome),
		requestsWritten:     make(chan requestWritten),
		responsesStarted:    make(chan responseStarted),
		replicaCounts:       make(chan policy.ReplicaCounts, 1),
		overrideUpdates:     make(chan zoneExpiries, 1),
		tasks:               make(chan func()),
		stop:                make(chan struct{}),
		openRequests:        map[string]*clientRequest{},
		endpoints:           map[string]*endpoint{},
		loggedZones:         map[string]policy.ZoneState{},
		zoneLogLimit:        rate.NewLimiter(zoneLinesPerSecond, 2*zoneLinesPerSecond),
		operatorEvacuations: map[string]bool{},
		shareID:             func(string) {},
	}
}

// run handles messages until stop is closed.
func (l *eventLoop) run() {
	timer := time.NewTimer(waitWithoutTimer)
	defer timer.Stop()
	report := time.NewTicker(metrics.ReportInterval)
	defer report.Stop()
	for {
		if l.handlePendingUpdate() {
			continue
		}
		l.fireTimers()
		timer.Reset(l.untilNextTimer())
		select {
		case counts := <-l.replicaCounts:
			l.handle(counts)
		case expiries := <-l.overrideUpdates:
			l.handleOverrides(expiries)
		case event := <-l.endpointUpdates:
			l.handleWatchEvent(event)
		case request := <-l.requests:
			l.handleRequest(request)
		case request := <-l.disconnects:
			l.handleDisconnect(request)
		case outcome := <-l.attemptResults:
			l.handleAttemptResult(outcome)
		case written := <-l.requestsWritten:
			l.handleRequestWritten(written)
		case started := <-l.responsesStarted:
			l.handleResponseStarted(started)
		case task := <-l.tasks:
			task()
		case <-timer.C:
		case <-report.C:
			l.metrics.LogReport(l.log, l.attemptsInFlight)
		case <-l.stop:
			l.metrics.LogReport(l.log, l.attemptsInFlight)
			return
		}
	}
}

// handlePendingUpdate handles one endpoint update if one is waiting, and reports whether it did. Updates take
// precedence over requests because a draining server accepts new requests only for its grace period, which has begun.
func (l *eventLoop) handlePendingUpdate() bool {
	select {
	case event := <-l.endpointUpdates:
		l.handleWatchEvent(event)
		return true
	default:
		return false
	}
}

// awaitOverdueUpdates handles endpoint updates, and nothing else, while overdue ones may still be unread after a
// suspension of the process, for maxSendHold at most.
func (l *eventLoop) awaitOverdueUpdates() {
	for l.staleness.holdSends() {
		select {
		case event := <-l.endpointUpdates:
			l.handleWatchEvent(event)
		case <-time.After(updatePollInterval):
		case <-l.stop:
			return
		}
	}
}

// fireTimers notifies the policy of each timer that is due.
func (l *eventLoop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].At <= l.clock.now() {
		l.awaitOverdueUpdates()
		timer := heap.Pop(&l.timers).(policy.SetTimer)
		l.handle(policy.TimerFired{Token: timer.Token})
	}
}

func (l *eventLoop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return waitWithoutTimer
	}
	return l.timers[0].At - l.clock.now()
}

// runTask runs f in the loop's goroutine and waits until f returns. It returns false, without running f, if the loop
// has ended.
func (l *eventLoop) runTask(f func()) bool {
	done := make(chan struct{})
	task := func() {
		f()
		close(done)
	}
	select {
	case l.tasks <- task:
		<-done
		return true
	case <-l.stop:
		return false
	}
}

// handle passes one event to the policy and carries out the actions that it returns.
func (l *eventLoop) handle(event policy.Event) {
	now := l.clock.now()
	l.expireOverrides(now)
	l.apply(now, event)
}

// apply is handle without the check for overrides that have expired.
func (l *eventLoop) apply(now time.Duration, event policy.Event) {
	for _, action := range l.balancer.Handle(now, event) {
		l.carryOut(now, action)
	}
	if l.balancer.ZoneTransitions() != l.loggedZoneTransitions {
		l.logZones()
	}
}

func (l *eventLoop) carryOut(now time.Duration, action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		l.sendAttempt(now, action)
	case policy.Reject:
		final := response{status: http.StatusServiceUnavailable, retryAfter: action.RetryAfter}
		l.reject(action.ID, final, action.Reason)
	case policy.Fail:
		l.reject(action.ID, response{status: http.StatusBadGateway}, action.Reason)
	case policy.SetTimer:
		heap.Push(&l.timers, action)
	case policy.WatchEndpoints:
		l.watchEndpoints()
	}
}
