package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second // two watches fit in the grace of a draining server that discovery knows of

	discoveryConnectTimeout = time.Second
)

// watchEvent is what discovery sends to the event loop.
type watchEvent struct {
	list       endpointList
	clockAhead time.Duration // of this process, beside the clock of the list's start times
	cached     bool          // the list is the one that the node knew at its start
	pollFailed bool          // a poll failed or ended; there is no list
}

// discovery follows the endpoint list. Where lists are pushed it opens a watch after another by itself, with a backoff;
// where they are polled, the policy says when, and is notified when a poll fails.
//
//	state            event                next
//	waiting          poll requested       watching (polled)
//	waiting          backoff is over      watching (pushed)
//	watching         list received        watching, from its version
//	watching         invalid list         watching, after a snapshot was fetched
//	watching         moved                watching, at the new address
//	watching         ended or canceled    waiting
type discovery struct {
	polled        bool
	version       int64       // of the list that the event loop has; used by run alone
	clockOffset   clockOffset // used by run alone
	clock         clock
	log           *slog.Logger
	client        *http.Client
	deliver       func(context.Context, watchEvent) error // sends to the event loop; fails only if the context ends
	watchRequests chan struct{}                           // holds a token: a poll is requested, or the address has changed
	staleness     *stalenessMonitor

	mu          sync.Mutex
	address     string
	cancelWatch context.CancelCauseFunc // ends the current watch; nil: there is none
}

func newDiscovery(
	cfg Config,
	clock clock,
	log *slog.Logger,
	deliver func(context.Context, watchEvent) error,
) *discovery {
	return &discovery{
		clock:         clock,
		address:       cfg.Discovery,
		polled:        cfg.Settings.PollEndpoints,
		version:       cfg.KnownEndpoints.Version,
		log:           log,
		deliver:       deliver,
		watchRequests: make(chan struct{}, 1),
		staleness:     newStalenessMonitor(watchSilenceTimeout, !cfg.Settings.PollEndpoints),
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: discoveryConnectTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// requestWatch asks for a watch. It does nothing if one is asked for already.
func (d *discovery) requestWatch() {
	select {
	case d.watchRequests <- struct{}{}:
	default:
	}
}

// errMoved cancels a watch whose address has changed.
var errMoved = errors.New("discovery has moved")

// moveTo changes the address. A current watch continues there at once, from the version held.
func (d *discovery) moveTo(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.address = address
	if d.cancelWatch != nil {
		d.cancelWatch(errMoved)
	}
	d.requestWatch()
}

// run opens watches until ctx ends.
func (d *discovery) run(ctx context.Context) {
	backoff := minBackoff
	for d.awaitPollRequest(ctx) {
		lines, err := d.watch(ctx)
		if lines > 0 {
			backoff = minBackoff
		}
		pause := backoff/2 + rand.N(backoff/2) // jitter keeps nodes from connecting at the same time
		d.staleness.watchEnded(pause)
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("watch of discovery ended", "lines", lines, "err", err)
		switch {
		case errors.Is(err, errMoved): // continue at once
		case d.polled:
			if d.deliver(ctx, watchEvent{pollFailed: true}) != nil { // ctx has ended
				return
			}
		default:
			d.sleep(ctx, pause)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// awaitPollRequest waits until a poll is requested, where lists are polled. It returns false if ctx ends.
func (d *discovery) awaitPollRequest(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if !d.polled {
		return true
	}
	select {
	case <-d.watchRequests:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits before the next watch, or until the address changes.
func (d *discovery) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-d.watchRequests:
	case <-ctx.Done():
	}
}
