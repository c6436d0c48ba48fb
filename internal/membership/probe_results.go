package membership

import (
	"maps"
	"slices"
	"sync"
)

// probeResults collects the results of the probes that this process's failure detector sends. Its methods are safe for
// concurrent use, because memberlist's goroutines write the results.
type probeResults struct {
	mu         sync.Mutex
	answered   map[string]bool // by process ID: has answered since the last takeAnswered
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

// recordFailure records a probe without an answer. The map needs no bound, because memberlist probes only members.
func (r *probeResults) recordFailure(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered[id] = true
}

// takeAnswered returns the IDs of the processes that have answered since it was called last.
func (r *probeResults) takeAnswered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Collect(maps.Keys(r.answered))
	clear(r.answered)
	return ids
}

// failures returns the IDs of the processes whose last probe got no answer.
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

// dropFailure deletes the failure of a process that has ended.
func (r *probeResults) dropFailure(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unanswered, id)
}
