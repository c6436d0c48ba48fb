// A client's connection as the HTTP server has it: what it reads, whether its client is still there, and how it ends.

package node

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"keelusher/policy/guard"

	"golang.org/x/sys/unix"
)

const (
	lingerTime = 250 * time.Millisecond // for a client to end its side of a connection that we close over its bytes
	lingerMost = 256 << 10              // so many of which are read
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// clientConn gives its place back when it is closed.
type clientConn struct {
	net.Conn
	of *limitedListener

	born time.Time
	seen head // of the request that is coming in

	// guarded by of.mu
	in     *list.List
	place  *list.Element // there; nil: a request is in work
	kept   bool          // it had a request before
	freeAt time.Time     // when it became free for the next; at first a time long ago
	since  time.Time     // when it was put there
	closed bool
	silent bool      // its reader ends it with nothing to say
	ending bool      // its reader is to end it if nothing has come
	due    time.Time // until when the HTTP server waits for the next bytes; zero: for good
}

// Close is the HTTP server's. A close over unread bytes, such as the next request's, resets the connection, and what
// is still on its way of an answer goes with it: these are read first, and the client is told that no more comes. Where
// no answer is on its way the reset is right: what was not read its client sends again, what was read would be lost.
func (c *clientConn) Close() error {
	if !c.leaves() && c.unread() && !c.of.cut.Load() {
		c.Conn.(interface{ CloseWrite() error }).CloseWrite()
		c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(c.Conn, lingerMost)) // ends with the client's close, as a rule
	}
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.closeLocked()
}

// leaves takes a connection that is about to be closed out of the lists, and says whether it has nothing to say.
func (c *clientConn) leaves() (silent bool) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.in == c.of.waiting && c.place != nil && c.seen.half() {
		c.of.stats.update(func(c *counters) { c.incompleteHeads++ })
	}
	c.unplace()
	return c.silent
}

// closeLocked closes under the lock: no new connection may take the place while the descriptor is still held.
func (c *clientConn) closeLocked() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.of.taken--
	c.of.freed.Signal()
	return c.Conn.Close()
}

// restedFor is how long the connection has been without a request at most: a client sends its next one when it has the
// answer to the one before.
func (c *clientConn) restedFor() time.Duration {
	if c == nil {
		return maxBudget
	}
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return time.Since(c.freeAt)
}

// SetReadDeadline is the HTTP server's. That closeWaiting or makeRoom wants a read to end at once does not show in it.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.due = t
	if c.of.evicted == c {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads for the HTTP server, and makes sure that no resting connection ends over a request.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var again bool
			if n, err, again = c.expired(b, err); again {
				continue
			}
		}
		c.seen.add(b[:n])
		return n, err
	}
}

// readAhead is how many bytes net/http asks for while a request is in work, to notice that its client leaves. It does so
// once the whole request was read, and at no other time.
const readAhead = 1

// expired is what a read gives whose time is over. Go looks at the time before it looks at the system, so that bytes may
// lie there: a connection without a whole request is only ended if there are none.
func (c *clientConn) expired(b []byte, why error) (n int, err error, again bool) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	begun := c.seen.begun()
	rests := c.in == c.of.waiting && c.place != nil && !begun
	evicted := c.of.evicted == c
	over := !c.due.IsZero() && !time.Now().Before(c.due)
	if c.closed {
		return 0, net.ErrClosed, false
	}
	whole := len(b) == readAhead
	if whole {
		c.unplace() // it makes room for nobody
	}
	if !over && !(evicted && !whole) && !(rests && c.ending) { // a request has begun since closeWaiting
		c.Conn.SetReadDeadline(c.due)
		return 0, nil, true
	}
	if c.place != nil {
		n = c.look(b)
	}
	switch (guard.Close{RequestRead: whole || c.place == nil, BytesUnread: n > 0}).Verdict() {
	case guard.RequestRead: // the HTTP server wants this read to end, and the request goes on
		return 0, why, false
	case guard.BytesUnread:
		if rests && !evicted {
			c.due = time.Now().Add(headTime) // for the rest of its head
			c.Conn.SetReadDeadline(c.due)
		}
		return n, nil, false
	}
	if left := headTime - c.seen.age(); c.kept && begun && !evicted && c.in == c.of.waiting && left > 0 {
		c.due = time.Now().Add(left) // its rest is over, the time for its head is not
		c.Conn.SetReadDeadline(c.due)
		return 0, nil, true
	}
	if c.in == c.of.waiting {
		c.silent = true
		c.of.decisions.connectionClosed(c.cause(evicted, rests))
	}
	return 0, why, false
}

// cause says why the reader ends the connection. The caller holds the lock.
func (c *clientConn) cause(evicted, rests bool) closeCause {
	switch {
	case evicted:
		return closeEvicted
	case c.ending:
		return closeShutdown
	case rests && c.kept:
		return closeIdle
	}
	return closeSlowHead
}

// state says whether the client has closed the connection. An end of its sending alone looks the same from here and counts
// as leaving too. Bytes of a body or of a next request that lie before that end hide it from net/http, which
// notices a client's leaving by reading on; so does a process that sleeps or has much to do.
func (c *clientConn) state() guard.ClientState {
	if c == nil {
		return guard.ClientThere
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return guard.ClientThere // a connection that has no descriptor to ask
	}
	said := guard.ClientNotKnown
	err = raw.Control(func(fd uintptr) { said = pollClient(int32(fd)) })
	if err != nil { // closed here
		return guard.ClientGone
	}
	return said
}

const pollTries = 3 // poll(2) may be interrupted, or lack memory for a moment

// pollClient asks the system whether the far side of a connection has ended it.
func pollClient(fd int32) guard.ClientState {
	look := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for range pollTries {
		if _, err := unix.Poll(look, 0); err != nil {
			continue
		}
		if look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			return guard.ClientGone
		}
		return guard.ClientThere
	}
	return guard.ClientNotKnown
}

// unread says that bytes lie in the system.
func (c *clientConn) unread() (any bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		any = err == nil && n > 0
	})
	return any
}

// look reads what the system holds, and waits for nothing.
func (c *clientConn) look(b []byte) (n int) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	return max(n, 0)
}

// put places a connection last in a list.
func (c *clientConn) put(in *list.List) {
	c.in, c.place, c.since = in, in.PushBack(c), time.Now()
}

// unplace takes a connection out of its list. If it was to make room, another one does in its place.
func (c *clientConn) unplace() {
	if c.place != nil {
		c.in.Remove(c.place)
		c.place = nil
	}
	if c.of.evicted == c {
		c.of.evicted = nil
		c.of.freed.Signal()
		if !c.closed {
			c.Conn.SetReadDeadline(c.due)
		}
	}
}
