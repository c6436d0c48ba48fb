package testbed

import (
	"context"
	"testing"
	"time"
)

// The load is open-loop: while a paused node answers nothing, arrivals are still sent at their drawn times, and the
// latency of a request counts from its drawn time. Otherwise a stall would be hidden (coordinated omission).
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
			t.Errorf("an arrival at %v has a latency of %v, but nothing was served before %v", s.Arrival.At, s.Latency, until)
		}
		if s.Late <= voidLateness {
			inTime++
		}
	}
	if len(got.all) != len(arrivals) || stalled < 20 || inTime < stalled/2 {
		t.Errorf("got results of %d of %d arrivals, %d in the stall, %d of these sent in time; want all, at least 20, half",
			len(got.all), len(arrivals), stalled, inTime)
	}
	const late = 300 * time.Millisecond // by which the test bed itself sends the request late
	s := tb.runClient(context.Background(), &load, tb.now()-late, Arrival{ID: "late", Patience: 1, Tenant: -1})
	if s.Latency < late || s.Late < late {
		t.Errorf("a request sent %v late has latency %v and lateness %v, want no less", late, s.Latency, s.Late)
	}
}

// A finding while the test bed itself is late is void and not counted, as the lateness may have caused it.
func TestSlowMachineVoidsFindings(t *testing.T) {
	tb := Start(t, healthyStub())
	Until(t, "the test bed was not late for two seconds", func() bool {
		return tb.now() > 3*time.Second && !tb.Void(tb.now()-2*time.Second, tb.now())
	})
	tb.checker.addFinding(Lost, "x", "n1", "planted")
	if _, counts := tb.Findings(); counts[Lost] != 1 {
		t.Errorf("test bed not late: counts %v, want the finding counted", counts)
	}
	tb.lateness.record(tb.now(), 2*voidLateness)
	found, counts := tb.Findings()
	if len(counts) != 0 || !found[0].Void {
		t.Errorf("test bed late: counts %v and findings %v, want the finding void", counts, found)
	}
}
