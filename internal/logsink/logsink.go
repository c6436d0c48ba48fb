// Package logsink writes log lines without ever blocking the program that logs them. Without it, a slow reader of the
// log would stop the program: a write to a full pipe blocks while the logger's lock is held, so that every other
// goroutine that logs waits too.
package logsink

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	queueLines   = 1024                   // lines that exceed the queue are lost
	closeTimeout = 200 * time.Millisecond // for writing the queued lines at the end of the program
)

// Sink is an io.Writer that never blocks. Each Write must be one complete line, as the handlers of log/slog write it.
// The sink's goroutine ends after Close, unless the underlying writer blocks forever.
type Sink struct {
	writer  io.Writer
	queue   chan []byte
	lost    atomic.Int64 // number of lost lines that have not been reported yet
	closing chan struct{}
	ended   chan struct{} // closed when run returns
}

// New returns a running sink that writes to writer. Lines for which writer fails are lost.
func New(writer io.Writer) *Sink {
	s := &Sink{
		writer:  writer,
		queue:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a line, or counts it as lost if the queue is full. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- slices.Clone(line):
	default:
		s.lost.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, within closeTimeout. Lines that are logged later may be lost.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.ended:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.ended)
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and before it a report of the lines lost since the last report. Write errors are ignored,
// since there is no other place to report them.
func (s *Sink) writeLine(line []byte) {
	if lost := s.lost.Swap(0); lost > 0 {
		now := time.Now().Format(time.RFC3339Nano)
		_, _ = fmt.Fprintf(s.writer, "time=%s level=WARN msg=\"log lines lost\" n=%d\n", now, lost)
	}
	_, _ = s.writer.Write(line)
}
