package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"keelusher/policy/guard"
)

// randomStream is the second half of the random generator's seed.
const randomStream = 0x51a7e

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the event that is handled

	requests  map[string]*request
	classes   classTable
	endpoints map[string]*endpoint
	subsets   []*endpointSubset // in the order of the classes that use them
	zones     zoneTracker
	keyQueues keyQueues
	quotas    quotas
	replicas  replicaCount
	retries   retryBudget
	selector  selector
	slowStart slowStart
	errors    errorRate
	poll      pollSchedule

	listReceived bool // an endpoint list that was not cached
	lastSuccess  time.Duration
}

// New returns a Balancer that knows no endpoints yet. The error names the setting at fault.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, randomStream))
	replicas := newReplicaCount(settings.Replicas)
	b := &Balancer{
		settings:  settings,
		rng:       rng,
		requests:  map[string]*request{},
		classes:   newClassTable(),
		endpoints: map[string]*endpoint{},
		keyQueues: keyQueues{},
		quotas:    newQuotas(settings.Tenants, replicas.current),
		replicas:  replicas,
		retries:   newRetryBudget(),
		selector:  selector{rng: rng, replicaIndex: settings.ReplicaIndex},
		slowStart: newSlowStart(settings),
		errors:    initialErrorRate,
		poll:      pollSchedule{maxInterval: settings.MaxPollInterval},
	}
	b.zones = newZoneTracker(b.classes.slowestMean, b.updateFairShares)
	for _, c := range settings.Classes {
		b.addClass(c)
		b.addQuotaLoad(c)
	}
	b.addClass(unknownClass(settings.Classes))
	return b, nil
}

// addClass adds a class, and a subset if none has its placement.
func (b *Balancer) addClass(c Class) {
	i := slices.IndexFunc(b.subsets, func(s *endpointSubset) bool { return s.hasPlacement(c) })
	if i < 0 {
		i = len(b.subsets)
		b.subsets = append(b.subsets, newEndpointSubset(c, b.settings.Tiers-b.settings.Tier))
	}
	b.classes.add(newClass(c, b.subsets[i]))
}

// addQuotaLoad adds the load of the tenants' quotas to the limit of a class. Which classes a tenant uses is
// not known, so each gets an equal part.
func (b *Balancer) addQuotaLoad(c Class) {
	limit := &b.classes.find(c.Name).subset.limit
	for _, tenant := range b.settings.Tenants {
		limit.quotaLoad += tenant.Quota * c.LatencyObjective.Seconds() / float64(len(b.settings.Classes))
	}
}

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	b.zones.check(b.now)
	b.dispatch(event)
	b.updateReplicas()
	b.sendQueued()
	return b.actions
}

// dispatch hands an event to its handler.
func (b *Balancer) dispatch(event Event) {
	switch e := event.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case DiscoveryFailed:
		b.handleDiscoveryFailed()
	case Request:
		b.handleRequest(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ResponseStarted:
		b.handleResponseStarted(e)
	case RequestSent:
		b.handleRequestSent(e)
	case ClientDisconnected:
		b.close(b.requests[e.ID])
	case ShutdownDeadline:
		b.answer(b.requests[e.ID], guard.ProcessEnds)
	case ReplicaCounts:
		b.replicas.setTarget(b.now, e.ByZone)
	case ZoneEvacuation:
		b.zones.override(e, b.now)
	case TimerFired:
		b.handleTimerFired(e)
	}
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// attempt returns an attempt of a request, or nil if it is not known.
func (b *Balancer) attempt(id string, index int) *attempt {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return nil
	}
	return r.attempts[index]
}

// handleRequest sends, queues or rejects a new request.
func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	r := &request{
		id:             e.ID,
		class:          b.classes.find(e.Class),
		arrived:        b.now,
		deadline:       e.Deadline,
		isRetry:        e.IsRetry,
		bodyIncomplete: e.BodyIncomplete,
	}
	b.requests[e.ID] = r
	r.overQuota = b.quotas.exceeded(e.Tenant, b.now, b.classes.unknown().Deadline)
	b.estimateArrival(r)
	b.classes.countArrival(r.class)
	if r.class.SerializedByKey && e.HasKey && !b.keyQueues.join(r, e.Key, b.queueDeadline(r)-b.now) {
		b.answer(r, guard.QueueTooLong)
		return
	}
	b.sendOrQueue(r)
}

// estimateArrival estimates when the client first sent the request. If clients mark their retries, only the
// mark counts, since the last retry may have more time than the first request. Otherwise a short deadline
// shows a retry.
func (b *Balancer) estimateArrival(r *request) {
	timeLeft := r.deadline - b.now
	r.class.recordTimeLeft(timeLeft)
	if b.settings.Tier > 0 {
		return
	}
	if r.isRetry || !b.settings.ClientsMarkRetries && r.class.looksRetried(timeLeft) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.isRetry = true
	}
}

