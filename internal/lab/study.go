package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Scenario is one way to trouble a fleet whose only work is membership.
type Scenario struct {
	Name  string
	Nodes int // 0: as many as asked for
	play  func(*study, context.Context) error
	Bare  bool // without links: two processes of one name have no link of that name in common
}

// study is one play of a scenario.
type study struct {
	lab   *Lab
	nodes []*Node
	times map[string][]time.Duration // figures by name
	count map[string]int
	seed  uint64
}

// Study is what one play of a scenario showed.
type Study struct {
	Scenario string
	Seed     uint64
	Times    map[string][]time.Duration
	Counts   map[string]int
	Drawback string // why it could not be played to its end; empty: it was
}

// Scenarios are all there are.
var Scenarios = []Scenario{
	{Name: "kill one", play: func(s *study, ctx context.Context) error { return s.kill(ctx, 1) }},
	{Name: "kill one of 8", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.kill(ctx, 1) }},
	{Name: "kill 7 of 10", Nodes: 10, play: func(s *study, ctx context.Context) error { return s.kill(ctx, 7) }},
	{Name: "leave", play: (*study).leaveOne},
	{Name: "leader leaves", play: (*study).leaderLeaves},
	{Name: "stop 1 s", play: func(s *study, ctx context.Context) error { return s.stand(ctx, time.Second) }},
	{Name: "stop 4 s", play: func(s *study, ctx context.Context) error { return s.stand(ctx, 4*time.Second) }},
	{Name: "stop 15 s", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.stand(ctx, 15*time.Second) }},
	{Name: "one-way cut", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n8", "n3", Cond{Cut: true}, 20*time.Second)
	}},
	{Name: "20% loss, 50 ms jitter", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n*", "n*", Cond{Loss: 0.2, Jitter: 50 * time.Millisecond}, 30*time.Second)
	}},
	{Name: "30% loss, 50 ms jitter", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n*", "n*", Cond{Loss: 0.3, Jitter: 50 * time.Millisecond}, 30*time.Second)
	}},
	{Name: "20% loss, long", play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n*", "n*", Cond{Loss: 0.2, Jitter: 50 * time.Millisecond}, 10*time.Minute)
	}},
	{Name: "loss in bursts", Nodes: 8, play: (*study).bursts},
	{Name: "link of 800 ms", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n7", "n8", Cond{Delay: 800 * time.Millisecond}, 20*time.Second)
	}},
	{Name: "deaf leader", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.oneSided(ctx, true) }},
	{Name: "mute leader", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.oneSided(ctx, false) }},
	{Name: "deaf member", Nodes: 8, play: (*study).deafMember},
	{Name: "ring of one-way cuts", Nodes: 8, play: (*study).ring},
	{Name: "half stopped 4 s", Nodes: 8, play: (*study).halfStopped},
	{Name: "leader stopped 1 s", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.leaderStopped(ctx, time.Second) }},
	{Name: "leader stopped 2.5 s", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.leaderStopped(ctx, 2500*time.Millisecond) }},
	{Name: "leader stopped 10 s", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.leaderStopped(ctx, 10*time.Second) }},
	{Name: "a tenth of a processor in turn", Nodes: 8, play: (*study).tenthInTurn},
	{Name: "joined by one", Nodes: 8, play: (*study).joinedByOne},
	{Name: "killed as it accuses", Nodes: 8, play: (*study).killedAccuser},
	{Name: "10% loss", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.quiet(ctx, "n*", "n*", Cond{Loss: 0.1}, 2*time.Minute)
	}},
	{Name: "split 3/5", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.split(ctx, false, 3, 5) }},
	{Name: "split 4/4", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.split(ctx, false, 4, 4) }},
	{Name: "split 3/3/2", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.split(ctx, false, 3, 3, 2) }},
	{Name: "split in a rolling restart", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.split(ctx, true, 3, 5) }},
	{Name: "restart at once", play: (*study).restartOne},
	{Name: "all restart at once", play: (*study).restartAll},
	{Name: "seeds dead at start", Nodes: 8, play: (*study).seedsDead},
	{Name: "overrides", Nodes: 8, play: func(s *study, ctx context.Context) error { return s.overrides(ctx, Cond{}) }},
	{Name: "overrides, 20% loss", Nodes: 8, play: func(s *study, ctx context.Context) error {
		return s.overrides(ctx, Cond{Loss: 0.2, Jitter: 50 * time.Millisecond})
	}},
	{Name: "flood", Nodes: 8, play: (*study).flood},
	{Name: "half a processor", Nodes: 8, play: (*study).halfProcessor},
	{Name: "two of one name", Nodes: 8, play: (*study).twoOfOneName, Bare: true},
}

