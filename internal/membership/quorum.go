package membership

import (
	"time"
)

// Times of the quorum, on top of the failure detector's.
const (
	heartbeatInterval = 400 * time.Millisecond
	leaseDuration     = 2 * time.Second // of a vote; a lost heartbeat or two do not matter
	echoTimeout       = leaseDuration   // a leader that has echoed no vote for so long does not receive the voter's
)

// quorum decides on which side of a partition this process is, and what the member list is. It is a state machine
// without I/O or a clock: the mesh feeds it the live members, messages and the time since the process began.
//
// The member of the list that has the lowest name among the live ones leads, unless another leads already with the
// majority. The leader sends heartbeats to all; each vote binds its sender to that process for a lease (Gray and
// Cheriton, Leases, 1989). While more than half of the list is bound to it, or exactly half with the lowest name of the
// list among them, it has the majority, and what it grants to others ends no later. Each side counts from its own
// clock's reading at an event that came no later than the other's, so that delays only shorten a claim. Since two such
// quorums share a member, no two leaders have the majority at one time. A process votes only a lease after its start,
// since one before it may have voted.
//
// Only a leader with the majority changes the member list, one change after another: it needs the majority of both the
// old list and the new one, as in joint consensus (Ongaro and Ousterhout, In Search of an Understandable Consensus
// Algorithm, 2014). Members that leave are removed at once and vote until the list is without them, so that leaving is
// not a partition, however many leave together; dead ones stay for 30 s, new ones enter after 1 s. The first list is
// the seeds, and founds a fleet only with the votes of all of them: a majority of the seeds may have started again
// without a memory, cut off from the fleet that has gone on without them. One seed that remembers is enough to prevent
// that. (Rejected: counting a member that has left as a vote. Its next process may vote on the other side.)
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

	nextSend    time.Duration
	sendFailure bool // nobody answers this process: it leads nobody for now
}

// followedLeader is the member whose heartbeats this process follows, as long as they come.
type followedLeader struct {
	name  string
	until time.Duration
}

// majorityClaim is until when this process may claim to be with the majority, and which process has granted it.
type majorityClaim struct {
	leader   uint64
	until    time.Duration
	complete bool
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

// updateLiveness takes who is live, this process included, and who leaves or has left, by name.
func (q *quorum) updateLiveness(now time.Duration, live, left map[string]bool) {
	q.liveness.update(now, live, left, q.list.names)
	q.election.expire(now)
}

// currentLeader is whom this process follows, or else the lowest live name of the member list; "" if none is live.
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

// mayLead reports whether a member is live and receives this process's votes.
func (q *quorum) mayLead(name string, now time.Duration) bool {
	return q.liveness.isLive(name) && !q.voter.hasReceiveFailure(name, now)
}

// majorityUntil is until when this process, as the leader, has the majority of what it needs; 0: it has none.
func (q *quorum) majorityUntil(now time.Duration) time.Duration {
	until := q.boundUntil(now, q.list.names)
	if q.list.previous != nil {
		until = min(until, q.boundUntil(now, q.list.previous))
	}
	return until
}

// boundUntil is until when a majority of a member list is bound to this process; 0: it is not.
func (q *quorum) boundUntil(now time.Duration, names []string) time.Duration {
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
	if q.list.epoch.Number == 0 { // founding: who only starts again may not know of a fleet that went on without it
		return count.unanimousUntil()
	}
	return count.majorityUntil()
}

// quorumStatus is what the view shows of the quorum.
type quorumStatus struct {
	epoch      Epoch
	memberList []string
	settled    bool // no change of the member list is under way
	side       PartitionSide
	leader     uint64
	claimUntil time.Duration
}

func (q *quorum) status(now time.Duration) quorumStatus {
	side, leader := q.side(now)
	return quorumStatus{
		epoch:      q.list.epoch,
		memberList: q.list.names,
		settled:    q.list.previous == nil,
		side:       side,
		leader:     leader,
		claimUntil: q.claim.until,
	}
}

// side is on which side of a partition this process is, and under which leading process it knows so.
func (q *quorum) side(now time.Duration) (side PartitionSide, leader uint64) {
	switch {
	case now < q.claim.until && q.claim.complete:
		return Complete, q.claim.leader
	case now < q.claim.until:
		return Majority, q.claim.leader
	case len(q.liveness.liveSince) == 1:
		return Isolated, 0
	}
	return Minority, 0
}

// tick returns the messages to send now, by receiver: the leader's heartbeats, or the member list for a member that is
// to lead and has sent no heartbeat.
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
		q.nextSend = now + heartbeatInterval/2 // it asks for votes
	}
	return q.heartbeats(now, until, digest)
}

