// Connections to servers: one reader each, also while idle.

package node

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to a server. Its own goroutine always reads, also while it is idle, so a
// close by the server is seen early; claim makes sure of it before the next use.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	pool    *pool
	target  *endpoint
	in      *io.LimitedReader // what an answer may still take: net/http sets no bound to an answer's header
	br      *bufio.Reader
	replies chan reply

	step  sync.Mutex // held over each read of the system and the note of what it gave
	asked bool       // a request is on it: what comes is its answer
	stray bool       // something came while none was

	// guarded by pool.mu
	place    *list.Element // in pool.idle; nil: in use
	parked   time.Time     // when it was last put there
	deadline time.Time     // of what it now waits for; zero: none
	dead     bool
	gone     chan struct{} // closed when it is dead
}

// reply is what came back on a connection.
type reply struct {
	resp *http.Response
	body []byte
	held *memoryReservation    // for body
	rest *download // what comes after body; nil: nothing
	err  error

	early bool // the server had not seen the whole request: the connection is out of step
}

func (r reply) drop() { response{bodyMemory: r.held, bodyStream: r.rest}.discard() }

// Read reads for the parser of answers, and notes in one step with the system's read whether a request was on the
// connection: what came before it is no answer to it.
func (c *conn) Read(b []byte) (n int, err error) {
	wait := c.raw.Read(func(fd uintptr) bool {
		c.step.Lock()
		defer c.step.Unlock()
		for {
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		c.stray = c.stray || n > 0 && !c.asked
		return err != syscall.EAGAIN
	})
	switch n = max(n, 0); {
	case wait != nil:
		return 0, wait
	case err != nil:
		return n, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// claim takes a connection for a request that is about to be written. It fails if anything has come since the last
// answer: bytes that nobody asked for, the end, or a reset, be it that the reader has them, has just been given them,
// or that they lie in the system.
func (c *conn) claim() bool {
	c.step.Lock()
	defer c.step.Unlock()
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.asked = err == syscall.EAGAIN && !c.stray
	})
	return err == nil && c.asked
}

// rest ends the time in which what comes is an answer: it is whole, or nothing was asked.
func (c *conn) rest() {
	c.step.Lock()
	defer c.step.Unlock()
	c.asked = false
}

// read hands every answer to the attempt that waits for it and ends with the connection. An idle
// connection that is closed, gets bytes nobody asked for or is idle for long is dropped.
func (c *conn) read() {
	for {
		c.in.N = maxResponseHead
		_, err := c.br.Peek(1)
		c.pool.mu.Lock()
		idle := c.place != nil
		if !idle && errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
			c.pool.mu.Unlock() // the idle time ran out just as an attempt took the connection
			continue
		}
		// Bytes that came while it was idle are not the answer to the request that took it since.
		idle = idle || err == nil && c.strays()
		if idle || err != nil {
			c.pool.closeLocked(c)
		}
		c.pool.mu.Unlock()
		if idle {
			return
		}
		var r reply
		if r.err = err; err == nil {
			r = c.answer()
			if r.err != nil {
				c.pool.close(c)
			}
		}
		select {
		case c.replies <- r:
		default: // the attempt has not taken the one before yet, or could not write: nobody waits for another
			r.drop()
			c.pool.close(c)
			return
		}
		if r.rest != nil {
			select {
			case <-r.rest.over:
			case <-c.gone:
			}
		}
		if r.err != nil || r.resp.Close || r.rest != nil && r.rest.err != nil {
			return
		}
	}
}

// answer reads an answer: whole if it is short and there is room, else up to what is to be passed on.
func (c *conn) answer() reply {
	for {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return reply{err: err}
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.in.N = math.MaxInt64
		d := &download{conn: c, resp: resp, over: make(chan struct{})}
		room := int(min(uint64(resp.ContentLength), maxBufferedBody)) // all of it, if the length is not known
		held := c.pool.buffers.responses.reserve(room)
		if resp.ContentLength > maxBufferedBody || held == nil {
			held.shrink(0)
			return reply{resp: resp, rest: d}
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
		held.shrink(len(body))
		if err != nil {
			held.shrink(0)
			return reply{err: err}
		}
		if len(body) < maxBufferedBody || resp.ContentLength == maxBufferedBody {
			d.check()
			c.rest()
			return reply{resp: resp, body: body, held: held}
		}
		return reply{resp: resp, body: body, held: held, rest: d}
	}
}

// check sees to it that bytes that nobody asked for do not pass as the answer to the next request.
func (d *download) check() {
	d.resp.Close = d.resp.Close || d.conn.br.Buffered() > 0
}

// strays says that bytes came while no request was on it.
func (c *conn) strays() bool {
	c.step.Lock()
	defer c.step.Unlock()
	return c.stray
}
