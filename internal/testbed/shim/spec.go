// Package shim runs an unmodified program and lets some of its system calls fail, and its wall clock jump. It is the
// program's parent and traces it (ptrace), so the program needs no hooks and no rights. Each call of a traced process
// costs two stops, which a few processes of a testbed can afford.
package shim

import "time"

// Spec says what happens to a program. Times count from its start.
type Spec struct {
	Seed   uint64        `json:"seed"`
	From   time.Duration `json:"from"`   // calls fail from then on
	Until  time.Duration `json:"until"`  // and no longer than that
	Chance float64       `json:"chance"` // share of the calls that can fail

	ClockAt   time.Duration `json:"clock_at"`   // the wall clock jumps then
	ClockStep time.Duration `json:"clock_step"` // by this much; 0: never

	Log     string `json:"log"`      // file that gets a line for each fault; empty: none
	LoadLog string `json:"load_log"` // file that gets the tracer's loads, see ReadLoads; empty: none
}
