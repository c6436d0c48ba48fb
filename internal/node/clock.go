// The clock of a node, and the heap of its timers.

package node

import (
	"sync/atomic"
	"time"

	"keelusher/policy"
)

// clock is a monotonic clock. Its times, called clock times, are durations since the Unix epoch: the wall clock at the
// creation of the clock, plus the monotonic time since then. So the start times of servers are clock times too.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Duration(c.start.UnixNano()) + time.Since(c.start) }

// at converts a clock time to a time.Time for use as a socket deadline.
func (c clock) at(t time.Duration) time.Time {
	return c.start.Add(t - time.Duration(c.start.UnixNano()))
}

// atomicTime is a clock time that can be set once, and is safe for concurrent use. The zero value is unset.
type atomicTime struct{ value atomic.Int64 }

func (t *atomicTime) set(at time.Duration) { t.value.CompareAndSwap(0, int64(at)) }

func (t *atomicTime) get() time.Duration { return time.Duration(t.value.Load()) }

// timerHeap implements heap.Interface for the timers that the policy has set, with the earliest first.
type timerHeap []policy.SetTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer. It is to be called by container/heap only.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(policy.SetTimer)) }

// Pop removes and returns the last timer. It is to be called by container/heap only.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}
