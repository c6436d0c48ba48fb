package metrics

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"keelusher/policy"
)

// A report is one log line with the counts since the last report, or no line if there was no activity.
func TestCountsLineOnlyAfterActivity(t *testing.T) {
	var out strings.Builder
	log := slog.New(slog.NewTextHandler(&out, nil))
	r := NewRecorder([]policy.Class{{Name: "a"}, {Name: "b"}})
	r.LogReport(log, 0)
	if out.Len() > 0 {
		t.Errorf("report without activity: got log %q, want none", out.String())
	}
	recordActivity := func() {
		r.Update(func(c *Counters) { c.Requests += 4 })
		r.CountResponse("a", 200, 1)
		r.CountResponse("a", 503, 0)
		r.CountResponse("b", 502, 2)
		r.CountAttemptResult("s-1", policy.Success, time.Second, nil)
		r.CountAttemptResult("s-1", policy.TimedOut, 2*time.Second, errors.New("late"))
		r.CountInvalidRequest("odd")
	}
	recordActivity()
	r.LogReport(log, 5)
	r.LogReport(log, 5)
	recordActivity()
	r.LogReport(log, 5)
	for _, want := range []string{"taken=4 served=1 refused=1 failed=1 left=0 unsent=1 open=1 out=5",
		"taken=4 served=1 refused=1 failed=1 left=0 unsent=1 open=2 out=5"} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("want %q once in log %q", want, out.String())
		}
	}
	for _, want := range []string{
		"ended.ok=1 ended.timeout=1 ended.mean=1.5s ended.bad_servers=1 ended.worst=s-1 ended.worst_bad=1 ended.fault=late",
		"turned_down=1 reason=odd",
	} {
		if strings.Count(out.String(), want) != 2 {
			t.Errorf("want %q twice in log %q", want, out.String())
		}
	}
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("log has %d lines, want 2", n)
	}
}
