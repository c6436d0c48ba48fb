// Every decision of the policy. The interface (settings, events, actions) is in api.go.

package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"keelusher/policy/guard"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	minQuotaBurst            = 3     // requests that a tenant may save up at a copy, if the longest deadline brings fewer
	leftGroupShare           = 0.5   // share of the list in the left group
	averageWeight            = 0.06  // weight of a new sample in pooled averages (about 16 samples)
	endpointAverageWeight    = 0.25  // weight of a new sample in a single server's averages
	maxStreakChance          = 0.08  // a run of errors likelier than this by the peers' error share is luck
	overdueDeviations        = 3.0   // deviations above the mean at which a wait counts as overlong
	probationSuccesses       = 3     // good endings in a row that end a trial
	maxExcludedShare         = 0.2   // share of the list that health may exclude; beyond that all are drawn
	ejectionLatencies        = 12    // mean latencies that a first ejection, or a lack of room, lasts
	maxBackoffDoublings      = 5     // doublings of an ejection
	initialLimitPerEndpoint  = 5.0   // own calls a server, and a tier behind it, admitted at first and regained fast
	minLimitShare            = 0.2   // part of these that is always admitted
	maxCreditedShare         = 0.25  // part of the warm-up that a server may have behind it when its start is told
	retryBudgetPerSuccess    = 0.15  // further attempts earned by a success
	unsentRetryCost          = 0.1   // what a further attempt costs when the last one never ran
	maxRetryBudget           = 10    // most that can be saved up
	targetLatencyRatio       = 0.65  // mean latency over aim that admission steers to
	maxTargetLatencyRatio    = 0.85  // the same, however long answers take
	uncongestedFactor        = 1.1   // times the least mean latency, up to which servers count as uncrowded
	minLatencyRiseWeight     = 5e-4  // weight of a new answer in the least mean latency, where it rises
	unevennessFactor         = 4.0   // part of aimFill given up when all is shed, for each unit of unevenness
	limitIncrease            = 0.02  // window gained by an answer in good time
	limitRecoveryIncrease    = 1.0   // the same, under the knee
	limitDecrease            = 0.05  // part of the window lost by an answer when all are late
	minSliceEndpoints        = 4.0   // servers that a copy draws from at least
	sliceEndpointsPerAttempt = 0.5   // more of them for each own call in flight
	minSpillover             = 0.03  // share that leaves the nearest anyway, so that the copy learns of the others
	spilloverThreshold       = 0.25  // excess of log latency at the nearest that leaving them must win back
	sliceStride              = 0.618 // copies' stretches start at its multiples, which lie evenly in a ring
)

// How far peers are believed about the number of copies, and how fast.
const (
	maxReplicasFactor = 4.0                     // times the settings' number, or part of it
	replicasHalfLife  = 10 * time.Second        // half of the way to another number
	replicasStep      = time.Second             // between two steps on the way
	maxPollBackoff    = 2500 * time.Millisecond // before asking again: with a call of 2.3 s well within 6 s
)

// ---- State ----

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings                 Settings
	rng                      *rand.Rand
	now                      time.Duration
	actions                  []Action
	endpoints                map[string]*endpoint
	zones                    map[string]*zone
	zoneTransitions          int     // of zones, from one state to another
	zonesByName              []*zone // by name
	requests                 map[string]*request
	classes                  map[string]*class
	classOrder               []*class             // every class in the order of the settings, then the unknown one
	subsets                  []*endpointSubset    // in the order of the classes that are placed in them
	keyQueues                map[uint64]*keyQueue // by key
	quotas                   map[string]*quota
	replicas, targetReplicas float64 // that place calls on this tier, as counted on now, and what that moves to
	replicasUpdatedAt        time.Duration
	initialLimit             float64 // own calls a server that the window starts with at least

	errorRate     float64 // share of bad endings among all attempts
	lastSuccess   time.Duration
	retryBudget   float64 // retry budget
	listReceived  bool    // a list that was not cached has come
	watchFailures int
	nextPoll      time.Duration
}

// endpointSubset is the servers open to the classes of one placement, and what was learned of sending to them.
// Every draw is from a endpointSubset, so no path leads to a server that is closed to the class; and a endpointSubset that
// is full, slow or dead stops no class that may go elsewhere.
type endpointSubset struct {
	zones, machineTypes            []string    // nil: all
	ready                          []*endpoint // ready servers in the shared order
	preferred                      []*endpoint // those to use first
	spillover                      float64     // share of requests that may go to the others
	preferredLatency, otherLatency float64     // mean log of latency over the class mean, there and at the others
	queue                          []*request
	inFlight                       int         // own calls of the pool's classes
	owned                          []*endpoint // servers that no narrower pool depends on
	fairShare                      float64     // of them, for each copy of this tier
	limit                          float64     // how many of them are admitted at once (first tier)
	latencyRatio                   float64     // mean latency over aim
	peakInFlight                   float64     // inFlight, quick to rise and slow to fall
	samples                        float64     // that fill was averaged over
	minLatencyRatio                float64     // fill when the servers were least crowded
	quotaLoad                      float64     // calls out over all copies, were shares used up and answers as late as the aim
	maxEndpoints                   float64     // the most servers there were: they bear that
	countedEndpoints               float64     // servers of this copy's share that the window's floor counts
	roundingDraw                   float64     // of a call, drawn while the window falls: rounds it up or down
	shedRate                       float64     // share of requests answered without an attempt
}

// quota holds what this copy's part of a quota's share has left.
type quota struct {
	rate, tokens float64 // requests a second, requests
	total        float64 // over all copies
	refilledAt   time.Duration
}

