// What a Balancer makes of whole zones: one that falls silent is more than health may keep out.

package policy

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	minUnresponsive       = 2   // servers in silence from which a zone's share falls: one alone is no zone's matter
	maxUnresponsive       = 5   // of them leave the zone nothing, or all that it has
	maxAttemptsExamined   = 12  // oldest calls out that are looked at
	limitReductionPower   = 0.5 // a window falls with this power of the servers left: their nodes may be lost as well
	recoveryStepLatencies = 4   // mean latencies between two doublings of a share, at least
	flapResetFactor       = 32  // times the patience: then a zone has not come and gone
)

// zone is what this copy has seen of one zone's servers.
type zone struct {
	name                string
	endpoints           int  // in service
	evacuatedByOperator bool // away, by an operator
	state               ZoneState
	share               float64 // part of its draws that it gets
	since               time.Duration
	attempts            []*attempt    // in order of sending
	lastAnswer          time.Duration // an answer of one of its servers
	unresponsive        []*endpoint   // at which calls got nothing since then
	waitUntil           time.Duration // no trial before; or no doubling
	flaps               int           // evacuations in short order
}

func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{name: name, share: 1}
		b.zones[name] = z
		b.zonesByName = append(b.zonesByName, z)
		slices.SortFunc(b.zonesByName, func(x, y *zone) int { return strings.Compare(x.name, y.name) })
	}
	return z
}

// unresponsiveEndpoints counts a zone's servers in a row that left a call without an answer: it ended so, or is overdue.
// Errors are answers: a zone that fails is not silent, and one that is slow is not.
func (b *Balancer) unresponsiveEndpoints(z *zone) int {
	at := append([]*endpoint(nil), z.unresponsive...)
	for _, a := range z.attempts[:min(len(z.attempts), maxAttemptsExamined)] {
		if over, half := b.overdue(a); over && z.lastAnswer < half && !slices.Contains(at, a.endpoint) {
			at = append(at, a.endpoint)
		}
	}
	return len(at)
}

// othersAnswer says that another zone with a full share has answered since: else this node may be cut off.
func (b *Balancer) othersAnswer(z *zone, since time.Duration) bool {
	answers := func(o *zone) bool { return o != z && o.endpoints > 0 && o.share == 1 && o.lastAnswer > since }
	return slices.ContainsFunc(b.zonesByName, answers)
}

// watchZones lowers the share of a zone that falls silent while another one answers. When none does, this
// node is cut off, or all are lost: then it goes back to the ordinary path.
func (b *Balancer) watchZones() {
	for _, z := range b.zonesByName {
		if len(b.zonesByName) < 2 || z.state == ZoneEvacuated {
			continue
		}
		n, most := b.unresponsiveEndpoints(z), min(maxUnresponsive, max(minUnresponsive, z.endpoints))
		switch {
		case n < minUnresponsive:
		case !b.othersAnswer(z, max(z.lastAnswer, b.now-b.patience())):
			for _, o := range b.zonesByName {
				if n >= most && o.share < 1 && !o.evacuatedByOperator {
					b.transitionZone(o, ZoneServing, 1)
				}
			}
		case n >= most:
			if z.state == ZoneServing && b.now-z.since > flapResetFactor*b.patience() {
				z.flaps = 0
			}
			b.transitionZone(z, ZoneEvacuated, 0)
			z.waitUntil = b.now + b.patience()<<z.flaps
			z.flaps = min(z.flaps+1, maxBackoffDoublings)
		case math.Exp2(float64(minUnresponsive-1-n)) < z.share:
			b.transitionZone(z, ZoneDegraded, math.Exp2(float64(minUnresponsive-1-n)))
		}
	}
}

// handleZoneEvacuation takes an operator's order, which comes before all that the zone shows.
func (b *Balancer) handleZoneEvacuation(e ZoneEvacuation) {
	z := b.zone(e.Zone)
	if z.evacuatedByOperator == e.Evacuate {
		return
	}
	z.evacuatedByOperator, z.unresponsive = e.Evacuate, nil
	share := 1.0
	if e.Evacuate {
		share = 0
	}
	b.transitionZone(z, ZoneEvacuated, share)
}

// patience is a time in which a zone that lives would have answered.
func (b *Balancer) patience() time.Duration {
	slowest := slices.MaxFunc(b.classOrder[:len(b.classOrder)-1], func(x, y *class) int { return int(x.meanLatency - y.meanLatency) })
	return time.Duration(slowest.meanLatency)
}

