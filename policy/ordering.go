package policy

import (
	"slices"
	"time"
)

// keyQueues holds the queue of each key that has open requests or has not settled yet. Queues hold
// requests, whose life is in policy.go, so this is a file of package policy.
type keyQueues map[uint64]*keyQueue

// keyQueue holds the open requests of one key, over all classes that are serialized by key, in the order of
// arrival.
type keyQueue struct {
	key       uint64
	requests  []*request
	settledAt time.Duration // an earlier attempt may still run: no other request is sent before this
}

// join appends a request to the queue of its key. It returns false if the requests ahead are likely to take
// longer than the wait.
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

// settling says that the key waits for an attempt that may still run. It drops a queue that is settled and
// empty.
func (q keyQueues) settling(queue *keyQueue, now time.Duration) bool {
	if now < queue.settledAt {
		return true
	}
	if len(queue.requests) == 0 {
		delete(q, queue.key)
	}
	return false
}

// ready says that a request may be sent: it is at the head of the line and the key has settled. A retry of
// the head need not wait for the key to settle.
func (q *keyQueue) ready(r *request, now time.Duration) bool {
	if q == nil {
		return true
	}
	return q.requests[0] == r && (len(r.attempts) > 0 || now >= q.settledAt)
}

func (q *keyQueue) remove(r *request) {
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
}
