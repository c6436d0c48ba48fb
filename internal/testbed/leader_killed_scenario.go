package testbed

import (
	"context"
	"time"
)

// overrideThroughLeaderKill issues an override and kills the leader while the override is in force. The override must
// still be in force at all other nodes under the next leader, until it is revoked through the last of them, which
// has not led before.
func (s *scenarioRun) overrideThroughLeaderKill(ctx context.Context) error {
	const id = "survives"
	leader, others := s.nodes[0], s.nodes[1:]
	view, err := leader.Fleet(ctx)
	if err != nil {
		return err
	}
	issued, err := s.issueOverride(ctx, others[0], id, evacuationOverride("x", time.Minute))
	if err != nil {
		return err
	}
	if err := s.waitForOverride(ctx, s.nodes, id, true, issuedMetric, issued); err != nil {
		return err
	}
	leader.Kill()
	if err := s.waitForNewLeader(ctx, others, view.LeaderProcess); err != nil {
		return err
	}
	if err := s.waitForOverride(ctx, others, id, true, "", issued); err != nil {
		return err
	}
	revoked, err := s.revokeOverride(ctx, others[len(others)-1], id)
	if err != nil {
		return err
	}
	return s.waitForOverride(ctx, others, id, false, revokedMetric, revoked)
}
