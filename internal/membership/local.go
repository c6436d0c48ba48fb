package membership

import "sync"

// localMetadata is what this process publishes of itself. Its methods are safe for concurrent use: memberlist reads it.
type localMetadata struct {
	mu       sync.Mutex
	metadata metadata
}

func (l *localMetadata) load() metadata {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.metadata
}

func (l *localMetadata) setPhase(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.metadata.Phase = phase
}

// raiseIncarnation lifts the incarnation above another one, if it is not.
func (l *localMetadata) raiseIncarnation(above uint64) (own uint64, raised bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if above >= l.metadata.Incarnation {
		l.metadata.Incarnation = above + 1
		raised = true
	}
	return l.metadata.Incarnation, raised
}

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
