// Detection of suspensions of the whole process. Requests that arrive during a suspension wait in the kernel's buffers,
// and this time adds to their age.

package lifecycle

import (
	"context"
	"sync/atomic"
	"time"

	"keelusher/policy/guard"
)

const (
	heartbeatInterval = 50 * time.Millisecond
	backlogReadTime   = 50 * time.Millisecond // time to read all requests that were queued during a suspension
)

// SuspensionDetector detects that the process was stopped, or got no CPU time, for longer than guard.MaxSuspension. A
// request that is read just after a suspension may have waited in the kernel's buffers for as long as the suspension
// lasted. The client's deadline counts from the time when the client sent the request, so this wait is part of it. A
// nil detector detects nothing.
type SuspensionDetector struct {
	start         time.Time
	lastHeartbeat atomic.Int64 // nanoseconds after start
	lastPause     atomic.Int64 // duration of the last suspension in nanoseconds
	resumedAt     atomic.Int64 // end of the last suspension in nanoseconds after start; 0: there was none
}

// NewSuspensionDetector returns a detector, whose Run has to be called for it to work.
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

// heartbeat records that the process is running at now, the time since s.start, and detects a suspension that has
// just ended.
func (s *SuspensionDetector) heartbeat(now time.Duration) {
	pause := now - time.Duration(s.lastHeartbeat.Swap(int64(now)))
	if pause > guard.MaxSuspension {
		s.lastPause.Store(int64(pause))
		s.resumedAt.Store(int64(now))
	}
}

// TimeQueued returns how long a request that has just been read may have been queued because of a suspension; 0 if
// there was none longer than guard.MaxSuspension.
func (s *SuspensionDetector) TimeQueued() time.Duration {
	if s == nil {
		return 0
	}
	return s.timeQueuedAt(time.Since(s.start))
}

func (s *SuspensionDetector) timeQueuedAt(now time.Duration) time.Duration {
	if pause := now - time.Duration(s.lastHeartbeat.Load()); pause > guard.MaxSuspension {
		return pause // the process has resumed, and the first heartbeat after that is still due
	}
	resumedAt := time.Duration(s.resumedAt.Load())
	if resumedAt > 0 && now-resumedAt < backlogReadTime {
		return time.Duration(s.lastPause.Load())
	}
	return 0
}
