package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// world runs councils in virtual time over a network that delays, loses and splits.
type world struct {
	t     *testing.T
	r     *rand.Rand
	now   time.Duration
	names []string
	at    map[string]*council      // nil: the process is down
	skew  map[string]time.Duration // what a process's clock is ahead
	stop  map[string]time.Duration // a process stands still until then
	cut   map[[2]string]bool
	loss  float64
	delay time.Duration
	mail  []letter
	lived map[[2]string]time.Duration // by observer and observed: last reachable both ways, or not, since
	next  uint64
	seeds []string
	left  map[string]bool
	since map[string]time.Duration // it leaves since then

	record func(from, to string, m message) // of all that is sent; may be nil
}

type letter struct {
	at time.Duration
	to string
	m  message
}

const step = 20 * time.Millisecond

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 9)), at: map[string]*council{}, skew: map[string]time.Duration{}, stop: map[string]time.Duration{},
		cut: map[[2]string]bool{}, delay: 5 * time.Millisecond, lived: map[[2]string]time.Duration{}, left: map[string]bool{},
		since: map[string]time.Duration{}}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("n%02d", i))
	}
	w.seeds = w.names[:min(n, 3)]
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

func (w *world) start(name string) {
	w.next++
	w.skew[name] = time.Duration(w.r.Int64N(int64(time.Hour))) // each process has a clock of its own
	w.at[name] = newCouncil(name, w.next, w.seeds, w.clock(name))
	delete(w.left, name)
	delete(w.since, name)
}

// anyOf says that some of the processes that run know of a fleet.
func (w *world) anyOf(names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return w.at[n] != nil && w.at[n].epoch.Number > 0 })
}

// leave lets a process end as Mesh.Leave does.
func (w *world) leave(name string) {
	w.left[name], w.since[name] = true, w.now
}

func (w *world) leaving(name string) {
	c := w.at[name]
	done := w.now-w.since[name] > leaveWithin
	if _, in := slices.BinarySearch(c.roster, name); !done && !in && c.prev == nil {
		var out map[string]message
		out, done = c.resign(w.clock(name), 1)
		w.sendAll(name, out)
	}
	if done {
		w.at[name] = nil
		delete(w.since, name)
	}
}

func (w *world) sendAll(from string, out map[string]message) {
	for _, to := range w.names { // in order, so that a seed is a run
		if m, ok := out[to]; ok {
			w.send(from, to, m)
		}
	}
}

func (w *world) clock(name string) time.Duration { return w.now + w.skew[name] }

func (w *world) up(name string) bool { return w.at[name] != nil && w.stop[name] <= w.now }

// detector is a failure detector that is right after 1.5 s, as far as a process can hear others.
func (w *world) detector(a string) (live map[string]bool) {
	live = map[string]bool{a: true}
	for _, b := range w.names {
		if a == b {
			continue
		}
		key := [2]string{a, b}
		if w.up(b) && !w.cut[key] && !w.cut[[2]string{b, a}] {
			w.lived[key] = w.now
		}
		if last, ok := w.lived[key]; ok && w.now-last < 1500*time.Millisecond {
			live[b] = true
		}
	}
	return live
}

func (w *world) send(from, to string, m message) {
	if w.record != nil {
		w.record(from, to, m)
	}
	if w.cut[[2]string{from, to}] || w.r.Float64() < w.loss {
		return
	}
	w.mail = append(w.mail, letter{w.now + time.Duration(w.r.Int64N(int64(2*w.delay))), to, m})
}

// advance runs for some time and checks at each step that all who claim the majority have it from one leader.
func (w *world) advance(d time.Duration) {
	w.t.Helper()
	for end := w.now + d; w.now < end; w.now += step {
		var later []letter
		due := w.mail
		w.mail = nil
		for _, l := range due {
			if l.at > w.now || w.stop[l.to] > w.now { // a stopped process hears later
				later = append(later, l)
				continue
			}
			c := w.at[l.to]
			if c == nil {
				continue
			}
			if answer, ok := c.hear(w.clock(l.to), l.m, 1); ok {
				w.send(l.to, l.m.From, answer)
			}
		}
		w.mail = append(w.mail, later...)
		for _, name := range w.names {
			if !w.up(name) {
				continue
			}
			c := w.at[name]
			left := map[string]bool{}
			for n := range w.left {
				left[n] = true
			}
			c.see(w.clock(name), w.detector(name), left)
			w.sendAll(name, c.tick(w.clock(name), 1))
			if _, leaves := w.since[name]; leaves {
				w.leaving(name)
			}
		}
		w.check()
	}
}

