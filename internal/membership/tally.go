package membership

import (
	"slices"
	"time"
)

// tally counts the votes of a member list's members that are in force at one moment.
type tally struct {
	size     int             // of the member list
	expiries []time.Duration // of the votes, in any order
	lowest   bool            // the member with the lowest name has voted
}

func newTally(size int) *tally { return &tally{size: size} }

// add counts a vote that ends at expiry. The voter is given by its index in the sorted member list.
func (t *tally) add(index int, expiry time.Duration) {
	t.expiries = append(t.expiries, expiry)
	if index == 0 {
		t.lowest = true
	}
}

// unanimousUntil returns the time until which the votes of all members are in force, or 0 if any is missing.
func (t *tally) unanimousUntil() time.Duration { return t.inForceUntil(t.size) }

// majorityUntil returns the time until which a majority of the votes is in force, or 0 if there are too few. Exactly
// half of the votes are a majority if the member with the lowest name has voted.
func (t *tally) majorityUntil() time.Duration {
	half := t.size / 2
	if t.size%2 == 0 && len(t.expiries) == half && t.lowest {
		return t.inForceUntil(half)
	}
	return t.inForceUntil(half + 1)
}

// inForceUntil returns the time until which at least the given number of votes are in force, or 0 if there are fewer
// now.
func (t *tally) inForceUntil(votes int) time.Duration {
	if len(t.expiries) < votes {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.expiries))
	return sorted[len(sorted)-votes]
}
