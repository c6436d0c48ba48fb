package logsink

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// gatedWriter blocks until its gate is closed, and records what is written to it.
type gatedWriter struct {
	gate    chan struct{}
	written bytes.Buffer
}

func newGatedWriter() *gatedWriter {
	return &gatedWriter{gate: make(chan struct{})}
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.gate
	return w.written.Write(line)
}

// mustWrite writes a line and checks that the sink accepted all of it.
func mustWrite(t *testing.T, s *Sink, line string) {
	t.Helper()
	if n, err := s.Write([]byte(line)); n != len(line) || err != nil {
		t.Errorf("the sink accepted %d of %d bytes, error %v, want all and no error", n, len(line), err)
	}
}

// While the underlying writer blocks, the program has to continue, and the lines that do not fit into the queue have to
// be reported as lost.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	w := newGatedWriter()
	s := New(w)
	for range 2 * queueLines {
		mustWrite(t, s, "x\n")
	}
	close(w.gate)
	s.Close()
	text := w.written.String()
	if lines := strings.Count(text, "x\n"); lines < queueLines {
		t.Errorf("%d lines were written, want at least %d", lines, queueLines)
	}
	if !strings.Contains(text, `msg="log lines lost" n=`) {
		t.Error("the log has no report of the lost lines")
	}
}

// A blocked reader of the log must not keep the program from ending.
func TestCloseDoesNotWaitForABlockedWriter(t *testing.T) {
	w := newGatedWriter()
	s := New(w)
	mustWrite(t, s, "x\n")
	s.Close() // returns though the writer is blocked
	close(w.gate)
	<-s.ended
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// An error of the underlying writer must not reach the program that logs.
func TestWriterErrorsAreNotReturned(t *testing.T) {
	s := New(failingWriter{})
	mustWrite(t, s, "x\n")
	s.Close()
}
