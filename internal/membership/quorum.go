package membership

import (
	"time"
)

// Intervals and timeouts of the quorum. The failure detector has its own.
const (
	heartbeatInterval = 400 * time.Millisecond
	leaseDuration     = 2 * time.Second // of a vote; long enough that one or two lost heartbeats do not end it
	echoTimeout       = leaseDuration   // a leader that echoes no vote for this long counts as not receiving votes
)

// quorum determines the side of a partition that this process is on, and maintains the member list. It is a state
// machine that does no I/O and reads no clock: the mesh passes it the live members, the messages received and the time
// since the process started.
//
// Leader election: the live member with the lowest name in the list leads, unless another member already leads with a
// majority. The leader sends heartbeats to all live members, and they answer with votes. A vote binds the voter to the
// leading process for a lease (Gray and Cheriton, Leases, 1989). The leader has the majority while the votes of more
// than half of the list are in force, or of exactly half if the member with the lowest name is among the voters. As any
// two such majorities share a member, no two leaders have a majority at the same time.
//
// Leases: the leader grants its voters a claim to the majority that ends no later than the majority itself. No two
// clocks are compared. The leader counts the lease of a vote from the sending of the heartbeat that the vote answers,
// which precedes the vote. A voter counts its claim from the sending of its vote, which precedes the arrival of the
// vote at the leader. A message delay can therefore only shorten a lease or a claim. A process does not vote until one
// lease after its start, as an earlier process of the same name may have voted.
//
// Member list: only a leader with a majority changes the list, one change at a time. A change needs a majority of both
// the old and the new list, as in joint consensus (Ongaro and Ousterhout, In Search of an Understandable Consensus
// Algorithm, 2014). Members that leave are removed at once and vote until they are off the list, so any number of
// members can leave together without a loss of the majority. Dead members are removed after 30 s, and new members are
// added after 1 s.
//
// Founding: the first list is the seeds, and founding a fleet needs the votes of all seeds. A majority of them would
// not be enough: these seeds may have restarted without their state, while a partition separates them from the running
// fleet. A single seed that still has its state prevents the founding of a second fleet.
//
// Rejected alternative: to count a member that has left as a vote. The next process of that name may vote on the other
// side of a partition.
type quorum struct {
	self     string
	process  uint64
	list     memberList
	liveness liveness
	voter    voter
	leader   followedLeader
	claim    majorityClaim
	election election
	stepDown stepDown

	nextSend    time.Duration // time at which the next messages are due
	sendFailure bool          // no member answers this process, so it does not act as a leader for now
}

// followedLeader is the leader that this process follows until a time, which each of its heartbeats extends.
type followedLeader struct {
	name  string
	until time.Duration
}

// majorityClaim is this process's permission to claim the majority, which a leading process has granted.
type majorityClaim struct {
	leaderProcess uint64 // number of the leading process
	until         time.Duration
	complete      bool // no member of the list is missing
}

func newQuorum(self string, process uint64, seeds []string, now time.Duration) *quorum {
	return &quorum{
		self:     self,
		process:  process,
		list:     newMemberList(self, seeds),
		liveness: newLiveness(self, now),
		voter:    newVoter(now),
		election: newElection(),
	}
}

// updateLiveness sets the names of the live members, this process included, and of those that are leaving or have left.
func (q *quorum) updateLiveness(now time.Duration, live, left map[string]bool) {
	q.liveness.update(now, live, left, q.list.names)
	q.election.expire(now)
}

// currentLeader returns the name of the leader that this process follows, or else the lowest name in the member list
// that may lead. It returns "" if there is none.
func (q *quorum) currentLeader(now time.Duration) string {
	if now < q.leader.until && q.mayLead(q.leader.name, now) {
		return q.leader.name
	}
	for _, name := range q.list.names {
		if q.mayLead(name, now) {
			return name
		}
	}
	return ""
}

// mayLead reports whether a member is live and, as far as known, receives this process's votes.
func (q *quorum) mayLead(name string, now time.Duration) bool {
	return q.liveness.isLive(name) && !q.voter.hasReceiveFailure(name, now)
}

// majorityUntil returns the time at which this process's majority ends, or 0 if it has none. While a change of the
// member list is under way, it needs a majority of the old and of the new list.
func (q *quorum) majorityUntil(now time.Duration) time.Duration {
	until := q.enoughVotesUntil(now, q.list.names)
	if q.list.previous != nil {
		until = min(until, q.enoughVotesUntil(now, q.list.previous))
	}
	return until
}