// keyQueue is the open requests of one key, of all classes that keep their order, as they arrived.
type keyQueue struct {
	key       uint64
	queue     []*request
	settledAt time.Duration // an earlier attempt may still run: no other request goes before this
}

// class holds what was learned of a class.
type class struct {
	Class
	subset                        *endpointSubset
	meanLatency, latencyDeviation float64 // latency of successes, in ns
	arrivals, served              float64 // decayed counts
	longestTimeLeft               time.Duration
}

// endpoint is a listed endpoint, or one that left with calls of ours still out.
type endpoint struct {
	Endpoint
	listed        bool
	slowStartFrom time.Duration // slow start counts from then; 0: it was long ago
	inFlight      int           // own calls in flight
	attempts      []*attempt    // the same calls in order of sending

	errorStreak     int // bad endings in a row
	ejectionCount   int // doublings of the next ejection
	successStreak   int // good endings in a row
	ejectedUntil    time.Duration
	relativeLatency float64 // mean log of latency over the class mean
	lastSuccess     time.Duration
	capacity        int           // own calls that it had taken when it refused one more
	fullUntil       time.Duration // no more than room until then
	rejections      int           // in a row
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id             string
	class          *class
	arrived        time.Duration
	deadline       time.Duration
	attempts       []*attempt
	inFlight       int
	isRetry        bool      // by the client, where clients say so
	overQuota      bool      // beyond its tenant's share
	keyQueue       *keyQueue // nil: free of order
	bodyIncomplete bool      // its last byte has not come yet
	bodyConsumed   bool      // it cannot be sent again
	timerAt        time.Duration

	queued, answered, streaming bool
}

// attempt is one send of a request.
type attempt struct {
	request         *request
	endpoint        *endpoint
	index           int
	sentAt          time.Duration
	responseAt      time.Duration // its answer, where that passes through
	zone            string
	cell            int
	ended, neverRan bool // unsent: proven never to have run
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		endpoints: map[string]*endpoint{}, zones: map[string]*zone{}, requests: map[string]*request{},
		classes: map[string]*class{}, keyQueues: map[uint64]*keyQueue{}, quotas: map[string]*quota{},
		errorRate: 0.02, retryBudget: maxRetryBudget / 2, replicas: float64(max(1, set.Replicas))}
	b.targetReplicas = b.replicas
	for _, t := range set.Tenants {
		b.quotas[t.Name] = &quota{rate: t.Quota / b.replicas, total: t.Quota}
	}
	for _, c := range set.Classes {
		b.addClass(c)
	}
	// A server waits for the tiers behind it, each about as long as it works itself: it can hold more calls.
	b.initialLimit = initialLimitPerEndpoint * float64(max(1, set.Tiers-set.Tier))
	longest := slices.MaxFunc(set.Classes, func(a, c Class) int { return int(a.Deadline - c.Deadline) })
	b.addClass(Class{LatencyObjective: longest.LatencyObjective, Deadline: longest.Deadline, PriorityWeight: longest.PriorityWeight})
	return b, nil
}

// ---- Events ----

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	b.watchZones()
	switch e := e.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case DiscoveryFailed:
		b.watchFailures++
		b.schedulePoll()
	case Request:
		b.handleRequest(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ResponseStarted:
		if r := b.requests[e.ID]; r != nil && e.Attempt < len(r.attempts) {
			r.streaming, r.attempts[e.Attempt].responseAt = true, b.now
		}
	case RequestSent:
		if r := b.requests[e.ID]; r != nil && r.bodyIncomplete && e.Attempt < len(r.attempts) {
			a := r.attempts[e.Attempt] // its body took time that is not the servers'
			r.arrived, r.deadline, r.bodyIncomplete = r.arrived+b.now-a.sentAt, e.Deadline, false
			a.sentAt = b.now
		}
	case ClientDisconnected:
		b.close(b.requests[e.ID])
	case ShutdownDeadline:
		b.answer(b.requests[e.ID], guard.ProcessEnds)
	case ReplicaCounts:
		b.handleReplicaCounts(e)
	case ZoneEvacuation:
		b.handleZoneEvacuation(e)
	case TimerFired:
		b.handleTimerFired(e)
	}
	b.updateReplicas()
	b.dequeue()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// handleReplicaCounts aims at the number of copies that peers make out, within a span around the settings' number:
// what peers say may cost efficiency, and must not let one copy take the tier for its own.
func (b *Balancer) handleReplicaCounts(e ReplicaCounts) {
	told, n := float64(max(1, b.settings.Replicas)), 0
	for _, k := range e.ByZone {
		n += max(0, k)
	}
	if b.targetReplicas = told; n > 0 {
		b.targetReplicas = min(max(float64(n), told/maxReplicasFactor), told*maxReplicasFactor)
	}
	b.replicasUpdatedAt = b.now
}

// updateReplicas lets the number of copies move half of its way in each half-life, so that windows do not jump.
// Without word of peers it does nothing.
func (b *Balancer) updateReplicas() {
	passed := b.now - b.replicasUpdatedAt
	if b.replicas == b.targetReplicas || passed < replicasStep {
		return
	}
	b.replicas = b.targetReplicas + (b.replicas-b.targetReplicas)*math.Exp2(-float64(passed)/float64(replicasHalfLife))
	if math.Abs(b.replicas-b.targetReplicas) < 0.01 {
		b.replicas = b.targetReplicas
	}
	b.replicasUpdatedAt = b.now
	for _, p := range b.subsets {
		p.fairShare = b.weight(p.owned) / b.replicas
	}
	for _, t := range b.quotas {
		t.rate = t.total / b.replicas
	}
}

