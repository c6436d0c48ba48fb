package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Detection of an unresponsive zone, and its recovery.
const (
	minUnresponsive       = 2   // unresponsive endpoints from which a zone's share falls
	maxUnresponsive       = 5   // unresponsive endpoints that evacuate a zone, or all that it has
	maxAttemptsExamined   = 12  // oldest attempts in flight that are checked
	limitReductionPower   = 0.5 // power of the endpoints left that limits follow: replicas may be lost too
	recoveryStepLatencies = 4   // mean latencies between two doublings of a share
	flapResetFactor       = 32  // mean latencies in service after which a zone is not flapping
)

// zone is what this replica has seen of the endpoints of one zone.
//
//	from        to          when
//	serving     degraded    some endpoints are unresponsive while another zone answers
//	serving     evacuated   many are, or an operator's override
//	degraded    serving     an endpoint answers
//	degraded    evacuated   as from serving
//	evacuated   recovering  a health probe is answered, or discovery says that it has endpoints again
//	evacuated   serving     the same after the first evacuation, or an operator's override ends
//	recovering  serving     the share has grown to 1
//	recovering  degraded    as from serving
//	recovering  evacuated   as from serving
//	any         serving     no zone answers, so this replica may be isolated
type zone struct {
	name                string
	state               ZoneState
	evacuatedByOperator bool
	share               float64 // part of its draws that it gets
	since               time.Duration
	endpoints           int        // in service
	attempts            []*attempt // in flight, in order of sending
	lastAnswer          time.Duration
	unresponsive        []*endpoint   // endpoints with attempts that ended without an answer since then
	waitUntil           time.Duration // before then no health probe, or no doubling of the share
	flaps               int           // evacuations in quick succession
}

// unresponsiveCount counts the endpoints with an attempt that is overdue or ended without an answer, since
// the zone's last answer. Errors count as answers.
func (z *zone) unresponsiveCount(now time.Duration) int {
	suspects := slices.Clone(z.unresponsive)
	oldest := z.attempts[:min(len(z.attempts), maxAttemptsExamined)]
	for _, a := range oldest {
		overdue, halfway := a.overdue(now)
		if overdue && z.lastAnswer < halfway && !slices.Contains(suspects, a.endpoint) {
			suspects = append(suspects, a.endpoint)
		}
	}
	return len(suspects)
}

// addUnresponsive notes an endpoint whose attempt ended without an answer.
func (z *zone) addUnresponsive(ep *endpoint) {
	if len(z.unresponsive) < maxUnresponsive && !slices.Contains(z.unresponsive, ep) {
		z.unresponsive = append(z.unresponsive, ep)
	}
}

// removeAttempt takes an attempt off those in flight.
func (z *zone) removeAttempt(a *attempt) {
	z.attempts = slices.DeleteFunc(z.attempts, func(other *attempt) bool { return other == a })
}

// recoveryShare is the share of a zone that answers again. A flapping zone starts with less.
func (z *zone) recoveryShare() float64 { return math.Exp2(float64(1 - z.flaps)) }

// startWait delays the next health probe, with exponential backoff over evacuations.
func (z *zone) startWait(now, patience time.Duration) { z.waitUntil = now + patience<<z.flaps }

// allowsProbe says that a request may be the health probe of an evacuated zone: one at a time, and only an
// idempotent one.
func (z *zone) allowsProbe(r *request, now time.Duration) bool {
	if z.state != ZoneEvacuated || z.evacuatedByOperator || now < z.waitUntil {
		return false
	}
	if r.class.Idempotency != Idempotent {
		return false
	}
	return !slices.ContainsFunc(z.attempts, func(a *attempt) bool { return a.sentAt >= z.waitUntil })
}

// zoneTracker detects unresponsive zones, whose endpoints are more than outlier ejection may exclude. It
// uses attempts in flight, and each change of a share changes the limits of subsets, so it is a file of
// package policy.
type zoneTracker struct {
	byName      map[string]*zone
	sorted      []*zone              // by name
	transitions int                  // from one state to another
	patience    func() time.Duration // time within which a working zone answers
	onShare     func(power float64)  // called after each change of a share, with the power that limits follow
}

func newZoneTracker(patience func() time.Duration, onShare func(power float64)) zoneTracker {
	return zoneTracker{
		byName:   map[string]*zone{},
		patience: patience,
		onShare:  onShare,
	}
}

// get returns a zone by its name. A new zone is in service.
func (t *zoneTracker) get(name string) *zone {
	if z := t.byName[name]; z != nil {
		return z
	}
	z := &zone{name: name, share: 1}
	t.byName[name] = z
	t.sorted = append(t.sorted, z)
	slices.SortFunc(t.sorted, func(x, y *zone) int { return strings.Compare(x.name, y.name) })
	return z
}

// weight is the number of endpoints in a list, each weighted by the share of its zone.
func (t *zoneTracker) weight(list []*endpoint) float64 {
	weight := 0.0
	for _, ep := range list {
		weight += t.get(ep.Zone).share
	}
	return weight
}

// countEndpoints counts the endpoints in service. An evacuated zone without endpoints recovers without a
// probe when discovery lists some.
func (t *zoneTracker) countEndpoints(ready []*endpoint, now time.Duration) {
	for _, z := range t.sorted {
		if z.endpoints == 0 && z.state == ZoneEvacuated && !z.evacuatedByOperator {
			t.recover(z, z.recoveryShare(), now)
		}
		z.endpoints = 0
	}
	for _, ep := range ready {
		t.get(ep.Zone).endpoints++
	}
}

