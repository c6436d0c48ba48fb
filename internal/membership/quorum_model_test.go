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
	modelDetection = 1500 * time.Millisecond // after this long, an unreachable member is dead
	modelDigest    = 1
)

// link is the network path from one process to another, in one direction.
type link struct{ from, to string }

// quorumModel runs quorums in virtual time, over a network with delay, loss and partitions.
type quorumModel struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	names         []string
	seeds         []string
	quorums       map[string]*quorum       // nil: the process is down
	clockOffset   map[string]time.Duration // by which a process's clock is ahead of the model's time
	stoppedUntil  map[string]time.Duration // until then the process is stopped
	cut           map[link]bool
	loss          float64
	delay         time.Duration
	inFlight      []delivery
	lastReachable map[link]time.Duration // by observer and observed process: when both directions were last open
	lastProcess   uint64
	left          map[string]bool          // by name: leaving, or has left
	leavingSince  map[string]time.Duration // by name of a process in continueLeaving

	record func(from, to string, m message) // called for each message sent; may be nil
}

// delivery is a message that is on its way.
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

// newFoundedModel returns a model with seed 1 whose processes have founded a fleet.
func newFoundedModel(t *testing.T, size int) *quorumModel {
	t.Helper()
	model := newQuorumModel(t, 1, size)
	model.until("the fleet is founded", 10*time.Second, model.agreed(size))
	return model
}

func (model *quorumModel) start(name string) {
	model.lastProcess++
	offset := time.Duration(model.random.Int64N(int64(time.Hour))) // the clocks of the processes differ
	model.clockOffset[name] = offset
	model.quorums[name] = newQuorum(name, model.lastProcess, model.seeds, model.clock(name))
	delete(model.left, name)
	delete(model.leavingSince, name)
}

// anyFounded reports whether any running process among the names has the member list of a founded fleet.
func (model *quorumModel) anyFounded(names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool {
		q := model.quorums[name]
		return q != nil && q.list.epoch.Number > 0
	})
}

// leave starts the leave of a process, as Mesh.Leave does.
func (model *quorumModel) leave(name string) {
	model.left[name] = true
	model.leavingSince[name] = model.now
}

// continueLeaving takes the next step of a process's leave. The process ends once it is off the member list and has
// given up leadership, or after leaveTimeout.
func (model *quorumModel) continueLeaving(name string) {
	q := model.quorums[name]
	done := model.now-model.leavingSince[name] > leaveTimeout
	if !done && !q.list.contains(name) && q.list.previous == nil {
		var out map[string]message
		out, done = q.continueStepDown(model.clock(name), modelDigest)
		model.sendAll(name, out)
	}
	if done {
		model.quorums[name] = nil
		delete(model.leavingSince, name)
	}
}

// clock returns the current time by a process's clock.
func (model *quorumModel) clock(name string) time.Duration {
	return model.now + model.clockOffset[name]
}

// isUp reports whether a process runs and is not stopped.
func (model *quorumModel) isUp(name string) bool {
	return model.quorums[name] != nil && model.stoppedUntil[name] <= model.now
}

// detect returns the names that an accurate failure detector reports live: the observer itself, and the processes that
// ran and were reachable in both directions within the last 1.5 s.
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
	for _, to := range model.names { // in a fixed order, so that a seed always gives the same run
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

// advance runs the model for a time, and checks at each step that all processes that claim a majority follow the same
// leader.
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

// deliver passes the messages that have arrived to their receivers. Those to a stopped process wait until it continues.
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

// checkOneMajority fails the test if the processes claim majorities of more than one leader.
func (model *quorumModel) checkOneMajority() {
	model.t.Helper()
	claims := map[uint64][]string{}
	for _, name := range model.names {
		q := model.quorums[name]
		if q == nil { // stopped processes are checked too: their claims end by their clocks
			continue
		}
		if side, leader := q.side(model.clock(name)); side >= Majority {
			claims[leader] = append(claims[leader], name)
		}
	}
	if len(claims) > 1 {
		model.t.Fatalf("at %v: two or more leaders have a majority, want one at most; members by leader: %v",
			model.now, claims)
	}
}

// sides returns the names of the processes that run, by side.
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

// until advances the model until a condition holds, and returns the time that it took. It fails the test after a
// timeout.
func (model *quorumModel) until(what string, timeout time.Duration, holds func() bool) time.Duration {
	model.t.Helper()
	for from := model.now; ; model.advance(modelStep) {
		if holds() {
			return model.now - from
		}
		if model.now-from > timeout {
			model.log()
			model.t.Fatalf("condition %q does not hold after %v; sides are %v", what, timeout, model.sides())
		}
	}
}

// log writes the state of all quorums to the test's log.
func (model *quorumModel) log() {
	model.t.Helper()
	for _, name := range model.names {
		if q := model.quorums[name]; q != nil {
			model.t.Logf("%s: epoch %v, list %v, previous %v, leader %q, %d live", name, q.list.epoch, q.list.names,
				q.list.previous, q.currentLeader(model.clock(name)), len(q.liveness.liveSince))
		}
	}
}

// allOn returns the condition that all running processes are on the given side.
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

// agreed returns the condition that all running processes are complete, and have the same epoch and the same committed
// member list with size members.
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

// healed reports whether at least one process runs, and all running ones are complete.
func (model *quorumModel) healed() bool {
	return model.allOn(Complete)() && model.sides()[Complete] != nil
}

// split cuts the links between processes of different groups, and opens all others.
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

// randomName returns a random one of the first names.
func (model *quorumModel) randomName(first int) string {
	return model.names[model.random.IntN(first)]
}

// injectFault makes one random change: a partition, one cut link, the end of all cuts, a stopped, killed, started or
// leaving process, or a new loss and delay of messages.
func (model *quorumModel) injectFault() {
	size := len(model.names)
	switch model.random.IntN(10) {
	case 0, 1:
		model.splitAtRandom()
	case 2:
		model.cut[link{model.randomName(size), model.randomName(size)}] = true
	case 3:
		model.split(model.names)
	case 4:
		name := model.randomName(size)
		model.stoppedUntil[name] = model.now + time.Duration(model.random.Int64N(int64(15*time.Second)))
	case 5:
		model.quorums[model.randomName(size)] = nil
	case 6:
		name := model.randomName(size)
		if model.quorums[name] == nil && (model.anyFounded(model.seeds) || !model.anyFounded(model.names)) {
			model.start(name)
		}
	case 7:
		model.loss = model.random.Float64() * 0.4
		model.delay = time.Duration(1 + model.random.Int64N(int64(time.Second)))
	case 8, 9: // low names, which usually lead, are drawn more often
		name := model.randomName(1 + model.random.IntN(size))
		if model.quorums[name] != nil && !model.left[name] {
			model.leave(name)
		}
	}
}

// splitAtRandom makes a partition into two or three random groups.
func (model *quorumModel) splitAtRandom() {
	groups := make([][]string, 2+model.random.IntN(2))
	for _, name := range model.names {
		i := model.random.IntN(len(groups))
		groups[i] = append(groups[i], name)
	}
	model.split(groups...)
}

// repair ends all faults, and starts the processes that are down or leaving.
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
