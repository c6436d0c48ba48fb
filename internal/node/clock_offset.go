// The difference between this process's clock and the one that the start times of servers come from.

package node

import (
	"log/slog"
	"net/http"
	"time"
)

// dateResolution is that of a Date header, whose time is cut to whole seconds.
const dateResolution = time.Second

// clockOffset is how far this process's clock is ahead of discovery's, and so of the start times in its lists. The
// first response of discovery decides it for good: start times are compared with those of earlier lists.
type clockOffset struct {
	known bool
	ahead time.Duration
}

// observe takes the header of a response to a request that was sent at a clock time, and received at another. The
// offset is the least that explains the Date in it; without one, the clocks count as equal.
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
