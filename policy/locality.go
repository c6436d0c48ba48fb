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
	minUnresponsive        = 2   // number of unresponsive endpoints from which a zone's share is reduced
	maxUnresponsive        = 5   // number that evacuates a zone; if the zone has fewer endpoints, all of them
	maxAttemptsExamined    = 12  // only this many of the oldest attempts in flight are checked
	limitReductionExponent = 0.5 // limits follow the shares with this exponent: replicas may be lost as well
	recoveryStepLatencies  = 4   // mean latencies between two doublings of a share
	flapResetFactor        = 32  // mean latencies in service after which a zone no longer counts as flapping
)

// zone is the state of one zone, as observed by this replica at the zone's endpoints.
//
//	from        to          when
//	serving     degraded    some endpoints are unresponsive while another zone answers
//	serving     evacuated   many endpoints are unresponsive, or an operator's override starts
//	degraded    serving     an endpoint answers
//	degraded    evacuated   as from serving
//	evacuated   recovering  a health probe is answered, or the list changes after it had no endpoint of the zone
//	evacuated   serving     as to recovering, if it was the first evacuation; or an operator's override ends
//	recovering  serving     the share has grown to 1
//	recovering  degraded    as from serving
//	recovering  evacuated   as from serving
//	any         serving     no zone answers, so this replica may be isolated
type zone struct {
	name                string
	state               ZoneState
	evacuatedByOperator bool
	share               float64       // probability that a request may be sent to the zone
	since               time.Duration // time of the last change of the state
	endpoints           int           // number of ready endpoints
	attempts            []*attempt    // in flight, in order of sending
	lastAnswer          time.Duration // time of the last answer from any endpoint of the zone
	unresponsive        []*endpoint   // endpoints with attempts that ended without an answer since lastAnswer
	waitUntil           time.Duration // no health probe, and no doubling of the share, before this time
	flaps               int           // evacuations in quick succession
}

// unresponsiveCount returns the number of endpoints that, since the zone's last answer, had an attempt that
// ended without an answer or is overdue. Errors count as answers.
func (z *zone) unresponsiveCount(now time.Duration) int {
	unresponsive := slices.Clone(z.unresponsive)
	oldest := z.attempts[:min(len(z.attempts), maxAttemptsExamined)]
	for _, a := range oldest {
		overdue, halfway := a.overdue(now)
		if overdue && z.lastAnswer < halfway && !slices.Contains(unresponsive, a.endpoint) {
			unresponsive = append(unresponsive, a.endpoint)
		}
	}
	return len(unresponsive)
}

// addUnresponsive records an endpoint whose attempt ended without an answer.
func (z *zone) addUnresponsive(ep *endpoint) {
	if len(z.unresponsive) < maxUnresponsive && !slices.Contains(z.unresponsive, ep) {
		z.unresponsive = append(z.unresponsive, ep)
	}
}

// removeAttempt removes an attempt from those in flight.
func (z *zone) removeAttempt(a *attempt) {
	z.attempts = slices.DeleteFunc(z.attempts, func(other *attempt) bool { return other == a })
}

// recoveryShare returns the share with which an evacuated zone recovers: 1 after its first evacuation, and
// half of the previous one with each further flap.
func (z *zone) recoveryShare() float64 { return math.Exp2(float64(1 - z.flaps)) }

// delayProbe delays the next health probe by a mean latency, doubled with each flap.
func (z *zone) delayProbe(now, meanLatency time.Duration) { z.waitUntil = now + meanLatency<<z.flaps }

// allowsProbe reports whether a request may be sent to an evacuated zone as a health probe. The request must
// be idempotent, and no other probe may be in flight.
func (z *zone) allowsProbe(r *request, now time.Duration) bool {
	if z.state != ZoneEvacuated || z.evacuatedByOperator || now < z.waitUntil {
		return false
	}
	if r.class.Idempotency != Idempotent {
		return false
	}
	return !slices.ContainsFunc(z.attempts, func(a *attempt) bool { return a.sentAt >= z.waitUntil })
}

// zoneTracker detects unresponsive zones, which have more endpoints than outlier ejection may exclude. It is
// in package policy because it reads attempts in flight, and because each change of a zone's share changes the
// limits of subsets.
type zoneTracker struct {
	byName      map[string]*zone
	sorted      []*zone                // by name
	transitions int                    // number of changes of a zone's state
	meanLatency func() time.Duration   // time within which a working zone is expected to answer
	onShare     func(exponent float64) // called after each change of a share, with the exponent for the limits
}

func newZoneTracker(meanLatency func() time.Duration, onShare func(exponent float64)) zoneTracker {
	return zoneTracker{
		byName:      map[string]*zone{},
		meanLatency: meanLatency,
		onShare:     onShare,
	}
}

// get returns the zone with a name, and adds it in state serving if it is new.
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

// weight returns the number of endpoints in a list, each weighted by the share of its zone.
func (t *zoneTracker) weight(list []*endpoint) float64 {
	weight := 0.0
	for _, ep := range list {
		weight += t.get(ep.Zone).share
	}
	return weight
}

