package policy

import (
	"fmt"
	"testing"
	"time"
)

// A retry that is not marked must be recognized by a shorter time to its deadline than first requests have.
func TestShortDeadlineIndicatesRetry(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 1200*msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != 0 {
		t.Errorf("a first request was taken for a retry: %+v", r)
	}
	// The latency objective of 500 ms began 300 ms before the retry arrived. Without an endpoint, it is still queued.
	r := b.requests["again"]
	if r == nil || !r.isRetry || r.arrived != 5*time.Second-300*msec {
		t.Errorf("the retry was not recognized: %+v", r)
	}
}

// If clients mark retries, a first request with less time than a retry must not be taken for a retry.
func TestRetryMarkOverridesShortDeadline(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * msec, IsRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != time.Second {
		t.Errorf("a first request was taken for a retry: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * msec, IsRetry: true})
	if r := b.requests["again"]; r == nil || !r.isRetry || r.arrived != 4900*msec {
		t.Errorf("the arrival of the marked retry was not dated back to the first request: %+v", r)
	}
}

// The time of a request whose body arrives slowly must count from its last byte. Otherwise its endpoint would appear
// unresponsive or slow because of its client.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
	got := sendAttempts(b.Handle(0, Request{ID: "long", Class: "get", Deadline: 2 * time.Second, BodyIncomplete: true}))
	if len(got) != 1 {
		t.Fatalf("sent %v, want one attempt", got)
	}
	for i := range 20 { // other requests are answered meanwhile
		id, now := fmt.Sprint(i), time.Duration(i)*50*msec
		for _, s := range sendAttempts(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			endAttempt(b, now+10*msec, id, s, Success)
		}
	}
	s := b.endpoints[got[0].Endpoint]
	if s.unresponsive(b.now, b.lastSuccess) {
		t.Error("the endpoint counts as unresponsive while the body arrives")
	}
	mean := b.classes.byName["get"].meanLatency
	b.Handle(10*time.Second, RequestSent{ID: "long", Deadline: 12 * time.Second})
	r := b.requests["long"]
	if r.deadline != 12*time.Second || r.arrived != 10*time.Second || r.attempts[0].sentAt != 10*time.Second {
		t.Errorf("arrived at %v, deadline %v, sent at %v, want 10s, 12s and 10s", r.arrived, r.deadline, r.attempts[0].sentAt)
	}
	b.Handle(10*time.Second+10*msec, ResponseStarted{ID: "long"})
	if s.unresponsive(b.now, b.lastSuccess) {
		t.Error("the endpoint counts as unresponsive while the response is streamed")
	}
	b.Handle(time.Minute, AttemptEnded{ID: "long", Endpoint: s.ID, Result: Success, Answered: true})
	if now := b.classes.byName["get"].meanLatency; now > mean {
		t.Errorf("the mean latency rose from %v to %v ns, want no rise", mean, now)
	}
}
