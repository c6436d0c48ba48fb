package node

import (
	"sync"
	"time"
)

// phase is what a node is to its callers.
type phase int

const (
	phaseStarting phase = iota // discovery has not spoken yet
	phaseServing
	phaseDrained // out of service by the operators' wish: its callers are sent away, and it can come back
	phaseShuttingDown // told to stop; there is no way back
)

func (p phase) String() string { return [...]string{"starting", "serving", "drained", "leaving"}[p] }

// lifecycleEvent is what moves a node from one phase to another.
type lifecycleEvent int

const (
	eventListReceived  lifecycleEvent = iota // discovery has spoken, or had its time
	eventDrain                // operators take it out of service
	eventResume               // operators take it back
	eventShutdown                // it is to stop
)

// phaseTransitions is every move there is. A signal that a phase does not list is refused.
var phaseTransitions = [...]map[lifecycleEvent]phase{
	phaseStarting: {eventListReceived: phaseServing, eventDrain: phaseDrained, eventResume: phaseStarting, eventShutdown: phaseShuttingDown},
	phaseServing:  {eventListReceived: phaseServing, eventDrain: phaseDrained, eventResume: phaseServing, eventShutdown: phaseShuttingDown},
	phaseDrained:  {eventListReceived: phaseDrained, eventDrain: phaseDrained, eventResume: phaseServing, eventShutdown: phaseShuttingDown},
	phaseShuttingDown:  {eventListReceived: phaseShuttingDown, eventDrain: phaseShuttingDown, eventShutdown: phaseShuttingDown},
}

// lifecycle is the one state machine of a node.
type lifecycle struct {
	onTransition func(phase, phase) // is told of every change, in order; must not block

	mu    sync.Mutex
	phase phase
	drainedSince time.Time // of the phase
	listReceived bool
}

// transition moves on a signal and says whether the phase allows it.
func (l *lifecycle) transition(s lifecycleEvent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, ok := phaseTransitions[l.phase][s]
	if !ok {
		return false
	}
	l.listReceived = l.listReceived || s == eventListReceived
	if to == phaseServing && !l.listReceived { // taken back before discovery spoke
		to = phaseStarting
	}
	if from := l.phase; to != from {
		if from < phaseDrained { // else callers have been sent away since before
			l.drainedSince = time.Now()
		}
		l.phase = to
		l.onTransition(from, to)
	}
	return true
}

func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// canServe says that the process could serve, in service or out of it.
func (l *lifecycle) canServe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listReceived && l.phase != phaseShuttingDown
}

// drainedFor is for how long callers have been told to go elsewhere; 0: they may come.
func (l *lifecycle) drainedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase < phaseDrained {
		return 0
	}
	return time.Since(l.drainedSince)
}
