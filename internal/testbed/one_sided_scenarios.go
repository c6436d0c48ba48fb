package testbed

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// linkReturnInterval is the time between restoring one link and the next. It is longer than a node takes to act on a
// received message.
const linkReturnInterval = 150 * time.Millisecond

// burstsOfLoss drops all packets for 300 ms of each 1.5 s and 10% of them in the remaining 1.2 s, for 30 s.
func (s *scenarioRun) burstsOfLoss(ctx context.Context) error {
	at := s.testbed.now()
	for s.testbed.now()-at < 30*time.Second {
		s.testbed.SetLink("n*", "n*", LinkCondition{Loss: 1})
		sleep(ctx, 300*time.Millisecond)
		s.testbed.SetLink("n*", "n*", LinkCondition{Loss: 0.1})
		if !sleep(ctx, 1200*time.Millisecond) {
			return ctx.Err()
		}
	}
	return s.waitUntilHealed(ctx, "n*", "n*", at)
}

// waitUntilHealed ends the conditions of some links, records how long it takes until all nodes agree, and counts the
// wrong removals after the time since. If names are given, it counts only removals of these members.
func (s *scenarioRun) waitUntilHealed(
	ctx context.Context,
	from, to string,
	since time.Duration,
	names ...string,
) error {
	s.testbed.SetLink(from, to, LinkCondition{})
	err := s.recordAgreement(ctx, completeAgainMetric)
	return errors.Join(err, s.countWronglyRemoved(since, names...))
}

// waitForNewLeader records how long it takes until the nodes have a majority under a leader process other than before.
func (s *scenarioRun) waitForNewLeader(ctx context.Context, by []*Node, before string) error {
	took, err := s.waitUntil(ctx, "the majority has another leader", func() bool {
		v, err := by[0].Fleet(ctx)
		return err == nil && v.LeaderProcess != before && v.Side == SideMajority && Agree(ctx, by, SideMajority)
	})
	s.record("leader replaced", took)
	return err
}

// leaderLinkFailure cuts all links to the leader if receiveFails is true, else all links from it, for 15 s. No node may
// remove any other member than the leader.
func (s *scenarioRun) leaderLinkFailure(ctx context.Context, receiveFails bool) error {
	at, rest := s.testbed.now(), s.nodes[1:]
	v, err := s.nodes[0].Fleet(ctx)
	if err != nil {
		return err
	}
	from, to := "n1", "n*"
	if receiveFails {
		from, to = to, from
	}
	s.testbed.SetLink(from, to, LinkCondition{Cut: true})
	if err := s.waitForNewLeader(ctx, rest, v.LeaderProcess); err != nil {
		return err
	}
	if !sleep(ctx, 15*time.Second-(s.testbed.now()-at)) {
		return ctx.Err()
	}
	return s.waitUntilHealed(ctx, from, to, at, names(rest)...)
}

// leaderReturnsSlowly cuts all links to the leader for 10 s and then restores them one by one, further apart than a
// tick of the members. No node may remove any other member than the leader.
func (s *scenarioRun) leaderReturnsSlowly(ctx context.Context) error {
	at, leader, rest := s.testbed.now(), s.nodes[0].name, s.nodes[1:]
	s.testbed.SetLink("n*", leader, LinkCondition{Cut: true})
	sleep(ctx, 10*time.Second)
	for _, n := range rest {
		s.testbed.SetLink(n.name, leader, LinkCondition{})
		if !sleep(ctx, linkReturnInterval) {
			return ctx.Err()
		}
	}
	return s.waitUntilHealed(ctx, "n*", leader, at, names(rest)...)
}

// memberReceiveFailure cuts all links to the last node for 15 s; its suspicions still reach the others. No node may
// remove any other member.
func (s *scenarioRun) memberReceiveFailure(ctx context.Context) error {
	at, last := s.testbed.now(), s.nodes[len(s.nodes)-1]
	s.testbed.SetLink("n*", last.name, LinkCondition{Cut: true})
	sleep(ctx, 15*time.Second)
	return s.waitUntilHealed(ctx, "n*", last.name, at, names(s.nodes[:len(s.nodes)-1])...)
}

