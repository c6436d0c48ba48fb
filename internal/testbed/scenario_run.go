package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	testbed *Testbed
	nodes   []*Node
	times   map[string][]time.Duration // durations by metric
	count   map[string]int
	seed    uint64
}

// ScenarioResult is the result of one run of a scenario.
type ScenarioResult struct {
	Scenario string
	Seed     uint64
	Times    map[string][]time.Duration
	Counts   map[string]int
	Failure  string // why the run did not complete; empty: it did
}

// RunScenario runs a scenario once, with a link between any two nodes unless the scenario is bare.
func RunScenario(
	ctx context.Context,
	sc Scenario,
	binary string,
	nodes int,
	seed uint64,
	probe time.Duration,
) (ScenarioResult, error) {
	if sc.Nodes > 0 {
		nodes = sc.Nodes
	}
	w := scenarioWorld(binary, nodes, seed, probe)
	if sc.Bare {
		w.Links = nil
	}
	tb, err := Open(ctx, w)
	if err != nil {
		return ScenarioResult{}, err
	}
	defer tb.Close()
	s := &scenarioRun{
		testbed: tb,
		nodes:   tb.Nodes(),
		times:   map[string][]time.Duration{},
		count:   map[string]int{},
		seed:    seed,
	}
	watching, stop := context.WithCancel(ctx)
	var watched sync.WaitGroup
	watched.Add(1)
	go func() {
		defer watched.Done()
		s.watchLeaders(watching)
	}()
	out := ScenarioResult{Scenario: sc.Name, Seed: seed, Times: s.times, Counts: s.count}
	if _, err = s.waitForAgreement(ctx, s.nodes, SideComplete); err == nil {
		err = sc.run(s, ctx)
	}
	stop()
	watched.Wait()
	if ctx.Err() != nil {
		return out, ctx.Err()
	}
	if err != nil {
		out.Failure = err.Error()
	}
	return out, nil
}

// scenarioWorld returns a world of nodes with membership and a link between any two.
func scenarioWorld(binary string, nodes int, seed uint64, probe time.Duration) World {
	return World{
		Binary: binary,
		Seed:   seed,
		Links:  []string{"n*->n*"},
		Fleet: Tables{
			"mesh":   map[string]any{"probe": probe.String()},
			"orders": map[string]any{},
		},
		Tiers: []Tier{{Name: "front", Nodes: nodes, Servers: 1}},
		Classes: []Class{{
			Name:             "view",
			Effect:           Idempotent,
			Share:            1,
			Work:             []time.Duration{time.Millisecond},
			LatencyObjective: time.Second,
			Deadline:         time.Second,
		}},
	}
}

const scenarioTimeout = time.Minute

// Names of metrics that several scenarios record.
const (
	deadMetric          = "gone"
	leftMetric          = "left"
	completeAgainMetric = "whole again"
)

// waitForAgreement waits until the nodes agree on a partition side and one digest, and returns how long that took.
func (s *scenarioRun) waitForAgreement(ctx context.Context, nodes []*Node, side string) (time.Duration, error) {
	what := fmt.Sprintf("%d nodes agree on %s", len(nodes), side)
	return s.waitUntil(ctx, what, func() bool { return Agree(ctx, nodes, side) })
}

// recordAgreement waits until all nodes agree that the fleet is complete, and records how long that took.
func (s *scenarioRun) recordAgreement(ctx context.Context, metric string) error {
	took, err := s.waitForAgreement(ctx, s.nodes, SideComplete)
	s.record(metric, took)
	return err
}

// record adds a duration to a metric.
func (s *scenarioRun) record(metric string, d time.Duration) {
	s.times[metric] = append(s.times[metric], d)
}

// waitUntil polls a condition until it holds, and returns how long that took. It fails after scenarioTimeout.
func (s *scenarioRun) waitUntil(ctx context.Context, what string, is func() bool) (time.Duration, error) {
	from := s.testbed.now()
	for !is() {
		if !sleep(ctx, 20*time.Millisecond) {
			return 0, ctx.Err()
		}
		if s.testbed.now()-from > scenarioTimeout {
			return 0, fmt.Errorf("condition did not hold within %v: %s", scenarioTimeout, what)
		}
	}
	return s.testbed.now() - from, nil
}

// watchLeaders repeatedly asks the admin endpoint of each node which leader process its majority has.
// Different processes in one round count as two majorities only if the round right after it returns the same ones.
func (s *scenarioRun) watchLeaders(ctx context.Context) {
	var before []string
	for sleep(ctx, 50*time.Millisecond) {
		for range 2 {
			leaders := s.leaders(ctx)
			if len(leaders) < 2 {
				before = nil
				break
			}
			if slices.Equal(before, leaders) {
				s.testbed.checker.mu.Lock()
				s.count["two majorities"]++
				s.testbed.checker.mu.Unlock()
			}
			before = leaders
		}
	}
}

