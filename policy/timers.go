package policy

import (
	"strconv"
	"strings"
	"time"
)

// Kinds of timers. A token is the kind, followed by a colon and the key or the request ID if there is one.
const (
	pollTimer    = "list"
	keyTimer     = "k"
	requestTimer = "r"
)

// minTimerDelay is the shortest delay of a timer.
const minTimerDelay = time.Nanosecond

// setRequestTimer sets a timer of a queued request, unless one that expires no later is already set.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	at = max(at, b.now+minTimerDelay)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: requestTimer + ":" + r.id})
}

// handleTimerFired handles an expired timer. A host may round a time down, so that a timer fires slightly
// early. A poll may be early by TimerResolution; for a key or a request that is not due yet, another timer is
// set.
func (b *Balancer) handleTimerFired(e TimerFired) {
	kind, name, _ := strings.Cut(e.Token, ":")
	switch kind {
	case pollTimer:
		if b.poll.expire(b.now, b.settings.TimerResolution) {
			b.emit(WatchEndpoints{})
		}
	case keyTimer:
		if key, err := strconv.ParseUint(name, 10, 64); err == nil {
			b.settleKeyQueue(b.keyQueues[key])
		}
	case requestTimer:
		if r := b.requests[name]; r != nil {
			b.expireRequestTimer(r)
		}
	}
}

// expireRequestTimer answers a queued request whose queue deadline is over, and sets another timer otherwise.
func (b *Balancer) expireRequestTimer(r *request) {
	if b.now+b.settings.TimerResolution >= r.timerAt {
		r.timerAt = 0
	}
	if r.queued {
		b.enqueue(r)
	}
}

// settleKeyQueue deletes the queue of a settled key if it is empty. For a key that has not settled, it sets a
// timer, so that the next request of the key is sent then.
func (b *Balancer) settleKeyQueue(queue *keyQueue) {
	if queue == nil || !b.keyQueues.settling(queue, b.now) {
		return
	}
	token := keyTimer + ":" + strconv.FormatUint(queue.key, 10)
	b.emit(SetTimer{At: queue.settledAt, Token: token})
}
