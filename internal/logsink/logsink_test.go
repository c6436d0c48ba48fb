package logsink

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// gatedWriter blocks until its gate is closed, and keeps what it gets.
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

// mustWrite writes a line, which must never fail.
func mustWrite(t *testing.T, s *Sink, line string) {
	t.Helper()
	if n, err := s.Write([]byte(line)); n != len(line) || err != nil {
		t.Errorf("wrote %d bytes of %d: %v", n, len(line), err)
	}
}

func TestBlockedWriterBlocksNobody(t *testing.T) {
	w := newGatedWriter()
	s := New(w)
	for range 2 * queueLines {
		mustWrite(t, s, "x\n")
	}
	close(w.gate)
	s.Close()
	text := w.written.String()
	if lines := strings.Count(text, "x\n"); lines < queueLines {
		t.Errorf("%d lines are written, want at least %d", lines, queueLines)
	}
	if !strings.Contains(text, `msg="log lines lost" n=`) {
		t.Error("no line says how many are lost")
	}
}

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

func TestFailingWriterFailsNobody(t *testing.T) {
	s := New(failingWriter{})
	mustWrite(t, s, "x\n")
	s.Close()
}
