package membership

import (
	"testing"
	"time"
)

// Guards against a leader that keeps a vote although it receives no votes: for a lease, its heartbeats have echoed no
// vote of the voter. The voter must stop voting for it, so that another member can lead.
func TestLeaderWithReceiveFailureGetsNoVote(t *testing.T) {
	q := newQuorum("b", 2, []string{"a", "b", "c"}, 0)
	q.updateLiveness(0, map[string]bool{"a": true, "b": true, "c": true}, nil)
	now := 2 * leaseDuration
	votes := func(echo time.Duration) bool {
		now += heartbeatInterval
		heartbeat := message{From: "a", Process: 1, Kind: kindHeartbeat, HeartbeatAt: now}
		if echo > 0 {
			heartbeat.TargetProcess, heartbeat.VoteAt = 2, echo
		}
		reply, ok := q.handle(now, heartbeat, 0)
		return ok && reply.Kind == kindVote
	}
	for range 10 {
		if !votes(now) {
			t.Fatal("a leader whose heartbeats echo the votes got no vote")
		}
	}
	last, count := now, 0
	for range 10 {
		if votes(last) {
			count++
		}
	}
	if count > int(echoTimeout/heartbeatInterval) || q.currentLeader(now) != "b" {
		t.Errorf("%d votes for leader a without echoes, want those of echoTimeout at most; leader %q, want \"b\"",
			count, q.currentLeader(now))
	}
}

// Guards against two votes in force at one time: a vote must bind to one process until its lease ends, or until that
// process releases it, and no other process may release it.
func TestVoteBindsForALeaseUnlessReleased(t *testing.T) {
	v := newVoter(0)
	v.vote(1, leaseDuration)
	if v.mayVoteFor(2, 2*leaseDuration-1) || !v.mayVoteFor(1, leaseDuration) || !v.mayVoteFor(2, 2*leaseDuration) {
		t.Error("a vote does not bind to exactly one process for exactly one lease")
	}
	v.vote(1, leaseDuration)
	if v.release(2) || v.mayVoteFor(2, leaseDuration) {
		t.Error("a vote was released by a process that it is not for")
	}
	if !v.release(1) || !v.mayVoteFor(2, leaseDuration) {
		t.Error("after its release a vote is still bound")
	}
}
