// The memory for buffered bodies: a budget for each direction, and the reservations taken from it.

package node

import "sync/atomic"

const (
	maxBufferedBody = 64 << 10 // of a request or a response

	defaultBufferMemory = 32 << 20 // a direction, where no memory limit is set
	memoryShareDivisor  = 8        // of the memory limit, for the buffers of one direction
	minChunkSize        = 2 << 10
	maxChunkSize        = 32 << 10
)

// memoryBudget bounds the total size of the bodies that are buffered completely. It never makes anyone wait: a body
// for which no memory is available is streamed. It is safe for concurrent use.
type memoryBudget struct {
	total     int
	available atomic.Int64 // negative while more is reserved than a reduced budget has
}

func newMemoryBudget(total int) *memoryBudget {
	b := &memoryBudget{total: total}
	b.available.Store(int64(total))
	return b
}

// rescale changes the number of processes that share the memory limit in equal parts.
func (b *memoryBudget) rescale(oldProcesses, newProcesses int) {
	b.available.Add(int64(b.total/newProcesses - b.total/oldProcesses))
}

// reserve takes size bytes from the budget. It returns nil if they are not available.
func (b *memoryBudget) reserve(size int) *memoryReservation {
	if b.available.Add(int64(-size)) < 0 {
		b.available.Add(int64(size))
		return nil
	}
	return &memoryReservation{budget: b, size: size}
}

// memoryReservation is a reserved part of a budget. It has one owner at a time; nil reserves nothing.
type memoryReservation struct {
	budget *memoryBudget
	size   int
}

// shrinkTo returns what exceeds size bytes to the budget.
func (r *memoryReservation) shrinkTo(size int) {
	if r != nil && size < r.size {
		r.budget.available.Add(int64(r.size - size))
		r.size = size
	}
}

// release returns all of the reservation to the budget. Further calls do nothing.
func (r *memoryReservation) release() { r.shrinkTo(0) }

// buffers are the buffer sizes that follow from the limits, chosen so that all buffers together fit into memory.
type buffers struct {
	requests, responses *memoryBudget
	chunkSize           int // of a streamed body, for each connection and direction
}

// newBuffers divides the memory limit among the buffers; no limit is 0.
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
