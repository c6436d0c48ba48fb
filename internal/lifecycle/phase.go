// Package lifecycle implements the state machine for the phases of a node, and detects suspensions of its process.
package lifecycle

import (
	"sync"
	"time"
)

// Phase says whether a node takes requests, and why not. Its numeric value is sent over the hand-over socket and must
// not change.
type Phase int

// The phases.
const (
	Starting     Phase = iota // waiting for the first endpoint list
	Serving                   // taking requests
	Drained                   // taken out of service by an operator: not ready, client connections are closed
	ShuttingDown              // the process is about to exit; final
)

// String returns the name of a phase in the log.
func (p Phase) String() string { return [...]string{"starting", "serving", "drained", "leaving"}[p] }

// Event is an input of the state machine. It may change the phase.
type Event int

// The events.
const (
	ListReceived Event = iota // an endpoint list was received, or the wait for the first one timed out
	Drain                     // an operator took the node out of service
	Resume                    // an operator took the node back into service
	Shutdown                  // the process has to exit
)

// transitions holds the next phase by phase and event. An event that a phase does not list is rejected.
var transitions = [...]map[Event]Phase{
	Starting: {
		ListReceived: Serving,
		Drain:        Drained,
		Resume:       Starting,
		Shutdown:     ShuttingDown,
	},
	Serving: {
		ListReceived: Serving,
		Drain:        Drained,
		Resume:       Serving,
		Shutdown:     ShuttingDown,
	},
	Drained: {
		ListReceived: Drained,
		Drain:        Drained,
		Resume:       Serving,
		Shutdown:     ShuttingDown,
	},
	ShuttingDown: {
		ListReceived: ShuttingDown,
		Drain:        ShuttingDown,
		Shutdown:     ShuttingDown,
	},
}

// Machine is the state machine for the phases of a node. It is safe for concurrent use.
//
//	phase           list received   drain           resume            shutdown
//	starting        serving         drained         starting          shutting down
//	serving         serving         drained         serving           shutting down
//	drained         drained         drained         serving (note)    shutting down
//	shutting down   -               -               rejected          -
//
// A dash means that the phase does not change. Note: if no ListReceived event has occurred yet, a drained node
// changes to starting on resume.
type Machine struct {
	onTransition func(from, to Phase)

	mu           sync.Mutex
	phase        Phase
	drainedSince time.Time // start of the phase Drained, or of ShuttingDown if it did not follow Drained
	listReceived bool
}

// New returns a machine in the phase Starting. It calls onTransition for each change of the phase, in order and with
// its lock held: onTransition must not block.
func New(onTransition func(from, to Phase)) *Machine { return &Machine{onTransition: onTransition} }

// Transition handles an event and reports whether the current phase allows it.
func (m *Machine) Transition(event Event) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := m.phase
	to, ok := transitions[from][event]
	if !ok {
		return false
	}
	m.listReceived = m.listReceived || event == ListReceived
	if to == Serving && !m.listReceived {
		to = Starting
	}
	if to == from {
		return true
	}
	if from < Drained { // from Drained to ShuttingDown the time is kept
		m.drainedSince = time.Now()
	}
	m.phase = to
	m.onTransition(from, to)
	return true
}

// Current returns the current phase.
func (m *Machine) Current() Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase
}

// CanServe reports whether the process is able to serve requests, even if an operator has drained it.
func (m *Machine) CanServe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listReceived && m.phase != ShuttingDown
}

// DrainedFor returns the time since the node was drained or began to shut down, whichever came first; 0 in other
// phases.
func (m *Machine) DrainedFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase < Drained {
		return 0
	}
	return time.Since(m.drainedSince)
}
