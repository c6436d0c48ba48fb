// Counters of what a node did, for the log and for operators.

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

// reportInterval bounds the volume of the log: at most one counts line per interval.
const reportInterval = 5 * time.Second

// counters count what a node did since it started. They never decrease, so that a counts line of the log is the
// difference of two snapshots.
type counters struct {
	// Client connections.
	acceptedConnections int
	evictedConnections  int // closed while idle because the connection limit was reached
	incompleteHeads     int // closed after part of a request's head

	// Requests.
	invalidRequests        int // rejected before the policy saw them
	requestsAfterClose     int // read off a connection that was being evicted; their clients send them again
	requests               int
	clientDisconnects      int // requests whose client disconnected before the response
	succeeded              countByName
	rejected               countByName
	failed                 countByName
	answeredWithoutAttempt int // rejected or failed without an attempt

	// Attempts and server connections.
	staleConnections int // found closed, or with unexpected bytes, when next needed
	attemptsWritten  int // written completely to a server
	attemptResults   [policy.NotSent + 1]int
	attemptTime      time.Duration // sum over all attempts that ended
}

// countByName counts by the name of a class or a server.
type countByName map[string]int

func (c countByName) sum() (n int) {
	for _, count := range c {
		n += count
	}
	return n
}

// inFlight is the number of requests without a response whose client is still there.
func (c *counters) inFlight() int {
	return c.requests - c.clientDisconnects - c.succeeded.sum() - c.rejected.sum() - c.failed.sum()
}

// metrics is the one source of the counts line of the log and of the admin endpoint's counters. It is safe for
// concurrent use, except that only one goroutine may call logReport.
type metrics struct {
	mu                sync.Mutex
	current           counters
	lastReported      counters    // as of the last report
	lastAttemptError  string      // of the last attempt without a response
	lastInvalidReason string      // of the last invalid request
	failedAttempts    countByName // by server, since the last report
}

func newMetrics(classes []policy.Class) *metrics {
	m := &metrics{
		failedAttempts: countByName{},
		current: counters{
			succeeded: countByName{},
			rejected:  countByName{},
			failed:    countByName{},
		},
	}
	for _, class := range classes {
		m.current.succeeded[class.Name] = 0
		m.current.rejected[class.Name] = 0
		m.current.failed[class.Name] = 0
	}
	return m
}

// attemptResultNames are the keys of the group "ended" of the counts line.
var attemptResultNames = [...]string{
	policy.Success:        "ok",
	policy.ServerError:    "error",
	policy.Overloaded:     "full",
	policy.TimedOut:       "timeout",
	policy.ConnectFailed:  "unreachable",
	policy.ConnectionLost: "reset",
	policy.Canceled:       "withdrawn",
	policy.NotSent:        "void",
}

// update changes the counters under the lock.
func (m *metrics) update(change func(*counters)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.current)
}

// snapshot copies the counters; later updates do not change the copy.
func (m *metrics) snapshot() counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.current
	c.succeeded = maps.Clone(c.succeeded)
	c.rejected = maps.Clone(c.rejected)
	c.failed = maps.Clone(c.failed)
	return c
}

// countInvalidRequest counts a request that was rejected before the policy saw it.
func (m *metrics) countInvalidRequest(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.invalidRequests++
	m.lastInvalidReason = reason
}

