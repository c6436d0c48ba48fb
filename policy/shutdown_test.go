package policy

import (
	"testing"
	"time"

	"keelusher/policy/guard"
)

// When the host can wait no longer, what never ran is rejected and what may have run fails, at once; then nothing
// more is sent for it.
func TestShutdownDeadlineIsAnsweredAtOnce(t *testing.T) {
	b := newBalancer(t, nil)
	if actions := sendAttempts(b.Handle(0, Request{ID: "queued", Class: "pay", Deadline: time.Second})); len(actions) > 0 {
		t.Fatalf("sent %v without an endpoint", actions)
	}
	rejected := Reject{ID: "queued", RetryAfter: 2 * msec, Reason: guard.ProcessEnds}
	if actions := b.Handle(msec, ShutdownDeadline{ID: "queued"}); len(actions) != 1 || actions[0] != rejected {
		t.Errorf("the queued request: %v, want a rejection", actions)
	}
	b.Handle(2*msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	got := sendAttempts(b.Handle(2*msec, Request{ID: "sent", Class: "pay", Deadline: time.Second}))
	if len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	failed := Fail{ID: "sent", Reason: guard.ProcessEnds}
	if actions := b.Handle(3*msec, ShutdownDeadline{ID: "sent"}); len(actions) != 1 || actions[0] != failed {
		t.Errorf("the sent request: %v, want a failure", actions)
	}
	ended := AttemptEnded{ID: "sent", Endpoint: got[0].Endpoint, Result: Overloaded, Answered: true}
	if actions := b.Handle(4*msec, ended); len(actions) > 0 {
		t.Errorf("after its answer: %v", actions)
	}
}
