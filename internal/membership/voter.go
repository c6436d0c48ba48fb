package membership

import "time"

// voter is the vote of this process. It binds the process to one leading process for a lease, by this process's clock.
type voter struct {
	eligibleAt time.Duration // a lease after the start: an earlier process of this name may have voted
	votedFor   uint64
	since      time.Duration // the first of its votes in a row
	expiry     time.Duration

	receiveFailureUntil map[string]time.Duration // by name: a leader that does not receive this process's votes
}

func newVoter(now time.Duration) voter {
	return voter{
		eligibleAt:          now + leaseDuration,
		receiveFailureUntil: map[string]time.Duration{},
	}
}

// eligible reports whether this process may vote yet.
func (v *voter) eligible(now time.Duration) bool { return now >= v.eligibleAt }

// freeFor reports whether no other process than this one has the vote.
func (v *voter) freeFor(process uint64, now time.Duration) bool {
	return v.votedFor == process || now >= v.expiry
}

// vote binds this process for a lease.
func (v *voter) vote(process uint64, now time.Duration) {
	if v.votedFor != process || now >= v.expiry {
		v.since = now
	}
	v.votedFor = process
	v.expiry = now + leaseDuration
}

// release frees the vote that a process has.
func (v *voter) release(process uint64) (released bool) {
	if v.votedFor != process {
		return false
	}
	v.expiry = 0
	return true
}

// observeEcho looks for this process's last vote in a heartbeat. A leader that does not receive the votes cannot lead:
// it gets none, so that those it has run out.
func (v *voter) observeEcho(now time.Duration, heartbeat message, self uint64) {
	if heartbeat.TargetProcess == self && now-heartbeat.VoteAt < echoTimeout {
		delete(v.receiveFailureUntil, heartbeat.From)
		return
	}
	bound := v.votedFor == heartbeat.Process && now < v.expiry
	if bound && now-v.since >= echoTimeout {
		v.receiveFailureUntil[heartbeat.From] = now + leaseDuration
	}
}

// hasReceiveFailure reports whether a member does not receive this process's votes.
func (v *voter) hasReceiveFailure(name string, now time.Duration) bool {
	return now < v.receiveFailureUntil[name]
}
