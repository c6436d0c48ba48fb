package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"keelusher/policy/guard"
)

// randomStream is the second half of the PCG seed; the first half is the seed given to New.
const randomStream = 0x51a7e

// Balancer makes the load-balancing decisions of one node. The package comment states its contract.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // result of the current call of Handle

	requests  map[string]*request
	classes   classTable
	endpoints map[string]*endpoint
	subsets   []*endpointSubset // in the order of the first class that uses each
	zones     zoneTracker
	keyQueues keyQueues
	quotas    quotas
	replicas  replicaCount
	retries   retryBudget
	selector  selector
	slowStart slowStart
	errors    errorRate
	poll      pollSchedule

	listReceived bool          // an endpoint update that was not cached has arrived
	lastSuccess  time.Duration // of an attempt at any endpoint
}

// New returns a Balancer without endpoints. If a setting is invalid, the error names it.
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

// addClass adds a class. If no subset has the same allowed zones and machine types, it creates one.
func (b *Balancer) addClass(c Class) {
	i := slices.IndexFunc(b.subsets, func(s *endpointSubset) bool { return s.hasPlacement(c) })
	if i < 0 {
		i = len(b.subsets)
		b.subsets = append(b.subsets, newEndpointSubset(c, b.settings.Tiers-b.settings.Tier))
	}
	b.classes.add(newClass(c, b.subsets[i]))
}

// addQuotaLoad adds the attempts in flight that the tenants' quotas can cause in a class to the quota load of
// the class's limit. The classes that a tenant uses are not known, so its quota is divided equally between all
// classes.
func (b *Balancer) addQuotaLoad(c Class) {
	limit := &b.classes.find(c.Name).subset.limit
	for _, tenant := range b.settings.Tenants {
		limit.quotaLoad += tenant.Quota * c.LatencyObjective.Seconds() / float64(len(b.settings.Classes))
	}
}

// Handle processes one event at the clock time now and returns the actions for the host, in order.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	b.zones.check(b.now)
	b.dispatch(event)
	b.updateReplicas()
	b.sendQueued()
	return b.actions
}

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
		b.markAnswered(b.requests[e.ID])
	case ShutdownDeadline:
		b.answer(b.requests[e.ID], guard.ProcessTerminating)
	case ReplicaCounts:
		b.replicas.setTarget(b.now, e.ByZone)
	case ZoneEvacuation:
		b.zones.override(e, b.now)
	case TimerFired:
		b.handleTimerFired(e)
	}
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// attempt returns the attempt that has the given index among those of the request with the ID, or nil.
func (b *Balancer) attempt(id string, index int) *attempt {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return nil
	}
	return r.attempts[index]
}

// handleRequest sends, queues or rejects a new request. It ignores a request whose ID is in use.
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

// estimateArrival estimates when the client first sent the request, which for a retry was before now. If
// clients mark their retries, only the mark counts, since a retry may have more time left than a first
// request. Otherwise a short time left indicates a retry. Below the first tier, requests are taken as new.
func (b *Balancer) estimateArrival(r *request) {
	timeLeft := r.deadline - b.now
	r.class.recordTimeLeft(timeLeft)
	if b.settings.Tier > 0 {
		return
	}
	if r.isRetry || !b.settings.ClientsMarkRetries && r.class.looksLikeRetry(timeLeft) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.isRetry = true
	}
}

// send starts an attempt of a request at an endpoint.
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
		Timeout:     max(r.answerDeadline(b.settings.Tier)-b.now, b.settings.TimerResolution),
		RetryBefore: retryBefore,
	})
}

// handleResponseStarted records when a streamed response began. The latency of its attempt ends there.
func (b *Balancer) handleResponseStarted(e ResponseStarted) {
	a := b.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	a.request.streaming = true
	a.responseAt = b.now
}

// handleRequestSent restarts the time of a request and of its attempt, since until now the client was still
// sending the body.
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

// handleAttemptEnded records the result of an attempt. If its request has neither an answer nor another
// attempt in flight, the request is retried or answered.
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
		b.markAnswered(r)
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
	a.neverRan = e.Result.NeverRan()
	r.inFlight--
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	r.class.subset.inFlight--
	if r.keyQueue != nil && e.Result.mayStillRun() {
		r.keyQueue.settledAt = b.now + b.settings.KeySettleTime
	}
	target.inFlight--
	b.zones.recordOutcome(a, e.Result, b.now)
	if b.reflectsLoad(a, e.Result) {
		b.adjustLimit(a, e.Result)
	}
	target.removeAttempt(a)
	b.recordOutcome(a, e.Result)
	if !target.listed && target.inFlight == 0 && b.endpoints[target.ID] == target {
		delete(b.endpoints, target.ID)
	}
}

// reflectsLoad reports whether the latency of an attempt depends on the load, so that the concurrency limit
// may follow it. Time-outs at an unresponsive endpoint, or in a zone with a reduced share, do not.
func (b *Balancer) reflectsLoad(a *attempt, result AttemptResult) bool {
	if a.endpoint.unresponsive(b.now, b.lastSuccess) {
		return false
	}
	return b.zones.get(a.zone).share == 1 || result == Success
}

// recordOutcome updates the spillover and latency of the class, the health of the endpoint, the error rate
// and the retry budget with the result of an attempt.
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

// answer emits the final answer of a request: Reject if the client may safely retry it, and Fail otherwise.
// A request whose response is being streamed gets none.
func (b *Balancer) answer(r *request, reason guard.Verdict) {
	if r == nil || r.answered || r.streaming {
		return
	}
	if len(r.attempts) == 0 {
		r.class.subset.recordShed()
	}
	if r.clientMayRetry() {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(), Reason: reason})
	} else {
		b.emit(Fail{ID: r.id, Reason: reason})
	}
	b.markAnswered(r)
}

// retryAfter returns the wait that a rejection recommends. It is short: after a long wait, the latency
// objective would be nearly over, and the late answer would take capacity from a timely one. Load is shed by
// the concurrency limit, not by this wait.
func (b *Balancer) retryAfter() time.Duration {
	return min(b.settings.MaxRetryAfter, b.settings.TimerResolution)
}

// markAnswered marks a request as answered and takes it out of its queue. Its attempts in flight are not canceled,
// and count against the concurrency limit until they end, since endpoints may still be working on them.
func (b *Balancer) markAnswered(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.removeFromQueue(r)
	b.forget(r)
}

// forget deletes a request that is answered and has no attempts in flight.
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
