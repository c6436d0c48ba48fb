package membership

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the member list.
const (
	maxMembers       = 4096
	maxFormerLists   = 8                // kept, to notify others of what has changed since
	maxChangedBytes  = 600              // of names in one change: what changed since the list before fits into a packet
	joinDelay        = time.Second      // a new member is live for so long before the list takes it in
	deadRemovalDelay = 30 * time.Second // then a dead member is removed from the list
)

// Epoch numbers the member lists. The leader that made a list is part of its name, so that no two lists share one.
type Epoch struct {
	Number uint64 `json:"number"`
	Leader string `json:"leader"`
}

func (e Epoch) compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, o.Number), cmp.Compare(e.Leader, o.Leader))
}

// memberList is the numbered list of names against which majorities are counted.
type memberList struct {
	epoch    Epoch
	names    []string     // sorted
	previous []string     // the list before, until the change is committed; nil: it is
	former   []formerList // the newest last
}

type formerList struct {
	epoch Epoch
	names []string
}

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

// commit ends a change: a majority of the list before is needed no more.
func (l *memberList) commit() { l.previous = nil }

// enter takes a newer list.
func (l *memberList) enter(epoch Epoch, names, previous []string) {
	if l.epoch.Number > 0 { // the first one is each process's own seeds
		l.former = append(l.former, formerList{l.epoch, l.names})
		l.former = l.former[max(0, len(l.former)-maxFormerLists):]
	}
	l.epoch = epoch
	l.names = names
	l.previous = previous
}

// next is the list that should follow this one. It is as near to the live members as one change may bring it.
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

// differsFrom reports whether a list is to replace this one. The seeds are always replaced: they have no epoch.
func (l *memberList) differsFrom(next []string) bool {
	return l.epoch.Number == 0 || !slices.Equal(next, l.names)
}

// describe puts the list into a message, for a process that has that of another epoch.
func (l *memberList) describe(m *message, has Epoch) {
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

// read gives the list that a message describes; newer reports whether it is valid and to be entered.
func (l *memberList) read(m message) (names, previous []string, newer bool) {
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

// validNames reports whether names are in order, each there once, and not too many.
func validNames(names []string) bool {
	for i, name := range names {
		if name == "" || i > 0 && name <= names[i-1] {
			return false
		}
	}
	return len(names) <= maxMembers
}

// delta is what makes one member list of another.
type delta struct {
	Add    []string `json:"a,omitempty"`
	Remove []string `json:"d,omitempty"`
}

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

func (d *delta) apply(names []string) []string {
	removed := func(name string) bool { return slices.Contains(d.Remove, name) }
	next := slices.DeleteFunc(slices.Concat(names, d.Add), removed)
	slices.Sort(next)
	return next
}
