package testbed

import (
	"context"
	"testing"
	"time"
)

// While the node stands still arrivals go on at their drawn times, and a request's time counts from then.
func TestArrivalsStayOpenLoopWhileTheSystemStalls(t *testing.T) {
	w := healthyStub()
	tb := Start(t, w)
	load, arrivals := draw(t, &tb.world, Load{Rate: 100}, 2*time.Second)
	const stall, until = 500 * time.Millisecond, 1300 * time.Millisecond
	n, began := tb.Node("n1"), tb.now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sleepUntil(tb.began.Add(began+stall), tb.done)
		check(t, n.Stop())
		sleepUntil(tb.began.Add(began+until), tb.done)
		check(t, n.Continue())
	}()
	var got tally
	tb.Drive(context.Background(), &load, arrivals, got.add)
	<-done
	stalled, inTime := 0, 0
	for _, s := range got.all {
		if s.Arrival.At < stall+200*time.Millisecond || s.Arrival.At > until-200*time.Millisecond {
			continue
		}
		stalled++
		if s.End == "served" && s.Latency < until-s.Arrival.At {
			t.Errorf("an arrival at %v took %v, but nothing was served before %v", s.Arrival.At, s.Latency, until)
		}
		if s.Late <= voidLateness {
			inTime++
		}
	}
	if len(got.all) != len(arrivals) || stalled < 20 || inTime < stalled/2 {
		t.Errorf("%d arrivals of %d, %d in the stall, %d of them sent in time", len(got.all), len(arrivals), stalled, inTime)
	}
	const late = 300 * time.Millisecond // of the testbed itself
	s := tb.runClient(context.Background(), &load, tb.now()-late, Arrival{ID: "late", Patience: 1, Tenant: -1})
	if s.Latency < late || s.Late < late {
		t.Errorf("sent %v late it took %v and was %v late", late, s.Latency, s.Late)
	}
}

func TestSlowMachineVoidsFindings(t *testing.T) {
	tb := Start(t, healthyStub())
	Until(t, "a second in time", func() bool {
		return tb.now() > 3*time.Second && !tb.Void(tb.now()-2*time.Second, tb.now())
	})
	tb.checker.addFinding(Lost, "x", "n1", "planted")
	if _, counts := tb.Findings(); counts[Lost] != 1 {
		t.Errorf("in time: %v, want it counted", counts)
	}
	tb.lateness.note(tb.now(), 2*voidLateness)
	found, counts := tb.Findings()
	if len(counts) != 0 || !found[0].Void {
		t.Errorf("too late: %v and %v, want it void", counts, found)
	}
}