// send starts an attempt of a request.
func (b *Balancer) send(r *request, target *endpoint) {
	subset := r.class.subset
	if len(r.attempts) == 0 {
		subset.recordAdmitted()
	}
	retryBefore := r.retryBefore(b.settings.TimerResolution)
	a := r.addAttempt(target, b.now)
	b.removeFromQueue(r)
	target.addAttempt(a)
	b.zones.addAttempt(a)
	subset.recordSend()
	b.emit(SendAttempt{
		ID:          r.id,
		Endpoint:    target.ID,
		Timeout:     max(r.usefulUntil(b.settings.Tier)-b.now, b.settings.TimerResolution),
		RetryBefore: retryBefore,
	})
}

// handleResponseStarted ends the measured latency of an attempt whose response is streamed.
func (b *Balancer) handleResponseStarted(e ResponseStarted) {
	a := b.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	a.request.streaming = true
	a.responseAt = b.now
}

// handleRequestSent restarts the time of a request and its attempt: until now the client was sending the
// body.
func (b *Balancer) handleRequestSent(e RequestSent) {
	a := b.attempt(e.ID, e.Attempt)
	if a == nil || !a.request.bodyIncomplete {
		return
	}
	r := a.request
	r.arrived += b.now - a.sentAt
	r.deadline = e.Deadline
	r.bodyIncomplete = false
	a.sentAt = b.now
}

// handleAttemptEnded records the result of an attempt, and retries or answers its request if that has no
// answer yet.
func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	a := b.attempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	r := a.request
	b.endAttempt(a, e)
	switch {
	case e.Answered:
		inTime := a.sentAt+a.latency(b.now) <= r.arrived+r.class.LatencyObjective
		if e.Result == Success && !r.answered && inTime {
			r.class.served++
		}
		b.close(r)
	case !r.answered && r.inFlight == 0:
		b.retryOrAnswer(r)
	}
	b.forget(r)
}

// endAttempt removes an attempt from those in flight and records its result.
func (b *Balancer) endAttempt(a *attempt, e AttemptEnded) {
	r := a.request
	target := a.endpoint
	a.ended = true
	a.neverRan = e.Result.neverRan()
	r.inFlight--
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	r.class.subset.inFlight--
	if r.keyQueue != nil && e.Result.mayRunOn() {
		r.keyQueue.settledAt = b.now + b.settings.KeySettleTime
	}
	target.inFlight--
	b.zones.recordOutcome(a, e.Result, b.now)
	if b.showsLoad(a, e.Result) {
		b.adjustLimit(a, e.Result)
	}
	target.removeAttempt(a)
	b.recordOutcome(a, e.Result)
	if !target.listed && target.inFlight == 0 && b.endpoints[target.ID] == target {
		delete(b.endpoints, target.ID)
	}
}

// showsLoad says that the latency of an attempt depends on the load. The timeouts of an unresponsive
// endpoint, or of a zone with a reduced share, do not.
func (b *Balancer) showsLoad(a *attempt, result AttemptResult) bool {
	if a.endpoint.unresponsive(b.now, b.lastSuccess) {
		return false
	}
	return b.zones.get(a.zone).share == 1 || result == Success
}

// recordOutcome records the latency of the class and the health of the endpoint.
func (b *Balancer) recordOutcome(a *attempt, result AttemptResult) {
	c := a.request.class
	latency := float64(a.latency(b.now))
	relative := logRatio(latency, c.meanLatency)
	if result == Success || result == TimedOut {
		c.subset.spillover.record(slices.Contains(c.subset.preferred, a.endpoint), relative)
	}
	switch result {
	case Success:
		b.lastSuccess = b.now
		b.retries.recordSuccess()
		b.errors.recordSuccess()
		a.endpoint.recordSuccess(relative, b.now)
		c.recordLatency(latency)
	case Overloaded, ConnectFailed:
		a.endpoint.rejection.record(b.now, a.endpoint.inFlight, c.meanLatency, b.rng)
	case ServerError, ConnectionLost, TimedOut:
		a.endpoint.outlier.recordError(b.now, c.meanLatency, b.errors)
		b.errors.recordError()
	}
}

// answer gives the final answer of a request: a rejection if a retry by the client is harmless, and a
// failure otherwise.
func (b *Balancer) answer(r *request, reason guard.Verdict) {
	if r == nil || r.answered || r.streaming {
		return
	}
	if len(r.attempts) == 0 {
		r.class.subset.recordShed()
	}
	if r.retryIsHarmless() {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(), Reason: reason})
	} else {
		b.emit(Fail{ID: r.id, Reason: reason})
	}
	b.close(r)
}

// retryAfter is short: after a long wait, the latency objective of the client would be nearly over, and its
// late answer would take capacity from a timely one. The concurrency limit sheds the load.
func (b *Balancer) retryAfter() time.Duration {
	return min(b.settings.MaxRetryAfter, b.settings.TimerResolution)
}

// close ends a request. Its attempts in flight are not canceled, and count against the limit until they
// end: endpoints may work on them regardless.
func (b *Balancer) close(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.removeFromQueue(r)
	b.forget(r)
}

// forget drops a request that is answered and has no attempts in flight.
func (b *Balancer) forget(r *request) {
	if !r.answered || r.inFlight > 0 || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	if r.keyQueue != nil {
		r.keyQueue.remove(r)
		b.settleKeyQueue(r.keyQueue)
	}
}
