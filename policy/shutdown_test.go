package policy

import (
	"testing"
	"time"

	"keelusher/policy/guard"
)

// When the process is about to end, a request that never ran must be rejected at once, and one that may have run must
// fail at once. Later events must cause no more actions for it.
func TestRequestsAreAnsweredAtShutdownDeadline(t *testing.T) {
	b := newBalancer(t, nil)
	if actions := sendAttempts(b.Handle(0, Request{ID: "queued", Class: "pay", Deadline: time.Second})); len(actions) > 0 {
		t.Fatalf("sent %v though there is no endpoint", actions)
	}
	rejected := Reject{ID: "queued", RetryAfter: 2 * msec, Reason: guard.ProcessTerminating}
	if actions := b.Handle(msec, ShutdownDeadline{ID: "queued"}); len(actions) != 1 || actions[0] != rejected {
		t.Errorf("queued request: got %v, want a rejection", actions)
	}
	b.Handle(2*msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	got := sendAttempts(b.Handle(2*msec, Request{ID: "sent", Class: "pay", Deadline: time.Second}))
	if len(got) != 1 {
		t.Fatalf("sent %v, want one attempt", got)
	}
	failed := Fail{ID: "sent", Reason: guard.ProcessTerminating}
	if actions := b.Handle(3*msec, ShutdownDeadline{ID: "sent"}); len(actions) != 1 || actions[0] != failed {
		t.Errorf("sent request: got %v, want a failure", actions)
	}
	ended := AttemptEnded{ID: "sent", Endpoint: got[0].Endpoint, Result: Overloaded, Answered: true}
	if actions := b.Handle(4*msec, ended); len(actions) > 0 {
		t.Errorf("got %v after the answer, want no actions", actions)
	}
}
