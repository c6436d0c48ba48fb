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
