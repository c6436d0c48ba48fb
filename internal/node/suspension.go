// Stops of the whole process, and the requests that waited meanwhile.

package node

import (
	"context"
	"sync/atomic"
	"time"

	"keelusher/policy/guard"
)

const (
	heartbeatInterval   = 50 * time.Millisecond // between two signs of life that the process gives itself
	backlogReadTime = 50 * time.Millisecond // after a stop, what waited in the system has been read
)

// suspensionDetector notices that the process was stopped, or got no processor, for longer than a promise allows for. A request
// that comes in just after has lain in the system for up to that time, and its client counts from when it sent it.
type suspensionDetector struct {
	start   time.Time
	lastHeartbeat    atomic.Int64 // the last sign of life, after began
	lastPause     atomic.Int64 // how long the last stop was
	resumedAt atomic.Int64 // when it ended, after began; 0: there was none
}

func newSuspensionDetector() *suspensionDetector { return &suspensionDetector{start: time.Now()} }

// run gives signs of life until ctx ends.
func (s *suspensionDetector) run(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.heartbeat(time.Since(s.start))
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat takes a sign of life.
func (s *suspensionDetector) heartbeat(now time.Duration) {
	gap := now - time.Duration(s.lastHeartbeat.Swap(int64(now)))
	if gap > guard.HeldUpMost {
		s.lastPause.Store(int64(gap))
		s.resumedAt.Store(int64(now))
	}
}

// timeQueued is how long a request that has just been read may have lain in the system because the process stood still;
// less than a promise allows for counts as nothing.
func (s *suspensionDetector) timeQueued() time.Duration {
	if s == nil {
		return 0
	}
	return s.timeQueuedAt(time.Since(s.start))
}

func (s *suspensionDetector) timeQueuedAt(now time.Duration) time.Duration {
	if gap := now - time.Duration(s.lastHeartbeat.Load()); gap > guard.HeldUpMost {
		return gap // it has just gone on
	}
	if resumed := time.Duration(s.resumedAt.Load()); resumed > 0 && now-resumed < backlogReadTime {
		return time.Duration(s.lastPause.Load())
	}
	return 0
}
