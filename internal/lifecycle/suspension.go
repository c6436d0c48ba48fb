// Detection of suspensions of the whole process, for the requests that were queued in the system meanwhile.

package lifecycle

import (
	"context"
	"sync/atomic"
	"time"

	"keelusher/policy/guard"
)

const (
	heartbeatInterval = 50 * time.Millisecond
	backlogReadTime   = 50 * time.Millisecond // within which all that was queued during a suspension is read
)

// SuspensionDetector detects that the process was stopped, or got no processor, for longer than guard.HeldUpMost. A
// request that is read just afterwards was in the system's buffers for up to that time, and its client's deadline runs
// from when it was sent. A nil detector detects nothing.
type SuspensionDetector struct {
	start         time.Time
	lastHeartbeat atomic.Int64 // nanoseconds after start
	lastPause     atomic.Int64 // length of the last suspension in nanoseconds
	resumedAt     atomic.Int64 // its end in nanoseconds after start; 0: there was none
}

// NewSuspensionDetector makes a detector, which detects nothing before it runs.
func NewSuspensionDetector() *SuspensionDetector { return &SuspensionDetector{start: time.Now()} }

// Run records heartbeats until ctx ends.
func (s *SuspensionDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.heartbeat(time.Since(s.start))
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat records that the process runs, now being counted from start.
func (s *SuspensionDetector) heartbeat(now time.Duration) {
	pause := now - time.Duration(s.lastHeartbeat.Swap(int64(now)))
	if pause > guard.MaxSuspension {
		s.lastPause.Store(int64(pause))
		s.resumedAt.Store(int64(now))
	}
}

// TimeQueued is how long a request that has just been read may have been queued because of a suspension; 0 if there was
// none, or a short one.
func (s *SuspensionDetector) TimeQueued() time.Duration {
	if s == nil {
		return 0
	}
	return s.timeQueuedAt(time.Since(s.start))
}

func (s *SuspensionDetector) timeQueuedAt(now time.Duration) time.Duration {
	if pause := now - time.Duration(s.lastHeartbeat.Load()); pause > guard.MaxSuspension {
		return pause // resumed just now, before the first heartbeat
	}
	resumedAt := time.Duration(s.resumedAt.Load())
	if resumedAt > 0 && now-resumedAt < backlogReadTime {
		return time.Duration(s.lastPause.Load())
	}
	return 0
}