// RunScenario plays a scenario once, with nodes that have links between any two.
func RunScenario(ctx context.Context, sc Scenario, binary string, nodes int, seed uint64, probe time.Duration) (Study, error) {
	if sc.Nodes > 0 {
		nodes = sc.Nodes
	}
	w := World{Binary: binary, Seed: seed, Links: []string{"n*->n*"}, Fleet: Tables{"mesh": map[string]any{"probe": probe.String()}, "orders": map[string]any{}},
		Tiers:   []Tier{{Name: "front", Nodes: nodes, Servers: 1}},
		Classes: []Class{{Name: "view", Effect: "read_like", Share: 1, Work: []time.Duration{time.Millisecond}, Aim: time.Second, Deadline: time.Second}}}
	if sc.Bare {
		w.Links = nil
	}
	l, err := Open(ctx, w)
	if err != nil {
		return Study{}, err
	}
	defer l.Close()
	s := &study{lab: l, nodes: l.Nodes(), times: map[string][]time.Duration{}, count: map[string]int{}, seed: seed}
	watching, stop := context.WithCancel(ctx)
	var watched sync.WaitGroup
	watched.Add(1)
	go func() {
		defer watched.Done()
		s.majorities(watching)
	}()
	out := Study{Scenario: sc.Name, Seed: seed, Times: s.times, Counts: s.count}
	if _, err = s.agreed(ctx, s.nodes, "whole"); err == nil {
		err = sc.play(s, ctx)
	}
	stop()
	watched.Wait()
	if ctx.Err() != nil {
		return out, ctx.Err()
	}
	if err != nil {
		out.Drawback = err.Error()
	}
	return out, nil
}

const studyWait = time.Minute

// agreed waits until some nodes are on a side with one digest, and returns how long that took.
func (s *study) agreed(ctx context.Context, nodes []*Node, side string) (time.Duration, error) {
	return s.until(ctx, fmt.Sprintf("%d nodes agree on %s", len(nodes), side), func() bool { return Agree(ctx, nodes, side) })
}

// until waits for a condition, and returns how long that took.
func (s *study) until(ctx context.Context, what string, is func() bool) (time.Duration, error) {
	from := s.lab.now()
	for !is() {
		if !sleep(ctx, 20*time.Millisecond) {
			return 0, ctx.Err()
		}
		if s.lab.now()-from > studyWait {
			return 0, fmt.Errorf("not within %v: %s", studyWait, what)
		}
	}
	return s.lab.now() - from, nil
}

// majorities asks all doors over and over which process proves their majority. Two answers in one round are a finding
// where the next round, right after it, has the same two.
func (s *study) majorities(ctx context.Context) {
	var before []string
	for sleep(ctx, 50*time.Millisecond) {
		for range 2 {
			under := make([]string, len(s.nodes))
			var all sync.WaitGroup
			for i, n := range s.nodes {
				all.Add(1)
				go func() {
					defer all.Done()
					if v, err := n.Fleet(ctx); err == nil && (v.Side == "majority" || v.Side == "whole") {
						under[i] = v.Under
					}
				}()
			}
			all.Wait()
			seen := slices.Sorted(slices.Values(under))
			seen = slices.Compact(seen)
			if len(seen) > 0 && seen[0] == "" {
				seen = seen[1:]
			}
			if len(seen) < 2 {
				before = nil
				break
			}
			if slices.Equal(before, seen) {
				s.lab.referee.mu.Lock()
				s.count["two majorities"]++
				s.lab.referee.mu.Unlock()
			}
			before = seen
		}
	}
}

// change is a line of a node's log about a member.
type memberChange struct {
	at       time.Duration // on the lab's clock
	name, is string
}

// changes reads what a node has logged about members.
func (s *study) changes(n *Node) (all []memberChange, err error) {
	f, err := os.Open(n.Log())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		line := in.Text()
		if !strings.Contains(line, " msg=member ") {
			continue
		}
		fields := map[string]string{}
		for _, kv := range strings.Fields(line) {
			k, v, _ := strings.Cut(kv, "=")
			fields[k] = v
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, err
		}
		all = append(all, memberChange{at.Sub(s.lab.began.Round(0)), fields["name"], fields["is"]})
	}
	return all, nil
}

// heard waits until some nodes have logged a member's state after a time, and books how long after it that was.
func (s *study) heard(ctx context.Context, by []*Node, name, is, figure string, after time.Duration) error {
	for _, n := range by {
		for found := false; !found; {
			all, err := s.changes(n)
			if err != nil {
				return err
			}
			for _, c := range all {
				if !found && c.name == name && c.is == is && c.at >= after {
					s.times[figure] = append(s.times[figure], c.at-after)
					found = true
				}
			}
			if !found && (!sleep(ctx, 20*time.Millisecond) || s.lab.now()-after > studyWait) {
				return errors.Join(ctx.Err(), fmt.Errorf("%s did not see %s as %s within %v", n.name, name, is, studyWait))
			}
		}
	}
	return nil
}