// handleTimerFired does what has come due. A host may round a time down, so a timer can come a hair early: nothing
// relies on its being late enough, and one that finds nothing due yet asks for another.
func (b *Balancer) handleTimerFired(e TimerFired) {
	switch kind, name, _ := strings.Cut(e.Token, ":"); kind {
	case "list":
		if b.nextPoll > 0 && b.now+b.settings.TimerResolution >= b.nextPoll {
			b.nextPoll = 0
			b.emit(WatchEndpoints{})
		}
	case "k":
		if key, err := strconv.ParseUint(name, 10, 64); err == nil {
			b.settleKeyQueue(b.keyQueues[key])
		}
	case "r":
		if r := b.requests[name]; r != nil {
			if b.now+b.settings.TimerResolution >= r.timerAt {
				r.timerAt = 0
			}
			if r.queued {
				b.enqueue(r)
			}
		}
	}
}

// setRequestTimer asks for a look at a held request, unless one is due by then already.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	if at = max(at, b.now+1); r.timerAt <= b.now || r.timerAt > at {
		r.timerAt = at
		b.emit(SetTimer{At: at, Token: "r:" + r.id})
	}
}

// ---- Discovery ----

// handleEndpointUpdate applies news of the servers. A new boot time resets what is known of a server.
func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	if e.Snapshot {
		for _, s := range b.endpoints {
			s.listed = false
		}
	}
	for _, n := range e.Endpoints {
		s := b.endpoints[n.ID]
		if s == nil {
			s = &endpoint{}
			b.endpoints[n.ID] = s
		} else if s.StartedAt != n.StartedAt {
			*s = endpoint{inFlight: s.inFlight, attempts: s.attempts}
		}
		if s.ID == "" || s.StartedAt != n.StartedAt {
			s.slowStartFrom = b.slowStartFrom(n)
		}
		s.Endpoint, s.listed = n, n.State != Removed
	}
	b.listReceived = b.listReceived || !e.Cached
	var ready []*endpoint
	for id, s := range b.endpoints {
		if !s.listed && s.inFlight == 0 {
			delete(b.endpoints, id)
		} else if s.listed && s.State == Ready {
			ready = append(ready, s)
		}
	}
	// The shared order: every copy sorts by id, which all see alike.
	sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	b.countZoneEndpoints(ready)
	for _, p := range b.subsets {
		before := b.weight(p.ready)
		p.ready = slices.DeleteFunc(slices.Clone(ready), func(s *endpoint) bool { return !p.allows(s) })
		if now := b.weight(p.ready); now < before { // what those that went took must not crowd the others
			p.limit *= now / before
		}
	}
	for _, p := range b.subsets {
		b.assignEndpoints(p)
	}
	if e.Cached {
		b.schedulePoll()
	} else {
		b.watchFailures = 0
	}
}

// slowStartFrom is from when slow start counts for a server that the list has with a new start. Its stamp comes
// from the wall clock of another machine, and clocks may be stepped, by an hour even. A start that is told
// while the copy lives is believed to have been a part of the warm-up ago at most, and not ahead: that leaves
// what FallMultiple allows beyond a cold server's capacity. Only of the first list the stamp is believed, for
// nothing else tells the old from the new there.
func (b *Balancer) slowStartFrom(s Endpoint) time.Duration {
	if s.StartedAt <= 0 {
		return 0
	}
	earliest := time.Duration(1)
	if b.listReceived {
		earliest = max(earliest, b.now-time.Duration(maxCreditedShare*float64(b.settings.SlowStartDuration)))
	}
	return max(earliest, min(s.StartedAt, b.now))
}

// assignEndpoints finds the servers that a pool's classes use first: those of the own zone, if any, and of these the
// ones that no narrower pool depends on, if any, for its classes have nowhere else to go. What they leave to
// narrower pools is no part of their fair assignEndpoints: the floors of two windows must not crowd one server.
func (b *Balancer) assignEndpoints(p *endpointSubset) {
	needed := func(s *endpoint) bool {
		return slices.ContainsFunc(b.subsets, func(q *endpointSubset) bool {
			return len(q.ready) < len(p.ready) && q.allows(s)
		})
	}
	home, own := without(p.ready, func(s *endpoint) bool { return s.Zone != b.settings.Zone }), p.ready
	if p.preferred = without(home, needed); len(p.preferred) < len(home) {
		own = without(p.ready, needed)
	}
	p.owned, p.fairShare = own, 0
	b.updateFairShare(p, limitReductionPower)
	p.maxEndpoints = max(p.maxEndpoints, b.weight(own))
	if p.limit == 0 {
		p.countedEndpoints = p.fairShare
		p.limit = b.initialLimitOf(p)
	}
}

// without leaves out what is not wanted, unless that is all.
func without(list []*endpoint, unwanted func(*endpoint) bool) []*endpoint {
	if kept := slices.DeleteFunc(slices.Clone(list), unwanted); len(kept) > 0 {
		return kept
	}
	return list
}

// allows says that the placement of a pool's classes lets them go to a server.
func (p *endpointSubset) allows(s *endpoint) bool {
	return (p.zones == nil || slices.Contains(p.zones, s.Zone)) &&
		(p.machineTypes == nil || slices.Contains(p.machineTypes, s.MachineType))
}

// schedulePoll plans a Subscribe where the list must be asked for. Jitter keeps copies from swamping discovery
// together; the wait doubles with each failure but leaves time for a call before changes count as told.
func (b *Balancer) schedulePoll() {
	if !b.settings.PollEndpoints {
		return
	}
	most := min(b.settings.MaxPollInterval/4, maxPollBackoff)
	wait := min(most, most/16<<min(b.watchFailures, 4))
	b.nextPoll = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.nextPoll, Token: "list"})
}

