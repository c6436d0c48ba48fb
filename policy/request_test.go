package policy

import (
	"fmt"
	"testing"
	"time"
)

// An unmarked retry shows by a deadline shorter than those of first attempts.
func TestShortDeadlineShowsARetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 1200*msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != 0 {
		t.Errorf("a first attempt was taken for a retry: %+v", r)
	}
	// The retry's objective of 500 ms began 300 ms before it came: without an endpoint it is still queued.
	r := b.requests["again"]
	if r == nil || !r.isRetry || r.arrived != 5*time.Second-300*msec {
		t.Errorf("the retry was not seen: %+v", r)
	}
}

// Where clients mark retries, a first attempt with less time than a retry is still a first attempt.
func TestMarksOutrankShortDeadlines(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * msec, IsRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != time.Second {
		t.Errorf("a first attempt was taken for a retry: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * msec, IsRetry: true})
	if r := b.requests["again"]; r == nil || !r.isRetry || r.arrived != 4900*msec {
		t.Errorf("the marked retry was not dated back: %+v", r)
	}
}

// A request whose body arrives slowly has its time from its last byte on, and its endpoint is neither unresponsive
// nor slow for what its client took.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	got := sendAttempts(b.Handle(0, Request{ID: "long", Class: "get", Deadline: 2 * time.Second, BodyIncomplete: true}))
	if len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	for i := range 20 { // others are answered meanwhile
		id, now := fmt.Sprint(i), time.Duration(i)*50*msec
		for _, s := range sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			endAttempt(b, now+10*msec, id, s, Success)
		}
	}
	s := b.endpoints[got[0].Endpoint]
	if s.unresponsive(b.now, b.lastSuccess) {
		t.Error("its endpoint counts as unresponsive while its body arrives")
	}
	mean := b.classes.byName["get"].meanLatency
	b.Handle(10*time.Second, RequestSent{ID: "long", Deadline: 12 * time.Second})
	r := b.requests["long"]
	if r.deadline != 12*time.Second || r.arrived != 10*time.Second || r.attempts[0].sentAt != 10*time.Second {
		t.Errorf("arrived %v, deadline %v, sent %v", r.arrived, r.deadline, r.attempts[0].sentAt)
	}
	b.Handle(10*time.Second+10*msec, ResponseStarted{ID: "long"})
	if s.unresponsive(b.now, b.lastSuccess) {
		t.Error("its endpoint counts as unresponsive while its response is streamed")
	}
	b.Handle(time.Minute, AttemptEnded{ID: "long", Endpoint: s.ID, Result: Success, Answered: true})
	if now := b.classes.byName["get"].meanLatency; now > mean {
		t.Errorf("the mean latency rose from %v to %v ns", mean, now)
	}
}