// enoughVotesUntil returns the time until which this process has enough votes of a member list, or 0 if it has too few.
func (q *quorum) enoughVotesUntil(now time.Duration, names []string) time.Duration {
	count := newTally(len(names))
	for i, name := range names {
		expiry := q.election.voteExpiry(name, q.list.epoch)
		if name == q.self && q.voter.votedFor == q.process {
			expiry = q.voter.expiry
		}
		if expiry > now {
			count.add(i, expiry)
		}
	}
	if q.list.epoch.Number == 0 { // founding: restarted seeds may not know of a running fleet
		return count.unanimousUntil()
	}
	return count.majorityUntil()
}

// quorumStatus is the part of the quorum's state that the view shows.
type quorumStatus struct {
	epoch         Epoch
	memberList    []string
	settled       bool // no change of the member list is under way
	side          PartitionSide
	leaderProcess uint64 // number of the leading process
	claimUntil    time.Duration
}

func (q *quorum) status(now time.Duration) quorumStatus {
	side, leader := q.side(now)
	return quorumStatus{
		epoch:         q.list.epoch,
		memberList:    q.list.names,
		settled:       q.list.previous == nil,
		side:          side,
		leaderProcess: leader,
		claimUntil:    q.claim.until,
	}
}

// side returns the side of a partition that this process is on, and the number of the process whose majority it claims,
// or 0 without a claim.
func (q *quorum) side(now time.Duration) (side PartitionSide, leader uint64) {
	switch {
	case now < q.claim.until && q.claim.complete:
		return Complete, q.claim.leaderProcess
	case now < q.claim.until:
		return Majority, q.claim.leaderProcess
	case len(q.liveness.liveSince) == 1:
		return Isolated, 0
	}
	return Minority, 0
}

// tick returns the messages to send now, by receiver: heartbeats if this process is the leader or a candidate, and
// otherwise the member list for a leader from which no heartbeats arrive.
func (q *quorum) tick(now time.Duration, digest uint64) map[string]message {
	if !q.sendDue(now) {
		return nil
	}
	q.nextSend = now + heartbeatInterval
	if leader := q.currentLeader(now); leader != q.self {
		return q.notifyLeader(now, leader, digest)
	}
	q.voteForSelf(now)
	until := q.majorityUntil(now)
	if until > now {
		q.lead(now, until)
	} else {
		q.nextSend = now + heartbeatInterval/2 // it has no majority yet and asks for votes
	}
	return q.heartbeats(now, until, digest)
}

// sendDue reports whether messages are due: after each interval, and at once when this process has got a majority that
// lets it claim its side or commit a change of the member list.
func (q *quorum) sendDue(now time.Duration) bool {
	if q.stepDown.started || q.sendFailure {
		return false
	}
	if now >= q.nextSend {
		return true
	}
	unannounced := q.list.previous != nil || now >= q.claim.until
	return q.voter.votedFor == q.process && unannounced && q.majorityUntil(now) > now
}

// notifyLeader returns the member list for a leader whose heartbeats this process does not get. The leader may not know
// yet that it is to lead.
func (q *quorum) notifyLeader(now time.Duration, leader string, digest uint64) map[string]message {
	if leader == "" || now < q.leader.until {
		return nil
	}
	return map[string]message{leader: q.newQuorumMessage(kindMemberList, digest)}
}

// voteForSelf casts or renews this process's vote for itself, if it may vote and is not bound to another process. The
// only seed of a new fleet votes at once: there is no other member whose lease it has to wait for.
func (q *quorum) voteForSelf(now time.Duration) {
	founder := len(q.list.names) == 1 && q.list.names[0] == q.self && q.list.epoch.Number == 0
	if (founder || q.voter.eligible(now)) && q.voter.mayVoteFor(q.process, now) {
		q.voter.vote(q.process, now)
	}
}

// lead commits a pending change of the member list, renews this process's claim to its own majority, and starts the
// next change if the list differs from the live members.
func (q *quorum) lead(now, until time.Duration) {
	q.list.commit()
	q.leader = followedLeader{q.self, now + leaseDuration}
	q.claim = majorityClaim{q.process, until, q.liveness.isComplete(q.list.names)}
	next := q.list.next(now, &q.liveness)
	if q.list.differsFrom(next) {
		epoch := Epoch{q.list.epoch.Number + 1, q.self}
		q.installMemberList(epoch, next, q.list.names)
	}
}