// ---- Requests ----

func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.classOrder[len(b.classOrder)-1] // unknown: unsafe
	}
	r := &request{id: e.ID, class: c, arrived: b.now, deadline: e.Deadline, isRetry: e.IsRetry,
		bodyIncomplete: e.BodyIncomplete}
	b.requests[e.ID] = r
	r.overQuota = len(b.quotas) > 0 && !b.quotas[e.Tenant].take(b.now, b.classOrder[len(b.classOrder)-1].Deadline)
	b.backdate(r)
	for _, k := range b.classOrder {
		k.arrivals, k.served = 0.99*k.arrivals, 0.99*k.served
	}
	c.arrivals++
	if c.SerializedByKey && e.HasKey && !b.joinKeyQueue(r, e.Key) {
		b.answer(r, guard.QueueTooLong)
		return
	}
	b.sendOrQueue(r)
}

// take takes a place in a tenant's share over a span, some requests at least: one copy's traffic is
// thin and uneven, a share of a second is gone with two requests at once. An unknown tenant has none.
func (t *quota) take(now, span time.Duration) bool {
	if t == nil {
		return false
	}
	t.tokens, t.refilledAt = min(max(minQuotaBurst, t.rate*span.Seconds()), t.tokens+t.rate*(now-t.refilledAt).Seconds()), now
	if t.tokens >= 1 {
		t.tokens--
		return true
	}
	return false
}

// joinKeyQueue puts a request behind the earlier ones of its key. False: the line is so long that its turn
// would come too late, and waiting there would only keep its client from what else it can do.
func (b *Balancer) joinKeyQueue(r *request, key uint64) bool {
	l := b.keyQueues[key]
	if l == nil {
		l = &keyQueue{key: key}
	}
	if float64(len(l.queue))*r.class.meanLatency > float64(b.queueDeadline(r)-b.now) {
		return false
	}
	r.keyQueue, b.keyQueues[key] = l, l
	l.queue = append(l.queue, r)
	return true
}

// atHeadOfLine says that the order of its key lets a request go. The next one goes only when the one before is
// over, has no attempt without an outcome, and the key has rested; the head may be sent again at once.
func (b *Balancer) atHeadOfLine(r *request) bool {
	l := r.keyQueue
	return l == nil || l.queue[0] == r && (len(r.attempts) > 0 || b.now >= l.settledAt)
}

// settleKeyQueue drops a line that is empty and rested, and asks for a timer while it rests: then the next one goes.
func (b *Balancer) settleKeyQueue(l *keyQueue) {
	switch {
	case l == nil:
	case b.now < l.settledAt:
		b.emit(SetTimer{At: l.settledAt, Token: "k:" + strconv.FormatUint(l.key, 10)})
	case len(l.queue) == 0:
		delete(b.keyQueues, l.key)
	}
}

// backdate finds when the client first asked. Tries are all given the same time unless the class's
// deadline, which runs over all of them, ends sooner: a shorter one tells how much is over already. Where
// clients mark repeats only the mark counts, for a last try may be given more time than the first.
func (b *Balancer) backdate(r *request) {
	left := r.deadline - b.now
	r.class.longestTimeLeft = max(r.class.longestTimeLeft, left)
	short := float64(left) < 0.95*float64(r.class.longestTimeLeft)
	if b.settings.Tier == 0 && (r.isRetry || short && !b.settings.ClientsMarkRetries) {
		r.arrived, r.isRetry = min(b.now, r.deadline-r.class.Deadline), true
	}
}

// sendOrQueue sends a request, or holds it while no server may take it.
func (b *Balancer) sendOrQueue(r *request) {
	if b.atHeadOfLine(r) && !b.atLimit(r.class.subset) {
		if s := b.choose(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.enqueue(r)
}

func (b *Balancer) send(r *request, s *endpoint) {
	a := &attempt{request: r, endpoint: s, index: len(r.attempts), sentAt: b.now, zone: s.Zone, cell: s.Cell}
	z, p := b.zone(s.Zone), r.class.subset
	if a.index == 0 {
		p.shedRate -= averageWeight / 4 * p.shedRate
	}
	repeatBefore := b.retryBefore(r)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.removeFromQueue(r)
	s.attempts, z.attempts = append(s.attempts, a), append(z.attempts, a)
	s.inFlight++
	p.inFlight++
	p.peakInFlight = max(float64(p.inFlight), p.peakInFlight-averageWeight/4*(p.peakInFlight-float64(p.inFlight)))
	b.emit(SendAttempt{
		ID:          r.id,
		Endpoint:    s.ID,
		Timeout:     max(b.usefulUntil(r)-b.now, b.settings.TimerResolution),
		RetryBefore: repeatBefore,
	})
}

// usefulUntil is until when an answer is worth anything; what is out longer takes room at every tier below.
func (b *Balancer) usefulUntil(r *request) time.Duration {
	if b.settings.Tier == 0 && r.class.LateAnswerWeight == 0 {
		return min(r.deadline, r.arrived+r.class.LatencyObjective)
	}
	return r.deadline
}

// enqueue keeps a request back; its timer makes sure that it is answered.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		why := guard.NoCapacity
		if len(r.class.subset.ready) == 0 {
			why = guard.NoEndpointKnown
		}
		b.answer(r, why)
		return
	}
	if !r.queued {
		r.queued, r.class.subset.queue = true, append(r.class.subset.queue, r)
	}
	b.setRequestTimer(r, b.queueDeadline(r))
}

