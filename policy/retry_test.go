package policy

import (
	"testing"
	"time"

	"keelusher/policy/guard"
)

// If late answers have no weight, an attempt must time out at the end of the latency objective, and the rest of the
// client's time must not be used for a retry. A replica of a lower tier knows only the time that it is given, not how
// much of the objective has passed, so its attempt gets all of that time.
func TestNoWaitForALateAnswerWithoutWeight(t *testing.T) {
	for _, c := range []struct {
		tier       int
		lateWeight float64
		want       time.Duration
	}{{0, 0, 500 * msec}, {0, 0.5, 1500 * msec}, {1, 0, 1500 * msec}} {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Classes[0].LateAnswerWeight = c.tier, c.lateWeight })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(4)})
		got := sendAttempts(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))
		if len(got) != 1 || got[0].Timeout != c.want {
			t.Fatalf("tier %d, late weight %v: sent %v, want a timeout of %v", c.tier, c.lateWeight, got, c.want)
		}
		actions := endAttempt(b, c.want, "a", got[0], TimedOut)
		want := Action(Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.NoTimeForAnswer})
		if len(actions) != 1 || actions[0] != want {
			t.Errorf("tier %d, late weight %v: got %v after the timeout, want a rejection", c.tier, c.lateWeight, actions)
		}
	}
}

// A request whose body is consumed must not be sent again. It must be rejected if no attempt ran, and fail otherwise.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	for result, want := range map[AttemptResult]Action{
		ConnectFailed:  Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.BodyConsumed},
		NotSent:        Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.BodyConsumed},
		ConnectionLost: Fail{ID: "a", Reason: guard.BodyConsumed}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(10)})
		got := sendAttempts(b.Handle(0, Request{ID: "a", Class: "post", Deadline: time.Second, BodyIncomplete: true}))
		if len(got) != 1 {
			t.Fatalf("sent %v, want one attempt", got)
		}
		actions := b.Handle(msec, AttemptEnded{ID: "a", Endpoint: got[0].Endpoint, Result: result, BodyConsumed: true})
		if len(actions) != 1 || actions[0] != want {
			t.Errorf("result %d: got %v, want %v", result, actions, want)
		}
	}
}

// Successes must fill the retry budget up to its bound, and retries must empty it.
func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget()
	for range initialRetryBudget {
		budget.spend(retryCost)
	}
	if budget.covers(unsentRetryCost) {
		t.Errorf("an empty retry budget of %v tokens covers a retry", budget.tokens)
	}
	budget.recordSuccess()
	if !budget.covers(unsentRetryCost) || budget.covers(retryCost) {
		t.Errorf("after a success, a retry budget of %v tokens should cover only the retry of an attempt that never ran",
			budget.tokens)
	}
	for range 1000 {
		budget.recordSuccess()
	}
	if budget.tokens != maxRetryBudget {
		t.Errorf("after many successes the retry budget has %v tokens, want %v", budget.tokens, maxRetryBudget)
	}
}
