package policy

import (
	"strconv"
	"strings"
	"time"
)

// Tokens of timers: the kind, and after a colon the key or the request.
const (
	pollTimer    = "list"
	keyTimer     = "k"
	requestTimer = "r"
)

// minTimerDelay is the shortest time to a timer.
const minTimerDelay = time.Nanosecond

// setRequestTimer sets the timer of a queued request, unless it expires before that time.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	at = max(at, b.now+minTimerDelay)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: requestTimer + ":" + r.id})
}

// handleTimerFired handles what is due. A host may round a time down, so a timer may fire a little early.
// Then its handler finds nothing due and sets another one.
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

func (b *Balancer) expireRequestTimer(r *request) {
	if b.now+b.settings.TimerResolution >= r.timerAt {
		r.timerAt = 0
	}
	if r.queued {
		b.enqueue(r)
	}
}

// settleKeyQueue drops the queue of a settled key, or sets a timer, after which the next request of the key
// is sent.
func (b *Balancer) settleKeyQueue(queue *keyQueue) {
	if queue == nil || !b.keyQueues.settling(queue, b.now) {
		return
	}
	token := keyTimer + ":" + strconv.FormatUint(queue.key, 10)
	b.emit(SetTimer{At: queue.settledAt, Token: token})
}