func (b *Balancer) removeFromQueue(r *request) {
	if r.queued {
		p := r.class.subset
		r.queued, p.queue = false, slices.DeleteFunc(p.queue, func(h *request) bool { return h == r })
	}
}

// queueDeadline is how long holding makes sense: until an answer may well miss the aim, for late answers take the
// room of those in time. With no server at all, half of the time: then its client can still ask elsewhere.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	last := min(b.usefulUntil(r), (r.arrived+r.deadline)/2) - 2*b.settings.TimerResolution
	if len(r.class.subset.ready) == 0 {
		return last
	}
	hold := max(r.class.LatencyObjective/4, r.class.LatencyObjective-time.Duration(r.class.meanLatency+2*r.class.latencyDeviation))
	return min(last, r.arrived+hold)
}

// dequeue sends held requests while their pools have room, the most valuable first.
func (b *Balancer) dequeue() {
	for _, p := range b.subsets {
		for len(p.queue) > 0 && !b.atLimit(p) {
			var best *request
			for _, r := range p.queue {
				// Of equal value the youngest goes, for it has most time left.
				if b.atHeadOfLine(r) && (best == nil || b.priority(r) >= b.priority(best)) {
					best = r
				}
			}
			if best == nil {
				break
			}
			s := b.choose(best)
			if s == nil {
				break
			}
			b.send(best, s)
		}
	}
}

func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended, a.neverRan = true, e.Result == Overloaded || e.Result == ConnectFailed || e.Result == NotSent
	r.inFlight--
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	r.class.subset.inFlight--
	if l := r.keyQueue; l != nil && (e.Result == TimedOut || e.Result == ConnectionLost || e.Result == Canceled) {
		l.settledAt = b.now + b.settings.KeySettleTime // it may still run
	}
	a.endpoint.inFlight--
	b.recordZoneOutcome(a, e)
	// A hung server's waits tell nothing of how crowded the others are.
	if !b.unresponsive(a.endpoint) && (b.zone(a.zone).share == 1 || e.Result == Success) {
		b.adjustLimit(r, e)
	}
	a.endpoint.attempts = slices.DeleteFunc(a.endpoint.attempts, func(o *attempt) bool { return o == a })
	b.recordOutcome(a, e)
	if !a.endpoint.listed && a.endpoint.inFlight == 0 && b.endpoints[a.endpoint.ID] == a.endpoint {
		delete(b.endpoints, a.endpoint.ID)
	}
	switch {
	case e.Answered:
		if e.Result == Success && !r.answered && a.sentAt+b.latencyOf(a) <= r.arrived+r.class.LatencyObjective {
			r.class.served++
		}
		b.close(r)
	case !r.answered && r.inFlight == 0:
		b.retryOrAnswer(r)
	}
	b.forget(r)
}

// ---- The pick ----

// pick is the design's rule: one server drawn uniformly from each group, the fewer own calls
// win, equal counts above zero go left, and at zero the side is drawn by the groups' shares.
// An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*endpoint) *endpoint {
	if len(left) == 0 || len(right) == 0 {
		return b.draw(append(left, right...))
	}
	l, r := b.draw(left), b.draw(right)
	switch {
	case l.inFlight < r.inFlight:
		return l
	case r.inFlight < l.inFlight:
		return r
	case l.inFlight > 0:
		return l
	case b.rng.IntN(len(left)+len(right)) < len(left):
		return l
	}
	return r
}

func (b *Balancer) draw(group []*endpoint) *endpoint {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}

// choose cuts the shared order into the two groups and picks among the eligible servers of the copy's
// stretch of each, or of the whole groups when its stretches leave none. Crossing zones costs time and has a
// price, and narrower pools need their servers: the nearest alone are drawn from, but for what spills.
func (b *Balancer) choose(r *request) *endpoint {
	p := r.class.subset
	lists, leave := [][]*endpoint{p.preferred, p.ready, p.ready}, max(p.spillover, minSpillover)
	if _, ill := b.excludeUnhealthy(r, p.preferred); float64(ill) > maxExcludedShare*float64(len(p.preferred)) { // too many
		leave = max(leave, float64(ill)/float64(len(p.preferred)))
	}
	if n := len(p.preferred); n == 0 || n == len(p.ready) || b.rng.Float64() < leave {
		lists = lists[1:]
	}
	away := b.skippedZones(r)
	for i, list := range lists {
		last, part := i == len(lists)-1, p.sliceShare(list)
		if last {
			part = 1
		}
		left, right := b.groups(list, part, away)
		if ok := b.eligible(r, slices.Concat(left, right), last); ok != nil {
			return b.pick(keep(left, ok), keep(right, ok[len(left):]))
		}
	}
	return nil
}

// recordRelativeLatency learns from a latency whether requests should leave the nearest servers: while these are slower
// than the others by more than spillGain, more do, whatever the reason; else fewer.
func (p *endpointSubset) recordRelativeLatency(home bool, ratio float64) {
	side := &p.otherLatency
	if home {
		side = &p.preferredLatency
	}
	if *side += averageWeight * (ratio - *side); p.preferredLatency > p.otherLatency+spilloverThreshold {
		p.spillover += averageWeight / 2 * (1 - p.spillover)
	} else {
		p.spillover -= averageWeight / 2 * p.spillover
	}
}

