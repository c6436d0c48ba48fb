// Bodies of responses of unknown length: chunked ones, and ones that end with their connection.

package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxHoldTime is how long the first bytes of a body are held back in the hope that the body ends soon. The client has
// to get the bytes of a long response less than 2 s after they have arrived.
const maxHoldTime = time.Second

// holdShare is the share of the time left to the attempt for which the first bytes are held back at most, so that they
// reach the client in time.
const holdShare = 0.75

// A server is taken to be still sending for pauseTolerance times its longest pause within the body, and for minPause at
// least.
const (
	pauseTolerance = 2
	minPause       = 400 * time.Millisecond // below the 0.5 s after its deadline in which a client still takes an answer
)

// minArrived is a number of buffered bytes that include bytes of the body: the framing between two chunks is shorter,
// unless its server adds long extensions.
const minArrived = 64

// bodyReader reads the body of a response of unknown length into a buffer of limited size, in its own goroutine, so
// that the bytes that have arrived can be forwarded while the reader waits for the next ones. A read with a deadline
// would not do: after a timeout, net/http cannot continue to read a chunked body.
type bodyReader struct {
	conn    *serverConn
	body    io.Reader
	chunked bool

	begun   chan struct{} // closed when the first bytes have arrived, or the body has ended
	settled chan struct{} // closed when the body has ended, or is longer than the buffer

	// Used by run only.
	piece        []byte        // bytes read from the body and not added to the buffer yet
	bytesRead    int           // length of the body so far, without piece
	longestPause time.Duration // longest wait for bytes after the first ones

	mu      sync.Mutex
	changed *sync.Cond // signaled when one of the following fields changes
	buffer  []byte     // bytes that have arrived and that Read has not returned yet
	limit   int        // maximum length of buffer
	err     error      // why nothing follows after buffer; io.EOF: the body is complete
	stopped bool       // no further bytes are wanted
}

