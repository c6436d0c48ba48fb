package membership

import "time"

// voter holds the vote of this process. A vote binds this process to one leading process for a lease, which is counted
// by this process's clock.
type voter struct {
	eligibleAt time.Duration // one lease after the start, as an earlier process of this name may have voted
	votedFor   uint64        // number of the leading process
	votedSince time.Duration // of the first vote in an unbroken series for that process
	expiry     time.Duration // of the lease

	receiveFailureUntil map[string]time.Duration // by leader name: until then it counts as not receiving votes
}

func newVoter(now time.Duration) voter {
	return voter{
		eligibleAt:          now + leaseDuration,
		receiveFailureUntil: map[string]time.Duration{},
	}
}

// eligible reports whether this process may vote yet.
func (v *voter) eligible(now time.Duration) bool { return now >= v.eligibleAt }

// mayVoteFor reports whether the vote may go to a process: no lease binds the voter to a different one.
func (v *voter) mayVoteFor(process uint64, now time.Duration) bool {
	return v.votedFor == process || now >= v.expiry
}

// vote binds this process to a leading process for a lease, or renews the lease.
func (v *voter) vote(process uint64, now time.Duration) {
	if v.votedFor != process || now >= v.expiry {
		v.votedSince = now
	}
	v.votedFor = process
	v.expiry = now + leaseDuration
}

// release ends the lease of the vote if the vote is for the given process, and reports whether it is.
func (v *voter) release(process uint64) (released bool) {
	if v.votedFor != process {
		return false
	}
	v.expiry = 0
	return true
}

// observeEcho checks whether a heartbeat echoes a recent vote of this process. A leader that does not receive votes
// cannot get a majority: once its echoes are missing for echoTimeout, it is marked for the duration of a lease and
// gets no votes in that time, so that the lease of the last vote ends and another member can lead.
func (v *voter) observeEcho(now time.Duration, heartbeat message, self uint64) {
	if heartbeat.TargetProcess == self && now-heartbeat.VoteAt < echoTimeout {
		delete(v.receiveFailureUntil, heartbeat.From)
		return
	}
	bound := v.votedFor == heartbeat.Process && now < v.expiry
	if bound && now-v.votedSince >= echoTimeout {
		v.receiveFailureUntil[heartbeat.From] = now + leaseDuration
	}
}

// hasReceiveFailure reports whether a member is marked as not receiving this process's votes.
func (v *voter) hasReceiveFailure(name string, now time.Duration) bool {
	return now < v.receiveFailureUntil[name]
}
