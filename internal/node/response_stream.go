// Streamed bodies. A body of up to maxBufferedBody bytes is buffered completely: a request can then be sent again, and
// a response is known to be complete before a byte of it is forwarded. A longer body is streamed through a buffer of
// fixed size for each connection and direction, so that a slow receiver exerts back pressure on the sender and occupies
// no further memory.

package node

import (
	"net/http"
	"sync"
	"time"

	"keelusher/internal/inbound"
)

const maxStreamedBody = inbound.MaxBody // maximum length in bytes of a request's or a response's body

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

// readBody reads the next bytes of the body. Each read of a body of known length times out after pool.streamTimeout.
func (s *responseStream) readBody(b []byte) (int, error) {
	if s.reader != nil {
		return s.reader.Read(b)
	}
	// The error is ignored: the call fails only on a closed connection, where the read fails too.
	_ = s.conn.SetReadDeadline(time.Now().Add(s.conn.pool.streamTimeout))
	return s.response.Body.Read(b)
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
