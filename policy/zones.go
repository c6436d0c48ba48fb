// What a Balancer makes of whole zones: one that falls silent is more than health may keep out.

package policy

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	doubtFrom  = 2   // servers in silence from which a zone's share falls: one alone is no zone's matter
	doubtMost  = 5   // of them leave the zone nothing, or all that it has
	doubtLook  = 12  // oldest calls out that are looked at
	yielding   = 0.5 // a window falls with this power of the servers left: their nodes may be lost as well
	returnStep = 4   // mean latencies between two doublings of a share, at least
	calmAfter  = 32  // times the patience: then a zone has not come and gone
)

// zone is what this copy has seen of one zone's servers.
type zone struct {
	name    string
	servers int  // in service
	ordered bool // away, by an operator
	state   ZoneState
	share   float64 // part of its draws that it gets
	since   time.Duration
	open    []*attempt    // in order of sending
	lastOK  time.Duration // an answer of one of its servers
	silent  []*server     // at which calls got nothing since then
	until   time.Duration // no trial before; or no doubling
	flaps   int           // evacuations in short order
}

func (b *Balancer) zoneOf(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{name: name, share: 1}
		b.zones[name] = z
		b.zoneOrder = append(b.zoneOrder, z)
		slices.SortFunc(b.zoneOrder, func(x, y *zone) int { return strings.Compare(x.name, y.name) })
	}
	return z
}

// doubt counts a zone's servers in a row that left a call without an answer: it ended so, or is overdue.
// Errors are answers: a zone that fails is not silent, and one that is slow is not.
func (b *Balancer) doubt(z *zone) int {
	at := append([]*server(nil), z.silent...)
	for _, a := range z.open[:min(len(z.open), doubtLook)] {
		if over, half := b.overdue(a); over && z.lastOK < half && !slices.Contains(at, a.srv) {
			at = append(at, a.srv)
		}
	}
	return len(at)
}

// othersAnswer says that another zone with a full share has answered since: else this node may be cut off.
func (b *Balancer) othersAnswer(z *zone, since time.Duration) bool {
	answers := func(o *zone) bool { return o != z && o.servers > 0 && o.share == 1 && o.lastOK > since }
	return slices.ContainsFunc(b.zoneOrder, answers)
}

// watchZones lowers the share of a zone that falls silent while another one answers. When none does, this
// node is cut off, or all are lost: then it goes back to the ordinary path.
func (b *Balancer) watchZones() {
	for _, z := range b.zoneOrder {
		if len(b.zoneOrder) < 2 || z.state == ZoneEvacuated {
			continue
		}
		n, most := b.doubt(z), min(doubtMost, max(doubtFrom, z.servers))
		switch {
		case n < doubtFrom:
		case !b.othersAnswer(z, max(z.lastOK, b.now-b.patience())):
			for _, o := range b.zoneOrder {
				if n >= most && o.share < 1 && !o.ordered {
					b.turn(o, ZoneServing, 1)
				}
			}
		case n >= most:
			if z.state == ZoneServing && b.now-z.since > calmAfter*b.patience() {
				z.flaps = 0
			}
			b.turn(z, ZoneEvacuated, 0)
			z.until = b.now + b.patience()<<z.flaps
			z.flaps = min(z.flaps+1, maxLevel)
		case math.Exp2(float64(doubtFrom-1-n)) < z.share:
			b.turn(z, ZoneDegraded, math.Exp2(float64(doubtFrom-1-n)))
		}
	}
}

// orderZone takes an operator's order, which comes before all that the zone shows.
func (b *Balancer) orderZone(e ZoneEvacuation) {
	z := b.zoneOf(e.Zone)
	if z.ordered == e.Evacuate {
		return
	}
	z.ordered, z.silent = e.Evacuate, nil
	share := 1.0
	if e.Evacuate {
		share = 0
	}
	b.turn(z, ZoneEvacuated, share)
}

// patience is a time in which a zone that lives would have answered.
func (b *Balancer) patience() time.Duration {
	slowest := slices.MaxFunc(b.order[:len(b.order)-1], func(x, y *class) int { return int(x.mean - y.mean) })
	return time.Duration(slowest.mean)
}

