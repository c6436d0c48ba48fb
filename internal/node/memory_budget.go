// The memory for buffered bodies: a budget for each direction, and reservations of parts of it.

package node

import "sync/atomic"

const (
	maxBufferedBody = 64 << 10 // longest body of a request or a response that is buffered completely

	defaultBufferMemory = 32 << 20 // for each direction, if no memory limit is set
	memoryShareDivisor  = 8        // the buffers of each direction get the memory limit divided by this
	minChunkSize        = 2 << 10
	maxChunkSize        = 32 << 10
)

// memoryBudget limits the total size of the bodies that are buffered completely. A reservation never blocks: a body for
// which no memory is available is streamed. The budget is safe for concurrent use.
type memoryBudget struct {
	total     int
	available atomic.Int64 // negative while more is reserved than a reduced budget allows
}

func newMemoryBudget(total int) *memoryBudget {
	b := &memoryBudget{total: total}
	b.available.Store(int64(total))
	return b
}

// rescale adapts the budget to a changed number of processes that share the memory limit in equal parts.
func (b *memoryBudget) rescale(oldProcesses, newProcesses int) {
	b.available.Add(int64(b.total/newProcesses - b.total/oldProcesses))
}

// reserve takes size bytes from the budget. It returns nil if fewer are available.
func (b *memoryBudget) reserve(size int) *memoryReservation {
	if b.available.Add(int64(-size)) < 0 {
		b.available.Add(int64(size))
		return nil
	}
	return &memoryReservation{budget: b, size: size}
}

// memoryReservation is a reserved part of a budget. It has one owner at a time; a nil reservation holds no memory.
type memoryReservation struct {
	budget *memoryBudget
	size   int
}

// shrinkTo reduces the reservation to size bytes and returns the remainder to the budget.
func (r *memoryReservation) shrinkTo(size int) {
	if r != nil && size < r.size {
		r.budget.available.Add(int64(r.size - size))
		r.size = size
	}
}

// release returns the whole reservation to the budget. Further calls have no effect.
func (r *memoryReservation) release() { r.shrinkTo(0) }

// buffers holds the buffer sizes for the configured limits, chosen so that all buffers together fit into memory.
type buffers struct {
	requests, responses *memoryBudget
	chunkSize           int // buffer size of a streamed body, for each connection and direction
}

// newBuffers divides the memory limit among the buffers; 0 means that no limit is set.
func newBuffers(memoryMB, connections int) buffers {
	directionMemory := memoryMB << 20 / memoryShareDivisor
	if memoryMB == 0 {
		directionMemory = defaultBufferMemory
	}
	return buffers{
		requests:  newMemoryBudget(directionMemory),
		responses: newMemoryBudget(directionMemory),
		chunkSize: min(max(directionMemory/(2*connections), minChunkSize), maxChunkSize),
	}
}
