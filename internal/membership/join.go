package membership

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Times and bounds of the search for lost members.
const (
	minJoinInterval  = 300 * time.Millisecond // jittered
	maxJoinInterval  = 2 * time.Second
	leftSearchPeriod = 2 * time.Minute // for a member that has left: most are back by then
	maxSeedsToJoin   = 2               // at a time
	maxJoinTargets   = 4               // at a time
	joiningProcesses = 16              // of a larger fleet, about so many search at a time
)

// joiner paces the search for lost members.
type joiner struct {
	streams chan struct{} // holds a token while no stream is being opened
	next    time.Duration
	backoff time.Duration
}

func newJoiner() joiner {
	streams := make(chan struct{}, 1)
	streams <- struct{}{}
	return joiner{streams: streams, backoff: minJoinInterval}
}

// acquire takes the right to open a stream, if it is free; release gives it back.
func (j *joiner) acquire() bool {
	select {
	case <-j.streams:
		return true
	default:
		return false
	}
}

func (j *joiner) release() { j.streams <- struct{}{} }

// postpone waits as long as nobody is lost.
func (j *joiner) postpone(now time.Duration) {
	j.backoff = minJoinInterval
	j.next = now + maxJoinInterval/2 + rand.N(maxJoinInterval)
}

// backOff waits longer than before, with jitter.
func (j *joiner) backOff(now time.Duration) {
	j.backoff = min(2*j.backoff, maxJoinInterval)
	j.next = now + j.backoff/2 + rand.N(j.backoff)
}

// join looks for members that are lost: seeds, dead ones that were members before, and for a while those that have
// left. It goes on as long as there are any, so that a partition heals by itself, whichever side the seeds are on.
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
	if fleetSize > joiningProcesses && rand.N(fleetSize) > joiningProcesses {
		m.joiner.release()
		return
	}
	detector := m.detector
	go func() { // ends within the streams' times
		defer m.joiner.release()
		_, _ = detector.Join(targets) // an error means that they are still lost
	}()
}

// lostSeeds are the seeds that are not live, as memberlist's addresses.
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

// addLostMembers adds members that may be back, up to the bound: a left one may start again where the seeds are out of
// reach.
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

// joinAddress names a member at an address, in memberlist's form.
func joinAddress(name, address string) string { return name + "/" + address }
