package metrics

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"keelusher/policy/guard"
)

// Decisions are counted by reason, and violations are logged however many other lines there are.
func TestDecisionsAreCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	d := NewDecisions(slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 * logLineBurst {
		d.RequestRejected("1", http.StatusServiceUnavailable, 0, guard.NoCapacity)
		d.AcceptFailed(errors.New("none"))
	}
	d.Violation(guard.RequestRead, "id", "crossed")
	f := d.Page()
	if f.RequestsRejected["no_room"] != 3*logLineBurst || f.FailedAccepts != 3*logLineBurst ||
		f.Violations["request_read"] != 1 || f.SuppressedLines == 0 {
		t.Errorf("counted %+v", f)
	}
	if !strings.Contains(log.String(), `msg=violation reason=request_read id=crossed`) {
		t.Error("the violation is missing in the log")
	}
}