func newBodyReader(c *serverConn, response *http.Response, limit int) *bodyReader {
	r := &bodyReader{
		conn:    c,
		body:    response.Body,
		begun:   make(chan struct{}),
		settled: make(chan struct{}),
		limit:   limit,
	}
	if len(response.TransferEncoding) > 0 {
		r.chunked = true
		r.body = newChunkedBody(c)
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// run reads the body until it ends, its connection fails or stop is called.
func (r *bodyReader) run() {
	r.conn.limitedInput.R = bodyInput{r}
	r.piece = make([]byte, 0, min(serverReadBuffer, r.limit))
	for {
		err := r.fillPiece()
		if err != nil {
			r.conn.limitedInput.R = r.conn
		}
		if more := r.addPiece(err); !more {
			return
		}
	}
}

// fillPiece reads until the piece is full. A read that waits for the server adds the piece to the buffer first.
func (r *bodyReader) fillPiece() (err error) {
	for err == nil && len(r.piece) < cap(r.piece) {
		free := r.piece[len(r.piece):cap(r.piece)]
		var n int
		n, err = r.body.Read(free[:r.readSize(len(free))])
		r.piece = append(r.piece, free[:n]...) // moves the bytes if the piece has been emptied meanwhile
	}
	return err
}

// readSize returns how many bytes to ask for in the next read, limit at most. A read of a chunked body waits until it
// has filled its buffer or reached the end of a chunk, and holds back the bytes that it has copied until then. So it is
// asked for bytes that have certainly arrived, or for a single one.
func (r *bodyReader) readSize(limit int) int {
	if !r.chunked {
		return limit
	}
	return min(limit, max(1, r.arrived()))
}

// arrived returns a number of bytes that have arrived and belong to one chunk, or less than 1 if it cannot tell. These
// are the bytes before the end of a line, except for a carriage return. Few bytes without the end of a line, and those
// before the first byte of the body, may be framing.
func (r *bodyReader) arrived() int {
	buffered, _ := r.conn.reader.Peek(r.conn.reader.Buffered()) // cannot fail: these bytes are buffered
	lineEnd := bytes.IndexByte(buffered, '\n')
	switch {
	case r.bytesRead+len(r.piece) == 0:
		return 0
	case lineEnd >= 0:
		return lineEnd - 1
	case len(buffered) < minArrived:
		return 0
	}
	return len(buffered)
}

// bodyInput is the connection of a bodyReader as the response parser reads it. The deadline of the attempt limits only
// the wait for the first bytes of the body; after them each wait has its own deadline.
type bodyInput struct{ *bodyReader }

// Read implements io.Reader.
func (i bodyInput) Read(b []byte) (int, error) {
	if more := i.addPiece(nil); !more {
		return 0, errResponseUnwanted
	}
	if i.bytesRead == 0 {
		return i.conn.Read(b)
	}
	began := time.Now()
	// The error is ignored: the call fails only on a closed connection, where the read fails too.
	_ = i.conn.SetReadDeadline(i.nextDeadline(began))
	n, err := i.conn.Read(b)
	i.longestPause = max(i.longestPause, time.Since(began))
	return n, err
}

// nextDeadline returns the time until which the reader waits for the next bytes. A server that stops sending within a
// body that may be a short one must not keep the client waiting: it has until the client's deadline, or longer if its
// pauses show that it is still sending.
func (r *bodyReader) nextDeadline(now time.Time) time.Time {
	silent := now.Add(r.conn.pool.streamTimeout)
	clientDeadline := r.conn.pool.clientDeadlineOf(r.conn)
	if r.bytesRead > maxBufferedBody || clientDeadline.IsZero() {
		return silent
	}
	stalled := now.Add(max(pauseTolerance*r.longestPause, minPause))
	if stalled.Before(clientDeadline) {
		stalled = clientDeadline
	}
	return earlier(silent, stalled)
}

// addPiece moves the piece to the buffer, and waits while the buffer has no room for it. err is why no bytes follow, or
// nil. addPiece reports whether more are to be read.
func (r *bodyReader) addPiece(err error) (more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.piece) > 0 || err != nil {
		closeOnce(r.begun)
	}
	for len(r.buffer) > 0 && len(r.buffer)+len(r.piece) > r.limit && !r.stopped {
		closeOnce(r.settled)
		r.changed.Wait()
	}
	r.grow(len(r.piece))
	r.buffer = append(r.buffer, r.piece...)
	r.bytesRead += len(r.piece)
	r.piece = r.piece[:0]
	r.err = err
	if err != nil {
		closeOnce(r.settled)
	}
	r.changed.Broadcast()
	return err == nil && !r.stopped
}

// grow makes room for more bytes in the buffer, and for no more than its limit unless they need it. The caller holds
// the lock.
func (r *bodyReader) grow(more int) {
	needed := len(r.buffer) + more
	if needed <= cap(r.buffer) {
		return
	}
	grown := make([]byte, len(r.buffer), max(needed, min(2*needed, r.limit)))
	copy(grown, r.buffer)
	r.buffer = grown
}

// closeOnce closes a channel that one goroutine closes, if it is open.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// collect waits for the end of the body, and reports whether it has ended. It gives up when the body is longer than the
// buffer, or when its first bytes have been held back for long enough: a server that has begun to send may still be
// sending.
func (r *bodyReader) collect(attemptDeadline time.Time) (ended bool) {
	<-r.begun
	hold := maxHoldTime
	if !attemptDeadline.IsZero() {
		hold = min(hold, time.Duration(holdShare*float64(time.Until(attemptDeadline))))
	}
	expired := time.NewTimer(hold)
	defer expired.Stop()
	select {
	case <-r.settled:
	case <-expired.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil
}

// collected returns the body after collect has reported its end. The error is nil if the body is complete.
func (r *bodyReader) collected() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, io.EOF) {
		return r.buffer, nil
	}
	return r.buffer, r.err
}

// Read implements io.Reader. It waits until bytes have arrived, the body has ended or stop is called.
func (r *bodyReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buffer) == 0 && r.err == nil && !r.stopped {
		r.changed.Wait()
	}
	switch {
	case r.stopped:
		return 0, errResponseUnwanted
	case len(r.buffer) == 0:
		return 0, r.err
	}
	n := copy(b, r.buffer)
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[n:])]
	r.changed.Broadcast()
	return n, nil
}

// stop makes run end without waiting for room in the buffer, and Read fail.
func (r *bodyReader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.changed.Broadcast()
}
