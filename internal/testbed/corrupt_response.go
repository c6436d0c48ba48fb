package testbed

import (
	"fmt"
	"net/http"
	"time"
)

const (
	secondAnswerDelay = 5 * time.Millisecond
	maxCloseDelay     = 20 * time.Millisecond // from an answer to the end of its connection
)

// writeCorruptResponse writes one answer in a way that the request's draw chooses: twice, cut off and without a
// length, or complete with an end of the connection a moment later, when the next request may come. The connection
// ends in any case.
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
	draw := s.testbed.drawn(id, "how it is spoilt")
	switch {
	case draw < 1.0/3:
		_, _ = fmt.Fprint(c, complete)
		time.Sleep(secondAnswerDelay)
		_, _ = fmt.Fprint(c, complete)
	case draw < 2.0/3:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body[:len(body)/2])
		time.Sleep(secondAnswerDelay) // the half is read before the reset
		if g, ok := c.(*gatedConn); ok {
			reset(g.Conn)
		}
	default:
		_, _ = fmt.Fprint(c, complete)
		time.Sleep(time.Duration(s.testbed.drawn(id, "end") * float64(maxCloseDelay)))
	}
}
