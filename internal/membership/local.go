package membership

import "sync"

// localMetadata holds the metadata that this process publishes. Its methods are safe for concurrent use, as
// memberlist's goroutines read it.
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

// raiseIncarnation makes this process's incarnation higher than the given one. It returns the resulting incarnation,
// and whether it was raised.
func (l *localMetadata) raiseIncarnation(above uint64) (own uint64, raised bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if above >= l.metadata.Incarnation {
		l.metadata.Incarnation = above + 1
		raised = true
	}
	return l.metadata.Incarnation, raised
}