// countAnswer counts a final response.
func (m *metrics) countAnswer(class string, status, attempts int) {
	m.update(func(c *counters) {
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

// countAttemptResult counts an attempt that ended; err is nil if the server responded.
func (m *metrics) countAttemptResult(server string, result policy.AttemptResult, took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.attemptResults[result]++
	m.current.attemptTime += took
	if result != policy.Success {
		m.failedAttempts[server]++
	}
	if err != nil {
		m.lastAttemptError = err.Error()
	}
}

// logReport logs one line about the time since the last report, if anything happened.
func (m *metrics) logReport(log *slog.Logger, attemptsOut int) {
	report := m.nextReport()
	if report.empty() {
		return
	}
	log.Info("counts", report.logFields(attemptsOut)...)
}

// metricsReport is what happened between two reports.
type metricsReport struct {
	now            counters
	before         counters
	attemptError   string
	invalidReason  string
	failedAttempts countByName
}

// nextReport starts a new reporting interval and returns the one that ended.
func (m *metrics) nextReport() metricsReport {
	report := metricsReport{now: m.snapshot(), before: m.lastReported}
	m.lastReported = report.now
	m.mu.Lock()
	defer m.mu.Unlock()
	report.attemptError, m.lastAttemptError = m.lastAttemptError, ""
	report.invalidReason, m.lastInvalidReason = m.lastInvalidReason, ""
	report.failedAttempts, m.failedAttempts = m.failedAttempts, countByName{}
	return report
}

// since is how much one counter has increased.
func (r *metricsReport) since(count func(*counters) int) int { return count(&r.now) - count(&r.before) }

func (r *metricsReport) attemptsEnded() (n int) {
	for result := range r.now.attemptResults {
		n += r.now.attemptResults[result] - r.before.attemptResults[result]
	}
	return n
}

func (r *metricsReport) empty() bool {
	activity := r.since(func(c *counters) int {
		return c.acceptedConnections + c.invalidRequests + c.requests + c.clientDisconnects +
			c.succeeded.sum() + c.rejected.sum() + c.failed.sum()
	})
	return activity+r.attemptsEnded() == 0
}

// logFields are the keys and values of the counts line. The operators' pages name the keys.
func (r *metricsReport) logFields(attemptsOut int) []any {
	return []any{
		"taken", r.since(func(c *counters) int { return c.requests }),
		"served", r.since(func(c *counters) int { return c.succeeded.sum() }),
		"refused", r.since(func(c *counters) int { return c.rejected.sum() }),
		"failed", r.since(func(c *counters) int { return c.failed.sum() }),
		"left", r.since(func(c *counters) int { return c.clientDisconnects }),
		"unsent", r.since(func(c *counters) int { return c.answeredWithoutAttempt }),
		"open", r.now.inFlight(),
		"out", attemptsOut,
		"written", r.since(func(c *counters) int { return c.attemptsWritten }),
		slog.Group("ended", r.attemptFields()...),
		"accepted", r.since(func(c *counters) int { return c.acceptedConnections }),
		"evicted", r.since(func(c *counters) int { return c.evictedConnections }),
		"half_heads", r.since(func(c *counters) int { return c.incompleteHeads }),
		"turned_down", r.since(func(c *counters) int { return c.invalidRequests }),
		"reason", r.invalidReason,
		"crossed", r.since(func(c *counters) int { return c.requestsAfterClose }),
		"stale", r.since(func(c *counters) int { return c.staleConnections }),
	}
}

// attemptFields are the group "ended" of the counts line.
func (r *metricsReport) attemptFields() []any {
	var fields []any
	for result := range r.now.attemptResults {
		if n := r.now.attemptResults[result] - r.before.attemptResults[result]; n > 0 {
			fields = append(fields, slog.Int(attemptResultNames[result], n))
		}
	}
	if ended := r.attemptsEnded(); ended > 0 {
		mean := (r.now.attemptTime - r.before.attemptTime) / time.Duration(ended)
		fields = append(fields, slog.Duration("mean", mean))
	}
	// One server that stands out is faulty; many alike point at the tier behind them.
	if servers := slices.Sorted(maps.Keys(r.failedAttempts)); len(servers) > 0 {
		worst := slices.MaxFunc(servers, func(a, b string) int { return r.failedAttempts[a] - r.failedAttempts[b] })
		fields = append(fields,
			slog.Int("bad_servers", len(servers)),
			slog.String("worst", worst),
			slog.Int("worst_bad", r.failedAttempts[worst]))
	}
	if r.attemptError != "" {
		fields = append(fields, slog.String("fault", r.attemptError))
	}
	return fields
}

// countersPage is the JSON of the counters that operators read.
type countersPage struct {
	Succeeded        countByName `json:"success"`
	Rejected         countByName `json:"busy"`
	Failed           countByName `json:"failure"`
	AttemptsWritten  int         `json:"backend_calls"`
	InFlight         int         `json:"inflight"`
	EndpointsListed  int         `json:"hosts_listed"`
	EndpointsAvoided int         `json:"hosts_down"` // draining, unhealthy or overloaded
}

func (m *metrics) page(listed, avoided int) countersPage {
	c := m.snapshot()
	return countersPage{
		Succeeded:        c.succeeded,
		Rejected:         c.rejected,
		Failed:           c.failed,
		AttemptsWritten:  c.attemptsWritten,
		InFlight:         c.inFlight(),
		EndpointsListed:  listed,
		EndpointsAvoided: avoided,
	}
}
