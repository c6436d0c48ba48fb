// Connections to servers, each with a reader that also runs while the connection is idle.

package node

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const serverReadBuffer = 4 << 10

// serverConn is a connection to a server. A goroutine of its own, readResponses, reads all the time, so that a close
// by the server is noticed early; claimForReuse makes sure of it before the next request.
type serverConn struct {
	net.Conn
	raw          syscall.RawConn
	pool         *pool
	endpoint     *endpoint
	limitedInput *io.LimitedReader // bounds the head of a response, for which net/http has no limit
	reader       *bufio.Reader
	replies      chan reply    // from readResponses, its owner, to the attempt; holds one
	done         chan struct{} // closed as the state becomes serverConnClosed

	readMu     sync.Mutex // held over each read of the socket and the record of what it gave
	exchange   exchangeState
	quietSince time.Time // the last request on the connection ended; guarded by readMu

	// Guarded by pool.mu.
	state       serverConnState
	idleElement *list.Element // in pool.idle; nil: not idle
	idleSince   time.Time
	deadline    time.Time // of the present wait; zero: none
}

// newServerConn wraps a new connection for the attempt that it was made for.
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

// reply is the message of what came back on a connection, from its reader to the attempt.
type reply struct {
	httpResponse *http.Response
	body         []byte
	bodyMemory   *memoryReservation // for body
	bodyStream   *responseStream    // what follows body; nil: nothing
	err          error

	early bool // the server had not read the whole request: the connection cannot be used again
}

// discard releases what belongs to a reply that no attempt takes.
func (r reply) discard() { response{bodyMemory: r.bodyMemory, bodyStream: r.bodyStream}.discard() }

// streamFailed reports whether the response was streamed and not forwarded completely.
func (r reply) streamFailed() bool { return r.bodyStream != nil && r.bodyStream.err != nil }

// Read implements io.Reader for the parser of responses. It records, in one step with the read of the socket, whether
// a request was on the connection: bytes that came before it are not its response.
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

// receive records bytes that were read: without a request they are unexpected. The caller holds readMu.
func (c *serverConn) receive(received []byte) {
	next := c.exchange.transition(bytesReceived)
	if next == exchangeUnexpected && c.exchange != next {
		c.recordUnexpected(received)
	}
	c.exchange = next
}

// readUninterrupted is read(2), repeated when a signal interrupts it.
func readUninterrupted(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// claimForReuse prepares an idle connection for a request that is about to be written. It fails if anything has come
// since the last response: unexpected bytes, the end or a reset, whether the reader has them or the system.
func (c *serverConn) claimForReuse() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	err := c.raw.Control(func(fd uintptr) {
		event := requestEnded
		var received [statusOffset + len(statusTimeout)]byte
		n, _, err := syscall.Recvfrom(int(fd), received[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) { // nothing has come
			event = requestStarted
		}
		if n > 0 {
			c.recordUnexpected(received[:n])
		}
		c.exchange = c.exchange.transition(event)
	})
	return err == nil && c.exchange == exchangeAwaiting
}

// endRequest ends the time in which received bytes are a response: it is complete, or no request was written.
func (c *serverConn) endRequest() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.exchange == exchangeAwaiting {
		c.quietSince = time.Now()
	}
	c.exchange = c.exchange.transition(requestEnded)
}

// hasUnexpectedBytes reports whether bytes came while no request was on the connection.
func (c *serverConn) hasUnexpectedBytes() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.exchange == exchangeUnexpected
}

// wakeup is what the end of a wait for bytes means.
type wakeup int

const (
	wakeupReply     wakeup = iota // a response, or the failure of the attempt's wait for one
	wakeupIdleEnded               // the connection was idle, and is closed
	wakeupStale                   // the idle time ran out just as an attempt acquired the connection
)

// readResponses hands each response to the attempt that waits for it. It ends with the connection, which it closes if
// that is idle and is closed by the server, gets unexpected bytes, or has been idle for too long.
func (c *serverConn) readResponses() {
	for {
		c.limitedInput.N = maxResponseHead
		_, err := c.reader.Peek(1)
		switch c.classifyWakeup(err) {
		case wakeupStale:
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

// classifyWakeup tells what the end of a wait with this error means, and closes a connection that cannot be used.
func (c *serverConn) classifyWakeup(err error) wakeup {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	idle := c.state == serverConnIdle
	if !idle && errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || time.Now().Before(c.deadline)) {
		return wakeupStale
	}
	// Bytes that came while the connection was idle are not the response to the request that acquired it since.
	idle = idle || err == nil && c.hasUnexpectedBytes()
	if idle || err != nil {
		c.transition(serverConnDropped)
	}
	if idle {
		return wakeupIdleEnded
	}
	return wakeupReply
}

// passToAttempt gives a reply to the attempt and waits until a streamed response has been forwarded. It fails if the
// attempt has not taken the reply before, or could not write: no attempt waits for another.
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
		case <-c.done:
		}
	}
	return true
}

// readResponse reads a response: completely if it is short and memory is available, otherwise up to what is to be
// streamed.
func (c *serverConn) readResponse() reply {
	httpResponse, err := c.readFinalHead()
	if err != nil {
		return reply{err: err}
	}
	c.limitedInput.N = math.MaxInt64
	stream := &responseStream{conn: c, response: httpResponse, done: make(chan struct{})}
	// The maximum, if the length is not known: -1 is then the greatest unsigned number.
	size := int(min(uint64(httpResponse.ContentLength), maxBufferedBody))
	memory := c.pool.buffers.responses.reserve(size)
	if httpResponse.ContentLength > maxBufferedBody || memory == nil {
		memory.release()
		return reply{httpResponse: httpResponse, bodyStream: stream}
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBody))
	memory.shrinkTo(len(body))
	if err != nil {
		memory.release()
		return reply{err: fmt.Errorf("body of the response of endpoint %s: %w", c.endpoint.id, err)}
	}
	if len(body) < maxBufferedBody || httpResponse.ContentLength == maxBufferedBody {
		stream.closeIfBytesFollow()
		c.endRequest()
		return reply{httpResponse: httpResponse, body: body, bodyMemory: memory}
	}
	return reply{httpResponse: httpResponse, body: body, bodyMemory: memory, bodyStream: stream}
}

// readFinalHead reads the head of a response and skips interim ones.
func (c *serverConn) readFinalHead() (*http.Response, error) {
	for {
		httpResponse, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, fmt.Errorf("head of the response of endpoint %s: %w", c.endpoint.id, err)
		}
		interim := httpResponse.StatusCode < 200 && httpResponse.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			return httpResponse, nil
		}
	}
}