// ringOfOneWayCuts cuts all links but those from each node to the one before it, for 15 s: each node receives only from
// the next one.
func (s *scenarioRun) ringOfOneWayCuts(ctx context.Context) error {
	for i, a := range s.nodes {
		for j, b := range s.nodes {
			if i != j && j != (i+len(s.nodes)-1)%len(s.nodes) {
				s.testbed.SetLink(a.name, b.name, LinkCondition{Cut: true})
			}
		}
	}
	sleep(ctx, 15*time.Second)
	s.testbed.SetLink("n*", "n*", LinkCondition{})
	err := s.recordAgreement(ctx, completeAgainMetric)
	return err
}

// halfStopped stops the second half of the nodes for 4 s. No member of the first half may be removed.
func (s *scenarioRun) halfStopped(ctx context.Context) error {
	at, half := s.testbed.now(), len(s.nodes)/2
	for _, n := range s.nodes[half:] {
		if err := n.Stop(); err != nil {
			return err
		}
	}
	sleep(ctx, 4*time.Second)
	for _, n := range s.nodes[half:] {
		if err := n.Continue(); err != nil {
			return err
		}
	}
	return s.waitUntilHealed(ctx, "n*", "n*", at, names(s.nodes[:half])...)
}

// leaderStopped stops the leader for d, beginning while its vote is live. If d is at most 1 s, no member may be
// removed, else only the leader.
func (s *scenarioRun) leaderStopped(ctx context.Context, d time.Duration) error {
	at, leader := s.testbed.now(), s.nodes[0]
	if err := leader.Stop(); err != nil {
		return err
	}
	sleep(ctx, d)
	if err := leader.Continue(); err != nil {
		return err
	}
	if d > time.Second {
		return s.waitUntilHealed(ctx, "n*", "n*", at, names(s.nodes[1:])...)
	}
	return s.waitUntilHealed(ctx, "n*", "n*", at)
}

// slowOneByOne limits one process after another to a tenth of a processor for 3 s: it runs for 10 ms in each 100 ms. No
// member may be removed.
func (s *scenarioRun) slowOneByOne(ctx context.Context) error {
	at := s.testbed.now()
	for _, n := range s.nodes {
		for from := s.testbed.now(); s.testbed.now()-from < 3*time.Second; {
			if err := n.process.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			sleep(ctx, 90*time.Millisecond)
			if err := n.process.signal(syscall.SIGCONT); err != nil {
				return err
			}
			if !sleep(ctx, 10*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return s.waitUntilHealed(ctx, "n*", "n*", at)
}

// splitWithBridge cuts the links between n1 to n3 and n5 to n8 for 20 s, so that only n4 reaches all others. There must
// never be more than one majority, and n4 must never be removed.
func (s *scenarioRun) splitWithBridge(ctx context.Context) error {
	at := s.testbed.now()
	for _, a := range s.nodes[:3] {
		for _, b := range s.nodes[4:] {
			s.testbed.SetLink(a.name, b.name, LinkCondition{Cut: true})
			s.testbed.SetLink(b.name, a.name, LinkCondition{Cut: true})
		}
	}
	sleep(ctx, 20*time.Second)
	return s.waitUntilHealed(ctx, "n*", "n*", at, "n4")
}

// killWhileSuspecting drops 80% of what n7 sends, and kills n7 once it has logged that it suspects a member. No other
// member may be removed.
func (s *scenarioRun) killWhileSuspecting(ctx context.Context) error {
	at, n7, n8 := s.testbed.now(), s.nodes[6], s.nodes[7]
	s.testbed.SetLink(n7.name, "n*", LinkCondition{Loss: 0.8})
	_, _ = s.waitUntil(ctx, "n7 suspects somebody", func() bool {
		all, err := s.changes(n7)
		return err != nil || slices.ContainsFunc(
			all,
			func(c memberChange) bool { return c.at >= at && c.state == stateSuspected },
		)
	})
	n7.Kill()
	killed := s.testbed.now()
	s.testbed.SetLink(n7.name, "n*", LinkCondition{})
	rest := append(slices.Clone(s.nodes[:6]), n8)
	if err := s.waitForState(ctx, rest, n7.name, stateDead, deadMetric, killed); err != nil {
		return err
	}
	return s.countWronglyRemoved(at, names(rest)...)
}
