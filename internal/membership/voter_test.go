package membership

import (
	"testing"
	"time"
)

// A leader whose heartbeats show that it has received no vote of a voter for a lease gets none from it any more, so
// that another may lead.
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
			t.Fatal("a leader that receives votes gets none")
		}
	}
	last, count := now, 0
	for range 10 {
		if votes(last) {
			count++
		}
	}
	if count > int(echoTimeout/heartbeatInterval) || q.currentLeader(now) != "b" {
		t.Errorf("a leader with a receive failure got %d more votes, and %s is to lead", count, q.currentLeader(now))
	}
}

func TestVoteBindsForALeaseUnlessReleased(t *testing.T) {
	v := newVoter(0)
	v.vote(1, leaseDuration)
	if v.freeFor(2, 2*leaseDuration-1) || !v.freeFor(1, leaseDuration) || !v.freeFor(2, 2*leaseDuration) {
		t.Error("a vote does not bind for a lease and to one process")
	}
	v.vote(1, leaseDuration)
	if v.release(2) || v.freeFor(2, leaseDuration) {
		t.Error("a process released a vote that another has")
	}
	if !v.release(1) || !v.freeFor(2, leaseDuration) {
		t.Error("a released vote is not free")
	}
}