// groups are the left and the right group of a list, or this copy's part of each.
func (b *Balancer) groups(list []*endpoint, part float64, away []string) (left, right []*endpoint) {
	cut := int(math.Ceil(leftGroupShare * float64(len(list))))
	if left, right = list[:cut], list[cut:]; away != nil { // shares act in the draw: the groups stay
		out := func(s *endpoint) bool { return slices.Contains(away, s.Zone) }
		left, right = slices.DeleteFunc(slices.Clone(left), out), slices.DeleteFunc(slices.Clone(right), out)
	}
	return b.slice(left, part), b.slice(right, part)
}

func keep(group []*endpoint, ok []bool) (kept []*endpoint) {
	for i, s := range group {
		if ok[i] {
			kept = append(kept, s)
		}
	}
	return kept
}

// sliceShare is the part of each group that this copy draws from. Were it the whole, connection tables would fill
// up, and own calls, spread thin, would tell nothing. It grows with the calls out in a hot copy.
func (p *endpointSubset) sliceShare(list []*endpoint) float64 {
	return min(1, (minSliceEndpoints+sliceEndpointsPerAttempt*p.peakInFlight)/float64(max(1, len(list))))
}

// slice is a part of a group, taken as a ring. The copies' numbers say where it starts, so that the
// stretches of all copies cover the servers evenly; a change of the list moves it by little.
func (b *Balancer) slice(group []*endpoint, part float64) []*endpoint {
	n := int(math.Ceil(part * float64(len(group))))
	_, at := math.Modf(sliceStride * float64(b.settings.ReplicaIndex))
	start := int(at * float64(len(group)))
	return slices.Concat(group, group)[start : start+n]
}

// eligible says which servers of a list may be drawn: in scope, untried, fit, warm enough, with room and,
// while any are, not crowded. nil means none; the last list may be drawn from without room.
func (b *Balancer) eligible(r *request, list []*endpoint, last bool) []bool {
	unfit, _ := b.excludeUnhealthy(r, list)
	limits := []func(*endpoint) int{b.evenLimit(list), b.capacityOf}
	if last {
		limits = append(limits, func(*endpoint) int { return math.MaxInt })
	}
	busy := 0.0
	for _, s := range list {
		if s.inFlight > 0 {
			busy += 1 / float64(len(list))
		}
	}
	for _, limit := range limits {
		ok := make([]bool, len(list))
		for i, s := range list {
			ok[i] = !unfit[i] && s.inFlight < limit(s) && b.inScope(r, s) && b.admittedBySlowStart(s, busy)
		}
		if slices.Contains(ok, true) {
			return ok
		}
	}
	return nil
}

// excludeUnhealthy marks and counts the servers that health keeps out. When many look bad to one node, the fault is
// likelier its own or the tier below's, and those left would take all the load: only the worst are out, up to
// a share of the list that falls as more is shed: time-outs in overload show load, not ill health. Under five
// servers that rounds to none; there, one with a longer run of bad endings than all others together is ill.
func (b *Balancer) excludeUnhealthy(r *request, list []*endpoint) (out []bool, n int) {
	sick, runs := []int(nil), 0
	out = make([]bool, len(list))
	for i, s := range list {
		runs += s.errorStreak
		if b.unhealthy(s, r) {
			sick = append(sick, i)
		}
	}
	sort.SliceStable(sick, func(i, j int) bool { return list[sick[i]].errorStreak > list[sick[j]].errorStreak })
	most := int(maxExcludedShare * (1 - r.class.subset.shedRate) * float64(len(list)))
	if maxExcludedShare*float64(len(list)) < 1 && len(sick) > 0 && 2*list[sick[0]].errorStreak > runs {
		most = min(1, len(r.class.subset.ready)-1) // the only one there is stays
	}
	for _, i := range sick[:min(len(sick), most)] {
		out[i] = true
		n++
	}
	return out, n
}

// evenLimit gives the own calls at which a server is passed over: draws that met it twice would choke it.
func (b *Balancer) evenLimit(list []*endpoint) func(*endpoint) int {
	calls := 0
	for _, s := range list {
		calls += s.inFlight
	}
	return func(s *endpoint) int { return min(b.capacityOf(s), 1+calls/len(list)) }
}

// capacityOf is the count of own calls at which a server is passed over because it refused one more: its queue
// or connections are full, and rejections drain its count. It is not ill: the health cap is not for it.
func (b *Balancer) capacityOf(s *endpoint) int {
	if b.now < s.fullUntil {
		return s.capacity
	}
	return math.MaxInt
}

// inScope keeps a request from servers that it has been to, and a keyed one that may have run to those that
// discard its repeats.
func (b *Balancer) inScope(r *request, s *endpoint) bool {
	for _, a := range r.attempts {
		scope := r.class.DeduplicationScope
		if a.endpoint == s || r.class.Idempotency == IdempotentWithKey && !a.neverRan &&
			(scope != ScopeAll && a.zone != s.Zone || scope == ScopeCell && a.cell != s.Cell) {
			return false
		}
	}
	return true
}

// ---- Health ----

// unhealthy says that a server should not be drawn now for its health.
func (b *Balancer) unhealthy(s *endpoint, r *request) bool {
	if b.now < s.ejectedUntil || b.unresponsive(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat a request that
	// cannot be repeated, nor many at once.
	return s.ejectionCount > 0 && s.successStreak == 0 && (r.class.Idempotency == NotIdempotent || s.inFlight > 0)
}

// unresponsive says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) unresponsive(s *endpoint) bool {
	i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return !a.request.bodyIncomplete && !a.request.streaming })
	if i < 0 {
		return false
	}
	over, half := b.overdue(s.attempts[i])
	return over && b.lastSuccess > half && s.lastSuccess < half
}

