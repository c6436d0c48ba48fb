package policy

import (
	"fmt"
	"testing"
	"time"
)

// A marked retry is nearly past its objective: while there is little capacity, first attempts go first.
func TestFirstAttemptsGoBeforeRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(1)})
	b.subsets[0].limit.size = 1
	first := sendAttempts(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, IsRetry: true})
	b.classes.byName["get"].LateAnswerWeight = 0.5
	b.subsets[0].inFlight = int(initialLimitPerEndpoint*b.subsets[0].limit.fairShare) + 2
	b.subsets[0].limit.size = float64(b.subsets[0].inFlight) // one is free after the next answer
	next := sendAttempts(endAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// A rejected client is not sent away for long: it would come back when its objective is nearly over.
func TestRejectedClientsMayRetrySoon(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(2)})
	b.subsets[0].limit.size, b.subsets[0].inFlight = 1, 1
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, TimerFired{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].LatencyObjective / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not rejected")
}

// Clients that disconnect early and ask again must not free capacity: their attempts run on and count until each has
// ended.
func TestAttemptsOfDisconnectedClientsCount(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 5 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	b.subsets[0].limit.size = 4
	var sent []SendAttempt
	for i := range 40 {
		id := fmt.Sprint(i)
		sent = append(sent, sendAttempts(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))...)
		if actions := b.Handle(msec, ClientDisconnected{ID: id}); len(actions) > 0 {
			t.Fatalf("%v after a client disconnected", actions)
		}
	}
	if len(sent) != 4 {
		t.Fatalf("%d attempts in flight under a limit of 4", len(sent))
	}
	b.Handle(100*msec, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Result: Success, Answered: true})
	if got := sendAttempts(b.Handle(100*msec, Request{ID: "next", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("%d attempts sent after one has ended, want 1", len(got))
	}
}

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestQueuedRequestIsAnsweredThoughTimersComeEarly(t *testing.T) {
	b := newBalancer(t, nil)
	actions := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		actions = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}
