package lifecycle

import (
	"testing"
	"time"

	"keelusher/policy/guard"
)

func TestSuspensionDetectorTimeQueued(t *testing.T) {
	s := NewSuspensionDetector()
	at := time.Second
	s.lastHeartbeat.Store(int64(at)) // the last heartbeat
	for _, x := range []struct {
		after time.Duration
		beats bool
		want  time.Duration
	}{
		{guard.MaxSuspension, true, 0},
		{guard.MaxSuspension, false, 0},
		{3 * time.Second, false, 3*time.Second + guard.MaxSuspension}, // a request is read ahead of the heartbeat
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
			t.Errorf("at %v: %v, want %v", at, got, x.want)
		}
	}
	var none *SuspensionDetector
	if none.TimeQueued() != 0 {
		t.Error("without a detector there was a suspension")
	}
}
