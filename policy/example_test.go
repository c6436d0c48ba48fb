package policy_test

import (
	"fmt"
	"testing"
	"time"

	"keelusher/policy"
)

// The events of one request: an endpoint list, the request, a first attempt that never ran, and a second one that
// is answered.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "read", Idempotency: policy.Idempotent, DeduplicationScope: policy.ScopeAll,
			LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, TimerResolution: time.Millisecond,
		SlowStartInitialCapacity: 0.2, SlowStartDuration: 10 * time.Second, SlowStartOverloadFactor: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, policy.EndpointUpdate{Snapshot: true, Endpoints: []policy.Endpoint{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	actions := b.Handle(now, policy.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := actions[0].(policy.SendAttempt)
	fmt.Println("sent", first.ID, "with a timeout of", first.Timeout)

	now += 3 * time.Millisecond
	actions = b.Handle(now, policy.AttemptEnded{ID: "r1", Attempt: 0, Endpoint: first.Endpoint,
		Result: policy.ConnectFailed, Latency: 3 * time.Millisecond})
	second := actions[0].(policy.SendAttempt)
	fmt.Println("retried at another endpoint:", second.Endpoint != first.Endpoint)

	now += 20 * time.Millisecond
	actions = b.Handle(now, policy.AttemptEnded{ID: "r1", Attempt: 1, Endpoint: second.Endpoint,
		Result: policy.Success, Latency: 20 * time.Millisecond, Answered: true})
	fmt.Println("actions after the answer:", len(actions))
	// Output:
	// sent r1 with a timeout of 200ms
	// retried at another endpoint: true
	// actions after the answer: 0
}

func BenchmarkHandle(bench *testing.B) {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "read", Idempotency: policy.Idempotent, LatencyObjective: time.Second,
			Deadline: time.Second, PriorityWeight: 1}},
		Replicas: 1, MaxAttempts: 3, TimerResolution: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []policy.Endpoint
	for i := range 50 {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, policy.EndpointUpdate{Snapshot: true, Endpoints: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, policy.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(policy.SendAttempt)
		b.Handle(now, policy.AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: policy.Success, Answered: true})
	}
}
