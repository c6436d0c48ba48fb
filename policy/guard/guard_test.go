package guard

import (
	"testing"
	"time"
)

func TestVerdictsHaveNames(t *testing.T) {
	seen := map[string]Verdict{}
	for v := NotAsked; int(v) < NumberOfVerdicts; v++ {
		name := v.String()
		if before, twice := seen[name]; twice || name == "" || name == "unknown" {
			t.Errorf("verdict %d has the name %q, which is empty, unknown or the name of verdict %d too", v, name, before)
		}
		seen[name] = v
	}
}

func TestSend(t *testing.T) {
	allowed := Send{Now: time.Second, Deadline: 2 * time.Second}
	for want, change := range map[Verdict]func(*Send){
		Allowed:                 func(f *Send) { f.RetryBefore = time.Second + MaxSuspension + 1 },
		RequestAnswered:         func(f *Send) { f.RequestAnswered = true },
		EndpointRemoved:         func(f *Send) { f.EndpointRemoved = true },
		DeadlineExceeded:        func(f *Send) { f.Deadline = f.Now },
		DeduplicationWindowOver: func(f *Send) { f.RetryBefore = time.Second + MaxSuspension },
		ClientDisconnected:      func(f *Send) { f.Client = ClientClosed },
		ClientUnknown:           func(f *Send) { f.Client = ClientStateUnknown },
		EndpointListStale:       func(f *Send) { f.EndpointListStale = true },
	} {
		f := allowed
		change(&f)
		if got := f.Verdict(); got != want {
			t.Errorf("%+v: %v, want %v", f, got, want)
		}
	}
}

// An attempt that was allowed but written too late must be found as a violation, with the verdict of its kind.
func TestSentFindsEachViolation(t *testing.T) {
	allowed := Sent{
		Now:            10 * time.Second,
		ClientDeadline: 11 * time.Second,
		Timeout:        time.Second,
		RemovalGrace:   3 * time.Second,
	}
	for want, change := range map[Verdict]func(*Sent){
		Allowed: func(f *Sent) {
			f.RetryBefore, f.DisconnectedAt, f.RemovedAt = f.Now+1, f.Now-maxSendAfterDisconnect, f.Now-f.RemovalGrace
			f.Timeout += maxTimeoutExcess
		},
		DeduplicationWindowOver: func(f *Sent) { f.RetryBefore = f.Now },
		EndpointRemoved:         func(f *Sent) { f.RemovedAt = f.Now - f.RemovalGrace - timerSlack - 1 },
		ClientDisconnected:      func(f *Sent) { f.DisconnectedAt = f.Now - maxSendAfterDisconnect - 1 },
		TimeoutTooLong:          func(f *Sent) { f.Timeout += maxTimeoutExcess + 1 },
	} {
		f := allowed
		change(&f)
		if got := f.Violation(); got != want {
			t.Errorf("%+v: %v, want %v", f, got, want)
		}
	}
}

func TestRetry(t *testing.T) {
	allowed := Retry{Now: time.Second, Attempts: 1, MaxAttempts: 2, MayHaveRun: true}
	for want, change := range map[Verdict]func(*Retry){
		Allowed:                 func(f *Retry) { f.RetryBefore = time.Second + MaxSuspension + 1 },
		RequestAnswered:         func(f *Retry) { f.Answered = true },
		ResponseStarted:         func(f *Retry) { f.ResponseStarted = true },
		BodyConsumed:            func(f *Retry) { f.BodyConsumed = true },
		AttemptsExhausted:       func(f *Retry) { f.Attempts = 2 },
		NotIdempotent:           func(f *Retry) { f.NotIdempotent = true },
		DeduplicationWindowOver: func(f *Retry) { f.RetryBefore = time.Second + MaxSuspension },
	} {
		f := allowed
		change(&f)
		if got := f.Verdict(); got != want {
			t.Errorf("%+v: %v, want %v", f, got, want)
		}
	}
	if got := (Retry{MaxAttempts: 1, NotIdempotent: true}).Verdict(); got != Allowed {
		t.Errorf("retry of a request that never ran: got %v, want allowed", got)
	}
}

func TestCloseAndAcceptClients(t *testing.T) {
	for _, c := range []struct{ got, want Verdict }{
		{Close{}.Verdict(), Allowed},
		{Close{RequestRead: true, BytesUnread: true}.Verdict(), RequestRead},
		{Close{BytesUnread: true}.Verdict(), BytesUnread},
		{AcceptClients{Serving: true, EndpointKnown: true}.Verdict(), Allowed},
		{AcceptClients{Serving: true}.Verdict(), NoEndpointKnown},
		{AcceptClients{EndpointKnown: true}.Verdict(), NotServing},
		{AcceptClients{ShuttingDown: true, EndpointKnown: true}.Verdict(), NotServing},
		{AcceptClients{ShuttingDown: true, SuccessorServes: true}.Verdict(), Allowed},
	} {
		if c.got != c.want {
			t.Errorf("got %v, want %v", c.got, c.want)
		}
	}
}
