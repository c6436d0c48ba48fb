package membership

import "time"

// election is what a process that leads, or wants to, knows of the others' votes for it.
type election struct {
	votes        map[string]receivedVote  // by name, the last of each
	grantedUntil map[string]time.Duration // by name, when the majority granted to it has run out at the latest
}

// receivedVote is a member's vote for this process.
type receivedVote struct {
	process    uint64
	epoch      Epoch
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

// record keeps a vote. Its lease counts from the heartbeat that it answers, which left before the voter bound itself.
func (e *election) record(now time.Duration, m message) {
	e.votes[m.From] = receivedVote{
		process:    m.Process,
		epoch:      m.Epoch,
		sentAt:     m.VoteAt,
		receivedAt: now,
		expiry:     m.HeartbeatAt + leaseDuration,
	}
}

// expire drops the votes that have run out.
func (e *election) expire(now time.Duration) {
	for name, v := range e.votes {
		if v.expiry < now {
			delete(e.votes, name)
		}
	}
}

// voteExpiry is until when a member's vote binds it to this process in an epoch; 0: it does not.
func (e *election) voteExpiry(name string, epoch Epoch) time.Duration {
	v, voted := e.votes[name]
	if !voted || v.epoch != epoch {
		return 0
	}
	return v.expiry
}

// grant notes that a member may claim the majority of this process until a time.
func (e *election) grant(name string, until time.Duration) {
	e.grantedUntil[name] = max(e.grantedUntil[name], until)
}

// withdraw notes that a member claims this process's majority no more, and reports whether it was the last one.
func (e *election) withdraw(name string) (last bool) {
	delete(e.grantedUntil, name)
	return len(e.grantedUntil) == 0
}

// claimants are the members that may claim this process's majority.
func (e *election) claimants(now time.Duration) []string {
	var names []string
	for name, until := range e.grantedUntil {
		if until > now {
			names = append(names, name)
		}
	}
	return names
}
