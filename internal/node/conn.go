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
	"time"
)

// conn is a connection to a server. Its own goroutine always reads, also while it is idle, so a
// close by the server is seen before the next use.
type conn struct {
	net.Conn
	pool    *pool
	target  *target
	in      *io.LimitedReader // what an answer may still take: net/http sets no bound to an answer's header
	br      *bufio.Reader
	replies chan reply

	// guarded by pool.mu
	place    *list.Element // in pool.idle; nil: in use
	deadline time.Time     // of what it now waits for; zero: none
	dead     bool
	gone     chan struct{} // closed when it is dead
}

// reply is what came back on a connection.
type reply struct {
	resp *http.Response
	body []byte
	held *lease    // for body
	rest *download // what comes after body; nil: nothing
	err  error

	early bool // the server had not seen the whole request: the connection is out of step
}

func (r reply) drop() { answer{held: r.held, rest: r.rest}.drop() }

// read hands every answer to the attempt that waits for it and ends with the connection. An idle
// connection that is closed, gets bytes nobody asked for or is idle for long is dropped.
func (c *conn) read() {
	for {
		c.in.N = maxHeader
		_, err := c.br.Peek(1)
		c.pool.mu.Lock()
		idle := c.place != nil
		if !idle && errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
			c.pool.mu.Unlock() // the idle time ran out just as an attempt took the connection
			continue
		}
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
		c.replies <- r
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
		room := int(min(uint64(resp.ContentLength), maxBody)) // all of it, if the length is not known
		held := c.pool.buffers.answers.take(room)
		if resp.ContentLength > maxBody || held == nil {
			held.shrink(0)
			return reply{resp: resp, rest: d}
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		held.shrink(len(body))
		if err != nil {
			held.shrink(0)
			return reply{err: err}
		}
		if len(body) < maxBody || resp.ContentLength == maxBody {
			d.check()
			return reply{resp: resp, body: body, held: held}
		}
		return reply{resp: resp, body: body, held: held, rest: d}
	}
}

// check sees to it that bytes that nobody asked for do not pass as the answer to the next request.
func (d *download) check() {
	d.resp.Close = d.resp.Close || d.conn.br.Buffered() > 0
}