// wronglyGone counts the members of some names that nodes took for gone since a time.
func (s *study) wronglyGone(after time.Duration, names ...string) error {
	for _, n := range s.nodes {
		all, err := s.changes(n)
		if err != nil {
			return err
		}
		for _, c := range all {
			if c.at >= after && c.is == "gone" && (len(names) == 0 || slices.Contains(names, c.name)) {
				s.count["wrongly gone"]++
			}
		}
	}
	return nil
}

func names(nodes []*Node) (all []string) {
	for _, n := range nodes {
		all = append(all, n.name)
	}
	return all
}

func (s *study) kill(ctx context.Context, k int) error {
	sleep(ctx, time.Duration(s.seed%7)*100*time.Millisecond) // another moment within the probes
	at := s.lab.now()
	rest, dead := s.nodes[:len(s.nodes)-k], s.nodes[len(s.nodes)-k:]
	for _, n := range dead {
		n.Kill()
	}
	for _, n := range dead {
		if err := s.heard(ctx, rest, n.name, "gone", "gone", at); err != nil {
			return err
		}
	}
	side := "majority"
	if 2*k > len(s.nodes) {
		side = "minority"
	}
	took, err := s.agreed(ctx, rest, side)
	s.times["then agreed"] = append(s.times["then agreed"], took)
	return errors.Join(err, s.wronglyGone(at, names(rest)...))
}

func (s *study) leaveOne(ctx context.Context) error {
	n := s.nodes[len(s.nodes)-1]
	at := s.lab.now()
	n.Terminate()
	return s.heard(ctx, s.nodes[:len(s.nodes)-1], n.name, "left", "left", at)
}

// leaderLeaves books for how long some of the others are without a majority after the planned end of the one that leads.
func (s *study) leaderLeaves(ctx context.Context) error {
	leader, rest := s.nodes[0], s.nodes[1:]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leader.Terminate()
	}()
	defer func() { <-ended }()
	without, before := time.Duration(0), s.lab.now()
	for from := before; before-from < 5*time.Second; {
		lacks := false
		for _, n := range rest {
			if v, err := n.Fleet(ctx); err == nil && v.Side != "majority" && v.Side != "whole" {
				lacks = true
			}
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
		if now := s.lab.now(); lacks {
			without, before = without+now-before, now
		} else {
			before = now
		}
	}
	s.times["some without a majority for"] = append(s.times["some without a majority for"], without)
	_, err := s.agreed(ctx, rest, "whole")
	return err
}

func (s *study) stand(ctx context.Context, d time.Duration) error {
	n, at := s.nodes[len(s.nodes)-1], s.lab.now()
	if err := n.Stop(); err != nil {
		return err
	}
	sleep(ctx, d)
	if err := n.Continue(); err != nil {
		return err
	}
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole again"] = append(s.times["whole again"], took)
	if d > time.Second { // taken for gone, rightly; nobody else may be
		return errors.Join(err, s.wronglyGone(at, names(s.nodes[:len(s.nodes)-1])...))
	}
	sleep(ctx, 3*time.Second) // a suspicion runs out by then
	return errors.Join(err, s.wronglyGone(at))
}

// quiet sets a condition under which nobody may be taken for gone.
func (s *study) quiet(ctx context.Context, from, to string, c Cond, d time.Duration) error {
	at := s.lab.now()
	s.lab.SetLink(from, to, c)
	sleep(ctx, d)
	s.lab.SetLink(from, to, Cond{})
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole again"] = append(s.times["whole again"], took)
	return errors.Join(err, s.wronglyGone(at))
}

// split cuts the nodes into groups for 20 s.
func (s *study) split(ctx context.Context, rolling bool, sizes ...int) error {
	var groups [][]*Node
	rest := s.nodes
	for _, n := range sizes {
		groups, rest = append(groups, rest[:n]), rest[n:]
	}
	set := func(c Cond) {
		for i, g := range groups {
			for j, h := range groups {
				if i == j {
					continue
				}
				for _, a := range g {
					for _, b := range h {
						s.lab.SetLink(a.name, b.name, c)
					}
				}
			}
		}
	}
	set(Cond{Cut: true})
	until := s.lab.now() + 20*time.Second
	if rolling {
		for _, n := range []*Node{s.nodes[0], s.nodes[4], s.nodes[6]} {
			n.Terminate()
			if err := n.restart(ctx); err != nil {
				return err
			}
		}
	}
	sleepUntil(s.lab.began.Add(until), ctx.Done())
	for i, g := range groups {
		for _, n := range g {
			if v, err := n.Fleet(ctx); err == nil {
				s.count[fmt.Sprintf("group %d (%d): %s", i+1, len(g), v.Side)]++
			}
		}
	}
	set(Cond{})
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["healed"] = append(s.times["healed"], took)
	return err
}

