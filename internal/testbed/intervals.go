package testbed

import (
	"sync"
	"time"
)

// spans remembers when each part of the world was out of order by the lab's own doing, so that the referee does not
// blame a node for it. Parts are named as in faults; a link is FROM->TO.
type spans struct {
	mu sync.Mutex
	of map[string][]span
}

type span struct{ from, to time.Duration } // to 0: still open

// begin opens a span of a part; an open one stays open.
func (s *spans) begin(part string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of == nil {
		s.of = map[string][]span{}
	}
	if l := s.of[part]; len(l) == 0 || l[len(l)-1].to != 0 {
		s.of[part] = append(l, span{from: at})
	}
}

func (s *spans) end(part string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.of[part]; len(l) > 0 && l[len(l)-1].to == 0 {
		l[len(l)-1].to = at
	}
}

// touch says that a part was out of order for a moment.
func (s *spans) touch(part string, at time.Duration) {
	if s.overlap(part, at, at) { // a longer trouble goes on
		return
	}
	s.begin(part, at)
	s.end(part, at+1)
}

// overlap says whether a part was out of order at any time from from to to.
func (s *spans) overlap(part string, from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.of[part] {
		if x.from <= to && (x.to == 0 || x.to >= from) {
			return true
		}
	}
	return false
}