func (w *world) check() {
	w.t.Helper()
	claims := map[uint64][]string{}
	for _, name := range w.names {
		if c := w.at[name]; c != nil { // stopped ones claim by their clocks, too
			if s, under := c.side(w.clock(name)); s >= Majority {
				claims[under] = append(claims[under], name)
			}
		}
	}
	if len(claims) > 1 {
		w.t.Fatalf("%v: two majorities: %v", w.now, claims)
	}
}

func (w *world) sides() map[PartitionSide][]string {
	by := map[PartitionSide][]string{}
	for _, name := range w.names {
		if c := w.at[name]; c != nil {
			s, _ := c.side(w.clock(name))
			by[s] = append(by[s], name)
		}
	}
	return by
}

// until advances until all that run are on some side, and fails after long.
func (w *world) until(what string, long time.Duration, is func() bool) time.Duration {
	w.t.Helper()
	for from := w.now; ; w.advance(step) {
		if is() {
			return w.now - from
		}
		if w.now-from > long {
			for _, n := range w.names {
				if c := w.at[n]; c != nil {
					w.t.Logf("%s: epoch %v roster %v prev %v follows %s live %d", n, c.epoch, c.roster, c.prev, c.leader(w.clock(n)), len(c.live))
				}
			}
			w.t.Fatalf("%s: not within %v; sides %v", what, long, w.sides())
		}
	}
}

func (w *world) all(s PartitionSide) func() bool {
	return func() bool {
		for side := range w.sides() {
			if side != s {
				return false
			}
		}
		return true
	}
}

// agreed says that all have the same epoch, with a roster of so many.
func (w *world) agreed(n int) func() bool {
	return func() bool {
		var first *council
		for _, name := range w.names {
			c := w.at[name]
			if c == nil {
				continue
			}
			if first == nil {
				first = c
			}
			if c.epoch != first.epoch || c.prev != nil || len(c.roster) != n || !slices.Equal(c.roster, first.roster) {
				return false
			}
		}
		return w.all(Complete)()
	}
}

func (w *world) split(groups ...[]string) {
	w.cut = map[[2]string]bool{}
	side := map[string]int{}
	for i, g := range groups {
		for _, n := range g {
			side[n] = i
		}
	}
	for _, a := range w.names {
		for _, b := range w.names {
			if side[a] != side[b] {
				w.cut[[2]string{a, b}] = true
			}
		}
	}
}

// fault draws one change: a split, a cut, a stop, an end, a start, a leave, or another loss and delay.
func (w *world) fault() {
	n := len(w.names)
	switch w.r.IntN(10) {
	case 0, 1:
		groups := make([][]string, 2+w.r.IntN(2))
		for _, name := range w.names {
			g := w.r.IntN(len(groups))
			groups[g] = append(groups[g], name)
		}
		w.split(groups...)
	case 2:
		w.cut[[2]string{w.names[w.r.IntN(n)], w.names[w.r.IntN(n)]}] = true
	case 3:
		w.split(w.names)
	case 4:
		w.stop[w.names[w.r.IntN(n)]] = w.now + time.Duration(w.r.Int64N(int64(15*time.Second)))
	case 5:
		w.at[w.names[w.r.IntN(n)]] = nil
	case 6:
		if name := w.names[w.r.IntN(n)]; w.at[name] == nil && (w.anyOf(w.seeds) || !w.anyOf(w.names)) {
			w.start(name)
		}
	case 8, 9: // mostly the one that leads
		if name := w.names[w.r.IntN(1+w.r.IntN(n))]; w.at[name] != nil && !w.left[name] {
			w.leave(name)
		}
	case 7:
		w.loss, w.delay = w.r.Float64()*0.4, time.Duration(1+w.r.Int64N(int64(time.Second)))
	}
}

// mend ends all faults and starts whoever is down.
func (w *world) mend() {
	w.split(w.names)
	w.loss, w.delay = 0, 5*time.Millisecond
	for _, name := range w.names {
		w.stop[name] = 0
		if w.at[name] == nil || w.left[name] {
			w.start(name)
		}
	}
}

// healed says that all processes run and see the whole roster.
func (w *world) healed() bool { return w.all(Complete)() && w.sides()[Complete] != nil }