// overdue says that nearly all answers take less time than an attempt has had; half of that was over at half.
func (b *Balancer) overdue(a *attempt) (over bool, half time.Duration) {
	wait := time.Duration(a.request.class.meanLatency + overdueDeviations*a.request.class.latencyDeviation)
	return b.now-a.sentAt > wait && !a.request.bodyIncomplete && !a.request.streaming, a.sentAt + wait/2
}

// latencyOf is how long an attempt's answer latencyOf, or latencyOf to begin: its reader sets the pace of the rest.
func (b *Balancer) latencyOf(a *attempt) time.Duration {
	if a.responseAt > 0 {
		return a.responseAt - a.sentAt
	}
	return b.now - a.sentAt
}

// recordOutcome learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) recordOutcome(a *attempt, e AttemptEnded) {
	s, c := a.endpoint, a.request.class
	took := float64(b.latencyOf(a))
	if e.Result == Success || e.Result == TimedOut {
		c.subset.recordRelativeLatency(slices.Contains(c.subset.preferred, s), math.Log(max(took, 1)/c.meanLatency))
	}
	switch e.Result {
	case Success:
		b.retryBudget, b.lastSuccess, s.lastSuccess = min(maxRetryBudget, b.retryBudget+retryBudgetPerSuccess), b.now, b.now
		// A slow server is not ejected: its own calls stay out for long, and the lower count wins.
		s.relativeLatency += endpointAverageWeight * (math.Log(max(took, 1)/c.meanLatency) - s.relativeLatency)
		c.latencyDeviation += averageWeight * (math.Abs(took-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += averageWeight * (took - c.meanLatency)
		s.errorStreak, s.rejections = 0, 0
		b.errorRate = max(0.01, b.errorRate-averageWeight*b.errorRate)
		if s.successStreak++; s.successStreak >= probationSuccesses && s.ejectionCount > 0 {
			s.ejectionCount, s.successStreak = s.ejectionCount-1, 1
		}
	case Overloaded, ConnectFailed:
		s.fullUntil = b.now + time.Duration((0.5+b.rng.Float64())*ejectionLatencies*c.meanLatency)<<s.rejections
		s.capacity, s.rejections = s.inFlight, min(s.rejections+1, maxBackoffDoublings)
		return
	case ServerError, ConnectionLost, TimedOut:
		s.errorStreak, s.successStreak = s.errorStreak+1, 0
		// Errors that strike everywhere come from the tier below; ejecting on them would leave
		// nobody. A run counts only if the peers' error share makes it unlikely.
		if b.now >= s.ejectedUntil && math.Pow(b.errorRate, float64(s.errorStreak)) < maxStreakChance {
			s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionCount // doubles while trials fail
			s.ejectionCount = min(s.ejectionCount+1, maxBackoffDoublings)
		}
		b.errorRate += averageWeight * (1 - b.errorRate)
	}
}

// admittedBySlowStart thins the draw of a cold server to the share of a warm one's capacity that it surely has, and
// keeps it to one own call at a time: many nodes that each send a little would push it over together. Idle
// as it is, it wins against every busy server, up to twice as often as a warm one: busy, the share of those,
// takes that back. So each copy sends it about what others get for their capacity, whatever the span and the
// number of copies, and the multiple is left for bursts: half of it, where it is under two.
func (b *Balancer) admittedBySlowStart(s *endpoint, busy float64) bool {
	age := b.now - s.slowStartFrom
	if s.slowStartFrom <= 0 || age >= b.settings.SlowStartDuration {
		return true
	}
	grown := max(0, float64(age)/float64(b.settings.SlowStartDuration))
	share := (b.settings.SlowStartInitialCapacity + (1-b.settings.SlowStartInitialCapacity)*grown) / (1 + busy)
	if m := b.settings.SlowStartOverloadFactor; m > 0 {
		share *= min(1, m/2)
	}
	return s.inFlight == 0 && b.rng.Float64() < share
}

// mayRetry says whether the class's effect and the limits allow one more attempt now.
func (b *Balancer) mayRetry(r *request) guard.Verdict {
	return guard.Retry{
		Now:             b.now,
		Answered:        r.answered,
		ResponseStarted: r.streaming,
		BodyConsumed:    r.bodyConsumed,
		Attempts:        len(r.attempts),
		MaxAttempts:     max(1, b.settings.MaxAttempts),
		MayHaveRun:      slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan }),
		NotIdempotent:   r.class.Idempotency == NotIdempotent,
		Before:          b.retryBefore(r),
	}.Verdict()
}

// retryBefore is until when servers discard a repeat of a request; 0: they need not. The window runs from
// the first attempt that may have run.
func (b *Balancer) retryBefore(r *request) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if r.class.Idempotency != IdempotentWithKey || first < 0 {
		return 0
	}
	return r.attempts[first].sentAt + r.class.DeduplicationWindow - 2*b.settings.TimerResolution
}

// retryOrAnswer decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) retryOrAnswer(r *request) {
	left, cost := float64(b.usefulUntil(r)-b.now), 1.0
	if r.attempts[len(r.attempts)-1].neverRan {
		cost = unsentRetryCost
	}
	why := b.mayRetry(r)
	switch {
	case why != guard.Allowed:
	case b.retryBudget < cost:
		why = guard.RetryBudgetExhausted
	case left < r.class.meanLatency/2:
		why = guard.NoTimeForAnswer
	default:
		if s := b.choose(r); s != nil {
			b.retryBudget -= cost
			b.send(r, s)
			return
		}
		why = guard.NoEndpoint
	}
	b.answer(r, why)
}

// ---- Admission ----

