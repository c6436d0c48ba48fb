// Stops of the whole process, and the requests that waited meanwhile.

package node

import (
	"context"
	"sync/atomic"
	"time"

	"keelusher/policy/guard"
)

const (
	beatEvery   = 50 * time.Millisecond // between two signs of life that the process gives itself
	readsWithin = 50 * time.Millisecond // after a stop, what waited in the system has been read
)

// suspension notices that the process was stopped, or got no processor, for longer than a promise allows for. A request
// that comes in just after has lain in the system for up to that time, and its client counts from when it sent it.
type suspension struct {
	began   time.Time
	beat    atomic.Int64 // the last sign of life, after began
	gap     atomic.Int64 // how long the last stop was
	resumed atomic.Int64 // when it ended, after began; 0: there was none
}

func newSuspension() *suspension { return &suspension{began: time.Now()} }

// run gives signs of life until ctx ends.
func (s *suspension) run(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.note(time.Since(s.began))
		case <-ctx.Done():
			return
		}
	}
}

// note takes a sign of life.
func (s *suspension) note(now time.Duration) {
	gap := now - time.Duration(s.beat.Swap(int64(now)))
	if gap > guard.MaxSuspension {
		s.gap.Store(int64(gap))
		s.resumed.Store(int64(now))
	}
}

// waited is how long a request that has just been read may have lain in the system because the process stood still;
// less than a promise allows for counts as nothing.
func (s *suspension) waited() time.Duration {
	if s == nil {
		return 0
	}
	return s.waitedAt(time.Since(s.began))
}

func (s *suspension) waitedAt(now time.Duration) time.Duration {
	if gap := now - time.Duration(s.beat.Load()); gap > guard.MaxSuspension {
		return gap // it has just gone on
	}
	if resumed := time.Duration(s.resumed.Load()); resumed > 0 && now-resumed < readsWithin {
		return time.Duration(s.gap.Load())
	}
	return 0
}
