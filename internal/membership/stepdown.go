package membership

import "time"

// stepDown is which leaders have stepped down: whether this process has, and the last one that has notified it.
type stepDown struct {
	started bool   // this process leads no more, and never again
	last    uint64 // the process whose step down came last
}

// sentBefore reports whether a heartbeat was sent before its leader stepped down.
func (s *stepDown) sentBefore(heartbeat message) bool { return heartbeat.Process == s.last }

// giveUpLead ends this process's leadership, as it leaves, so that the next leader need not wait for the votes to run
// out: all that claim this process's majority give it up and confirm that, then the votes are free. It
// returns the messages to send; done reports that no more follow. A member that does not confirm claims the majority no
// longer than the votes last, and all wait for that.
func (q *quorum) giveUpLead(now time.Duration, digest uint64) (out map[string]message, done bool) {
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
		return toAll(claimants, q.newMessage(kindStepDown, digest)), false
	}
	return toAll(q.liveness.others(), q.newMessage(kindVoteReleased, digest)), true
}

func toAll(names []string, m message) map[string]message {
	out := map[string]message{}
	for _, name := range names {
		out[name] = m
	}
	return out
}

// handleStepDown gives up the claim that the sender granted to this process, and confirms that.
func (q *quorum) handleStepDown(m message, reply *message) {
	q.stepDown.last = m.Process
	if q.claim.leader == m.Process {
		q.claim.until = 0
	}
	if q.leader.name == m.From {
		q.leader.until = 0
	}
	reply.Kind = kindStepDownAck
	reply.TargetProcess = m.Process
}

// handleStepDownAck notes that the sender claims the majority no more. After the last one the votes are freed at once.
func (q *quorum) handleStepDownAck(now time.Duration, m message) {
	if m.TargetProcess != q.process || !q.stepDown.started {
		return
	}
	if last := q.election.withdraw(m.From); last {
		q.nextSend = now
	}
}

// handleVoteReleased frees this process's vote for the sender.
func (q *quorum) handleVoteReleased(now time.Duration, m message) {
	if q.voter.release(m.Process) {
		q.nextSend = now
	}
}
