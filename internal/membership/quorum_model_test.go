package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	modelStep      = 20 * time.Millisecond
	modelDetection = 1500 * time.Millisecond // how long an unreachable member stays live
	modelDigest    = 1
)

// link is the way from one process to another.
type link struct{ from, to string }

// quorumModel runs quorums in virtual time over a network that delays, loses and splits.
type quorumModel struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	names         []string
	seeds         []string
	quorums       map[string]*quorum       // nil: the process is down
	clockOffset   map[string]time.Duration // what a process's clock is ahead
	stoppedUntil  map[string]time.Duration // a process stands still until then
	cut           map[link]bool
	loss          float64
	delay         time.Duration
	inFlight      []delivery
	lastReachable map[link]time.Duration // by observer and observed: when the link was last open both ways
	lastProcess   uint64
	left          map[string]bool
	leavingSince  map[string]time.Duration

	record func(from, to string, m message) // of all that is sent; may be nil
}

type delivery struct {
	at time.Duration
	to string
	m  message
}

func newQuorumModel(t *testing.T, seed uint64, size int) *quorumModel {
	model := &quorumModel{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, 9)),
		quorums:       map[string]*quorum{},
		clockOffset:   map[string]time.Duration{},
		stoppedUntil:  map[string]time.Duration{},
		cut:           map[link]bool{},
		delay:         5 * time.Millisecond,
		lastReachable: map[link]time.Duration{},
		left:          map[string]bool{},
		leavingSince:  map[string]time.Duration{},
	}
	for i := range size {
		model.names = append(model.names, fmt.Sprintf("n%02d", i))
	}
	model.seeds = model.names[:min(size, 3)]
	for _, name := range model.names {
		model.start(name)
	}
	return model
}

// newFoundedModel is the model of seed 1, whose processes have founded a fleet.
func newFoundedModel(t *testing.T, size int) *quorumModel {
	t.Helper()
	model := newQuorumModel(t, 1, size)
	model.until("founding", 10*time.Second, model.agreed(size))
	return model
}

func (model *quorumModel) start(name string) {
	model.lastProcess++
	offset := time.Duration(model.random.Int64N(int64(time.Hour))) // each process has a clock of its own
	model.clockOffset[name] = offset
	model.quorums[name] = newQuorum(name, model.lastProcess, model.seeds, model.clock(name))
	delete(model.left, name)
	delete(model.leavingSince, name)
}

// anyFounded reports whether some of the processes that run know of a fleet.
func (model *quorumModel) anyFounded(names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool {
		q := model.quorums[name]
		return q != nil && q.list.epoch.Number > 0
	})
}

// leave lets a process end as Mesh.Leave does.
func (model *quorumModel) leave(name string) {
	model.left[name] = true
	model.leavingSince[name] = model.now
}

// continueLeaving ends a process that leaves once the member list is without it, or its time is over.
func (model *quorumModel) continueLeaving(name string) {
	q := model.quorums[name]
	done := model.now-model.leavingSince[name] > leaveTimeout
	if !done && !q.list.contains(name) && q.list.previous == nil {
		var out map[string]message
		out, done = q.giveUpLead(model.clock(name), modelDigest)
		model.sendAll(name, out)
	}
	if done {
		model.quorums[name] = nil
		delete(model.leavingSince, name)
	}
}

func (model *quorumModel) clock(name string) time.Duration {
	return model.now + model.clockOffset[name]
}

func (model *quorumModel) isUp(name string) bool {
	return model.quorums[name] != nil && model.stoppedUntil[name] <= model.now
}

// detect is a failure detector that is right after 1.5 s, as far as a process can receive from others.
func (model *quorumModel) detect(observer string) (live map[string]bool) {
	live = map[string]bool{observer: true}
	for _, other := range model.names {
		if observer == other {
			continue
		}
		key := link{observer, other}
		if model.isUp(other) && !model.cut[key] && !model.cut[link{other, observer}] {
			model.lastReachable[key] = model.now
		}
		if last, known := model.lastReachable[key]; known && model.now-last < modelDetection {
			live[other] = true
		}
	}
	return live
}

func (model *quorumModel) sendAll(from string, out map[string]message) {
	for _, to := range model.names { // in order, so that a seed is a run
		if m, ok := out[to]; ok {
			model.send(from, to, m)
		}
	}
}

func (model *quorumModel) send(from, to string, m message) {
	if model.record != nil {
		model.record(from, to, m)
	}
	if model.cut[link{from, to}] || model.random.Float64() < model.loss {
		return
	}
	arrival := model.now + time.Duration(model.random.Int64N(int64(2*model.delay)))
	model.inFlight = append(model.inFlight, delivery{arrival, to, m})
}

// advance runs for some time and checks at each step that all who claim the majority have it from one leader.
func (model *quorumModel) advance(d time.Duration) {
	model.t.Helper()
	for end := model.now + d; model.now < end; model.now += modelStep {
		model.deliver()
		for _, name := range model.names {
			if model.isUp(name) {
				model.tick(name)
			}
		}
		model.checkOneMajority()
	}
}

// deliver hands out the messages that have arrived; a stopped process takes its own later.
func (model *quorumModel) deliver() {
	var later []delivery
	due := model.inFlight
	model.inFlight = nil
	for _, d := range due {
		if d.at > model.now || model.stoppedUntil[d.to] > model.now {
			later = append(later, d)
			continue
		}
		q := model.quorums[d.to]
		if q == nil {
			continue
		}
		if reply, ok := q.handle(model.clock(d.to), d.m, modelDigest); ok {
			model.send(d.to, d.m.From, reply)
		}
	}
	model.inFlight = append(model.inFlight, later...)
}

