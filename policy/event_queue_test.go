package policy

import (
	"container/heap"
	"time"
)

// dueEvent is an event that a simulation gives to a Balancer at the time at.
type dueEvent struct {
	at    time.Duration
	order int
	event Event
}

// dueHeap is a heap of events, ordered by time, and at the same time in the order of addition.
type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueEvent)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventQueue holds the future events of a simulation.
type eventQueue struct {
	due   dueHeap
	added int
}

func (q *eventQueue) add(at time.Duration, e Event) {
	q.added++
	heap.Push(&q.due, dueEvent{at, q.added, e})
}

func (q *eventQueue) empty() bool { return len(q.due) == 0 }

// nextAt returns the time of the next event. The queue must not be empty.
func (q *eventQueue) nextAt() time.Duration { return q.due[0].at }

func (q *eventQueue) next() dueEvent { return heap.Pop(&q.due).(dueEvent) }
