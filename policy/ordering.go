package policy

import (
	"slices"
	"time"
)

// keyQueues holds the queue of each key that has open requests or has not settled yet. A key has settled when
// KeySettleTime has passed since the end of an attempt that may still run. The queues are part of package
// policy because they hold requests, whose life cycle is in policy.go.
type keyQueues map[uint64]*keyQueue

// keyQueue holds the requests of one key in the order of arrival: all requests of classes that are serialized by
// key, until they are answered and have no attempts in flight.
type keyQueue struct {
	key       uint64
	requests  []*request
	settledAt time.Duration // no other request of the key is sent before this, since an ended attempt may still run
}

// join appends a request to the queue of its key and returns true. If the requests ahead are likely to take
// longer than the wait, it returns false instead.
func (q keyQueues) join(r *request, key uint64, wait time.Duration) bool {
	queue := q[key]
	if queue == nil {
		queue = &keyQueue{key: key}
	}
	if float64(len(queue.requests))*r.class.meanLatency > float64(wait) {
		return false
	}
	r.keyQueue = queue
	q[key] = queue
	queue.requests = append(queue.requests, r)
	return true
}

// settling reports whether the key of a queue has not settled yet. It deletes the queue of a settled key if it
// is empty.
func (q keyQueues) settling(queue *keyQueue, now time.Duration) bool {
	if now < queue.settledAt {
		return true
	}
	if len(queue.requests) == 0 {
		delete(q, queue.key)
	}
	return false
}

// ready reports whether a request may be sent: it is not serialized by key (the queue is nil), or it is the
// first in the queue and the key has settled. A retry of the first request need not wait for the key to
// settle.
func (q *keyQueue) ready(r *request, now time.Duration) bool {
	if q == nil {
		return true
	}
	return q.requests[0] == r && (len(r.attempts) > 0 || now >= q.settledAt)
}

func (q *keyQueue) remove(r *request) {
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
}