// turn changes a zone's state and share, and what the windows make of it. With a whole share it serves.
func (b *Balancer) turn(z *zone, to ZoneState, share float64) {
	if share >= 1 {
		to, share = ZoneServing, 1
	}
	if to != z.state {
		z.since, b.turns = b.now, b.turns+1
	}
	power := yielding
	if share > z.share && z.state != ZoneDegraded { // half of the way up, but all of it after a false alarm
		power /= 2
	}
	z.state, z.share = to, share
	for _, p := range b.pools {
		b.weigh(p, power)
	}
}

// weight is how many servers a list has, each by its zone's share.
func (b *Balancer) weight(list []*server) (w float64) {
	for _, s := range list {
		w += b.zoneOf(s.Zone).share
	}
	return w
}

// countZones counts the servers in service. A zone that had none needs no trial: discovery vouches for it.
func (b *Balancer) countZones(ready []*server) {
	for _, z := range b.zoneOrder {
		if z.servers == 0 && z.state == ZoneEvacuated && !z.ordered {
			b.regain(z, math.Exp2(float64(1-z.flaps)))
		}
		z.servers = 0
	}
	for _, s := range ready {
		b.zoneOf(s.Zone).servers++
	}
}

// weigh finds a pool's fair part for a copy, which its window follows with a power.
func (b *Balancer) weigh(p *pool, power float64) {
	fair := b.weight(p.mine) / b.copies
	if p.fair > 0 {
		p.window, p.base = max(1, p.window*math.Pow(fair/p.fair, power)), min(p.base, fair)
	}
	p.fair = fair
}

// hearZone learns from an ending, by what it tells of a zone as a whole.
func (b *Balancer) hearZone(a *attempt, e AttemptEnded) {
	z := b.zoneOf(a.zone)
	z.open = slices.DeleteFunc(z.open, func(o *attempt) bool { return o == a })
	switch e.Result {
	case Success, ServerError, Overloaded:
		z.lastOK, z.silent = b.now, nil
		switch {
		case z.ordered:
		case z.state == ZoneDegraded:
			b.turn(z, ZoneServing, 1)
		case z.state == ZoneEvacuated: // one that comes and goes gets less at first
			b.regain(z, math.Exp2(float64(1-z.flaps)))
		case z.state == ZoneRecovering && b.now >= z.until:
			b.regain(z, 2*z.share)
		}
	case TimedOut, ConnectFailed, ConnectionLost:
		if len(z.silent) < doubtMost && !slices.Contains(z.silent, a.srv) {
			z.silent = append(z.silent, a.srv)
		}
		if z.state == ZoneEvacuated { // a trial failed, or what was out before
			z.until = b.now + b.patience()<<z.flaps
		}
	}
}

// regain gives a zone a share again. Its cold servers are spared by warmEnough, whatever the share.
func (b *Balancer) regain(z *zone, share float64) {
	z.until = b.now + returnStep*b.patience()
	b.turn(z, ZoneRecovering, share)
}

// away draws which zones are left out for one request, each by its share; never all that a pool has.
func (b *Balancer) away(r *request) (out []string) {
	left := 0
	for _, z := range b.zoneOrder {
		if !slices.ContainsFunc(r.class.pool.ready, func(s *server) bool { return s.Zone == z.name }) {
			continue
		}
		left++
		if z.share == 1 || b.trial(z, r) || z.share > 0 && b.rng.Float64() < z.share {
			continue
		}
		out = append(out, z.name)
	}
	if len(out) == left {
		return nil
	}
	return out
}

// trial says that a request may try a zone that was left: one at a time, and only one that may be repeated.
func (b *Balancer) trial(z *zone, r *request) bool {
	return z.state == ZoneEvacuated && !z.ordered && r.class.Idempotency == Idempotent && b.now >= z.until &&
		!slices.ContainsFunc(z.open, func(a *attempt) bool { return a.sent >= z.until })
}

// stuck is how many of a pool's calls are out at zones that have been left: they take no room elsewhere.
func (b *Balancer) stuck(p *pool) (n float64) {
	for _, z := range b.zoneOrder {
		for i := 0; z.share < 1 && i < len(z.open); i++ {
			if z.open[i].req.class.pool == p {
				n += 1 - z.share
			}
		}
	}
	return n
}
