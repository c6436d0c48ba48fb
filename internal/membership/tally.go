package membership

import (
	"slices"
	"time"
)

// tally counts the votes of a member list that are in force at one moment.
type tally struct {
	size     int // of the member list
	expiries []time.Duration
	lowest   bool // the member with the lowest name has voted
}

func newTally(size int) *tally { return &tally{size: size} }

// add counts the vote of a member by its index in the sorted list.
func (t *tally) add(index int, expiry time.Duration) {
	t.expiries = append(t.expiries, expiry)
	if index == 0 {
		t.lowest = true
	}
}

// unanimousUntil is until when all votes are in force; 0: some are missing.
func (t *tally) unanimousUntil() time.Duration { return t.until(t.size) }

// majorityUntil is until when more than half of the votes are in force, or half of them with that of the lowest name;
// 0: there are too few.
func (t *tally) majorityUntil() time.Duration {
	half := t.size / 2
	if t.size%2 == 0 && len(t.expiries) == half && t.lowest {
		return t.until(half)
	}
	return t.until(half + 1)
}

// until is when fewer than a number of votes are in force; 0: they are now.
func (t *tally) until(votes int) time.Duration {
	if len(t.expiries) < votes {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.expiries))
	return sorted[len(sorted)-votes]
}
