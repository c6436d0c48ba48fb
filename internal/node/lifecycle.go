package node

import (
	"sync"
	"time"
)

// phase is what a node is to its callers.
type phase int

const (
	starting phase = iota // discovery has not spoken yet
	serving
	drained // out of service by the operators' wish: its callers are sent away, and it can come back
	leaving // told to stop; there is no way back
)

func (p phase) String() string { return [...]string{"starting", "serving", "drained", "leaving"}[p] }

// signal is what moves a node from one phase to another.
type signal int

const (
	heard  signal = iota // discovery has spoken, or had its time
	drain                // operators take it out of service
	resume               // operators take it back
	leave                // it is to stop
)

// next is every move there is. A signal that a phase does not list is refused.
var next = [...]map[signal]phase{
	starting: {heard: serving, drain: drained, resume: starting, leave: leaving},
	serving:  {heard: serving, drain: drained, resume: serving, leave: leaving},
	drained:  {heard: drained, drain: drained, resume: serving, leave: leaving},
	leaving:  {heard: leaving, drain: leaving, leave: leaving},
}

// lifecycle is the one state machine of a node.
type lifecycle struct {
	moved func(phase, phase) // is told of every change, in order; must not block

	mu    sync.Mutex
	phase phase
	since time.Time // of the phase
	heard bool
}

// take moves on a signal and says whether the phase allows it.
func (l *lifecycle) take(s signal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, ok := next[l.phase][s]
	if !ok {
		return false
	}
	l.heard = l.heard || s == heard
	if to == serving && !l.heard { // taken back before discovery spoke
		to = starting
	}
	if from := l.phase; to != from {
		if from < drained { // else callers have been sent away since before
			l.since = time.Now()
		}
		l.phase = to
		l.moved(from, to)
	}
	return true
}

func (l *lifecycle) now() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// knows says that the process could serve, in service or out of it.
func (l *lifecycle) knows() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard && l.phase != leaving
}

// away is for how long callers have been told to go elsewhere; 0: they may come.
func (l *lifecycle) away() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase < drained {
		return 0
	}
	return time.Since(l.since)
}
