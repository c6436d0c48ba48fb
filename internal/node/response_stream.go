// Streamed bodies. A body of up to maxBufferedBody bytes is buffered completely: a request can then be sent again,
// and a response is known to be complete before a byte of it is forwarded. A response of unknown length that comes
// slowly is the exception: its client gets it while it arrives. A longer body is streamed through a buffer of fixed
// size for each connection and direction, so that a slow receiver exerts back pressure on the sender and occupies no
// further memory.

package node

import (
	"net/http"
	"sync"
	"time"

	"keelusher/internal/inbound"
)

const (
	maxStreamedBody = inbound.MaxBody // maximum length in bytes of a request's or a response's body

	// shortResponseSlack is how long after the client's deadline a streamed short response may still end. A client counts
	// a request as lost if it has no final response 0.5 s after the deadline.
	shortResponseSlack = 200 * time.Millisecond
)

// responseStream is the part of a response's body that is forwarded while it arrives. Its reader must call finish.
type responseStream struct {
	conn      *serverConn
	response  *http.Response
	reader    *bodyReader // of a body of unknown length; nil: the body is read from the response directly
	bytesRead int64
	done      chan struct{} // closed by finish
	once      sync.Once
	err       error // set before done is closed: why the body was not forwarded completely
	abandoned bool  // set before done is closed: the client or the node is the cause of err, not the endpoint
}

// Read implements io.Reader.
func (s *responseStream) Read(b []byte) (int, error) {
	n, err := s.readBody(b)
	if s.bytesRead += int64(n); s.bytesRead > maxStreamedBody && err == nil {
		err = inbound.ErrBodyTooLong
	}
	return n, err
}

// readBody reads the next bytes of the body.
func (s *responseStream) readBody(b []byte) (int, error) {
	if s.reader != nil {
		return s.reader.Read(b)
	}
	// The error is ignored: the call fails only on a closed connection, where the read fails too.
	_ = s.conn.SetReadDeadline(s.nextDeadline(time.Now()))
	return s.response.Body.Read(b)
}

// nextDeadline returns the time until which the stream waits for the next bytes of a body of known length. The end of a
// short one is due at the client's deadline.
func (s *responseStream) nextDeadline(now time.Time) time.Time {
	silent := now.Add(s.conn.pool.streamTimeout)
	clientDeadline := s.conn.pool.clientDeadlineOf(s.conn)
	if s.response.ContentLength > maxBufferedBody || clientDeadline.IsZero() {
		return silent
	}
	return earlier(silent, clientDeadline.Add(shortResponseSlack))
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// finish records how the forwarding ended. Further calls have no effect.
func (s *responseStream) finish(err error, abandoned bool) {
	s.once.Do(func() {
		s.err, s.abandoned = err, abandoned
		if s.reader != nil {
			s.reader.stop()
		}
		if err == nil {
			s.closeIfBytesFollow()
			s.conn.endRequest()
		}
		close(s.done)
	})
}

// closeIfBytesFollow marks the connection for closing if bytes follow the response, so that they are not taken for the
// response to the next request.
func (s *responseStream) closeIfBytesFollow() {
	if s.conn.reader.Buffered() == 0 {
		return
	}
	s.response.Close = true
	s.conn.pool.decisions.UnexpectedResponse(s.conn.endpoint.id)
}