func (model *quorumModel) tick(name string) {
	q := model.quorums[name]
	left := map[string]bool{}
	for n := range model.left {
		left[n] = true
	}
	q.updateLiveness(model.clock(name), model.detect(name), left)
	model.sendAll(name, q.tick(model.clock(name), modelDigest))
	if _, leaves := model.leavingSince[name]; leaves {
		model.continueLeaving(name)
	}
}

func (model *quorumModel) checkOneMajority() {
	model.t.Helper()
	claims := map[uint64][]string{}
	for _, name := range model.names {
		q := model.quorums[name]
		if q == nil { // stopped ones claim by their clocks, too
			continue
		}
		if side, leader := q.side(model.clock(name)); side >= Majority {
			claims[leader] = append(claims[leader], name)
		}
	}
	if len(claims) > 1 {
		model.t.Fatalf("%v: two majorities: %v", model.now, claims)
	}
}

func (model *quorumModel) sides() map[PartitionSide][]string {
	bySide := map[PartitionSide][]string{}
	for _, name := range model.names {
		if q := model.quorums[name]; q != nil {
			side, _ := q.side(model.clock(name))
			bySide[side] = append(bySide[side], name)
		}
	}
	return bySide
}

// until advances until a condition holds, and fails after a time.
func (model *quorumModel) until(what string, timeout time.Duration, holds func() bool) time.Duration {
	model.t.Helper()
	for from := model.now; ; model.advance(modelStep) {
		if holds() {
			return model.now - from
		}
		if model.now-from > timeout {
			model.log()
			model.t.Fatalf("%s: not within %v; sides %v", what, timeout, model.sides())
		}
	}
}

func (model *quorumModel) log() {
	model.t.Helper()
	for _, name := range model.names {
		if q := model.quorums[name]; q != nil {
			model.t.Logf("%s: epoch %v list %v previous %v leader %s live %d", name, q.list.epoch, q.list.names,
				q.list.previous, q.currentLeader(model.clock(name)), len(q.liveness.liveSince))
		}
	}
}

// allOn is the condition that all that run are on one side.
func (model *quorumModel) allOn(want PartitionSide) func() bool {
	return func() bool {
		for side := range model.sides() {
			if side != want {
				return false
			}
		}
		return true
	}
}

// agreed is the condition that all have the same epoch, with a member list of a size.
func (model *quorumModel) agreed(size int) func() bool {
	return func() bool {
		var first *quorum
		for _, name := range model.names {
			q := model.quorums[name]
			if q == nil {
				continue
			}
			if first == nil {
				first = q
			}
			sameList := q.list.epoch == first.list.epoch && slices.Equal(q.list.names, first.list.names)
			if !sameList || q.list.previous != nil || len(q.list.names) != size {
				return false
			}
		}
		return model.allOn(Complete)()
	}
}

// healed reports whether some processes run, and all that do see the complete member list.
func (model *quorumModel) healed() bool {
	return model.allOn(Complete)() && model.sides()[Complete] != nil
}

func (model *quorumModel) split(groups ...[]string) {
	model.cut = map[link]bool{}
	groupOf := map[string]int{}
	for i, group := range groups {
		for _, name := range group {
			groupOf[name] = i
		}
	}
	for _, from := range model.names {
		for _, to := range model.names {
			if groupOf[from] != groupOf[to] {
				model.cut[link{from, to}] = true
			}
		}
	}
}

// drawName draws one of the first names.
func (model *quorumModel) drawName(first int) string {
	return model.names[model.random.IntN(first)]
}

// injectFault draws one change: a split, a cut, a stop, an end, a start, a leave, or another loss and delay.
func (model *quorumModel) injectFault() {
	size := len(model.names)
	switch model.random.IntN(10) {
	case 0, 1:
		model.splitAtRandom()
	case 2:
		model.cut[link{model.drawName(size), model.drawName(size)}] = true
	case 3:
		model.split(model.names)
	case 4:
		name := model.drawName(size)
		model.stoppedUntil[name] = model.now + time.Duration(model.random.Int64N(int64(15*time.Second)))
	case 5:
		model.quorums[model.drawName(size)] = nil
	case 6:
		name := model.drawName(size)
		if model.quorums[name] == nil && (model.anyFounded(model.seeds) || !model.anyFounded(model.names)) {
			model.start(name)
		}
	case 7:
		model.loss = model.random.Float64() * 0.4
		model.delay = time.Duration(1 + model.random.Int64N(int64(time.Second)))
	case 8, 9: // mostly the one that leads
		name := model.drawName(1 + model.random.IntN(size))
		if model.quorums[name] != nil && !model.left[name] {
			model.leave(name)
		}
	}
}

func (model *quorumModel) splitAtRandom() {
	groups := make([][]string, 2+model.random.IntN(2))
	for _, name := range model.names {
		i := model.random.IntN(len(groups))
		groups[i] = append(groups[i], name)
	}
	model.split(groups...)
}

// repair ends all faults and starts the processes that are down.
func (model *quorumModel) repair() {
	model.split(model.names)
	model.loss, model.delay = 0, 5*time.Millisecond
	for _, name := range model.names {
		model.stoppedUntil[name] = 0
		if model.quorums[name] == nil || model.left[name] {
			model.start(name)
		}
	}
}
