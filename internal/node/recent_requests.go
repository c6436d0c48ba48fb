// The record of requests that may have run and must not run again.

package node

import (
	"time"

	"keelusher/policy"
)

const (
	recentRequestMemory        = 512 // bytes that the record of one request takes at most
	recentRequestMemoryDivisor = 64  // the memory limit, divided by this, is what the record may take
)

// recentRequests holds the IDs of non-idempotent requests that may have run, for as long as clients wait for the
// responses to them. A request that comes again under such an ID, after its client has left or at the other process of
// an upgrade, must not be sent again. The number of IDs is limited; the oldest go first. The event loop owns it.
type recentRequests struct {
	nonIdempotent map[string]bool // names of classes
	lifetime      time.Duration
	limit         int
	added         map[string]time.Duration // when each ID was added last
	order         []recentRequest          // oldest first; superseded entries are skipped
}

// recentRequest is one addition to the record.
type recentRequest struct {
	id string
	at time.Duration
}

// newRecentRequests returns an empty record for a node with the given settings and memory limit.
func newRecentRequests(settings policy.Settings, memoryMB int) *recentRequests {
	return &recentRequests{
		nonIdempotent: nonIdempotentClasses(settings.Classes),
		lifetime:      longestDeadline(settings),
		limit:         memoryBytes(memoryMB) / recentRequestMemoryDivisor / recentRequestMemory,
		added:         map[string]time.Duration{},
	}
}

// covers reports whether the requests of a class are recorded.
func (r *recentRequests) covers(class string) bool { return r != nil && r.nonIdempotent[class] }

// add records an ID.
func (r *recentRequests) add(id string, now time.Duration) {
	r.expire(now)
	r.added[id] = now
	r.order = append(r.order, recentRequest{id: id, at: now})
	for len(r.order) > r.limit {
		r.dropOldest()
	}
}

// contains reports whether an ID is recorded.
func (r *recentRequests) contains(id string, now time.Duration) bool {
	if r == nil {
		return false
	}
	r.expire(now)
	_, found := r.added[id]
	return found
}

// expire drops what is older than the lifetime.
func (r *recentRequests) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].at > r.lifetime {
		r.dropOldest()
	}
}

func (r *recentRequests) dropOldest() {
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.added[oldest.id] == oldest.at {
		delete(r.added, oldest.id)
	}
}

// ids returns the recorded IDs, oldest first.
func (r *recentRequests) ids() []string {
	var ids []string
	for _, entry := range r.order {
		if r.added[entry.id] == entry.at {
			ids = append(ids, entry.id)
		}
	}
	return ids
}
