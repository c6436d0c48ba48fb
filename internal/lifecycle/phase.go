// Package lifecycle has the phases of a node, and detects suspensions of its process.
package lifecycle

import (
	"sync"
	"time"
)

// Phase is the state of a node towards its clients. Its number is sent on the hand-over socket.
type Phase int

// The phases.
const (
	Starting     Phase = iota // waits for the first endpoint list
	Serving                   // takes requests
	Drained                   // out of service on an operator's request: clients are sent away
	ShuttingDown              // final
)

// String is the name of a phase in the log.
func (p Phase) String() string { return [...]string{"starting", "serving", "drained", "leaving"}[p] }

// Event may move a node from one phase to another.
type Event int

// The events.
const (
	ListReceived Event = iota // an endpoint list has come, or the time to wait for one is over
	Drain                     // an operator takes the node out of service
	Resume                    // an operator takes the node back into service
	Shutdown                  // the process is to end
)

// transitions are all the transitions there are. A phase rejects the events that it does not list.
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

// Machine is the state machine of a node. It is safe for concurrent use.
//
//	phase           list received   drain           resume            shutdown
//	starting        serving         drained         starting          shutting down
//	serving         serving         drained         serving           shutting down
//	drained         drained         drained         serving (note)    shutting down
//	shutting down   -               -               rejected          -
//
// Note: a drained node that has never received a list resumes to starting.
type Machine struct {
	onTransition func(from, to Phase)

	mu           sync.Mutex
	phase        Phase
	drainedSince time.Time // since when clients are sent away, in the phases from drained on
	listReceived bool
}

// New makes a machine in the phase Starting. It calls onTransition, which must not block, for each change, in order.
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
	if from < Drained { // else clients have been sent away since before
		m.drainedSince = time.Now()
	}
	m.phase = to
	m.onTransition(from, to)
	return true
}

// Current is the phase now.
func (m *Machine) Current() Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase
}

// CanServe reports whether the process could serve, whether or not it is in service.
func (m *Machine) CanServe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listReceived && m.phase != ShuttingDown
}

// DrainedFor is for how long clients have been sent away; 0 if they are not.
func (m *Machine) DrainedFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase < Drained {
		return 0
	}
	return time.Since(m.drainedSince)
}
