// Package logsink takes log lines from a program that must never wait for whoever reads them. A pipe whose reader
// stands still blocks its writer once it is full, and the logger's lock with it, so that every goroutine that logs
// would stop.
package logsink

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	queueLines = 1024                   // lines that wait for the reader; more are lost
	closeWait  = 200 * time.Millisecond // for what waits at the end of the program
)

// Sink is a writer that never blocks. Its goroutine ends with Close, unless the writer below it blocks for good. Each
// Write has to be one whole line, as the handlers of log/slog write.
type Sink struct {
	to    io.Writer
	lines chan []byte
	lost  atomic.Int64 // not said yet
	stop  chan struct{}
	ended chan struct{}
}

// New starts a sink that writes to a writer below it. What that writer fails to take is lost.
func New(to io.Writer) *Sink {
	s := &Sink{to: to, lines: make(chan []byte, queueLines), stop: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line, or counts it as lost where too many wait. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- slices.Clone(line):
	default:
		s.lost.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for a short time at most. Lines that come later may be lost.
func (s *Sink) Close() {
	close(s.stop)
	select {
	case <-s.ended:
	case <-time.After(closeWait):
	}
}

func (s *Sink) run() {
	defer close(s.ended)
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.stop:
			s.drain()
			return
		}
	}
}

// drain writes what waits.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

// put writes one line, behind the word of those that are missing before it. An error cannot be told to anybody.
func (s *Sink) put(line []byte) {
	if lost := s.lost.Swap(0); lost > 0 {
		fmt.Fprintf(s.to, "time=%s level=WARN msg=\"log lines lost\" n=%d\n", time.Now().Format(time.RFC3339Nano), lost)
	}
	s.to.Write(line)
}