// heartbeats returns the leader's messages to the other live members, by receiver. A member that has voted is granted a
// claim to the majority until the leader's own majority ends. The heartbeat carries the duration of the claim
// from the arrival of the vote, and the member counts it from the sending of that vote by its own clock.
func (q *quorum) heartbeats(now, until time.Duration, digest uint64) map[string]message {
	common := q.newQuorumMessage(kindHeartbeat, digest)
	common.HeartbeatAt = now
	common.Complete = q.liveness.isComplete(q.list.names)
	common.HasMajority = until > now && q.list.previous == nil
	out := map[string]message{}
	for name := range q.liveness.liveSince {
		if name == q.self {
			continue
		}
		heartbeat := common
		if v, voted := q.election.votes[name]; voted {
			heartbeat.TargetProcess = v.process
			heartbeat.VoteAt = v.sentAt
			heartbeat.Remaining = max(0, until-v.receivedAt)
			q.election.grantClaim(name, until)
			if v.epoch != q.list.epoch {
				q.list.writeTo(&heartbeat, v.epoch)
			}
		}
		out[name] = heartbeat
	}
	return out
}

// installMemberList replaces the member list by a newer one.
func (q *quorum) installMemberList(epoch Epoch, names, previous []string) {
	q.list.install(epoch, names, previous)
	q.liveness.updateMissing(names)
}

// adoptMemberList replaces the member list by that of a message, if that is newer. The removal delay of dead members
// then starts anew.
func (q *quorum) adoptMemberList(m message) {
	names, previous, newer := q.list.readFrom(m)
	if !newer {
		return
	}
	q.installMemberList(m.Epoch, names, previous)
	q.liveness.deadSince = map[string]time.Duration{}
}

// handle processes a message and returns the reply, if there is one. A sender with an older epoch is sent the member
// list. A sender with a newer epoch, whose list could not be adopted, gets a message with this process's epoch, to
// which it answers with its list.
func (q *quorum) handle(now time.Duration, m message, digest uint64) (reply message, ok bool) {
	if m.From == q.self || !q.liveness.isLive(m.From) {
		return reply, false // the failure detector does not know the sender yet, or reports it dead
	}
	q.adoptMemberList(m)
	q.liveness.reportedMissing[m.From] = m.Missing
	reply = q.newQuorumMessage(kindMemberList, digest)
	order := m.Epoch.compare(q.list.epoch)
	if order < 0 {
		q.list.writeTo(&reply, m.Epoch)
	}
	switch m.Kind {
	case kindHeartbeat:
		q.handleHeartbeat(now, m, &reply)
	case kindVote:
		q.handleVote(now, m)
	case kindStepDown:
		q.handleStepDown(m, &reply)
	case kindStepDownAck:
		q.handleStepDownAck(now, m)
	case kindVoteReleased:
		q.handleVoteReleased(now, m)
	}
	return reply, reply.Kind != kindMemberList || order != 0
}

// handleHeartbeat follows the sender of a heartbeat if it is the leader, and votes for it unless this process's vote is
// bound to another process. It then adopts the claim to the majority that the heartbeat grants, if there is one.
func (q *quorum) handleHeartbeat(now time.Duration, m message, reply *message) {
	if q.stepDown.isOutdated(m) {
		return
	}
	q.voter.observeEcho(now, m, q.process)
	if q.voter.hasReceiveFailure(m.From, now) {
		return
	}
	if m.HasMajority && now >= q.claim.until || m.From == q.currentLeader(now) {
		q.leader = followedLeader{m.From, now + leaseDuration}
	}
	if m.From != q.currentLeader(now) || !q.voter.eligible(now) || !q.voter.mayVoteFor(m.Process, now) {
		return
	}
	if m.HasMajority && m.Epoch == q.list.epoch {
		q.list.commit()
	}
	q.voter.vote(m.Process, now)
	until := m.VoteAt + m.Remaining
	if m.TargetProcess == q.process && m.Remaining > 0 && until > now {
		q.claim = majorityClaim{m.Process, until, m.Complete}
	}
	reply.Kind = kindVote
	reply.TargetProcess = m.Process
	reply.HeartbeatAt = m.HeartbeatAt
	reply.VoteAt = now
}

// handleVote records a vote for this process.
func (q *quorum) handleVote(now time.Duration, m message) {
	if m.TargetProcess == q.process && m.HeartbeatAt <= now {
		q.election.record(now, m)
	}
}
