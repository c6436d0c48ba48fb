package testbed

import (
	"sync"
	"time"
)

// intervals records when the test bed itself disturbed each part of the world, so that the checker reports no findings
// for the effects. Parts are named as in faults; a link is FROM->TO.
type intervals struct {
	mu     sync.Mutex
	byPart map[string][]interval
}

type interval struct{ from, to time.Duration } // to is 0 while the interval is open

// begin opens an interval of a part. If one is open already, it does nothing.
func (s *intervals) begin(part string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPart == nil {
		s.byPart = map[string][]interval{}
	}
	if l := s.byPart[part]; len(l) == 0 || l[len(l)-1].to != 0 {
		s.byPart[part] = append(l, interval{from: at})
	}
}

// end closes the open interval of a part, if there is one.
func (s *intervals) end(part string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.byPart[part]; len(l) > 0 && l[len(l)-1].to == 0 {
		l[len(l)-1].to = at
	}
}

// recordMoment records that a part was disturbed at one moment.
func (s *intervals) recordMoment(part string, at time.Duration) {
	if s.overlap(part, at, at) { // the moment is within a recorded interval
		return
	}
	s.begin(part, at)
	s.end(part, at+1)
}

// overlap reports whether a part was disturbed at any time between from and to.
func (s *intervals) overlap(part string, from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.byPart[part] {
		if x.from <= to && (x.to == 0 || x.to >= from) {
			return true
		}
	}
	return false
}
