package membership

import (
	"cmp"
	"slices"
	"time"
)

// disagreements tracks the members whose view differs from this process's view, and since when.
type disagreements struct {
	since map[string]time.Duration // by name
}

func newDisagreements() disagreements {
	return disagreements{since: map[string]time.Duration{}}
}

// compare compares the view digest in a member's message with this process's own, and records a difference or its end.
func (d *disagreements) compare(msg message, own uint64, live bool, now time.Duration) {
	if msg.Digest == own {
		delete(d.since, msg.From)
		return
	}
	if _, known := d.since[msg.From]; !known && live {
		d.since[msg.From] = now
	}
}

// list drops the members that are no longer live, and returns the disagreements with the others, sorted by name.
func (d *disagreements) list(members *liveness, now time.Duration) []Disagreement {
	list := []Disagreement{}
	for name, since := range d.since {
		if !members.isLive(name) {
			delete(d.since, name)
			continue
		}
		list = append(list, Disagreement{
			Member:   name,
			Disputed: symmetricDifference(members.missing, members.reportedMissing[name]),
			Duration: now - since,
		})
	}
	slices.SortFunc(list, func(a, b Disagreement) int { return cmp.Compare(a.Member, b.Member) })
	return list
}

// symmetricDifference returns the names that are in only one of two lists: first those of the first list, then those of
// the second. It returns nil if there are none.
func symmetricDifference(first, second []string) []string {
	var difference []string
	for _, name := range first {
		if !slices.Contains(second, name) {
			difference = append(difference, name)
		}
	}
	for _, name := range second {
		if !slices.Contains(first, name) {
			difference = append(difference, name)
		}
	}
	return difference
}

// publishDisagreements updates the list that Disagreements returns.
func (m *Mesh) publishDisagreements(now time.Duration) {
	list := m.disagreements.list(&m.quorum.liveness, now)
	m.publishedDisagreements.Store(&list)
}
