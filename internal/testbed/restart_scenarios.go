package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"
)

// terminateLast ends the last node with SIGTERM, and records when the others log that it has left.
func (s *scenarioRun) terminateLast(ctx context.Context) error {
	n := s.nodes[len(s.nodes)-1]
	at := s.testbed.now()
	n.Terminate()
	return s.waitForState(ctx, s.nodes[:len(s.nodes)-1], n.name, stateLeft, leftMetric, at)
}

// leaderLeaves ends the leader with SIGTERM, and records for how long in the next 5 s any of the others had no
// majority.
func (s *scenarioRun) leaderLeaves(ctx context.Context) error {
	leader, rest := s.nodes[0], s.nodes[1:]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leader.Terminate()
	}()
	defer func() { <-ended }()
	without, before := time.Duration(0), s.testbed.now()
	for from := before; before-from < 5*time.Second; {
		missing := false
		for _, n := range rest {
			if v, err := n.Fleet(ctx); err == nil && v.Side != SideMajority && v.Side != SideComplete {
				missing = true
			}
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
		if now := s.testbed.now(); missing {
			without, before = without+now-before, now
		} else {
			before = now
		}
	}
	s.record("some without a majority for", without)
	_, err := s.waitForAgreement(ctx, rest, SideComplete)
	return err
}

// split divides the nodes into groups of the given sizes, cuts all links between the groups for 20 s, and counts the
// partition sides that the nodes report at the end. If rolling is true, it restarts three nodes meanwhile.
func (s *scenarioRun) split(ctx context.Context, rolling bool, sizes ...int) error {
	var groups [][]*Node
	rest := s.nodes
	for _, n := range sizes {
		groups, rest = append(groups, rest[:n]), rest[n:]
	}
	set := func(c LinkCondition) {
		for i, g := range groups {
			for j, h := range groups {
				if i == j {
					continue
				}
				for _, a := range g {
					for _, b := range h {
						s.testbed.SetLink(a.name, b.name, c)
					}
				}
			}
		}
	}
	set(LinkCondition{Cut: true})
	until := s.testbed.now() + 20*time.Second
	if rolling {
		for _, n := range []*Node{s.nodes[0], s.nodes[4], s.nodes[6]} {
			n.Terminate()
			if err := n.restart(ctx); err != nil {
				return err
			}
		}
	}
	sleepUntil(s.testbed.began.Add(until), ctx.Done())
	for i, g := range groups {
		for _, n := range g {
			if v, err := n.Fleet(ctx); err == nil {
				s.count[fmt.Sprintf("group %d (%d): %s", i+1, len(g), v.Side)]++
			}
		}
	}
	set(LinkCondition{})
	err := s.recordAgreement(ctx, "healed")
	return err
}

// restartLast kills a node and starts it again at once, before its suspicion can time out.
func (s *scenarioRun) restartLast(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.testbed.now()
	n.Kill()
	if err := n.restart(ctx); err != nil {
		return err
	}
	err := s.recordAgreement(ctx, completeAgainMetric)
	return errors.Join(err, s.countWronglyRemoved(at))
}

// restartAll kills all nodes at once and starts them again.
func (s *scenarioRun) restartAll(ctx context.Context) error {
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, n := range s.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	err := s.recordAgreement(ctx, completeAgainMetric)
	return err
}

// startWithoutSeeds kills all nodes and starts those that are not seeds. Once the first of these reports that it is
// isolated, it starts the seeds.
func (s *scenarioRun) startWithoutSeeds(ctx context.Context) error {
	seeds := min(s.testbed.world.Seeds, len(s.nodes))
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, n := range s.nodes[seeds:] {
		if err := n.restart(ctx); err != nil {
			return err
		}
	}
	if _, err := s.waitForAgreement(ctx, s.nodes[seeds:seeds+1], SideIsolated); err != nil {
		return err
	}
	for _, n := range s.nodes[:seeds] {
		if err := n.restart(ctx); err != nil {
			return err
		}
	}
	err := s.recordAgreement(ctx, "whole after the seeds")
	return err
}

// floodMesh sends invalid packets to one node's mesh as fast as one sender can, for 10 s, and records the node's
// response times meanwhile. No member may be removed.
func (s *scenarioRun) floodMesh(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.testbed.now()
	to, err := net.Dial("udp4", n.meshListen())
	if err != nil {
		return err
	}
	defer to.Close()
	ended := make(chan int)
	until := s.testbed.began.Add(at + 10*time.Second)
	go func() {
		junk, sent := make([]byte, 200), 0
		for ; time.Now().Before(until) && ctx.Err() == nil; sent++ {
			_, _ = to.Write(junk) // a packet that cannot be sent does not matter
		}
		ended <- sent
	}()
	for time.Now().Before(until) && sleep(ctx, 10*time.Millisecond) {
		from := s.testbed.now()
		if n.Ready(ctx) {
			s.record("an answer of the flooded", s.testbed.now()-from)
		} else {
			s.count["no answer"]++
		}
	}
	s.count["packets sent"] += <-ended
	return errors.Join(ctx.Err(), s.countWronglyRemoved(at))
}

// halfProcessorTime lets one node run for only half of each tenth of a second, for 30 s. No member may be removed.
func (s *scenarioRun) halfProcessorTime(ctx context.Context) error {
	n, at := s.nodes[len(s.nodes)-1], s.testbed.now()
	for s.testbed.now()-at < 30*time.Second {
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
	err := s.recordAgreement(ctx, completeAgainMetric)
	return errors.Join(err, s.countWronglyRemoved(at))
}

// duplicateName starts a second process with the last node's name, at an address of its own. Both must report the
// conflict, and then the older process must leave the mesh but still serve clients. Once the newer one is killed, the
// older one must be a member again.
func (s *scenarioRun) duplicateName(ctx context.Context) error {
	older := s.nodes[len(s.nodes)-1]
	twin, err := s.testbed.newNode("twin", older.zone, older.tier, older.index)
	if err != nil {
		return err
	}
	twin.configuredName = older.name
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
	note := func(metric, what string, is func() bool) {
		if err == nil {
			var took time.Duration
			took, err = s.waitUntil(ctx, what, is)
			s.record(metric, took)
		}
	}
	note("both see the conflict", "both see the conflict", func() bool {
		a, _ := state(older)
		b, _ := state(twin)
		return a == stateConflict && b == stateConflict
	})
	note("then the older is out", "the older process is isolated and reports the conflict", func() bool {
		is, side := state(older)
		return is == stateConflict && side == SideIsolated
	})
	with := append(slices.Clone(s.nodes[:len(s.nodes)-1]), twin)
	note(
		"then the others agree with the newer",
		"the other nodes agree with the newer process",
		func() bool { return Agree(ctx, with, SideComplete) },
	)
	if err == nil && !older.Ready(ctx) {
		err = errors.New("the older process is not ready for clients")
	}
	twin.Kill()
	note(
		"the older is back after the newer's end",
		"all nodes agree with the older process again",
		func() bool { return Agree(ctx, s.nodes, SideComplete) },
	)
	return err
}
