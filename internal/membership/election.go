package membership

import "time"

// election is the state of a leader or candidate: the votes that other members have given this process, and the claims
// to the majority that it has granted them.
type election struct {
	votes        map[string]receivedVote  // by the voter's name: its last vote
	grantedUntil map[string]time.Duration // by member name: latest end of the claims granted to it
}

// receivedVote is another member's vote for this process.
type receivedVote struct {
	process    uint64        // number of the voting process
	epoch      Epoch         // of the voter's member list
	sentAt     time.Duration // by the voter's clock
	receivedAt time.Duration // by this process's clock
	expiry     time.Duration // by this process's clock
}

func newElection() election {
	return election{
		votes:        map[string]receivedVote{},
		grantedUntil: map[string]time.Duration{},
	}
}

// record stores a vote. Its lease starts when this process sent the heartbeat that the vote answers. The voter counts
// the lease from the vote, which is later, so the lease ends here before it ends at the voter.
func (e *election) record(now time.Duration, m message) {
	e.votes[m.From] = receivedVote{
		process:    m.Process,
		epoch:      m.Epoch,
		sentAt:     m.VoteAt,
		receivedAt: now,
		expiry:     m.HeartbeatAt + leaseDuration,
	}
}

// expire drops the votes whose lease has ended.
func (e *election) expire(now time.Duration) {
	for name, v := range e.votes {
		if v.expiry < now {
			delete(e.votes, name)
		}
	}
}

// voteExpiry returns the end of the lease of a member's vote in an epoch, or 0 if it has not voted in that epoch.
func (e *election) voteExpiry(name string, epoch Epoch) time.Duration {
	v, voted := e.votes[name]
	if !voted || v.epoch != epoch {
		return 0
	}
	return v.expiry
}

// grantClaim records that a member may claim this process's majority until a time.
func (e *election) grantClaim(name string, until time.Duration) {
	e.grantedUntil[name] = max(e.grantedUntil[name], until)
}

// withdrawClaim records that a member no longer claims this process's majority, and reports whether no claim is left.
func (e *election) withdrawClaim(name string) (last bool) {
	delete(e.grantedUntil, name)
	return len(e.grantedUntil) == 0
}

// claimants returns the names of the members that may still claim this process's majority.
func (e *election) claimants(now time.Duration) []string {
	var names []string
	for name, until := range e.grantedUntil {
		if until > now {
			names = append(names, name)
		}
	}
	return names
}
