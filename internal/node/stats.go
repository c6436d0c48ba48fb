package node

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"keelusher/policy"
)

// reportEvery bounds the volume of the log: one line for so long in which anything happened.
const reportEvery = 5 * time.Second

// counts are of what a node did since it started. They never fall, so a log line is the difference of two.
type counts struct {
	accepted                int // connections from callers
	evicted                 int // of these, closed without a request in work to make room
	halves                  int // of these, closed by the node after half a head
	turned                  int // turned down before the module saw it
	crossed                 int // requests read off a connection that had made room: their clients send them again
	taken, left             int // requests, and those whose clients left
	served, refused, failed perName
	unsent                  int // refused or failed without an attempt
	stale                   int // connections to servers found ended, or with bytes nobody asked for, when next needed
	written                 int // attempts that went whole to a server
	endings                 [policy.NotSent + 1]int
	waited                  time.Duration // over all attempts that ended
}

// perName counts by the name of a class or a server.
type perName map[string]int

func (p perName) sum() (n int) {
	for _, v := range p {
		n += v
	}
	return n
}

// inflight is the requests taken and not ended.
func (c *counts) inflight() int {
	return c.taken - c.left - c.served.sum() - c.refused.sum() - c.failed.sum()
}

// stats is the one source of the log's counts and of the figures at the door.
type stats struct {
	mu     sync.Mutex
	now    counts
	last   counts  // as they were at the last report
	fault  string  // why the last attempt that lacks an answer does
	reason string  // of the last one turned down; it stands for the others
	bad    perName // attempts without an answer since the last report, by server
}

func newStats(classes []policy.Class) *stats {
	s := &stats{bad: perName{}, now: counts{served: perName{}, refused: perName{}, failed: perName{}}}
	for _, c := range classes {
		s.now.served[c.Name], s.now.refused[c.Name], s.now.failed[c.Name] = 0, 0, 0
	}
	return s
}

var endingNames = [...]string{policy.Success: "ok", policy.ServerError: "error", policy.Overloaded: "full",
	policy.TimedOut: "timeout", policy.ConnectFailed: "unreachable", policy.ConnectionLost: "reset",
	policy.Canceled: "withdrawn", policy.NotSent: "void"}

func (s *stats) count(f func(*counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.now)
}

// snapshot is the counts as they are; nothing that is counted later changes it.
func (s *stats) snapshot() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.now
	c.served, c.refused, c.failed = maps.Clone(c.served), maps.Clone(c.refused), maps.Clone(c.failed)
	return c
}

// turnedDown counts what was turned down.
func (s *stats) turnedDown(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now.turned++
	s.reason = reason
}

// answered counts a final answer.
func (s *stats) answered(class string, status, attempts int) {
	s.count(func(c *counts) {
		switch status {
		case http.StatusOK:
			c.served[class]++
		case http.StatusServiceUnavailable:
			c.refused[class]++
		default:
			c.failed[class]++
		}
		if attempts == 0 {
			c.unsent++
		}
	})
}

// ended counts the ending of an attempt at a server.
func (s *stats) ended(server string, e policy.AttemptResult, took time.Duration, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now.endings[e]++
	s.now.waited += took
	if e != policy.Success {
		s.bad[server]++
	}
	if why != nil {
		s.fault = why.Error()
	}
}

// report logs the counts of the time since the last one, if there are any.
func (s *stats) report(log *slog.Logger, out int) {
	now, was := s.snapshot(), s.last
	s.last = now // the loop alone reports
	s.mu.Lock()
	fault, reason, bad := s.fault, s.reason, s.bad
	s.fault, s.reason, s.bad = "", "", perName{}
	s.mu.Unlock()
	ended := 0
	attempts := make([]any, 0, len(now.endings)+2)
	for e := range now.endings {
		if n := now.endings[e] - was.endings[e]; n > 0 {
			ended += n
			attempts = append(attempts, slog.Int(endingNames[e], n))
		}
	}
	accepted, turned, taken, left := now.accepted-was.accepted, now.turned-was.turned, now.taken-was.taken, now.left-was.left
	served, refused, failed := now.served.sum()-was.served.sum(), now.refused.sum()-was.refused.sum(), now.failed.sum()-was.failed.sum()
	if accepted+turned+taken+served+refused+failed+left+ended == 0 {
		return
	}
	if ended > 0 {
		attempts = append(attempts, slog.Duration("mean", (now.waited-was.waited)/time.Duration(ended)))
	}
	if len(bad) > 0 { // one server that stands out is ill; many alike point at the tier behind them
		worst := slices.MaxFunc(slices.Sorted(maps.Keys(bad)), func(a, b string) int { return bad[a] - bad[b] })
		attempts = append(attempts, slog.Int("bad_servers", len(bad)), slog.String("worst", worst), slog.Int("worst_bad", bad[worst]))
	}
	if fault != "" {
		attempts = append(attempts, slog.String("fault", fault))
	}
	log.Info("counts", "taken", taken, "served", served, "refused", refused, "failed", failed, "left", left,
		"unsent", now.unsent-was.unsent, "open", now.inflight(), "out", out, "written", now.written-was.written,
		slog.Group("ended", attempts...), "accepted", accepted,
		"evicted", now.evicted-was.evicted, "half_heads", now.halves-was.halves, "turned_down", turned, "reason", reason, "crossed", now.crossed-was.crossed, "stale", now.stale-was.stale)
}

// figures are the counts in the form that operators read.
type figures struct {
	Success  perName `json:"success"`
	Busy     perName `json:"busy"`
	Failure  perName `json:"failure"`
	Written  int     `json:"backend_calls"`
	Inflight int     `json:"inflight"`
	Listed   int     `json:"hosts_listed"`
	Down     int     `json:"hosts_down"`
}

func (s *stats) figures(listed, down int) figures {
	c := s.snapshot()
	return figures{Success: c.served, Busy: c.refused, Failure: c.failed, Written: c.written,
		Inflight: c.inflight(), Listed: listed, Down: down}
}
