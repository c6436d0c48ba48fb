// How responses are written to a client, which may read slowly.

package node

import (
	"errors"
	"os"
	"time"
)

const (
	// responseWriteTimeout limits the time in which a client reads nothing of a response.
	responseWriteTimeout = 5 * time.Second
	// minReadRate is the rate in bytes per second at which a client has to read a response in the mean.
	minReadRate = 1e3
	// writeCheckInterval is the interval between checks whether a client goes on reading.
	writeCheckInterval = 500 * time.Millisecond
)

// Write is called by the HTTP server. It goes on as long as the client reads: a full socket becomes writable again only
// when a large part of its buffer is free, which takes a client that reads slowly, but steadily, longer than
// responseWriteTimeout.
func (c *clientConn) Write(b []byte) (written int, err error) {
	progress := writeProgress{began: time.Now()}
	for {
		deadline, fromServer := c.nextWriteDeadline(time.Now())
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if err == nil || fromServer || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if progress.stalled(unacknowledgedBytes(c.Conn), n, time.Now()) {
			return written, err
		}
	}
}

// SetWriteDeadline is called by the HTTP server. Each write has a timeout of its own besides.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// nextWriteDeadline returns when the next attempt to write ends, and whether that is the HTTP server's own deadline.
func (c *clientConn) nextWriteDeadline(now time.Time) (deadline time.Time, fromServer bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	check := now.Add(writeCheckInterval)
	if c.writeDeadline.IsZero() || check.Before(c.writeDeadline) {
		return check, false
	}
	return c.writeDeadline, true
}

// writeProgress judges by the bytes that a client has acknowledged whether it goes on reading during a write.
type writeProgress struct {
	began   time.Time
	last    time.Time // when the client was last known to have acknowledged bytes; zero before the first check
	pending int       // bytes that it had not acknowledged at the last check
	read    int       // bytes that it has acknowledged since the first check
}

// stalled reports whether the client has read nothing for responseWriteTimeout, or less than minReadRate in the mean.
// The arguments are the bytes that are not acknowledged now and those that have been added to them since the last call.
func (p *writeProgress) stalled(pending, added int, now time.Time) bool {
	acknowledged := p.pending + added - pending
	if p.last.IsZero() || acknowledged > 0 {
		p.last = now
		p.read += max(0, acknowledged)
	}
	p.pending = pending
	readTime := time.Duration(float64(p.read) / minReadRate * float64(time.Second))
	return now.Sub(p.last) >= responseWriteTimeout || now.Sub(p.began) >= responseWriteTimeout+readTime
}
