// The memory that clients and servers can make the node hold: the shares of the limit, budgets and reservations.

package node

import (
	"sync/atomic"

	"keelusher/internal/inbound"
)

const (
	maxBufferedBody = 64 << 10 // longest body of a request or a response that is buffered completely

	minChunkSize = 2 << 10
	maxChunkSize = 32 << 10

	// defaultMemoryMB is the memory limit that the budgets are computed from if none is set.
	defaultMemoryMB = 256
)

// The memory limit of a process, divided by these, is what all heads, the bodies of one direction and all connections
// of one side may take. Together they take 29 of 48 parts; the rest is for the endpoint list, the policy, the runtime,
// and what its allocator cannot use.
const (
	bodyMemoryDivisor             = 12 // for requests and for responses each
	headMemoryDivisor             = 16
	clientConnectionMemoryDivisor = 4
	serverConnectionMemoryDivisor = 8
)

// What a connection takes with its goroutines and buffers, in bytes.
const (
	clientConnectionMemory = 20 << 10 // with a request whose head has the usual size
	serverConnectionMemory = 10 << 10
)

// What a head takes, in bytes, from its arrival until the response has been written: its text, the parsed headers, the
// copy of them that is forwarded, and the encoded form of that.
const (
	headMemoryPerByte = 3
	headMemoryPerLine = 400
	usualHeadMemory   = 8 << 10 // part of clientConnectionMemory

	// maxHeadMemory is what the longest head takes: nearly each of its bytes may be a line.
	maxHeadMemory = 2 * inbound.MaxHead * (headMemoryPerByte + headMemoryPerLine)
)

// headMemory returns what a head takes beyond a usual one.
func headMemory(size, lines int) int {
	return max(0, size*headMemoryPerByte+lines*headMemoryPerLine-usualHeadMemory)
}

// memoryBudget limits the memory for one purpose. A reservation never blocks: a body for which no memory is available
// is streamed, a request with a long head is rejected. The budget is safe for concurrent use.
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

// growTo increases the reservation to size bytes. It returns false, and changes nothing, if the budget has too little.
func (r *memoryReservation) growTo(size int) bool {
	if size <= r.size {
		return true
	}
	more := r.budget.reserve(size - r.size)
	if more == nil {
		return false
	}
	r.size = size
	return true
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

// buffers holds the budgets and buffer sizes for the configured limits.
type buffers struct {
	heads               *memoryBudget
	requests, responses *memoryBudget // for bodies
	chunkSize           int           // buffer size of a streamed body, for each connection and direction
}

// newBuffers divides the memory limit among the buffers; 0 means that no limit is set.
func newBuffers(memoryMB, connections int) buffers {
	memory := memoryBytes(memoryMB)
	bodyMemory := memory / bodyMemoryDivisor
	return buffers{
		heads:     newMemoryBudget(memory / headMemoryDivisor),
		requests:  newMemoryBudget(bodyMemory),
		responses: newMemoryBudget(bodyMemory),
		chunkSize: min(max(bodyMemory/(2*connections), minChunkSize), maxChunkSize),
	}
}

// rescale adapts the budgets to a changed number of processes that share the memory limit in equal parts.
func (b buffers) rescale(oldProcesses, newProcesses int) {
	for _, budget := range []*memoryBudget{b.heads, b.requests, b.responses} {
		budget.rescale(oldProcesses, newProcesses)
	}
}

// memoryBytes returns a memory limit in bytes, or the default if none is set.
func memoryBytes(memoryMB int) int {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20
}