// countEndpoints counts the ready endpoints of each zone at an update of the endpoint list. An evacuated zone
// that had none before the update recovers without a probe, since no endpoint could have answered one. A zone
// that an operator has evacuated stays evacuated.
func (t *zoneTracker) countEndpoints(ready []*endpoint, now time.Duration) {
	for _, z := range t.sorted {
		if z.endpoints == 0 && z.state == ZoneEvacuated && !z.evacuatedByOperator {
			t.advanceRecovery(z, z.recoveryShare(), now)
		}
		z.endpoints = 0
	}
	for _, ep := range ready {
		t.get(ep.Zone).endpoints++
	}
}

// check reduces the share of each zone that is unresponsive while another zone answers.
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

// checkZone reduces the share of a zone by its number of unresponsive endpoints: by half from minUnresponsive,
// by half again for each further one, and to nothing for an evacuation. If no other zone answers either, it
// does not reduce the share, and instead of an evacuation it restores the shares of all zones.
func (t *zoneTracker) checkZone(z *zone, now time.Duration) {
	count := z.unresponsiveCount(now)
	if count < minUnresponsive {
		return
	}
	evacuateFrom := min(maxUnresponsive, max(minUnresponsive, z.endpoints))
	degradedShare := math.Exp2(float64(minUnresponsive - 1 - count))
	switch {
	case !t.anotherAnswers(z, max(z.lastAnswer, now-t.meanLatency())):
		if count >= evacuateFrom {
			t.restoreAll(now)
		}
	case count >= evacuateFrom:
		t.evacuate(z, now)
	case degradedShare < z.share:
		t.transition(z, ZoneDegraded, degradedShare, now)
	}
}

// anotherAnswers reports whether another zone with its full share has answered after a time. If none has,
// this replica may be isolated.
func (t *zoneTracker) anotherAnswers(z *zone, since time.Duration) bool {
	return slices.ContainsFunc(t.sorted, func(other *zone) bool {
		return other != z && other.endpoints > 0 && other.share == 1 && other.lastAnswer > since
	})
}

// restoreAll gives all zones their full share, except those evacuated by an operator. It is called when no
// zone answers, since this replica may then be isolated.
func (t *zoneTracker) restoreAll(now time.Duration) {
	for _, z := range t.sorted {
		if z.share < 1 && !z.evacuatedByOperator {
			t.transition(z, ZoneServing, 1, now)
		}
	}
}

// evacuate sets the share of a zone to 0, delays its first health probe, and counts the flap.
func (t *zoneTracker) evacuate(z *zone, now time.Duration) {
	if z.state == ZoneServing && now-z.since > flapResetFactor*t.meanLatency() {
		z.flaps = 0
	}
	t.transition(z, ZoneEvacuated, 0, now)
	z.delayProbe(now, t.meanLatency())
	z.flaps = min(z.flaps+1, maxBackoffDoublings)
}

// override starts or ends an operator's override, which takes precedence over observed failures and answers.
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

// advanceRecovery gives a zone in recovery its next share, and delays the next doubling of the share.
func (t *zoneTracker) advanceRecovery(z *zone, share float64, now time.Duration) {
	z.waitUntil = now + recoveryStepLatencies*t.meanLatency()
	t.transition(z, ZoneRecovering, share, now)
}

// transition changes the state and the share of a zone. A zone with its full share is always in state serving.
// The limits follow the share with limitReductionExponent. When the share grows, they follow it with half of
// that exponent, except after state degraded, whose cause was then a false alarm.
func (t *zoneTracker) transition(z *zone, to ZoneState, share float64, now time.Duration) {
	if share >= 1 {
		to = ZoneServing
		share = 1
	}
	if to != z.state {
		z.since = now
		t.transitions++
	}
	exponent := limitReductionExponent
	if share > z.share && z.state != ZoneDegraded {
		exponent /= 2
	}
	z.state = to
	z.share = share
	t.onShare(exponent)
}

// addAttempt adds a started attempt to its zone.
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
		if z.state == ZoneEvacuated { // the attempt was a probe, or sent before the evacuation
			z.delayProbe(now, t.meanLatency())
		}
	}
}

// recordAnswer records an answer from a zone, and advances its recovery unless an operator has evacuated it.
func (t *zoneTracker) recordAnswer(z *zone, now time.Duration) {
	z.lastAnswer = now
	z.unresponsive = nil
	switch {
	case z.evacuatedByOperator:
	case z.state == ZoneDegraded:
		t.transition(z, ZoneServing, 1, now)
	case z.state == ZoneEvacuated:
		t.advanceRecovery(z, z.recoveryShare(), now)
	case z.state == ZoneRecovering && now >= z.waitUntil:
		t.advanceRecovery(z, 2*z.share, now)
	}
}

// drawSkipped draws at random, by the shares of the zones, the zones that a request is not sent to. If it drew
// all zones of the subset, it returns none.
func (t *zoneTracker) drawSkipped(r *request, now time.Duration, rng *rand.Rand) []string {
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

// uncountedAttempts returns how many of a subset's attempts in flight do not count against its limit: each
// attempt in a zone with a reduced share, weighted by the missing part of that share. They use no capacity of
// the other zones.
func (t *zoneTracker) uncountedAttempts(subset *endpointSubset) float64 {
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
