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
	maxBackoff = time.Second // leaves time for two watches while a server listed as draining may still get requests

	discoveryConnectTimeout = time.Second
)

// watchEvent is a message from discovery to the event loop.
type watchEvent struct {
	list       endpointList
	clockAhead time.Duration // how far this process's clock is ahead of discovery's, to which start times refer
	cached     bool          // the list is from the configuration, and is used until discovery sends one
	pollFailed bool          // a poll failed or ended; list is empty
}

// discovery receives the endpoint list and its changes. If lists are pushed, it opens a new watch whenever one ends,
// with a backoff. If lists are polled, the policy requests each poll, and is notified when one fails or ends.
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
	version       int64       // of the last list delivered to the event loop; used only by run
	clockOffset   clockOffset // used only by run
	clock         clock
	log           *slog.Logger
	client        *http.Client
	deliver       func(context.Context, watchEvent) error // sends to the event loop; fails only if the context ends
	watchRequests chan struct{}                           // holds one token: a poll is requested or the address changed
	staleness     *stalenessMonitor

	mu          sync.Mutex
	address     string
	cancelWatch context.CancelCauseFunc // cancels the current watch; nil if there is none
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

// requestWatch requests a watch or a poll. It does nothing if a request is pending.
func (d *discovery) requestWatch() {
	select {
	case d.watchRequests <- struct{}{}:
	default:
	}
}

// errMoved is the cause with which a watch is canceled when discovery's address changes.
var errMoved = errors.New("discovery has moved")

// moveTo changes the address of discovery. It cancels the current watch, which run then resumes at the new address
// without a pause, from the version of the last delivered list.
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

// run opens one watch or poll after another until ctx ends.
func (d *discovery) run(ctx context.Context) {
	backoff := minBackoff
	for d.awaitPollRequest(ctx) {
		lines, err := d.watch(ctx)
		if lines > 0 {
			backoff = minBackoff
		}
		pause := backoff/2 + rand.N(backoff/2) // the jitter keeps nodes from reconnecting at the same time
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

// awaitPollRequest waits for a poll request where lists are polled, and returns at once where they are pushed. It
// returns false if ctx has ended.
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

// sleep waits for the given pause, or until the address changes or ctx ends.
func (d *discovery) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-d.watchRequests:
	case <-ctx.Done():
	}
}
