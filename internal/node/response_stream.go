// Streamed bodies. A body of up to maxBufferedBody is buffered completely: that of a request can then be sent again,
// and that of a response is known to be complete before a byte of it is forwarded. A longer one is streamed through a
// buffer of fixed size for each connection and direction, so that a slow peer slows the other side down and occupies
// no further memory.

package node

import (
	"net/http"
	"sync"
	"time"

	"keelusher/internal/inbound"
)

const maxStreamedBody = inbound.MaxBody // of a request or a response

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
		err = inbound.ErrBodyTooLong
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
	if s.conn.reader.Buffered() == 0 {
		return
	}
	s.response.Close = true
	s.conn.pool.decisions.UnexpectedResponse(s.conn.endpoint.id)
}