func TestSplitsHaveOneMajorityAndHeal(t *testing.T) {
	for name, x := range map[string]struct {
		groups   []int
		majority []int // members on the majority side; ties go to the lowest name
	}{
		"3/5": {[]int{3, 5}, []int{3, 4, 5, 6, 7}}, "4/4": {[]int{4, 4}, []int{0, 1, 2, 3}},
		"three ways": {[]int{3, 3, 2}, nil}, "1/7": {[]int{1, 7}, []int{1, 2, 3, 4, 5, 6, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 8)
			w.until("founding", 10*time.Second, w.agreed(8))
			var groups [][]string
			rest := w.names
			for _, n := range x.groups {
				groups, rest = append(groups, rest[:n]), rest[n:]
			}
			w.split(groups...)
			var want []string
			for _, i := range x.majority {
				want = append(want, w.names[i])
			}
			w.until("sides", 8*time.Second, func() bool { return slices.Equal(w.sides()[Majority], want) && len(w.sides()[Complete]) == 0 })
			w.advance(10 * time.Second) // less than it takes to forget
			if got := w.sides()[Majority]; !slices.Equal(got, want) {
				t.Errorf("later the majority is %v, want %v", got, want)
			}
			w.split(w.names)
			t.Logf("healed in %v", w.until("healing", 10*time.Second, w.agreed(8)))
		})
	}
}

func TestFleetOfOneAndTwo(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.until("one", time.Second, w.all(Complete))
	for dead, want := range map[int]PartitionSide{0: Isolated, 1: Majority} {
		w := newWorld(t, 1, 2)
		w.until("two", 10*time.Second, w.agreed(2))
		w.at[w.names[dead]] = nil
		w.until("the other knows", 8*time.Second, w.all(want))
	}
}

func TestLeavingIsNotSplitting(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.until("founding", 10*time.Second, w.agreed(8))
	for _, n := range w.names[:6] { // most of them at once, the leader among them
		w.left[n] = true
	}
	w.until("the roster is without them", time.Second, func() bool { return len(w.at["n07"].roster) == 2 && len(w.at["n06"].roster) == 2 })
	w.advance(pollEvery)
	for _, n := range w.names[:6] {
		w.at[n] = nil
	}
	w.until("the two are whole", 6*time.Second, w.agreed(2))
}

// A leader that leaves hands its votes back: the others are without a majority for some tenths of a second at most.
// Most of the seeds leave, and start again cut off from the fleet that has gone on: they may not found another.
func TestSeedsThatStartAgainFoundNoSecondFleet(t *testing.T) {
	w := newWorld(t, 1, 5)
	w.until("founding", 10*time.Second, w.agreed(5))
	w.leave("n01")
	w.leave("n02")
	w.until("they have left", 2*time.Second, w.agreed(3))
	w.split([]string{"n00", "n03", "n04"}, []string{"n01", "n02"})
	w.start("n01")
	w.start("n02")
	w.advance(4 * lease) // the check of each step
	w.split(w.names)
	w.until("all are whole", 10*time.Second, w.agreed(5))
}

func TestLeaderThatLeavesFreesItsVotes(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.until("founding", 10*time.Second, w.agreed(8))
	w.leave("n00")
	w.until("it has ended", time.Second, func() bool { return w.at["n00"] == nil })
	if d := w.until("the others are whole", time.Second, w.agreed(7)); d > lease/4 {
		t.Errorf("the others were without a majority for %v", d)
	}
	w.advance(4 * lease)
	w.until("that stays so", step, w.agreed(7))
}

func TestGoneMembersAreForgottenByAMajorityOnly(t *testing.T) {
	w := newWorld(t, 1, 10)
	w.until("founding", 10*time.Second, w.agreed(10))
	for _, n := range w.names[2:5] {
		w.at[n] = nil
	}
	w.until("three are forgotten", forget+10*time.Second, w.agreed(7))
	for _, n := range w.names[5:9] { // four of seven
		w.at[n] = nil
	}
	w.advance(2 * forget)
	if s := w.sides(); len(s[Minority]) != 3 {
		t.Errorf("sides %v, want three in the minority for ever", s)
	}
	for _, n := range w.names[5:9] {
		w.start(n)
	}
	w.until("all are back", 10*time.Second, w.agreed(7))
}

// Whatever is cut, lost, delayed, stopped and restarted, there is never more than one majority, and after the last
// fault all agree again.
func TestOneMajorityUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := 100
	if n, err := strconv.Atoi(os.Getenv("MESH_SEEDS")); err == nil {
		seeds = n
	}
	worst := time.Duration(0)
	for seed := range seeds {
		n := 2 + seed%8
		w := newWorld(t, uint64(seed), n)
		for range 25 {
			w.fault()
			w.advance(time.Duration(w.r.Int64N(int64(6 * time.Second))))
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		w.mend()
		worst = max(worst, w.until(fmt.Sprintf("seed %d heals", seed), 30*time.Second, w.healed))
	}
	t.Logf("%d seeds, healed after %v at the worst", seeds, worst)
}
