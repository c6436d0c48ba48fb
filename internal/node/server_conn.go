// Connections to servers. Each has a goroutine that reads from it, also while it is idle.

package node

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const serverReadBuffer = 4 << 10

// serverConn is a connection to a server. Its goroutine, which runs readResponses, reads continuously, so that a close
// by the server is detected early. Before each further request, claimForReuse checks again that the connection is open
// and that no unexpected bytes have arrived.
type serverConn struct {
	net.Conn
	raw          syscall.RawConn
	pool         *pool
	endpoint     *endpoint
	limitedInput *io.LimitedReader // limits the head of a response, which http.ReadResponse does not
	reader       *bufio.Reader
	replies      chan reply    // from readResponses to the attempt; has room for one
	done         chan struct{} // closed when state becomes serverConnClosed

	readMu         sync.Mutex // held during each read of the socket, until its result is recorded
	exchange       exchangeState
	requestEndedAt time.Time // when the last request on the connection ended; guarded by readMu

	// Guarded by pool.mu.
	state       serverConnState
	idleElement *list.Element // in pool.idle; nil if the connection is not idle
	idleSince   time.Time
	deadline    time.Time // of the current wait; zero if there is none

	// clientDeadline is the time at which the client of the current request stops waiting. It is zero while a streamed
	// request is written, because the budget of such a request starts with its last byte.
	clientDeadline time.Time
}

// newServerConn wraps a new connection. It is in use from the start, by the attempt that it was made for.
func newServerConn(connected net.Conn, p *pool, e *endpoint, deadline time.Time) (*serverConn, error) {
	raw, err := connected.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("socket of a connection to endpoint %s: %w", e.id, err)
	}
	c := &serverConn{
		Conn:     connected,
		raw:      raw,
		pool:     p,
		endpoint: e,
		replies:  make(chan reply, 1),
		done:     make(chan struct{}),
		exchange: exchangeAwaiting,
		state:    serverConnBusy,
		deadline: deadline,
	}
	c.limitedInput = &io.LimitedReader{R: c}
	c.reader = bufio.NewReaderSize(c.limitedInput, serverReadBuffer)
	return c, nil
}

// Read implements io.Reader for the response parser. While it holds readMu, it reads the socket and records whether a
// request was on the connection at that moment, because bytes that arrived before a request are not its response.
func (c *serverConn) Read(b []byte) (int, error) {
	var n int
	var readErr error
	waitErr := c.raw.Read(func(fd uintptr) (ready bool) {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		n, readErr = readUninterrupted(int(fd), b)
		if n > 0 {
			c.receive(b[:n])
		}
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	n = max(n, 0)
	switch {
	case waitErr != nil:
		return 0, waitErr
	case readErr != nil:
		return n, os.NewSyscallError("read", readErr)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive records that bytes were read. They are unexpected if no request is on the connection. The caller holds
// readMu.
func (c *serverConn) receive(received []byte) {
	next := c.exchange.transition(bytesReceived)
	if next == exchangeUnexpected && c.exchange != next {
		c.recordUnexpected(received)
	}
	c.exchange = next
}

// readUninterrupted calls read(2), and repeats the call if a signal interrupts it.
func readUninterrupted(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// claimForReuse prepares an idle connection for a request that is about to be written, and reports whether the
// connection can be used. It cannot if unexpected bytes, the end of the stream or a reset have arrived since the last
// response, whether they have been read already or are still in the socket's receive buffer.
func (c *serverConn) claimForReuse() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	err := c.raw.Control(func(fd uintptr) {
		event := requestEnded
		var received [statusOffset + len(statusTimeout)]byte
		n, _, err := syscall.Recvfrom(int(fd), received[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) { // nothing has arrived
			event = requestStarted
		}
		if n > 0 {
			c.recordUnexpected(received[:n])
		}
		c.exchange = c.exchange.transition(event)
	})
	return err == nil && c.exchange == exchangeAwaiting
}

// endRequest records that bytes received from now on are not part of a response: the response is complete, or no
// request was written.
func (c *serverConn) endRequest() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.exchange == exchangeAwaiting {
		c.requestEndedAt = time.Now()
	}
	c.exchange = c.exchange.transition(requestEnded)
}

// hasUnexpectedBytes reports whether bytes arrived while no request was on the connection.
func (c *serverConn) hasUnexpectedBytes() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.exchange == exchangeUnexpected
}

// wakeup says why a wait of readResponses for bytes ended.
type wakeup int

const (
	wakeupReply     wakeup = iota // a response arrived, or an attempt's wait for one failed
	wakeupIdleEnded               // the connection was idle and has been closed
	wakeupSpurious                // the idle deadline expired just as an attempt acquired the connection
)

// readResponses passes each response to the attempt that waits for it, and returns when the connection has ended. It
// closes an idle connection if the server has closed it, if unexpected bytes have arrived on it, or if it has been idle
// for too long.
func (c *serverConn) readResponses() {
	for {
		c.limitedInput.N = maxResponseHead
		_, err := c.reader.Peek(1)
		switch c.classifyWakeup(err) {
		case wakeupSpurious:
			continue
		case wakeupIdleEnded:
			return
		}
		received := reply{err: err}
		if err == nil {
			received = c.readResponse()
		}
		if received.err != nil {
			c.pool.close(c)
		}
		if !c.passToAttempt(received) {
			return
		}
		if received.err != nil || received.httpResponse.Close || received.streamFailed() {
			return
		}
	}
}

// classifyWakeup returns why a wait for bytes ended; err is the error of that wait. It closes a connection that can no
// longer be used.
func (c *serverConn) classifyWakeup(err error) wakeup {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	idle := c.state == serverConnIdle
	if !idle && errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
		return wakeupSpurious
	}
	// Bytes that arrived while the connection was idle are not the response to the request of the attempt that has
	// acquired it since.
	idle = idle || err == nil && c.hasUnexpectedBytes()
	if idle || err != nil {
		c.transition(serverConnDropped)
	}
	if idle {
		return wakeupIdleEnded
	}
	return wakeupReply
}

// passToAttempt passes a reply to the attempt and waits until a streamed response has been forwarded. It returns false
// if the connection has been closed meanwhile. If the previous reply has not been taken, for example because the
// attempt could not write its request, no attempt waits for this one: passToAttempt closes the connection and returns
// false.
func (c *serverConn) passToAttempt(received reply) bool {
	select {
	case c.replies <- received:
	default:
		received.discard()
		c.pool.close(c)
		return false
	}
	if received.bodyStream != nil {
		select {
		case <-received.bodyStream.done:
		case <-c.done: // the connection is still being read, by whoever forwards the response
			return false
		}
	}
	return true
}
