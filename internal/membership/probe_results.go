package membership

import (
	"maps"
	"slices"
	"sync"
)

// probeResults are the results of the failure detector's probes by this process, since they were taken last. Its
// methods are safe for concurrent use: memberlist's goroutines write them.
type probeResults struct {
	mu         sync.Mutex
	answered   map[string]bool // by process ID, since the last tick
	unanswered map[string]bool // by process ID: the last probe got no answer
}

func newProbeResults() probeResults {
	return probeResults{
		answered:   map[string]bool{},
		unanswered: map[string]bool{},
	}
}

func (r *probeResults) recordAnswer(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unanswered, id)
	r.answered[id] = true
}

// recordFailure notes a probe without an answer. Memberlist probes members only: there are no more names than these.
func (r *probeResults) recordFailure(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered[id] = true
}

// takeAnswered returns whose answers came since it was called last.
func (r *probeResults) takeAnswered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Collect(maps.Keys(r.answered))
	clear(r.answered)
	return ids
}

// failures are the processes whose last probe got no answer.
func (r *probeResults) failures() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.unanswered))
}

func (r *probeResults) hasFailed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unanswered[id]
}

// dropFailure forgets a process that has ended.
func (r *probeResults) dropFailure(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unanswered, id)
}
