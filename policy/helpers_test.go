package policy

import (
	"fmt"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings returns settings with one class of each idempotency.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:               "get",
				Idempotency:        Idempotent,
				DeduplicationScope: ScopeAll,
				LatencyObjective:   500 * msec,
				Deadline:           1500 * msec,
				PriorityWeight:     1,
			},
			{
				Name:                "post",
				Idempotency:         IdempotentWithKey,
				DeduplicationScope:  ScopeCell,
				DeduplicationWindow: 900 * msec,
				LatencyObjective:    500 * msec,
				Deadline:            1500 * msec,
				PriorityWeight:      2,
			},
			{
				Name:             "pay",
				Idempotency:      NotIdempotent,
				LatencyObjective: 500 * msec,
				Deadline:         1500 * msec,
				PriorityWeight:   3,
			},
		},
		Replicas:                 2,
		Tier:                     0,
		TotalWeight:              0.6,
		WorstClassWeight:         0.3,
		MaxAttempts:              5,
		TimerResolution:          2 * msec,
		MaxPollInterval:          10 * time.Second,
		MaxRetryAfter:            2 * time.Second,
		SlowStartInitialCapacity: 0.2,
		SlowStartDuration:        10 * time.Second,
		SlowStartOverloadFactor:  3,
	}
}

// newBalancer returns a Balancer with the test settings, changed by a function unless it is nil.
func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// drawFromAll makes a replica choose from the complete list for some hundred attempts, as a busy replica does.
func drawFromAll(b *Balancer) { b.subsets[0].peakInFlight = 1e9 }

func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return list
}

// sendAttempts returns the SendAttempt actions of a list.
func sendAttempts(actions []Action) []SendAttempt {
	var attempts []SendAttempt
	for _, a := range actions {
		if attempt, ok := a.(SendAttempt); ok {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// endAttempt ends the first attempt of a request and returns the actions.
func endAttempt(b *Balancer, now time.Duration, id string, a SendAttempt, result AttemptResult) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Endpoint: a.Endpoint, Result: result, Answered: result == Success})
}

// sendTraffic sends n requests one after another; results returns the result of an attempt at an endpoint. It returns
// how many first attempts each endpoint got in the second half.
func sendTraffic(b *Balancer, n int, class string, results func(endpoint string) AttemptResult) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sendAttempts(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Endpoint]++
			}
			for k := 0; k < 5; k++ {
				result := results(s.Endpoint)
				now += 10 * msec
				ended := AttemptEnded{ID: id, Attempt: k, Endpoint: s.Endpoint, Result: result, Answered: result == Success}
				retries := sendAttempts(b.Handle(now, ended))
				if len(retries) == 0 {
					break
				}
				s = retries[0]
			}
		}
	}
	return got
}
