package node

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"deckrelay"
)

// reportEvery bounds the volume of the log: one line for so long in which anything happened.
const reportEvery = 5 * time.Second

// stats counts what a node did since its last report. Each report starts them anew.
type stats struct {
	mu       sync.Mutex // the HTTP server's goroutines count the next two
	accepted int        // connections from callers
	turned   turned

	// The loop's alone.
	taken, served, refused, failed, left int
	unsent                               int // refused or failed without an attempt
	endings                              [deckrelay.Void + 1]int
	waited                               time.Duration // over all attempts that ended
	fault                                string        // why the last attempt that lacks an answer does
}

// turned is what was turned down before the module saw it.
type turned struct {
	n    int
	last string // the reason of the last one stands for the others
}

var endingNames = [...]string{deckrelay.Success: "ok", deckrelay.Failure: "error", deckrelay.Overloaded: "full",
	deckrelay.TimedOut: "timeout", deckrelay.Unreachable: "unreachable", deckrelay.Broken: "reset",
	deckrelay.Withdrawn: "withdrawn", deckrelay.Void: "void"}

// count changes the part that goroutines share.
func (s *stats) count(f func(*stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// answered counts a final answer of the loop's.
func (s *stats) answered(status, attempts int) {
	switch status {
	case http.StatusOK:
		s.served++
	case http.StatusServiceUnavailable:
		s.refused++
	default:
		s.failed++
	}
	if attempts == 0 {
		s.unsent++
	}
}

// report logs the counts of the time since the last one, if there are any, and starts anew.
func (s *stats) report(log *slog.Logger, open, out int) {
	s.mu.Lock()
	accepted, down := s.accepted, s.turned
	s.accepted, s.turned = 0, turned{}
	s.mu.Unlock()
	ended := 0
	attempts := make([]any, 0, len(s.endings)+2)
	for e, n := range s.endings {
		ended += n
		if n > 0 {
			attempts = append(attempts, slog.Int(endingNames[e], n))
		}
	}
	if accepted+down.n+s.taken+s.served+s.refused+s.failed+s.left+ended == 0 {
		return
	}
	if ended > 0 {
		attempts = append(attempts, slog.Duration("mean", s.waited/time.Duration(ended)))
	}
	if s.fault != "" {
		attempts = append(attempts, slog.String("fault", s.fault))
	}
	log.Info("counts", "taken", s.taken, "served", s.served, "refused", s.refused, "failed", s.failed, "left", s.left,
		"unsent", s.unsent, "open", open, "out", out, slog.Group("ended", attempts...),
		"accepted", accepted, "turned_down", down.n, "reason", down.last)
	s.taken, s.served, s.refused, s.failed, s.left, s.unsent = 0, 0, 0, 0, 0, 0
	s.endings, s.waited, s.fault = [deckrelay.Void + 1]int{}, 0, ""
}