// leaders asks all nodes concurrently which leader process their majority has, and returns the distinct ones, sorted.
func (s *scenarioRun) leaders(ctx context.Context) []string {
	under := make([]string, len(s.nodes))
	var all sync.WaitGroup
	for i, n := range s.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			if v, err := n.Fleet(ctx); err == nil && (v.Side == SideMajority || v.Side == SideComplete) {
				under[i] = v.LeaderProcess
			}
		}()
	}
	all.Wait()
	seen := slices.Compact(slices.Sorted(slices.Values(under)))
	if len(seen) > 0 && seen[0] == "" {
		seen = seen[1:]
	}
	return seen
}

// memberChange is a change of a member's state that a node has logged.
type memberChange struct {
	at          time.Duration // on the test bed's clock
	name, state string
}

// changes reads the changes of members' states from a node's log.
func (s *scenarioRun) changes(n *Node) (all []memberChange, err error) {
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
		all = append(all, memberChange{at.Sub(s.testbed.began.Round(0)), fields["name"], fields["is"]})
	}
	return all, nil
}

// waitForState waits until each of the nodes has logged a state of a member at or after a time, and records for each
// node how long after that time.
func (s *scenarioRun) waitForState(
	ctx context.Context,
	by []*Node,
	name, state, metric string,
	after time.Duration,
) error {
	for _, n := range by {
		for found := false; !found; {
			all, err := s.changes(n)
			if err != nil {
				return err
			}
			for _, c := range all {
				if !found && c.name == name && c.state == state && c.at >= after {
					s.record(metric, c.at-after)
					found = true
				}
			}
			if !found && (!sleep(ctx, 20*time.Millisecond) || s.testbed.now()-after > scenarioTimeout) {
				return errors.Join(ctx.Err(), fmt.Errorf("%s did not log %s as %s within %v", n.name, name, state, scenarioTimeout))
			}
		}
	}
	return nil
}

// countWronglyRemoved counts how often nodes have declared members dead since the time after. If names are given, it
// counts only these members.
func (s *scenarioRun) countWronglyRemoved(after time.Duration, names ...string) error {
	for _, n := range s.nodes {
		all, err := s.changes(n)
		if err != nil {
			return err
		}
		for _, c := range all {
			if c.at >= after && c.state == stateDead && (len(names) == 0 || slices.Contains(names, c.name)) {
				s.count["wrongly gone"]++
			}
		}
	}
	return nil
}

// names returns the names of the nodes.
func names(nodes []*Node) (all []string) {
	for _, n := range nodes {
		all = append(all, n.name)
	}
	return all
}

// killLast kills the last k nodes, and records how long the others take to declare them dead and then to agree.
func (s *scenarioRun) killLast(ctx context.Context, k int) error {
	sleep(ctx, time.Duration(s.seed%7)*100*time.Millisecond) // a different phase of the probe interval for each seed
	at := s.testbed.now()
	rest, dead := s.nodes[:len(s.nodes)-k], s.nodes[len(s.nodes)-k:]
	for _, n := range dead {
		n.Kill()
	}
	for _, n := range dead {
		if err := s.waitForState(ctx, rest, n.name, stateDead, deadMetric, at); err != nil {
			return err
		}
	}
	side := SideMajority
	if 2*k > len(s.nodes) {
		side = SideMinority
	}
	took, err := s.waitForAgreement(ctx, rest, side)
	s.record("then agreed", took)
	return errors.Join(err, s.countWronglyRemoved(at, names(rest)...))
}

// stopLast stops the last node for d. If d is at most 1 s, no member may be declared dead, else only that node.
func (s *scenarioRun) stopLast(ctx context.Context, d time.Duration) error {
	n, at := s.nodes[len(s.nodes)-1], s.testbed.now()
	if err := n.Stop(); err != nil {
		return err
	}
	sleep(ctx, d)
	if err := n.Continue(); err != nil {
		return err
	}
	err := s.recordAgreement(ctx, completeAgainMetric)
	if d > time.Second { // the stopped node is expected to be declared dead, other members are not
		return errors.Join(err, s.countWronglyRemoved(at, names(s.nodes[:len(s.nodes)-1])...))
	}
	sleep(ctx, 3*time.Second) // long enough for a suspicion to time out
	return errors.Join(err, s.countWronglyRemoved(at))
}

// holdCondition sets a condition of some links for a while. No member may be declared dead meanwhile.
func (s *scenarioRun) holdCondition(ctx context.Context, from, to string, c LinkCondition, d time.Duration) error {
	at := s.testbed.now()
	s.testbed.SetLink(from, to, c)
	sleep(ctx, d)
	s.testbed.SetLink(from, to, LinkCondition{})
	err := s.recordAgreement(ctx, completeAgainMetric)
	return errors.Join(err, s.countWronglyRemoved(at))
}
