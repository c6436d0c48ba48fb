package membership

import "time"

// stepDown records whether this process has stepped down as a leader, and which other process did so last.
type stepDown struct {
	started         bool   // this process has given up leadership for good
	lastSteppedDown uint64 // number of the process whose kindStepDown message arrived last
}

// isOutdated reports whether a heartbeat was sent before its leader stepped down, and must be ignored.
func (s *stepDown) isOutdated(heartbeat message) bool { return heartbeat.Process == s.lastSteppedDown }

// continueStepDown takes the next step to end the leadership of a process that is leaving, so that the next leader does
// not have to wait for the leases of the votes to end. First it asks every member that may claim this process's
// majority to drop the claim. Once all have confirmed that, it releases all voters. If a member does not confirm, the
// release waits until the member's claim ends, which is no later than the leases. It returns the messages to send; done
// reports that no more follow.
func (q *quorum) continueStepDown(now time.Duration, digest uint64) (out map[string]message, done bool) {
	if q.voter.votedFor != q.process {
		return nil, true
	}
	if !q.stepDown.started {
		q.stepDown.started = true
		q.claim.until = 0
		q.leader.until = 0
		q.nextSend = now
	}
	if now < q.nextSend {
		return nil, false
	}
	q.nextSend = now + tickInterval
	if claimants := q.election.claimants(now); len(claimants) > 0 {
		return toAll(claimants, q.newQuorumMessage(kindStepDown, digest)), false
	}
	return toAll(q.liveness.otherLiveNames(), q.newQuorumMessage(kindVoteReleased, digest)), true
}

// toAll returns one message for each of the names.
func toAll(names []string, m message) map[string]message {
	out := map[string]message{}
	for _, name := range names {
		out[name] = m
	}
	return out
}

// handleStepDown drops the claim that the sender has granted to this process, and confirms that in the reply.
func (q *quorum) handleStepDown(m message, reply *message) {
	q.stepDown.lastSteppedDown = m.Process
	if q.claim.leaderProcess == m.Process {
		q.claim.until = 0
	}
	if q.leader.name == m.From {
		q.leader.until = 0
	}
	reply.Kind = kindStepDownAck
	reply.TargetProcess = m.Process
}

// handleStepDownAck records that the sender has dropped its claim. After the last such message, the votes
// are released at once.
func (q *quorum) handleStepDownAck(now time.Duration, m message) {
	if m.TargetProcess != q.process || !q.stepDown.started {
		return
	}
	if last := q.election.withdrawClaim(m.From); last {
		q.nextSend = now
	}
}

// handleVoteReleased ends the lease of this process's vote, if it voted for the sender.
func (q *quorum) handleVoteReleased(now time.Duration, m message) {
	if q.voter.release(m.Process) {
		q.nextSend = now
	}
}
