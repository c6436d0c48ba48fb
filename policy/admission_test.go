package policy

import (
	"fmt"
	"testing"
	"time"
)

// Little is left of the latency objective of a marked retry. If it were sent first when capacity is short, the
// first request of another client would be late too.
func TestFirstRequestsGoBeforeMarkedRetries(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(1)})
	b.subsets[0].limit.size = 1
	first := sendAttempts(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "retry", Class: "get", Deadline: time.Second, IsRetry: true})
	b.classes.byName["get"].LateAnswerWeight = 0.5
	b.subsets[0].inFlight = int(initialLimitPerEndpoint*b.subsets[0].limit.fairShare) + 2
	b.subsets[0].limit.size = float64(b.subsets[0].inFlight) // the next answer leaves room for one attempt
	next := sendAttempts(endAttempt(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("sent after an answer: %v, want request new first", next)
	}
}

// A long Retry-After would bring a rejected client back when its latency objective is nearly over.
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
	t.Error("the request was not rejected after its queue deadline")
}

// If clients that disconnect early and ask again freed capacity, they would overload the endpoints, where their
// attempts still run. So these attempts count against the limit until they have ended.
func TestAttemptsOfDisconnectedClientsCount(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Replicas = 5 })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	b.subsets[0].limit.size = 4
	var sent []SendAttempt
	for i := range 40 {
		id := fmt.Sprint(i)
		sent = append(sent, sendAttempts(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))...)
		if actions := b.Handle(msec, ClientDisconnected{ID: id}); len(actions) > 0 {
			t.Fatalf("actions after a client disconnected: %v, want none", actions)
		}
	}
	if len(sent) != 4 {
		t.Fatalf("%d attempts in flight, want the limit of 4", len(sent))
	}
	b.Handle(100*msec, AttemptEnded{ID: sent[0].ID, Endpoint: sent[0].Endpoint, Result: Success, Answered: true})
	if got := sendAttempts(b.Handle(100*msec, Request{ID: "next", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("%d attempts sent after one has ended, want 1", len(got))
	}
}

// The host rounds times, so a timer may fire a little early. If that lost the timer, a queued request would get
// no final answer.
func TestQueuedRequestIsAnsweredWhenTimersFireEarly(t *testing.T) {
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
			t.Fatalf("at %v the request has neither a final answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		actions = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("the request got no final answer before its deadline")
}
