package membership

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Intervals and limits of the search for lost members.
const (
	minJoinInterval   = 300 * time.Millisecond // before jitter
	maxJoinInterval   = 2 * time.Second
	leftSearchPeriod  = 2 * time.Minute // for a member that has left; most restart within this time
	maxSeedsToJoin    = 2               // in one attempt
	maxJoinTargets    = 4               // in one attempt, seeds included
	concurrentJoiners = 16              // in a larger fleet, only about this many processes search at a time
)

// joiner schedules the search for lost members, and allows only one stream at a time to be opened.
type joiner struct {
	streams chan struct{} // holds a token while no stream is being opened
	next    time.Duration // time of the next attempt
	backoff time.Duration // interval before jitter
}

func newJoiner() joiner {
	streams := make(chan struct{}, 1)
	streams <- struct{}{}
	return joiner{streams: streams, backoff: minJoinInterval}
}

// acquire takes the token for opening a stream, and reports whether it was free. release returns the token.
func (j *joiner) acquire() bool {
	select {
	case <-j.streams:
		return true
	default:
		return false
	}
}

func (j *joiner) release() { j.streams <- struct{}{} }

// postpone schedules the next check while no member is lost, and resets the backoff.
func (j *joiner) postpone(now time.Duration) {
	j.backoff = minJoinInterval
	j.next = now + maxJoinInterval/2 + rand.N(maxJoinInterval)
}

// backOff doubles the interval to the next attempt up to its maximum, and adds jitter.
func (j *joiner) backOff(now time.Duration) {
	j.backoff = min(2*j.backoff, maxJoinInterval)
	j.next = now + j.backoff/2 + rand.N(j.backoff)
}

// join tries to reach lost members: seeds that are not live, dead members, and members that have left less than
// leftSearchPeriod ago. It continues as long as any member is lost, so that a partition heals without an operator,
// whichever side the seeds are on.
func (m *Mesh) join() {
	now := m.now()
	if now < m.joiner.next {
		return
	}
	targets := m.lostSeeds()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(maxSeedsToJoin, len(targets))]
	targets, fleetSize := m.addLostMembers(targets, now)
	if len(targets) == 0 {
		m.joiner.postpone(now)
		return
	}
	if !m.joiner.acquire() {
		return
	}
	m.joiner.backOff(now)
	if fleetSize > concurrentJoiners && rand.N(fleetSize) > concurrentJoiners {
		m.joiner.release()
		return
	}
	detector := m.detector
	go func() { // ends within the stream timeouts
		defer m.joiner.release()
		_, _ = detector.Join(targets) // an error means that the targets are still lost
	}()
}

// lostSeeds returns the memberlist addresses of the seeds that are not live.
func (m *Mesh) lostSeeds() []string {
	var lost []string
	for _, seed := range m.cfg.Seeds {
		name, address, _ := strings.Cut(seed, "=")
		if name != m.cfg.Name && !m.members[name].isLive() {
			lost = append(lost, joinAddress(name, address))
		}
	}
	return lost
}

// addLostMembers appends dead members and those that left recently to the targets, up to maxJoinTargets. A member that
// has left may restart in a place from which it cannot reach the seeds. fleetSize is the number of live members.
func (m *Mesh) addLostMembers(targets []string, now time.Duration) (all []string, fleetSize int) {
	fleetSize = 1
	for name, member := range m.members {
		if member.isLive() {
			fleetSize++
		}
		leftLately := member.State == Left && now-member.since < leftSearchPeriod
		lost := member.State == Dead || leftLately
		if lost && name != m.cfg.Name && len(targets) < maxJoinTargets {
			targets = append(targets, joinAddress(name, member.Address))
		}
	}
	return targets, fleetSize
}

// joinAddress returns a member's name and address in the form that memberlist expects.
func joinAddress(name, address string) string { return name + "/" + address }
