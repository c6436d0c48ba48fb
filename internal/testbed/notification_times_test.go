package testbed

import (
	"context"
	"testing"
	"time"
)

// Guards against nodes that keep sending to a draining server after a drain that they could not read in time. A node
// must stop sending once it counts as notified: a stopped node when the drain has been written to its watch, a node
// with a silent watch 6 s after the silence began.
func TestNodesThatMissedADrainStopSending(t *testing.T) {
	const drain = 1500 * time.Millisecond // since the load began
	for name, c := range map[string]struct {
		fault  FaultKind
		from   time.Duration // when the fault begins
		length time.Duration // of the fault
		load   time.Duration
	}{
		"stopped": {"stop", time.Second, 4500 * time.Millisecond, 6 * time.Second},
		"mute":    {"disc_mute", time.Second, 0, 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := small(2, 3)
			for i := range w.Classes { // clients must still be waiting when the stopped node continues
				w.Classes[i].LatencyObjective, w.Classes[i].Deadline = 2500*time.Millisecond, 8*time.Second
			}
			w.Zones, w.Discovery.NotificationDelay, w.Discovery.WatchOnRequest = []string{"a"}, 50*time.Millisecond, true
			tb := Start(t, w)
			load, arrivals := draw(t, &tb.world, Load{Rate: 100}, c.load)
			steps, err := Schedule(&tb.world, []Fault{
				{Kind: c.fault, Target: "n1", At: c.from, For: c.length},
				{Kind: "drain", Target: "front-2", At: drain, For: time.Minute}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			scheduleDone := make(chan struct{})
			go func() {
				defer close(scheduleDone)
				tb.RunSchedule(
					context.Background(),
					steps,
					func(at time.Duration, what string) { t.Logf("%.2fs %s", at.Seconds(), what) },
				)
			}()
			var got tally
			tb.Drive(context.Background(), &load, arrivals, got.add)
			<-scheduleDone
			checkNoFindings(t, tb)
			if got.served() < len(arrivals)/3 {
				t.Errorf("served %d of %d requests, want at least a third", got.served(), len(arrivals))
			}
			tb.checker.mu.Lock()
			defer tb.checker.mu.Unlock()
			at, notified := tb.checker.drainNotifiedAt[nodeAndServer{"n1", "front-2"}]
			if !notified || at > tb.now()-drainDeadline-slack {
				t.Errorf("n1 notified %v, at %v: the run ended too early to check the drain", notified, at)
			}
		})
	}
}
