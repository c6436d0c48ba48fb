// Streamed bodies. A body of up to maxBufferedBody is buffered completely: that of a request can then be sent again,
// and that of a response is known to be complete before a byte of it is forwarded. A longer one is streamed through a
// buffer of fixed size for each connection and direction, so that a slow peer slows the other side down and occupies
// no further memory.

package node

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
	maxStreamedBody = 32 << 20
	minBodyRate     = 64e3 // bytes a second, of clients' bodies

	// maxBodyReadGap is the longest pause within a client's body: a client that stops sending is owed an error or a
	// close within 3 s.
	maxBodyReadGap = 2300 * time.Millisecond

	discardBufferSize = 4 << 10
)

var (
	errBodyTooSlow  = errors.New("the body came too slowly")
	errBodyTooLong  = errors.New("the body is too long")
	errBodyUnwanted = errors.New("the rest of the body is not needed any more")
)

// requestStream is the part of a request's body that was not read when the request was accepted. It is read as fast
// as the endpoint takes it, and fails when the client sends more slowly than minBodyRate.
type requestStream struct {
	controller       *http.ResponseController
	body             io.Reader
	firstByteTimeout time.Duration

	mu        sync.Mutex // held during a read
	bytesRead int64
	waitTime  time.Duration // spent waiting for the client, over all reads
	err       error         // of the last read; io.EOF: the body was read completely
	consumed  atomic.Bool   // some of it was read: it cannot be sent again
	stopped   atomic.Bool
}

// Read implements io.Reader with the deadlines of a client's body.
func (s *requestStream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped.Load() {
		s.err = errBodyUnwanted
	}
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.readNext(b)
	if n > 0 {
		s.consumed.Store(true)
	}
	switch {
	case s.stopped.Load():
		err = errBodyUnwanted
	case errors.Is(err, io.EOF): // from here on net/http reads only to notice a disconnect
		s.setReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errBodyTooSlow
	case s.bytesRead > maxStreamedBody:
		err = errBodyTooLong
	}
	s.err = err
	return n, err
}

// readNext reads once within the time that the client has for its next bytes. The caller holds the lock.
func (s *requestStream) readNext(b []byte) (int, error) {
	began := time.Now()
	s.setReadDeadline(s.nextDeadline(began))
	n, err := s.body.Read(b)
	s.waitTime += time.Since(began)
	s.bytesRead += int64(n)
	return n, err
}

// setReadDeadline sets the deadline of the client's connection. Its error is ignored: it fails only on a closed
// connection, and so does the read that follows.
func (s *requestStream) setReadDeadline(deadline time.Time) {
	_ = s.controller.SetReadDeadline(deadline)
}

// nextDeadline is when the next bytes are due from a client that sends at minBodyRate, and at the latest after
// maxBodyReadGap. Time in which the endpoint took nothing is not charged to the client.
func (s *requestStream) nextDeadline(now time.Time) time.Time {
	sendTime := time.Duration(float64(s.bytesRead) / minBodyRate * float64(time.Second))
	left := s.firstByteTimeout + sendTime - s.waitTime
	if s.bytesRead > 0 {
		left = min(left, maxBodyReadGap)
	}
	return now.Add(left)
}

// stop ends the reading, a read in progress included, and reports whether the body was read completely.
func (s *requestStream) stop() (complete bool) {
	s.stopped.Store(true)
	if s.mu.TryLock() { // no read is in progress
		defer s.mu.Unlock()
		return errors.Is(s.err, io.EOF)
	}
	s.setReadDeadline(pastDeadline)
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Is(s.err, io.EOF)
}

// discard reads the remainder of a stopped body while the client keeps to minBodyRate: a close before the client has
// written its request would reset the connection, and the client might lose its response.
func (s *requestStream) discard() {
	buffer := make([]byte, discardBufferSize)
	for s.bytesRead < maxStreamedBody {
		if _, err := s.readNext(buffer); err != nil {
			return
		}
	}
}

// failure is why the body could not be read to its end; nil if it was, or if no read has failed.
func (s *requestStream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}

// responseStream is the part of a response's body that is forwarded while it arrives. Whoever reads it calls finish.
type responseStream struct {
	conn      *serverConn
	response  *http.Response
	bytesRead int64
	done      chan struct{} // closed by finish
	once      sync.Once
	err       error // once done: why it was not forwarded completely
	abandoned bool  // once done: the endpoint is not to blame for err
}

// Read implements io.Reader with the timeout of a server's body.
func (s *responseStream) Read(b []byte) (int, error) {
	// An error is ignored: it fails only on a closed connection, and so does the read.
	_ = s.conn.SetReadDeadline(time.Now().Add(s.conn.pool.streamTimeout))
	n, err := s.response.Body.Read(b)
	if s.bytesRead += int64(n); s.bytesRead > maxStreamedBody && err == nil {
		err = errBodyTooLong
	}
	return n, err
}

// finish records how the forwarding ended. Only the first call counts.
func (s *responseStream) finish(err error, abandoned bool) {
	s.once.Do(func() {
		s.err, s.abandoned = err, abandoned
		if err == nil {
			s.closeIfBytesFollow()
			s.conn.endRequest()
		}
		close(s.done)
	})
}

// closeIfBytesFollow makes sure that bytes after a response are not taken for the next request's response.
func (s *responseStream) closeIfBytesFollow() {
	s.response.Close = s.response.Close || s.conn.reader.Buffered() > 0
}