// transitionZone changes a zone's state and share, and what the windows make of it. With a whole share it serves.
func (b *Balancer) transitionZone(z *zone, to ZoneState, share float64) {
	if share >= 1 {
		to, share = ZoneServing, 1
	}
	if to != z.state {
		z.since, b.zoneTransitions = b.now, b.zoneTransitions+1
	}
	power := limitReductionPower
	if share > z.share && z.state != ZoneDegraded { // half of the way up, but all of it after a false alarm
		power /= 2
	}
	z.state, z.share = to, share
	for _, p := range b.subsets {
		b.updateFairShare(p, power)
	}
}

// weight is how many servers a list has, each by its zone's share.
func (b *Balancer) weight(list []*endpoint) (w float64) {
	for _, s := range list {
		w += b.zone(s.Zone).share
	}
	return w
}

// countZoneEndpoints counts the servers in service. A zone that had none needs no trial: discovery vouches for it.
func (b *Balancer) countZoneEndpoints(ready []*endpoint) {
	for _, z := range b.zonesByName {
		if z.endpoints == 0 && z.state == ZoneEvacuated && !z.evacuatedByOperator {
			b.recoverZone(z, math.Exp2(float64(1-z.flaps)))
		}
		z.endpoints = 0
	}
	for _, s := range ready {
		b.zone(s.Zone).endpoints++
	}
}

// updateFairShare finds a pool's fair part for a copy, which its window follows with a power.
func (b *Balancer) updateFairShare(p *endpointSubset, power float64) {
	fair := b.weight(p.owned) / b.replicas
	if p.fairShare > 0 {
		p.limit, p.countedEndpoints = max(1, p.limit*math.Pow(fair/p.fairShare, power)), min(p.countedEndpoints, fair)
	}
	p.fairShare = fair
}

// recordZoneOutcome learns from an ending, by what it tells of a zone as a whole.
func (b *Balancer) recordZoneOutcome(a *attempt, e AttemptEnded) {
	z := b.zone(a.zone)
	z.attempts = slices.DeleteFunc(z.attempts, func(o *attempt) bool { return o == a })
	switch e.Result {
	case Success, ServerError, Overloaded:
		z.lastAnswer, z.unresponsive = b.now, nil
		switch {
		case z.evacuatedByOperator:
		case z.state == ZoneDegraded:
			b.transitionZone(z, ZoneServing, 1)
		case z.state == ZoneEvacuated: // one that comes and goes gets less at first
			b.recoverZone(z, math.Exp2(float64(1-z.flaps)))
		case z.state == ZoneRecovering && b.now >= z.waitUntil:
			b.recoverZone(z, 2*z.share)
		}
	case TimedOut, ConnectFailed, ConnectionLost:
		if len(z.unresponsive) < maxUnresponsive && !slices.Contains(z.unresponsive, a.endpoint) {
			z.unresponsive = append(z.unresponsive, a.endpoint)
		}
		if z.state == ZoneEvacuated { // a trial failed, or what was out before
			z.waitUntil = b.now + b.patience()<<z.flaps
		}
	}
}

// recoverZone gives a zone a share again. Its cold servers are spared by warmEnough, whatever the share.
func (b *Balancer) recoverZone(z *zone, share float64) {
	z.waitUntil = b.now + recoveryStepLatencies*b.patience()
	b.transitionZone(z, ZoneRecovering, share)
}

// skippedZones draws which zones are left out for one request, each by its share; never all that a pool has.
func (b *Balancer) skippedZones(r *request) (out []string) {
	left := 0
	for _, z := range b.zonesByName {
		if !slices.ContainsFunc(r.class.subset.ready, func(s *endpoint) bool { return s.Zone == z.name }) {
			continue
		}
		left++
		if z.share == 1 || b.probesZone(z, r) || z.share > 0 && b.rng.Float64() < z.share {
			continue
		}
		out = append(out, z.name)
	}
	if len(out) == left {
		return nil
	}
	return out
}

// probesZone says that a request may try a zone that was left: one at a time, and only one that may be repeated.
func (b *Balancer) probesZone(z *zone, r *request) bool {
	return z.state == ZoneEvacuated && !z.evacuatedByOperator && r.class.Idempotency == Idempotent && b.now >= z.waitUntil &&
		!slices.ContainsFunc(z.attempts, func(a *attempt) bool { return a.sentAt >= z.waitUntil })
}

// inFlightAtLeftZones is how many of a pool's calls are out at zones that have been left: they take no room elsewhere.
func (b *Balancer) inFlightAtLeftZones(p *endpointSubset) (n float64) {
	for _, z := range b.zonesByName {
		for i := 0; z.share < 1 && i < len(z.attempts); i++ {
			if z.attempts[i].request.class.subset == p {
				n += 1 - z.share
			}
		}
	}
	return n
}
