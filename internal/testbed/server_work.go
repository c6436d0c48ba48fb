package testbed

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// capacityShare returns the share of its full capacity that the server has at a time: in slow start it grows linearly
// from SlowStart.From to 1. s.mu must be held.
func (s *Server) capacityShare(now time.Duration) float64 {
	c := s.testbed.world.SlowStart
	if s.startedAt == 0 || now-s.startedAt >= c.Duration {
		return 1
	}
	return c.From + (1-c.From)*float64(now-s.startedAt)/float64(c.Duration)
}

// withinCapacity records work that arrived at a server in slow start and reports whether the server can take it: the
// work of the last OverloadWindow must not exceed OverloadFactor times what the server can do in that time.
func (s *Server) withinCapacity(now, work time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.testbed.world.SlowStart
	if s.startedAt == 0 || now-s.startedAt >= c.Duration {
		s.recentWork = nil
		return true
	}
	s.recentWork = append(s.recentWork, sentWork{now, work})
	for len(s.recentWork) > 0 && s.recentWork[0].at < now-c.OverloadWindow {
		s.recentWork = s.recentWork[1:]
	}
	if now-s.startedAt < c.OverloadWindow {
		return true
	}
	var sent time.Duration
	for _, w := range s.recentWork {
		sent += w.work
	}
	meanShare := (s.capacityShare(now-c.OverloadWindow) + s.capacityShare(now)) / 2
	capacity := float64(c.OverloadWindow) * float64(s.spec.Cores) * meanShare
	return float64(sent) <= c.OverloadFactor*capacity
}

// updateChoke updates whether the server is choked (slowed down, see Choke) from the number of requests that wait for a
// core. It must be called whenever that number or the number of busy cores changes. s.mu must be held.
func (s *Server) updateChoke(now time.Duration) {
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

// work waits for a core and holds it for the time that the work takes. It returns false if the request ended first.
func (s *Server) work(ctx context.Context, w time.Duration) bool {
	if w <= 0 {
		return ctx.Err() == nil
	}
	s.mu.Lock()
	s.waiting++
	s.updateChoke(s.testbed.now())
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
	s.updateChoke(now)
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
	s.updateChoke(s.testbed.now())
	s.mu.Unlock()
	return done
}

// seededRandom returns a pseudo-random number from 0 to 1 that depends only on the seed, the request ID and the
// purpose, so that a request costs the same in each variant of an experiment.
func (tb *Testbed) seededRandom(id, what string) float64 {
	h := xxhash.Sum64String(id+"/"+what) ^ tb.world.Seed
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// requestWork returns the work of a request at a tier, drawn uniformly from 0.5 to 1.5 times the mean of its class.
func (tb *Testbed) requestWork(c *Class, tier int, id string) time.Duration {
	return time.Duration((0.5 + tb.seededRandom(id, "work")) * float64(c.Work[tier]))
}

// callCount returns the number of calls that a request makes to the next tier: the mean, rounded up or down at random
// so that the average over requests is the mean.
func (tb *Testbed) callCount(mean float64, id string) int {
	n := math.Floor(mean)
	if tb.seededRandom(id, "calls") < mean-n {
		n++
	}
	return int(n)
}
