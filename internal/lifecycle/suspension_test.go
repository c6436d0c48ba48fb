package lifecycle

import (
	"testing"
	"time"

	"keelusher/policy/guard"
)

// A request read after a suspension must count as queued for as long as the suspension lasted, if it is read before the
// first heartbeat after the suspension or less than backlogReadTime after that heartbeat. Later requests must not.
func TestSuspensionDetectorTimeQueued(t *testing.T) {
	s := NewSuspensionDetector()
	at := time.Second
	s.lastHeartbeat.Store(int64(at))
	for _, x := range []struct {
		after time.Duration
		beats bool
		want  time.Duration
	}{
		{guard.MaxSuspension, true, 0},
		{guard.MaxSuspension, false, 0},
		{3 * time.Second, false, 3*time.Second + guard.MaxSuspension}, // before the first heartbeat
		{0, true, 3*time.Second + guard.MaxSuspension},
		{backlogReadTime - 1, false, 3*time.Second + guard.MaxSuspension},
		{1, false, 0},
		{0, true, 0},
	} {
		at += x.after
		if x.beats {
			s.heartbeat(at)
		}
		if got := s.timeQueuedAt(at); got != x.want {
			t.Errorf("a request read %v after the start: queued for %v, want %v", at, got, x.want)
		}
	}
	var nilDetector *SuspensionDetector
	if nilDetector.TimeQueued() != 0 {
		t.Error("a nil detector reports a suspension")
	}
}