// sendDue reports whether it is time to send: each interval, and at once when this process has won the majority.
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

// notifyLeader sends the member list to a leader that is silent: it may not know yet that it is to lead.
func (q *quorum) notifyLeader(now time.Duration, leader string, digest uint64) map[string]message {
	if leader == "" || now < q.leader.until {
		return nil
	}
	return map[string]message{leader: q.newMessage(kindMemberList, digest)}
}

// voteForSelf renews this process's vote for itself, if it is free. A fleet of one founds itself: nobody else votes.
func (q *quorum) voteForSelf(now time.Duration) {
	founder := len(q.list.names) == 1 && q.list.names[0] == q.self && q.list.epoch.Number == 0
	if (founder || q.voter.eligible(now)) && q.voter.freeFor(q.process, now) {
		q.voter.vote(q.process, now)
	}
}

// lead takes note of this process's own majority, and brings the member list closer to the live members.
func (q *quorum) lead(now, until time.Duration) {
	q.list.commit()
	q.leader = followedLeader{q.self, now + leaseDuration}
	q.claim = majorityClaim{q.process, until, q.liveness.isComplete(q.list.names)}
	next := q.list.next(now, &q.liveness)
	if q.list.differsFrom(next) {
		epoch := Epoch{q.list.epoch.Number + 1, q.self}
		q.enterMemberList(epoch, next, q.list.names)
	}
}

// heartbeats are a leader's messages to the live members. Each one that has voted is granted the majority until the
// leader's own claim ends, counted from its vote on its own clock.
func (q *quorum) heartbeats(now, until time.Duration, digest uint64) map[string]message {
	common := q.newMessage(kindHeartbeat, digest)
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
			q.election.grant(name, until)
			if v.epoch != q.list.epoch {
				q.list.describe(&heartbeat, v.epoch)
			}
		}
		out[name] = heartbeat
	}
	return out
}

// enterMemberList takes a newer member list.
func (q *quorum) enterMemberList(epoch Epoch, names, previous []string) {
	q.list.enter(epoch, names, previous)
	q.liveness.updateMissing(names)
}

// adoptMemberList takes the member list of a message, if it is newer.
func (q *quorum) adoptMemberList(m message) {
	names, previous, newer := q.list.read(m)
	if !newer {
		return
	}
	q.enterMemberList(m.Epoch, names, previous)
	q.liveness.deadSince = map[string]time.Duration{}
}

// handle takes a message and returns the reply, if there is one. An older epoch is sent the member list, a newer one
// is asked for it.
func (q *quorum) handle(now time.Duration, m message, digest uint64) (reply message, ok bool) {
	if m.From == q.self || !q.liveness.isLive(m.From) {
		return reply, false // the failure detector does not know it yet, or no more
	}
	q.adoptMemberList(m)
	q.liveness.reportedMissing[m.From] = m.Missing
	reply = q.newMessage(kindMemberList, digest)
	order := m.Epoch.compare(q.list.epoch)
	if order < 0 {
		q.list.describe(&reply, m.Epoch)
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

// handleHeartbeat follows a leader and votes for it, where this process's vote is free.
func (q *quorum) handleHeartbeat(now time.Duration, m message, reply *message) {
	if q.stepDown.sentBefore(m) {
		return
	}
	q.voter.observeEcho(now, m, q.process)
	if q.voter.hasReceiveFailure(m.From, now) {
		return
	}
	if m.HasMajority && now >= q.claim.until || m.From == q.currentLeader(now) {
		q.leader = followedLeader{m.From, now + leaseDuration}
	}
	if m.From != q.currentLeader(now) || !q.voter.eligible(now) || !q.voter.freeFor(m.Process, now) {
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

// handleVote counts a vote for this process.
func (q *quorum) handleVote(now time.Duration, m message) {
	if m.TargetProcess == q.process && m.HeartbeatAt <= now {
		q.election.record(now, m)
	}
}
