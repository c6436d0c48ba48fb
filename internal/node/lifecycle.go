package node

import (
	"sync"
	"time"
)

// phase is the state of a node towards its clients. Its number is sent on the hand-over socket.
type phase int

const (
	phaseStarting     phase = iota // waits for the first endpoint list
	phaseServing                   // takes requests
	phaseDrained                   // out of service on an operator's request: clients are sent away
	phaseShuttingDown              // final
)

func (p phase) String() string { return [...]string{"starting", "serving", "drained", "leaving"}[p] }

// lifecycleEvent may move a node from one phase to another.
type lifecycleEvent int

const (
	eventListReceived lifecycleEvent = iota // an endpoint list has come, or the time to wait for one is over
	eventDrain                              // an operator takes the node out of service
	eventResume                             // an operator takes the node back into service
	eventShutdown                           // the process is to end
)

// phaseTransitions are all the transitions there are. A phase rejects the events that it does not list.
var phaseTransitions = [...]map[lifecycleEvent]phase{
	phaseStarting: {
		eventListReceived: phaseServing,
		eventDrain:        phaseDrained,
		eventResume:       phaseStarting,
		eventShutdown:     phaseShuttingDown,
	},
	phaseServing: {
		eventListReceived: phaseServing,
		eventDrain:        phaseDrained,
		eventResume:       phaseServing,
		eventShutdown:     phaseShuttingDown,
	},
	phaseDrained: {
		eventListReceived: phaseDrained,
		eventDrain:        phaseDrained,
		eventResume:       phaseServing,
		eventShutdown:     phaseShuttingDown,
	},
	phaseShuttingDown: {
		eventListReceived: phaseShuttingDown,
		eventDrain:        phaseShuttingDown,
		eventShutdown:     phaseShuttingDown,
	},
}

// lifecycle is the state machine of a node. It is safe for concurrent use.
//
//	phase           list received   drain           resume            shutdown
//	starting        serving         drained         starting          shutting down
//	serving         serving         drained         serving           shutting down
//	drained         drained         drained         serving (note)    shutting down
//	shutting down   -               -               rejected          -
//
// Note: a drained node that has never received a list resumes to starting.
type lifecycle struct {
	onTransition func(from, to phase) // called for each change, in order; must not block

	mu           sync.Mutex
	phase        phase
	drainedSince time.Time // since when clients are sent away, in the phases from drained on
	listReceived bool
}

// transition handles an event and reports whether the current phase allows it.
func (l *lifecycle) transition(event lifecycleEvent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.phase
	to, ok := phaseTransitions[from][event]
	if !ok {
		return false
	}
	l.listReceived = l.listReceived || event == eventListReceived
	if to == phaseServing && !l.listReceived {
		to = phaseStarting
	}
	if to == from {
		return true
	}
	if from < phaseDrained { // else clients have been sent away since before
		l.drainedSince = time.Now()
	}
	l.phase = to
	l.onTransition(from, to)
	return true
}

func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// canServe reports whether the process could serve, whether or not it is in service.
func (l *lifecycle) canServe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listReceived && l.phase != phaseShuttingDown
}

// drainedFor is for how long clients have been sent away; 0 if they are not.
func (l *lifecycle) drainedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase < phaseDrained {
		return 0
	}
	return time.Since(l.drainedSince)
}
