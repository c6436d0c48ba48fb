// The clock of a node and its timers.

package node

import (
	"sync/atomic"
	"time"

	"keelusher/policy"
)

// clock is monotonic. It reads as Unix time at its start, so that a server's start time is a clock time too.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Duration(c.start.UnixNano()) + time.Since(c.start) }

// at converts a clock time to one that socket deadlines use.
func (c clock) at(t time.Duration) time.Time {
	return c.start.Add(t - time.Duration(c.start.UnixNano()))
}

// atomicTime is a clock time that is set once. The zero value is not set.
type atomicTime struct{ value atomic.Int64 }

func (t *atomicTime) set(at time.Duration) { t.value.CompareAndSwap(0, int64(at)) }

func (t *atomicTime) get() time.Duration { return time.Duration(t.value.Load()) }

// timerHeap is a container/heap of the timers that the policy asked for, the earliest first.
type timerHeap []policy.SetTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer; only container/heap calls it.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(policy.SetTimer)) }

// Pop removes the last timer; only container/heap calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}
