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

// Decisions are counted by reason. A violation is logged even if other decisions have used up their rate limit.
func TestDecisionsAreCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	d := NewDecisions(slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 * logLineBurst {
		d.RequestRejected("1", http.StatusServiceUnavailable, 0, guard.NoCapacity)
		d.AcceptFailed(errors.New("none"))
	}
	d.Violation(guard.RequestRead, "id", "crossed")
	d.ResponseCutOff(Attempt{RequestID: "2"}, CutOffServerSilent, 100)
	page := d.Page()
	if page.RequestsRejected["no_room"] != 3*logLineBurst || page.FailedAccepts != 3*logLineBurst ||
		page.Violations["request_read"] != 1 || page.ResponsesCutOff["server_silent"] != 1 || page.SuppressedLines == 0 {
		t.Errorf("decisions: got %+v, want all counted by reason, and suppressed lines", page)
	}
	if !strings.Contains(log.String(), `msg=violation reason=request_read id=crossed`) {
		t.Error("the log lacks the violation")
	}
}
