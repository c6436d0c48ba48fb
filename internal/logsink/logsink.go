// Package logsink accepts log lines from a program that must never wait for the reader of its log. Once a pipe is
// full, it blocks its writer, which holds the logger's lock, so every goroutine that logs would stop.
package logsink

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	queueLines   = 1024                   // further lines are lost while the reader is slow
	closeTimeout = 200 * time.Millisecond // to write the queue at the end of the program
)

// Sink is a writer that never blocks. Its goroutine ends with Close, unless the writer below it blocks for good. Each
// Write has to be one complete line, as the handlers of log/slog write.
type Sink struct {
	writer  io.Writer
	queue   chan []byte
	lost    atomic.Int64 // lines, not reported yet
	closing chan struct{}
	ended   chan struct{} // closed by run
}

// New starts a sink that writes to writer. Lines that writer fails to write are lost.
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

// Close writes what is queued, for a short time at most. Later lines may be lost.
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

// drain writes what is queued.
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

// writeLine writes a line, after a report of the lines that were lost before it. There is nowhere to report an error
// to.
func (s *Sink) writeLine(line []byte) {
	if lost := s.lost.Swap(0); lost > 0 {
		now := time.Now().Format(time.RFC3339Nano)
		_, _ = fmt.Fprintf(s.writer, "time=%s level=WARN msg=\"log lines lost\" n=%d\n", now, lost)
	}
	_, _ = s.writer.Write(line)
}
