package policy_test

import (
	"fmt"
	"testing"
	"time"

	"keelusher/policy"
)

// One Balancer driven by hand: a list, a request, an attempt that never ran, and its answer.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "read", Effect: policy.Safe, Scope: policy.ScopeAll,
			Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}},
		Balancers: 1, MaxAttempts: 3, Tick: time.Millisecond,
		ColdFrom: 0.2, WarmAfter: 10 * time.Second, FallMultiple: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, policy.ServerList{Full: true, Servers: []policy.Server{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	acts := b.Handle(now, policy.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := acts[0].(policy.Send)
	fmt.Println("sent", first.ID, "with a time-out of", first.Timeout)

	now += 3 * time.Millisecond
	acts = b.Handle(now, policy.Outcome{ID: "r1", Attempt: 0, Server: first.Server,
		Ending: policy.Unreachable, Latency: 3 * time.Millisecond})
	second := acts[0].(policy.Send)
	fmt.Println("sent again to another server:", second.Server != first.Server)

	now += 20 * time.Millisecond
	acts = b.Handle(now, policy.Outcome{ID: "r1", Attempt: 1, Server: second.Server,
		Ending: policy.Success, Latency: 20 * time.Millisecond, Ended: true})
	fmt.Println("left to do:", len(acts))
	// Output:
	// sent r1 with a time-out of 200ms
	// sent again to another server: true
	// left to do: 0
}

func BenchmarkHandle(bench *testing.B) {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "read", Effect: policy.Safe, Aim: time.Second,
			Deadline: time.Second, Worth: 1}},
		Balancers: 1, MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []policy.Server
	for i := range 50 {
		list = append(list, policy.Server{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, policy.ServerList{Full: true, Servers: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, policy.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(policy.Send)
		b.Handle(now, policy.Outcome{ID: id, Server: s.Server, Ending: policy.Success, Ended: true})
	}
}
