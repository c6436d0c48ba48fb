package membership

import (
	"cmp"
	"slices"
	"time"
)

// Limits and delays of the member list.
const (
	maxMembers       = 4096
	maxFormerLists   = 8                // kept so that a member that still has one of them can be sent a delta
	maxChangedBytes  = 600              // total length of the names in one change, so that a delta fits into a packet
	joinDelay        = time.Second      // a new member is added after it was live for this long
	deadRemovalDelay = 30 * time.Second // a dead member is removed after this time
)

// Epoch identifies a member list by a number and the leader that made it, so that no two lists have the same epoch.
type Epoch struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

// compare orders epochs by number, then by leader. The result is that of cmp.Compare.
func (e Epoch) compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, o.Number), cmp.Compare(e.Leader, o.Leader))
}

// memberList is the list of member names against which majorities are counted, with its epoch.
type memberList struct {
	epoch    Epoch
	names    []string     // sorted
	previous []string     // the list before an uncommitted change; nil without such a change
	former   []formerList // earlier lists, the newest last
}

// formerList is an earlier member list, the base of a delta.
type formerList struct {
	epoch Epoch
	names []string
}

// newMemberList returns the list of epoch 0: the seeds, or only this process's member if there are none.
func newMemberList(self string, seeds []string) memberList {
	names := slices.Compact(slices.Sorted(slices.Values(seeds)))
	if len(names) == 0 {
		names = []string{self}
	}
	return memberList{names: names}
}

func (l *memberList) contains(name string) bool {
	_, found := slices.BinarySearch(l.names, name)
	return found
}

// commit completes a change: from now on, a majority of the current list is enough.
func (l *memberList) commit() { l.previous = nil }

// install replaces the list by a newer one.
func (l *memberList) install(epoch Epoch, names, previous []string) {
	if l.epoch.Number > 0 { // the list of epoch 0 comes from a process's own settings, so others may not have it
		l.former = append(l.former, formerList{l.epoch, l.names})
		l.former = l.former[max(0, len(l.former)-maxFormerLists):]
	}
	l.epoch = epoch
	l.names = names
	l.previous = previous
}

// next returns the list that should replace this one. It removes dead members that are due and members that have left,
// and adds new live members, as far as the limits for one change allow.
func (l *memberList) next(now time.Duration, members *liveness) []string {
	changedBytes := 0
	next := make([]string, 0, len(l.names)+1)
	for _, name := range l.names {
		since, dead := members.deadSince[name]
		removable := members.left[name] || dead && now-since >= deadRemovalDelay
		if removable && changedBytes < maxChangedBytes {
			changedBytes += len(name)
			continue
		}
		next = append(next, name)
	}
	for name, since := range members.liveSince {
		joins := !l.contains(name) && now-since >= joinDelay && !members.left[name]
		if joins && len(next) < maxMembers && changedBytes < maxChangedBytes {
			changedBytes += len(name)
			next = append(next, name)
		}
	}
	slices.Sort(next)
	return next
}

// differsFrom reports whether next has to replace this list. The list of epoch 0 is always replaced, even by an equal
// one, since the list of a founded fleet needs an epoch above 0.
func (l *memberList) differsFrom(next []string) bool {
	return l.epoch.Number == 0 || !slices.Equal(next, l.names)
}

// writeTo adds the list to a message for a process that has the list of another epoch: as a delta if that list is
// among the former ones, otherwise in full.
func (l *memberList) writeTo(m *message, has Epoch) {
	for _, f := range l.former {
		if f.epoch != has {
			continue
		}
		m.BaseEpoch = has
		m.ListDelta = diff(f.names, l.names)
		if l.previous != nil {
			m.PreviousDelta = diff(f.names, l.previous)
		}
		return
	}
	m.MemberList = l.names
	m.Previous = l.previous
}

// readFrom returns the list that a message carries in full or as a delta. newer reports whether that list is valid and
// newer than this one.
func (l *memberList) readFrom(m message) (names, previous []string, newer bool) {
	if m.Epoch.compare(l.epoch) <= 0 {
		return nil, nil, false
	}
	names, previous = m.MemberList, m.Previous
	if m.ListDelta != nil && m.BaseEpoch == l.epoch {
		names = m.ListDelta.apply(l.names)
		if m.PreviousDelta != nil {
			previous = m.PreviousDelta.apply(l.names)
		}
	}
	return names, previous, len(names) > 0 && validNames(names) && validNames(previous)
}

// validNames reports whether names are non-empty, sorted, unique and at most maxMembers.
func validNames(names []string) bool {
	for i, name := range names {
		if name == "" || i > 0 && name <= names[i-1] {
			return false
		}
	}
	return len(names) <= maxMembers
}

// delta is the difference between two member lists. Its tags are part of the protocol.
type delta struct {
	Add    []string `json:"a,omitempty"`
	Remove []string `json:"d,omitempty"`
}

// diff returns the delta that turns one sorted list into another.
func diff(from, to []string) *delta {
	d := &delta{}
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(from) == 0 || len(to) > 0 && to[0] < from[0]:
			d.Add, to = append(d.Add, to[0]), to[1:]
		case len(to) == 0 || from[0] < to[0]:
			d.Remove, from = append(d.Remove, from[0]), from[1:]
		default:
			from, to = from[1:], to[1:]
		}
	}
	return d
}

// apply returns names with the delta applied, sorted.
func (d *delta) apply(names []string) []string {
	removed := func(name string) bool { return slices.Contains(d.Remove, name) }
	next := slices.DeleteFunc(slices.Concat(names, d.Add), removed)
	slices.Sort(next)
	return next
}
