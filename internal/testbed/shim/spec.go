// Package shim runs an unmodified program, makes some of its system calls fail and makes its wall clock jump. It is the
// program's parent and traces it with ptrace, so the program needs neither hooks nor privileges. Each system call of a
// traced process costs two ptrace stops, so only a few processes of a test bed should be traced.
package shim

import "time"

// Spec describes the faults of a program. Times count from its start.
type Spec struct {
	Seed   uint64        `json:"seed"`
	From   time.Duration `json:"from"`   // start of the period in which calls fail
	Until  time.Duration `json:"until"`  // end of that period
	Chance float64       `json:"chance"` // probability that a call which can fail does

	ClockAt   time.Duration `json:"clock_at"`   // when the wall clock jumps
	ClockStep time.Duration `json:"clock_step"` // how far it jumps; 0: it does not

	Log     string `json:"log"`      // file to which a line is added for each failed call; empty: none
	LoadLog string `json:"load_log"` // file to which the tracer adds its loads, see ReadLoads; empty: none
}
