// When a client's time for a request whose body is still arriving has begun.

package node

import (
	"sync"
	"time"
)

// maxClientSendBuffer is the number of bytes that a client may have written without the node having received any of
// them: they wait in the send buffer of the client's kernel.
const maxClientSendBuffer = 4 << 20

// bodyClock estimates when a client has written the last byte of a request. The client's time counts from then, and not
// from the moment when the node passes that byte on: a server that reads slowly keeps the node from reading, while all
// of the body may have been written long ago. It is safe for concurrent use.
type bodyClock struct {
	mu        sync.Mutex
	notBefore time.Time // the last byte was not written before this
	read      int64     // bytes that have been read from the connection

	// At checkedAt, the client cannot have written more than checkedBytes and maxClientSendBuffer.
	checkedAt    time.Time
	checkedBytes int64
}

// start begins with a new request, whose head has been read.
func (c *bodyClock) start(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notBefore = now
	c.checkedAt = now
	c.checkedBytes = c.read
}

// recordRead records that n bytes were read. If the read had to wait for them, the client had not written them before.
func (c *bodyClock) recordRead(n int, waited bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += int64(n)
	if waited && n > 0 {
		c.notBefore = now
	}
}

// earliestEnd returns the earliest time at which the client may have written the last byte of its request. The
// arguments are the bytes that the kernel holds, and those of the body that have not been read; -1 if that is unknown.
func (c *bodyClock) earliestEnd(now time.Time, unread int, missing int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived := c.read + int64(unread)
	if arrived > c.checkedBytes+maxClientSendBuffer { // some of these bytes were written after checkedAt
		c.notBefore = later(c.notBefore, c.checkedAt)
		c.checkedAt = now
		c.checkedBytes = arrived
	}
	if missing-int64(unread) > maxClientSendBuffer { // they are not all written yet
		c.notBefore = now
	}
	return c.notBefore
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
