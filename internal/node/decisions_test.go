package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"keelusher/policy/guard"
)

// Decisions are counted by reason, and violations are logged however many other lines there are.
func TestDecisionsAreCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	d := newDecisions(slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 * logLineBurst {
		d.requestRejected("1", http.StatusServiceUnavailable, 0, guard.NoCapacity)
		d.acceptFailed(errors.New("none"))
	}
	d.violation(guard.RequestRead, "id", "crossed")
	f := d.page()
	if f.RequestsRejected["no_room"] != 3*logLineBurst || f.FailedAccepts != 3*logLineBurst ||
		f.Violations["request_read"] != 1 || f.SuppressedLines == 0 {
		t.Errorf("counted %+v", f)
	}
	if !strings.Contains(log.String(), `msg=violation reason=request_read id=crossed`) {
		t.Error("the violation is missing in the log")
	}
}

// The admin endpoint shows decisions.
func TestDecisionsAtAdminEndpoint(t *testing.T) {
	n := startWith(t, newBackend(t, ok))
	n.loop.decisions.violation(guard.TimeoutTooLong)
	resp, err := http.Get("http://" + n.adminAddress + "/control/decisions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var f decisionsPage
	if err = errors.Join(err, json.Unmarshal(text, &f)); err != nil || f.Violations["told_too_much_time"] != 1 {
		t.Errorf("%v: %s", err, text)
	}
}
