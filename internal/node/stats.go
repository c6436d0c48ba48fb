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

// reportInterval bounds the volume of the log: one line for so long in which anything happened.
const reportInterval = 5 * time.Second

// counters are of what a node did since it started. They never fall, so a log line is the difference of two.
type counters struct {
	acceptedConnections                int // connections from callers
	evictedConnections                 int // of these, closed without a request in work to make room
	incompleteHeads                  int // of these, closed by the node after half a head
	invalidRequests                  int // turned down before the module saw it
	requestsAfterClose                 int // requests read off a connection that had made room: their clients send them again
	requests, clientDisconnects             int // requests, and those whose clients left
	succeeded, rejected, failed countByName
	answeredWithoutAttempt                  int // refused or failed without an attempt
	staleConnections                   int // connections to servers found ended, or with bytes nobody asked for, when next needed
	attemptsWritten                 int // attempts that went whole to a server
	attemptResults                 [policy.NotSent + 1]int
	attemptTime                  time.Duration // over all attempts that ended
}

// countByName counts by the name of a class or a server.
type countByName map[string]int

func (p countByName) sum() (n int) {
	for _, v := range p {
		n += v
	}
	return n
}

// inFlight is the requests taken and not ended.
func (c *counters) inFlight() int {
	return c.requests - c.clientDisconnects - c.succeeded.sum() - c.rejected.sum() - c.failed.sum()
}

// metrics is the one source of the log's counts and of the figures at the door.
type metrics struct {
	mu     sync.Mutex
	current    counters
	lastReported   counters  // as they were at the last report
	lastAttemptError  string  // why the last attempt that lacks an answer does
	lastInvalidReason string  // of the last one turned down; it stands for the others
	failedAttempts    countByName // attempts without an answer since the last report, by server
}

func newMetrics(classes []policy.Class) *metrics {
	s := &metrics{failedAttempts: countByName{}, current: counters{succeeded: countByName{}, rejected: countByName{}, failed: countByName{}}}
	for _, c := range classes {
		s.current.succeeded[c.Name], s.current.rejected[c.Name], s.current.failed[c.Name] = 0, 0, 0
	}
	return s
}

var attemptResultNames = [...]string{policy.Success: "ok", policy.ServerError: "error", policy.Overloaded: "full",
	policy.TimedOut: "timeout", policy.ConnectFailed: "unreachable", policy.ConnectionLost: "reset",
	policy.Canceled: "withdrawn", policy.NotSent: "void"}

func (s *metrics) update(f func(*counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.current)
}

// snapshot is the counts as they are; nothing that is counted later changes it.
func (s *metrics) snapshot() counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.current
	c.succeeded, c.rejected, c.failed = maps.Clone(c.succeeded), maps.Clone(c.rejected), maps.Clone(c.failed)
	return c
}

// countInvalidRequest counts what was turned down.
func (s *metrics) countInvalidRequest(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.invalidRequests++
	s.lastInvalidReason = reason
}

// countAnswer counts a final answer.
func (s *metrics) countAnswer(class string, status, attempts int) {
	s.update(func(c *counters) {
		switch status {
		case http.StatusOK:
			c.succeeded[class]++
		case http.StatusServiceUnavailable:
			c.rejected[class]++
		default:
			c.failed[class]++
		}
		if attempts == 0 {
			c.answeredWithoutAttempt++
		}
	})
}

// countAttemptResult counts the ending of an attempt at a server.
func (s *metrics) countAttemptResult(server string, e policy.AttemptResult, took time.Duration, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.attemptResults[e]++
	s.current.attemptTime += took
	if e != policy.Success {
		s.failedAttempts[server]++
	}
	if why != nil {
		s.lastAttemptError = why.Error()
	}
}

// logReport logs the counts of the time since the last one, if there are any.
func (s *metrics) logReport(log *slog.Logger, out int) {
	now, was := s.snapshot(), s.lastReported
	s.lastReported = now // the loop alone reports
	s.mu.Lock()
	fault, reason, bad := s.lastAttemptError, s.lastInvalidReason, s.failedAttempts
	s.lastAttemptError, s.lastInvalidReason, s.failedAttempts = "", "", countByName{}
	s.mu.Unlock()
	ended := 0
	attempts := make([]any, 0, len(now.attemptResults)+2)
	for e := range now.attemptResults {
		if n := now.attemptResults[e] - was.attemptResults[e]; n > 0 {
			ended += n
			attempts = append(attempts, slog.Int(attemptResultNames[e], n))
		}
	}
	accepted, turned, taken, left := now.acceptedConnections-was.acceptedConnections, now.invalidRequests-was.invalidRequests, now.requests-was.requests, now.clientDisconnects-was.clientDisconnects
	served, refused, failed := now.succeeded.sum()-was.succeeded.sum(), now.rejected.sum()-was.rejected.sum(), now.failed.sum()-was.failed.sum()
	if accepted+turned+taken+served+refused+failed+left+ended == 0 {
		return
	}
	if ended > 0 {
		attempts = append(attempts, slog.Duration("mean", (now.attemptTime-was.attemptTime)/time.Duration(ended)))
	}
	if len(bad) > 0 { // one server that stands out is ill; many alike point at the tier behind them
		worst := slices.MaxFunc(slices.Sorted(maps.Keys(bad)), func(a, b string) int { return bad[a] - bad[b] })
		attempts = append(attempts, slog.Int("bad_servers", len(bad)), slog.String("worst", worst), slog.Int("worst_bad", bad[worst]))
	}
	if fault != "" {
		attempts = append(attempts, slog.String("fault", fault))
	}
	log.Info("counts", "taken", taken, "served", served, "refused", refused, "failed", failed, "left", left,
		"unsent", now.answeredWithoutAttempt-was.answeredWithoutAttempt, "open", now.inFlight(), "out", out, "written", now.attemptsWritten-was.attemptsWritten,
		slog.Group("ended", attempts...), "accepted", accepted,
		"evicted", now.evictedConnections-was.evictedConnections, "half_heads", now.incompleteHeads-was.incompleteHeads, "turned_down", turned, "reason", reason, "crossed", now.requestsAfterClose-was.requestsAfterClose, "stale", now.staleConnections-was.staleConnections)
}

// countersPage are the counts in the form that operators read.
type countersPage struct {
	Succeeded  countByName `json:"success"`
	Rejected     countByName `json:"busy"`
	Failed  countByName `json:"failure"`
	AttemptsWritten  int     `json:"backend_calls"`
	InFlight int     `json:"inflight"`
	EndpointsListed   int     `json:"hosts_listed"`
	EndpointsAvoided     int     `json:"hosts_down"`
}

func (s *metrics) page(listed, down int) countersPage {
	c := s.snapshot()
	return countersPage{Succeeded: c.succeeded, Rejected: c.rejected, Failed: c.failed, AttemptsWritten: c.attemptsWritten,
		InFlight: c.inFlight(), EndpointsListed: listed, EndpointsAvoided: down}
}