// check lowers the share of each zone that is unresponsive while another one answers.
func (t *zoneTracker) check(now time.Duration) {
	if len(t.sorted) < 2 {
		return
	}
	for _, z := range t.sorted {
		if z.state != ZoneEvacuated {
			t.checkZone(z, now)
		}
	}
}

func (t *zoneTracker) checkZone(z *zone, now time.Duration) {
	count := z.unresponsiveCount(now)
	if count < minUnresponsive {
		return
	}
	evacuateFrom := min(maxUnresponsive, max(minUnresponsive, z.endpoints))
	degradedShare := math.Exp2(float64(minUnresponsive - 1 - count))
	switch {
	case !t.anotherAnswers(z, max(z.lastAnswer, now-t.patience())):
		if count >= evacuateFrom {
			t.restoreAll(now)
		}
	case count >= evacuateFrom:
		t.evacuate(z, now)
	case degradedShare < z.share:
		t.transition(z, ZoneDegraded, degradedShare, now)
	}
}

// anotherAnswers says that another zone with its full share has answered since. Otherwise this replica may
// be isolated.
func (t *zoneTracker) anotherAnswers(z *zone, since time.Duration) bool {
	return slices.ContainsFunc(t.sorted, func(other *zone) bool {
		return other != z && other.endpoints > 0 && other.share == 1 && other.lastAnswer > since
	})
}

// restoreAll gives all zones their full share: when none answers, this replica may be isolated.
func (t *zoneTracker) restoreAll(now time.Duration) {
	for _, z := range t.sorted {
		if z.share < 1 && !z.evacuatedByOperator {
			t.transition(z, ZoneServing, 1, now)
		}
	}
}

func (t *zoneTracker) evacuate(z *zone, now time.Duration) {
	if z.state == ZoneServing && now-z.since > flapResetFactor*t.patience() {
		z.flaps = 0
	}
	t.transition(z, ZoneEvacuated, 0, now)
	z.startWait(now, t.patience())
	z.flaps = min(z.flaps+1, maxBackoffDoublings)
}

// override applies an operator's override, which has precedence over what is observed.
func (t *zoneTracker) override(e ZoneEvacuation, now time.Duration) {
	z := t.get(e.Zone)
	if z.evacuatedByOperator == e.Evacuate {
		return
	}
	z.evacuatedByOperator = e.Evacuate
	z.unresponsive = nil
	if e.Evacuate {
		t.transition(z, ZoneEvacuated, 0, now)
	} else {
		t.transition(z, ZoneServing, 1, now)
	}
}

// recover gives a zone a share of its draws again.
func (t *zoneTracker) recover(z *zone, share float64, now time.Duration) {
	z.waitUntil = now + recoveryStepLatencies*t.patience()
	t.transition(z, ZoneRecovering, share, now)
}

// transition changes the state and the share of a zone. A zone with its full share is in service. A growing
// share raises the limits by half of the power, except after a false alarm.
func (t *zoneTracker) transition(z *zone, to ZoneState, share float64, now time.Duration) {
	if share >= 1 {
		to = ZoneServing
		share = 1
	}
	if to != z.state {
		z.since = now
		t.transitions++
	}
	power := limitReductionPower
	if share > z.share && z.state != ZoneDegraded {
		power /= 2
	}
	z.state = to
	z.share = share
	t.onShare(power)
}

// addAttempt counts an attempt that starts.
func (t *zoneTracker) addAttempt(a *attempt) {
	z := t.get(a.zone)
	z.attempts = append(z.attempts, a)
}

// recordOutcome records the end of an attempt in its zone.
func (t *zoneTracker) recordOutcome(a *attempt, result AttemptResult, now time.Duration) {
	z := t.get(a.zone)
	z.removeAttempt(a)
	switch result {
	case Success, ServerError, Overloaded:
		t.recordAnswer(z, now)
	case TimedOut, ConnectFailed, ConnectionLost:
		z.addUnresponsive(a.endpoint)
		if z.state == ZoneEvacuated { // a probe failed, or an attempt from before the evacuation
			z.startWait(now, t.patience())
		}
	}
}

func (t *zoneTracker) recordAnswer(z *zone, now time.Duration) {
	z.lastAnswer = now
	z.unresponsive = nil
	switch {
	case z.evacuatedByOperator:
	case z.state == ZoneDegraded:
		t.transition(z, ZoneServing, 1, now)
	case z.state == ZoneEvacuated:
		t.recover(z, z.recoveryShare(), now)
	case z.state == ZoneRecovering && now >= z.waitUntil:
		t.recover(z, 2*z.share, now)
	}
}

// skipped draws the zones that a request skips, by their shares. It never skips all zones of a subset.
func (t *zoneTracker) skipped(r *request, now time.Duration, rng *rand.Rand) []string {
	var skipped []string
	candidates := 0
	for _, z := range t.sorted {
		inZone := func(ep *endpoint) bool { return ep.Zone == z.name }
		if !slices.ContainsFunc(r.class.subset.ready, inZone) {
			continue
		}
		candidates++
		if z.share == 1 || z.allowsProbe(r, now) || z.share > 0 && rng.Float64() < z.share {
			continue
		}
		skipped = append(skipped, z.name)
	}
	if len(skipped) == candidates {
		return nil
	}
	return skipped
}

// stranded is the number of a subset's attempts in flight at zones with a reduced share. They use no
// capacity of the other zones.
func (t *zoneTracker) stranded(subset *endpointSubset) float64 {
	count := 0.0
	for _, z := range t.sorted {
		if z.share >= 1 {
			continue
		}
		for _, a := range z.attempts {
			if a.request.class.subset == subset {
				count += 1 - z.share
			}
		}
	}
	return count
}
