package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxBody is the limit on the size of a request's body.
	MaxBody = 32 << 20

	minBodyRate = 64e3 // bytes per second

	// maxBodyReadGap is the longest wait for the next bytes of a body after its first ones. It is below 3 s because a
	// client that stops sending must get an error response or a closed connection within 3 s.
	maxBodyReadGap = 2300 * time.Millisecond

	discardBufferSize = 4 << 10
)

// Errors of a body that could not be read to its end.
var (
	ErrBodyTooSlow  = errors.New("the body came too slowly")
	ErrBodyTooLong  = errors.New("the body is too long")
	ErrBodyUnwanted = errors.New("the rest of the body is not needed any more")
)

// pastDeadline is a read deadline in the past; setting it ends a read in progress.
var pastDeadline = time.Unix(1, 0)

// Body is the body of a request. A read fails with ErrBodyTooSlow if the client sends more slowly than minBodyRate,
// 64 kB per second. The other methods may be called during a Read, except for Discard.
type Body struct {
	controller       *http.ResponseController
	body             io.Reader
	firstByteTimeout time.Duration

	mu        sync.Mutex // held during a read
	bytesRead int64
	waitTime  time.Duration // total time of all reads
	err       error         // result of the last read; io.EOF: the body was read completely
	consumed  atomic.Bool
	stopped   atomic.Bool
}

// NewBody returns the body of r, whose response is written to w. The first bytes are due
// firstByteTimeout after the start of the first read.
func NewBody(w http.ResponseWriter, r *http.Request, firstByteTimeout time.Duration) *Body {
	return &Body{
		controller:       http.NewResponseController(w),
		body:             r.Body,
		firstByteTimeout: firstByteTimeout,
	}
}

// Buffer reads up to size bytes and reports whether they are the complete body. The argument length is the
// Content-Length of the body, or -1 if it is unknown. The bytes that Buffer returns do not count as consumed.
func (b *Body) Buffer(size int, length int64) (buffered []byte, complete bool, err error) {
	buffered, err = b.readUpTo(size, length)
	if err != nil {
		return buffered, false, err
	}
	if len(buffered) < size || length == int64(size) {
		_, err = b.Read(make([]byte, 1)) // expects io.EOF
	}
	switch {
	case errors.Is(err, io.EOF):
		return buffered, true, nil
	case err != nil:
		return buffered, false, err
	}
	b.consumed.Store(false)
	return buffered, false, nil
}

// readUpTo reads up to size bytes. If a length is known, it allocates no more than is needed.
func (b *Body) readUpTo(size int, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(b, int64(size)))
	}
	buffered := make([]byte, min(int64(size), length))
	n, err := io.ReadFull(b, buffered)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && b.Failure() == nil { // the body is complete
		err = nil
	}
	return buffered[:n], err
}

// Read implements io.Reader. Each read has the deadline that nextDeadline returns.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped.Load() {
		b.err = ErrBodyUnwanted
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.readNext(p)
	if n > 0 {
		b.consumed.Store(true)
	}
	switch {
	case b.stopped.Load():
		err = ErrBodyUnwanted
	case errors.Is(err, io.EOF): // from now on net/http reads only to detect a disconnect, which has no deadline
		b.setReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrBodyTooSlow
	case b.bytesRead > MaxBody:
		err = ErrBodyTooLong
	}
	b.err = err
	return n, err
}

// readNext reads once, with the deadline for the client's next bytes. The caller holds b.mu, or has stopped the body.
func (b *Body) readNext(p []byte) (int, error) {
	began := time.Now()
	b.setReadDeadline(b.nextDeadline(began))
	n, err := b.body.Read(p)
	b.waitTime += time.Since(began)
	b.bytesRead += int64(n)
	return n, err
}

// setReadDeadline sets the read deadline of the client's connection. The error is ignored: setting the deadline fails
// only on a closed connection, and then the next read fails too.
func (b *Body) setReadDeadline(deadline time.Time) { _ = b.controller.SetReadDeadline(deadline) }

// nextDeadline returns the deadline for the next bytes from a client that sends at minBodyRate; after the first bytes
// it is at most maxBodyReadGap away. Only the time spent in reads is counted, because the node causes the time between
// them.
func (b *Body) nextDeadline(now time.Time) time.Time {
	sendTime := time.Duration(float64(b.bytesRead) / minBodyRate * float64(time.Second))
	left := b.firstByteTimeout + sendTime - b.waitTime
	if b.bytesRead > 0 {
		left = min(left, maxBodyReadGap)
	}
	return now.Add(left)
}

// Stop ends a read in progress, makes later reads fail with ErrBodyUnwanted, and reports whether the body was read
// completely.
func (b *Body) Stop() (complete bool) {
	b.stopped.Store(true)
	if b.mu.TryLock() { // no read is in progress
		defer b.mu.Unlock()
		return errors.Is(b.err, io.EOF)
	}
	b.setReadDeadline(pastDeadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// Discard reads and drops the remainder of a stopped body as long as the client sends at minBodyRate. If the connection
// were closed before the client has written its whole request, it would be reset and the client might lose the
// response.
func (b *Body) Discard() {
	buffer := make([]byte, discardBufferSize)
	for b.bytesRead < MaxBody {
		if _, err := b.readNext(buffer); err != nil {
			return
		}
	}
}

// Consumed reports whether part of the body has been read other than by Buffer, so that the body cannot be sent again.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// Failure returns the error that ended the reading of the body; nil if no read has failed or the body was read
// completely.
func (b *Body) Failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}