// restartOne kills a node and starts it again at once: within the time in which it is suspected.
func (s *study) restartOne(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.lab.now()
	n.Kill()
	if err := n.restart(ctx); err != nil {
		return err
	}
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole again"] = append(s.times["whole again"], took)
	return errors.Join(err, s.wronglyGone(at))
}

func (s *study) restartAll(ctx context.Context) error {
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, n := range s.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.Up(ctx); err != nil {
			return err
		}
	}
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole again"] = append(s.times["whole again"], took)
	return err
}

// seedsDead kills all, starts those that are no seeds, and only later the seeds.
func (s *study) seedsDead(ctx context.Context) error {
	seeds := min(s.lab.world.Seeds, len(s.nodes))
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, n := range s.nodes[seeds:] {
		if err := n.restart(ctx); err != nil {
			return err
		}
	}
	if _, err := s.agreed(ctx, s.nodes[seeds:seeds+1], "alone"); err != nil {
		return err
	}
	for _, n := range s.nodes[:seeds] {
		if err := n.restart(ctx); err != nil {
			return err
		}
	}
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole after the seeds"] = append(s.times["whole after the seeds"], took)
	return err
}

// flood sends one node junk as fast as one sender can, for 10 s, and books how long it takes to answer meanwhile.
func (s *study) flood(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.lab.now()
	to, err := net.Dial("udp4", n.meshListen())
	if err != nil {
		return err
	}
	defer to.Close()
	ended := make(chan int)
	until := s.lab.began.Add(at + 10*time.Second)
	go func() {
		junk, sent := make([]byte, 200), 0
		for ; time.Now().Before(until) && ctx.Err() == nil; sent++ {
			to.Write(junk) // one that finds no room is as good
		}
		ended <- sent
	}()
	for time.Now().Before(until) && sleep(ctx, 10*time.Millisecond) {
		from := s.lab.now()
		if n.Ready(ctx) {
			s.times["an answer of the flooded"] = append(s.times["an answer of the flooded"], s.lab.now()-from)
		} else {
			s.count["no answer"]++
		}
	}
	s.count["packets sent"] += <-ended
	return errors.Join(ctx.Err(), s.wronglyGone(at))
}

// halfProcessor lets one node run for half of every tenth of a second.
func (s *study) halfProcessor(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.lab.now()
	for s.lab.now()-at < 30*time.Second {
		if err := n.process.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, 50*time.Millisecond)
		if err := n.process.signal(syscall.SIGCONT); err != nil {
			return err
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	took, err := s.agreed(ctx, s.nodes, "whole")
	s.times["whole again"] = append(s.times["whole again"], took)
	return errors.Join(err, s.wronglyGone(at))
}

// twoOfOneName starts a second process with the last node's name, at an address of its own, and ends it once the older
// one has stepped out of the mesh.
func (s *study) twoOfOneName(ctx context.Context) error {
	older := s.nodes[len(s.nodes)-1]
	twin, err := s.lab.newNode("twin", older.zone, older.tier, older.self)
	if err != nil {
		return err
	}
	twin.called = older.name
	if err := twin.restart(ctx); err != nil {
		return err
	}
	state := func(n *Node) (state, side string) {
		v, err := n.Fleet(ctx)
		if err != nil {
			return "", ""
		}
		return v.State(older.name), v.Side
	}
	note := func(figure, what string, is func() bool) {
		if err == nil {
			var took time.Duration
			took, err = s.until(ctx, what, is)
			s.times[figure] = append(s.times[figure], took)
		}
	}
	note("both see the conflict", "both see the conflict", func() bool {
		a, _ := state(older)
		b, _ := state(twin)
		return a == "conflict" && b == "conflict"
	})
	note("then the older is out", "the older is alone and says so", func() bool {
		is, side := state(older)
		return is == "conflict" && side == "alone"
	})
	with := append(slices.Clone(s.nodes[:len(s.nodes)-1]), twin)
	note("then the others agree with the newer", "all agree with the newer", func() bool { return Agree(ctx, with, "whole") })
	if err == nil && !older.Ready(ctx) {
		err = errors.New("the older does not take clients any more")
	}
	twin.Kill()
	note("the older is back after the newer's end", "the older is back", func() bool { return Agree(ctx, s.nodes, "whole") })
	return err
}
