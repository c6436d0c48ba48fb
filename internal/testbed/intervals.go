package testbed

import (
	"sync"
	"time"
)

// intervals records when the testbed itself disturbed each part of the world, so that the checker does not hold that
// against a node. Parts are named as in faults; a link is FROM->TO.
type intervals struct {
	mu     sync.Mutex
	byPart map[string][]interval
}

type interval struct{ from, to time.Duration } // to 0: still open

// begin opens an interval of a part; an open one stays open.
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

func (s *intervals) end(part string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.byPart[part]; len(l) > 0 && l[len(l)-1].to == 0 {
		l[len(l)-1].to = at
	}
}

// touch records that a part was disturbed for a moment.
func (s *intervals) touch(part string, at time.Duration) {
	if s.overlap(part, at, at) { // a longer fault goes on
		return
	}
	s.begin(part, at)
	s.end(part, at+1)
}

// overlap reports whether a part was disturbed at any time from from to to.
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
