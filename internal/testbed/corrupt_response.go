package testbed

import (
	"fmt"
	"net/http"
	"time"
)

const (
	secondAnswerDelay = 5 * time.Millisecond
	maxCloseDelay     = 20 * time.Millisecond // from a complete answer to the close of its connection
)

// writeCorruptResponse writes an answer in one of three faulty ways, which a random number derived from the request ID
// selects: the answer twice; only its first half, without a Content-Length and followed by a reset; or the complete
// answer, followed shortly by a close of the connection, when the next request may already be on its way. In each case
// the connection ends.
func (s *Server) writeCorruptResponse(w http.ResponseWriter, id string) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	body := s.testbed.checker.recordServed(id)
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	defer closeQuietly(c)
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	draw := s.testbed.seededRandom(id, "how it is spoilt")
	switch {
	case draw < 1.0/3:
		_, _ = fmt.Fprint(c, complete)
		time.Sleep(secondAnswerDelay)
		_, _ = fmt.Fprint(c, complete)
	case draw < 2.0/3:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body[:len(body)/2])
		time.Sleep(secondAnswerDelay) // so that the node reads the half before the reset
		if g, ok := c.(*gatedConn); ok {
			reset(g.Conn)
		}
	default:
		_, _ = fmt.Fprint(c, complete)
		time.Sleep(time.Duration(s.testbed.seededRandom(id, "end") * float64(maxCloseDelay)))
	}
}
