package membership

import (
	"testing"
	"time"
)

// Guards against a wrong count of votes: too few votes that count as a majority, a tie that goes to the wrong half, or
// a majority that lasts longer than the votes that it needs.
func TestTally(t *testing.T) {
	for name, tt := range map[string]struct {
		size      int
		expiries  map[int]time.Duration // by the voter's index in the member list
		majority  time.Duration
		unanimous time.Duration
	}{
		"no votes":                                 {3, nil, 0, 0},
		"one of three":                             {3, map[int]time.Duration{0: 9}, 0, 0},
		"two of three, until the earlier expiry":   {3, map[int]time.Duration{1: 9, 2: 7}, 7, 0},
		"three of three, until the second expiry":  {3, map[int]time.Duration{0: 5, 1: 9, 2: 7}, 7, 5},
		"half with the lowest name":                {4, map[int]time.Duration{0: 5, 3: 8}, 5, 0},
		"half without the lowest name":             {4, map[int]time.Duration{1: 5, 3: 8}, 0, 0},
		"three of four, until the earliest expiry": {4, map[int]time.Duration{1: 5, 2: 6, 3: 8}, 5, 0},
		"one of one is a majority and unanimous":   {1, map[int]time.Duration{0: 4}, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			count := newTally(tt.size)
			for index, expiry := range tt.expiries {
				count.add(index, expiry)
			}
			if got := count.majorityUntil(); got != tt.majority {
				t.Errorf("majority until %d, want %d", got, tt.majority)
			}
			if got := count.unanimousUntil(); got != tt.unanimous {
				t.Errorf("unanimous until %d, want %d", got, tt.unanimous)
			}
		})
	}
}
