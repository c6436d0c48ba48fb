package testbed

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// capacityShare is the share of its capacity that the server has; s.mu is held.
func (s *Server) capacityShare(now time.Duration) float64 {
	c := s.testbed.world.SlowStart
	if s.born == 0 || now-s.born >= c.Duration {
		return 1
	}
	return c.From + (1-c.From)*float64(now-s.born)/float64(c.Duration)
}

// withinCapacity adds work that came to a server in slow start and reports whether the server can take it.
func (s *Server) withinCapacity(now, work time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.testbed.world.SlowStart
	if s.born == 0 || now-s.born >= c.Duration {
		s.recent = nil
		return true
	}
	s.recent = append(s.recent, sentWork{now, work})
	for len(s.recent) > 0 && s.recent[0].at < now-c.OverloadWindow {
		s.recent = s.recent[1:]
	}
	if now-s.born < c.OverloadWindow {
		return true
	}
	var sent time.Duration
	for _, w := range s.recent {
		sent += w.work
	}
	meanShare := (s.capacityShare(now-c.OverloadWindow) + s.capacityShare(now)) / 2
	can := float64(c.OverloadWindow) * float64(s.spec.Cores) * meanShare
	return float64(sent) <= c.OverloadFactor*can
}

// choke follows how many wait for a core; s.mu is held.
func (s *Server) choke(now time.Duration) {
	c := s.testbed.world.Choke
	if c.Factor == 0 {
		return
	}
	switch over := float64(s.waiting) > c.Waiting*float64(s.spec.Cores); {
	case !over:
		s.overSince = 0
	case s.overSince == 0:
		s.overSince = now
	case now-s.overSince >= c.After:
		s.choked = true
	}
	switch idle := s.waiting+s.busy == 0; {
	case !idle:
		if s.choked && s.idleSince != 0 && now-s.idleSince >= c.Idle {
			s.choked = false
		}
		s.idleSince = 0
	case s.idleSince == 0:
		s.idleSince = now
	}
}

// work holds a core while work is done; it returns false when the request ended first.
func (s *Server) work(ctx context.Context, w time.Duration) bool {
	if w <= 0 {
		return ctx.Err() == nil
	}
	s.mu.Lock()
	s.waiting++
	s.choke(s.testbed.now())
	s.mu.Unlock()
	var got bool
	select {
	case s.cores <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.waiting--
	now := s.testbed.now()
	took := float64(w) / s.capacityShare(now)
	if s.fault.Slow > 1 {
		took *= s.fault.Slow
	}
	if got {
		s.busy++
	}
	s.choke(now)
	if s.choked {
		took *= s.testbed.world.Choke.Factor
	}
	s.mu.Unlock()
	if !got {
		return false
	}
	done := sleep(ctx, time.Duration(took))
	<-s.cores
	s.mu.Lock()
	s.busy--
	s.choke(s.testbed.now())
	s.mu.Unlock()
	return done
}

// drawn returns the same number from 0 to 1 for the same id and purpose, so that a request costs the same in each
// variant.
func (tb *Testbed) drawn(id, what string) float64 {
	h := xxhash.Sum64String(id+"/"+what) ^ tb.world.Seed
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// workOf is a request's work at a tier: around the mean of its class, evenly from a half to one and a half of it.
func (tb *Testbed) workOf(c *Class, tier int, id string) time.Duration {
	return time.Duration((0.5 + tb.drawn(id, "work")) * float64(c.Work[tier]))
}

// callsOf is how many calls a request makes on the next tier: the mean, rounded up or down.
func (tb *Testbed) callsOf(mean float64, id string) int {
	n := math.Floor(mean)
	if tb.drawn(id, "calls") < mean-n {
		n++
	}
	return int(n)
}