// atLimit says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it.
func (b *Balancer) atLimit(p *endpointSubset) bool {
	return len(p.ready) == 0 ||
		b.settings.Tier == 0 && float64(p.inFlight)-b.inFlightAtLeftZones(p) >= math.Ceil(p.limit-p.roundingDraw)
}

// adjustLimit moves the window so that the mean latency stays at a set part of the aim: crowded servers choke, so
// the crowd must wait or be refused here. It grows slowly: those let in show only when answered.
func (b *Balancer) adjustLimit(r *request, e AttemptEnded) {
	if b.settings.Tier > 0 || e.Result == Canceled || e.Result == NotSent || e.Result == ServerError {
		return
	}
	p := r.class.subset
	over := float64(b.latencyOf(r.attempts[e.Attempt])) / float64(r.class.LatencyObjective)
	if e.Result != Success {
		over = max(over, 1)
	}
	p.samples++
	p.latencyRatio += max(1/p.samples, 2/(p.limit+16)) * (min(over, 1) - p.latencyRatio)
	// Quick answers come first: what is least shows after a window of them.
	if p.minLatencyRatio += minLatencyRiseWeight * (p.latencyRatio - p.minLatencyRatio); p.latencyRatio < p.minLatencyRatio || !p.measured() {
		p.minLatencyRatio = p.latencyRatio
	}
	// The more is shed and the less alike the servers are, the surer it is that some choke: then leaner is
	// better. A falling window is rounded by a draw: small ones, rounded up at every copy, choke the servers.
	p.roundingDraw = 0
	// Answers that take long of servers with little to do show no crowd: to shed for them would never end.
	most := targetLatencyRatio * (1 - p.shedRate*min(1, unevennessFactor*p.unevenness()))
	most = max(most, min(uncongestedFactor*p.minLatencyRatio, maxTargetLatencyRatio))
	switch knee := b.initialLimitOf(p); {
	case p.latencyRatio > most: // late answers hold servers for nothing: the later, the faster it yields
		p.limit -= limitDecrease * p.limit * (p.latencyRatio - most) / (1 - most)
		p.roundingDraw = b.rng.Float64()
	case float64(p.inFlight+1) < 0.8*p.limit:
	case p.limit < knee:
		p.limit = min(knee, p.limit+limitRecoveryIncrease)
	default:
		p.limit += limitIncrease
		p.countedEndpoints += limitIncrease / b.initialLimit
	}
	// A list that grows says nothing of the tiers below: base follows it up by answers in good time alone.
	p.countedEndpoints = min(p.countedEndpoints, p.fairShare)
	p.limit = max(p.limit, 1, minLimitShare*b.initialLimit*p.countedEndpoints)
}

// measured says that answers came of a whole window: until then the quick ones among them are too many.
func (p *endpointSubset) measured() bool { return p.samples >= p.limit+16 }

// initialLimitOf is the window up to which nothing needs to show that servers bear it. They bear what tenants were
// promised, and by how long its answers take so many calls are out: few at small servers, many at large ones
// or at such that mostly wait for others.
func (b *Balancer) initialLimitOf(p *endpointSubset) float64 {
	part := targetLatencyRatio / 2
	if p.measured() {
		part = p.minLatencyRatio
	}
	return max(b.initialLimit, p.quotaLoad*part/max(p.maxEndpoints, 1)) * p.countedEndpoints
}

// unevenness is the variance of the servers' mean log latencies.
func (p *endpointSubset) unevenness() float64 {
	var n, sum, squares float64
	for _, s := range p.ready {
		if s.relativeLatency != 0 {
			n, sum, squares = n+1, sum+s.relativeLatency, squares+s.relativeLatency*s.relativeLatency
		}
	}
	n = max(n, 1)
	return squares/n - sum/n*sum/n
}

// priority is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is worth least; the class served worst counts extra, so none starves.
func (b *Balancer) priority(r *request) float64 {
	c, worst, total := r.class, r.class, 0.0
	for _, k := range b.classOrder {
		total += k.PriorityWeight * k.arrivals
		if k.arrivals > 1 && k.served*worst.arrivals < worst.served*k.arrivals {
			worst = k
		}
	}
	v := b.settings.TotalWeight * c.PriorityWeight / max(total, 1e-9)
	if worst == c {
		v += b.settings.WorstClassWeight / max(c.arrivals, 1e-9)
	}
	if r.isRetry { // its aim runs from the client's first try and is mostly over
		v *= c.LateAnswerWeight
	}
	if r.overQuota {
		v *= b.settings.OverQuotaWeight
	}
	return v / c.meanLatency
}

// answer gives the final answer: a refusal where a retry is surely harmless, else a failure.
func (b *Balancer) answer(r *request, why guard.Verdict) {
	if r == nil || r.answered || r.streaming {
		return
	}
	harmless := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if len(r.attempts) == 0 {
		r.class.subset.shedRate += averageWeight / 4 * (1 - r.class.subset.shedRate)
	}
	if harmless {
		// A client sent away for long comes back when its aim is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.TimerResolution), Reason: why})
	} else {
		b.emit(Fail{ID: r.id, Reason: why})
	}
	b.close(r)
}

// close ends a request. What is still out for it is not called off and counts until its own ending: where
// servers work on regardless, the window would hold room that is not there. Else that work is the price.
func (b *Balancer) close(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.removeFromQueue(r)
	b.forget(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if !r.answered || r.inFlight > 0 || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	if l := r.keyQueue; l != nil {
		l.queue = slices.DeleteFunc(l.queue, func(q *request) bool { return q == r })
		b.settleKeyQueue(l)
	}
}
