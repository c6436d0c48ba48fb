// The offset between this process's clock and the clock of discovery, to which the start times of servers refer.

package node

import (
	"log/slog"
	"net/http"
	"time"
)

// dateResolution is the resolution of a Date header, whose time is truncated to whole seconds.
const dateResolution = time.Second

// clockOffset is how far this process's clock is ahead of discovery's, to which the start times in endpoint lists
// refer. The first response of discovery that has a valid Date header determines it for good: if it changed later, the
// same start time in two lists would look like two different ones.
type clockOffset struct {
	known bool
	ahead time.Duration // negative if this process's clock is behind
}

// observe derives the offset from the Date header of a response; sentAt and receivedAt are the clock times of the
// request and of the response. It chooses the offset closest to zero that is consistent with the Date. Until a response
// with a valid Date is observed, the offset is zero.
func (o *clockOffset) observe(header http.Header, sentAt, receivedAt time.Duration, log *slog.Logger) {
	if o.known {
		return
	}
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return
	}
	o.known = true
	responded := time.Duration(date.UnixNano())
	lowerBound := sentAt - responded - dateResolution
	upperBound := receivedAt - responded
	o.ahead = max(min(0, upperBound), lowerBound)
	if o.ahead != 0 {
		log.Warn("the clock differs from discovery's", "ahead", o.ahead)
	}
}
