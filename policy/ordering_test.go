package policy

import (
	"fmt"
	"testing"
	"time"
)

// The next request of a key must be sent only when the request before it has ended and the key has settled, that is,
// when the settle time has passed since the end of an attempt that may still run at its endpoint. The queue of a hot
// key must reject requests that would wait for too long, and must not delay other keys.
func TestRequestsOfOneKeyAreSerialized(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[2].SerializedByKey, s.KeySettleTime = true, 50*msec })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(6)})
	pay := func(at time.Duration, id string, key uint64) []Action {
		return b.Handle(at, Request{ID: id, Class: "pay", Deadline: 1500 * msec, Key: key, HasKey: true})
	}
	first := sendAttempts(pay(0, "a", 1))
	if len(first) != 1 || len(sendAttempts(pay(msec, "b", 1))) != 0 || len(sendAttempts(pay(msec, "c", 2))) != 1 {
		t.Fatal("want requests a and c sent, and b queued behind a")
	}
	actions := b.Handle(20*msec, AttemptEnded{ID: "a", Endpoint: first[0].Endpoint, Result: ConnectionLost})
	if len(sendAttempts(actions)) != 0 {
		t.Fatal("request b was sent while a may still run")
	}
	if got := sendAttempts(b.Handle(70*msec, TimerFired{Token: "k:1"})); len(got) != 1 || got[0].ID != "b" {
		t.Fatalf("after the settle time, %v was sent, want request b", got)
	}
	rejected := 0
	for i := range 50 {
		for _, a := range pay(80*msec, fmt.Sprint("hot", i), 1) {
			if _, ok := a.(Reject); ok {
				rejected++
			}
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 50 requests behind a hot key were rejected, want at least 40", rejected)
	}
}

// A request must be ready only when it is the first in its queue and the key has settled. The queue of a settled key
// must be deleted when it is empty.
func TestKeyQueue(t *testing.T) {
	queues := keyQueues{}
	first := &request{class: &class{meanLatency: float64(100 * msec)}}
	second := &request{class: first.class}
	if !queues.join(first, 1, 0) || !queues.join(second, 1, 150*msec) {
		t.Fatal("two requests did not join the queue of their key")
	}
	if queues.join(&request{class: first.class}, 1, 150*msec) {
		t.Error("a request joined a queue that takes longer than the request can wait")
	}
	queue := queues[1]
	if !queue.ready(first, 0) || queue.ready(second, 0) {
		t.Error("want the first request ready, and the second not")
	}
	queue.remove(first)
	queue.settledAt = 50 * msec
	if queue.ready(second, 49*msec) || !queue.ready(second, 50*msec) {
		t.Error("want the second request ready once the key has settled, and not before")
	}
	queue.remove(second)
	if !queues.settling(queue, 49*msec) || len(queues) != 1 {
		t.Error("an empty queue was deleted before its key had settled")
	}
	if queues.settling(queue, 50*msec) || len(queues) != 0 {
		t.Error("an empty queue was kept after its key had settled")
	}
}
