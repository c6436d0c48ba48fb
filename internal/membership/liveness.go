package membership

import "time"

// maxMissingNamed bounds the missing members that are named to others.
const maxMissingNamed = 8

// liveness is who is live by the failure detector, as the quorum takes it.
type liveness struct {
	self      string
	liveSince map[string]time.Duration // by name
	deadSince map[string]time.Duration // by name, of the member list
	left      map[string]bool          // by name: leaves, or has left and is not back

	missing         []string            // the first of the member list that this process does not see
	reportedMissing map[string][]string // by name, those that others do not see
}

func newLiveness(self string, now time.Duration) liveness {
	return liveness{
		self:            self,
		liveSince:       map[string]time.Duration{self: now},
		deadSince:       map[string]time.Duration{},
		reportedMissing: map[string][]string{},
	}
}

// update takes who is live, this process included, and who leaves or has left.
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

// updateDead notes since when members of the list are not live.
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

// updateMissing notes the first members of the list that this process does not see.
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

// isComplete reports whether every member of the list is live, or has left.
func (l *liveness) isComplete(memberList []string) bool {
	for _, name := range memberList {
		if !l.isLive(name) && !l.left[name] {
			return false
		}
	}
	return true
}

// others are the live members beside this process.
func (l *liveness) others() []string {
	var names []string
	for name := range l.liveSince {
		if name != l.self {
			names = append(names, name)
		}
	}
	return names
}
