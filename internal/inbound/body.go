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

	minBodyRate = 64e3 // bytes a second

	// maxBodyReadGap is the longest pause within a body: a client that stops sending is owed an error or a close within
	// 3 s.
	maxBodyReadGap = 2300 * time.Millisecond

	discardBufferSize = 4 << 10
)

// Reasons why a body could not be read to its end.
var (
	ErrBodyTooSlow  = errors.New("the body came too slowly")
	ErrBodyTooLong  = errors.New("the body is too long")
	ErrBodyUnwanted = errors.New("the rest of the body is not needed any more")
)

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Body is the body of a request. It is read as fast as its reader takes it, and fails when the client sends more slowly
// than 64 kB a second. Its methods may be called at the same time as a Read.
type Body struct {
	controller       *http.ResponseController
	body             io.Reader
	firstByteTimeout time.Duration

	mu        sync.Mutex // held during a read
	bytesRead int64
	waitTime  time.Duration // spent waiting for the client, over all reads
	err       error         // of the last read; io.EOF: the body was read completely
	consumed  atomic.Bool
	stopped   atomic.Bool
}

// NewBody is the body of a request whose response is written to w. The first bytes are due within firstByteTimeout of
// waiting for them.
func NewBody(w http.ResponseWriter, r *http.Request, firstByteTimeout time.Duration) *Body {
	return &Body{
		controller:       http.NewResponseController(w),
		body:             r.Body,
		firstByteTimeout: firstByteTimeout,
	}
}

// Buffer reads up to size bytes of a body of the given length, -1 if that is not known, and reports whether they are
// all of it. What it returns does not count as consumed.
func (b *Body) Buffer(size int, length int64) (buffered []byte, complete bool, err error) {
	buffered, err = io.ReadAll(io.LimitReader(b, int64(size)))
	if err != nil {
		return buffered, false, err
	}
	if len(buffered) < size || length == int64(size) {
		_, err = b.Read(make([]byte, 1)) // the end
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

// Read implements io.Reader with the deadlines of a client's body.
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
	case errors.Is(err, io.EOF): // from here on net/http reads only to notice a disconnect
		b.setReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrBodyTooSlow
	case b.bytesRead > MaxBody:
		err = ErrBodyTooLong
	}
	b.err = err
	return n, err
}

// readNext reads once within the time that the client has for its next bytes. The caller holds the lock.
func (b *Body) readNext(p []byte) (int, error) {
	began := time.Now()
	b.setReadDeadline(b.nextDeadline(began))
	n, err := b.body.Read(p)
	b.waitTime += time.Since(began)
	b.bytesRead += int64(n)
	return n, err
}

// setReadDeadline sets the deadline of the client's connection. Its error is ignored: it fails only on a closed
// connection, and so does the read that follows.
func (b *Body) setReadDeadline(deadline time.Time) { _ = b.controller.SetReadDeadline(deadline) }

// nextDeadline is when the next bytes are due from a client that sends at minBodyRate, and at the latest after
// maxBodyReadGap. Time in which the reader took nothing is not charged to the client.
func (b *Body) nextDeadline(now time.Time) time.Time {
	sendTime := time.Duration(float64(b.bytesRead) / minBodyRate * float64(time.Second))
	left := b.firstByteTimeout + sendTime - b.waitTime
	if b.bytesRead > 0 {
		left = min(left, maxBodyReadGap)
	}
	return now.Add(left)
}

// Stop ends the reading, a read in progress included, and reports whether the body was read completely.
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

// Discard reads the remainder of a stopped body while the client keeps to minBodyRate: a close before the client has
// written its request would reset the connection, and the client might lose its response.
func (b *Body) Discard() {
	buffer := make([]byte, discardBufferSize)
	for b.bytesRead < MaxBody {
		if _, err := b.readNext(buffer); err != nil {
			return
		}
	}
}

// Consumed reports whether some of the body has been read, other than by Buffer: it cannot be sent again.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// Failure is why the body could not be read to its end; nil if it was, or if no read has failed.
func (b *Body) Failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}
