package node

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"deckrelay"
)

// A report is one line with the counts since the last one, and none where nothing happened.
func TestReportsOnlyWhatHappened(t *testing.T) {
	var out strings.Builder
	log := slog.New(slog.NewTextHandler(&out, nil))
	var s stats
	s.report(log, 0, 0)
	if out.Len() > 0 {
		t.Errorf("nothing happened, yet it said %q", out.String())
	}
	s.taken = 3
	s.answered(200, 1)
	s.answered(503, 0)
	s.answered(502, 2)
	s.endings[deckrelay.Success], s.endings[deckrelay.TimedOut], s.waited = 1, 1, 3*time.Second
	s.count(func(s *stats) { s.turned = turned{1, "odd"} })
	s.report(log, 4, 5)
	s.report(log, 4, 5)
	for _, want := range []string{"taken=3 served=1 refused=1 failed=1 left=0 unsent=1 open=4 out=5",
		"ended.ok=1 ended.timeout=1 ended.mean=1.5s", "turned_down=1 reason=odd"} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("want %q once in %q", want, out.String())
		}
	}
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
}
