// The pace at which one connection gets answers that no server has given.

package node

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// An answer that the node gives by itself costs its client no waiting, so that one client that sends requests without
// a pause could take all of the processor. Answers of servers take their time.
const (
	ownAnswersPerSecond = 200 // on one connection
	ownAnswerBurst      = 100
)

// requestPacer delays the next request of a connection on which the node has given many answers by itself. The zero
// value is ready to use. Only the goroutine of the HTTP server that serves the connection may use it.
type requestPacer struct {
	limiter   *rate.Limiter // of the node's own answers; nil until the first one
	forwarded bool          // the response to the current request is that of a server
}

// delay returns how long the next request of the connection has to wait, after the response to the current one.
func (p *requestPacer) delay() time.Duration {
	if p.forwarded {
		p.forwarded = false
		return 0
	}
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(ownAnswersPerSecond, ownAnswerBurst)
	}
	return p.limiter.Reserve().Delay()
}

// recordForwarded records that the response to a request is that of a server.
func recordForwarded(r *http.Request) {
	if c := clientConnOf(r); c != nil {
		c.pacer.forwarded = true
	}
}
