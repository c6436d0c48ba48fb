package membership

import "time"

// maxMissingNamed is the largest number of missing members that a message names.
const maxMissingNamed = 8

// liveness holds which members are live, as the input of the quorum.
type liveness struct {
	self      string
	liveSince map[string]time.Duration // by name: live members, this process included
	deadSince map[string]time.Duration // by name: members of the member list that are not live
	left      map[string]bool          // by name: members that are leaving, or have left and not come back

	missing         []string            // members of the list that are not live; only the first maxMissingNamed
	reportedMissing map[string][]string // by name of a live member: the members that it last reported missing
}

func newLiveness(self string, now time.Duration) liveness {
	return liveness{
		self:            self,
		liveSince:       map[string]time.Duration{self: now},
		deadSince:       map[string]time.Duration{},
		reportedMissing: map[string][]string{},
	}
}

// update replaces the sets of the live members, this process included, and of those that are leaving or have left.
func (l *liveness) update(now time.Duration, live, left map[string]bool, memberList []string) {
	for name := range live {
		if !l.isLive(name) {
			l.liveSince[name] = now
		}
	}
	for name := range l.liveSince {
		if !live[name] && name != l.self {
			delete(l.liveSince, name)
			delete(l.reportedMissing, name)
		}
	}
	l.left = left
	l.updateDead(now, memberList)
	l.updateMissing(memberList)
}

// updateDead updates deadSince, the times since which members of the list have not been live.
func (l *liveness) updateDead(now time.Duration, memberList []string) {
	deadSince := map[string]time.Duration{}
	for _, name := range memberList {
		if l.isLive(name) {
			continue
		}
		since, known := l.deadSince[name]
		if !known {
			since = now
		}
		deadSince[name] = since
	}
	l.deadSince = deadSince
}

// updateMissing sets missing to the members of the list that are not live, up to maxMissingNamed.
func (l *liveness) updateMissing(memberList []string) {
	l.missing = nil
	for _, name := range memberList {
		if !l.isLive(name) && len(l.missing) < maxMissingNamed {
			l.missing = append(l.missing, name)
		}
	}
}

func (l *liveness) isLive(name string) bool {
	_, live := l.liveSince[name]
	return live
}

// isComplete reports whether each member of the list is live, is leaving or has left.
func (l *liveness) isComplete(memberList []string) bool {
	for _, name := range memberList {
		if !l.isLive(name) && !l.left[name] {
			return false
		}
	}
	return true
}

// otherLiveNames returns the names of the live members except this process.
func (l *liveness) otherLiveNames() []string {
	var names []string
	for name := range l.liveSince {
		if name != l.self {
			names = append(names, name)
		}
	}
	return names
}
