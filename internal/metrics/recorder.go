// Package metrics counts what a node did and decided, for the log and for operators.
package metrics

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"keelusher/policy"
)

// ReportInterval bounds the volume of the log: at most one counts line per interval.
const ReportInterval = 5 * time.Second

// Counters count what a node did since it started. They never decrease, so that a counts line of the log is the
// difference of two snapshots.
type Counters struct {
	// Client connections.
	AcceptedConnections int
	EvictedConnections  int // closed while idle because the connection limit was reached
	IncompleteHeads     int // closed after part of a request's head

	// Requests.
	InvalidRequests        int // rejected before the policy saw them
	RequestsAfterClose     int // read off a connection that was being evicted; their clients send them again
	Requests               int
	ClientDisconnects      int // requests whose client disconnected before the response
	Succeeded              CountByName
	Rejected               CountByName
	Failed                 CountByName
	AnsweredWithoutAttempt int // rejected or failed without an attempt

	// Attempts and server connections.
	StaleConnections int // found closed, or with unexpected bytes, when next needed
	AttemptsWritten  int // written completely to a server
	AttemptResults   [policy.NotSent + 1]int
	AttemptTime      time.Duration // sum over all attempts that ended
}

// CountByName counts by the name of a class or a server.
type CountByName map[string]int

// Sum is over all names.
func (c CountByName) Sum() (n int) {
	for _, count := range c {
		n += count
	}
	return n
}

// InFlight is the number of requests without a response whose client is still there.
func (c *Counters) InFlight() int {
	return c.Requests - c.ClientDisconnects - c.Succeeded.Sum() - c.Rejected.Sum() - c.Failed.Sum()
}

// Recorder is the one source of the counts line of the log and of the admin endpoint's counters. It is safe for
// concurrent use, except that only one goroutine may call logReport.
type Recorder struct {
	mu                sync.Mutex
	current           Counters
	lastReported      Counters    // as of the last report
	lastAttemptError  string      // of the last attempt without a response
	lastInvalidReason string      // of the last invalid request
	failedAttempts    CountByName // by server, since the last report
}

// NewRecorder makes a recorder with the counters of all classes at zero.
func NewRecorder(classes []policy.Class) *Recorder {
	m := &Recorder{
		failedAttempts: CountByName{},
		current: Counters{
			Succeeded: CountByName{},
			Rejected:  CountByName{},
			Failed:    CountByName{},
		},
	}
	for _, class := range classes {
		m.current.Succeeded[class.Name] = 0
		m.current.Rejected[class.Name] = 0
		m.current.Failed[class.Name] = 0
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

// Update changes the counters under the lock.
func (r *Recorder) Update(change func(*Counters)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.current)
}

// Snapshot copies the counters; later updates do not change the copy.
func (r *Recorder) Snapshot() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.current
	c.Succeeded = maps.Clone(c.Succeeded)
	c.Rejected = maps.Clone(c.Rejected)
	c.Failed = maps.Clone(c.Failed)
	return c
}

// CountInvalidRequest counts a request that was rejected before the policy saw it.
func (r *Recorder) CountInvalidRequest(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.InvalidRequests++
	r.lastInvalidReason = reason
}

// CountResponse counts a final response.
func (r *Recorder) CountResponse(class string, status, attempts int) {
	r.Update(func(c *Counters) {
		switch status {
		case http.StatusOK:
			c.Succeeded[class]++
		case http.StatusServiceUnavailable:
			c.Rejected[class]++
		default:
			c.Failed[class]++
		}
		if attempts == 0 {
			c.AnsweredWithoutAttempt++
		}
	})
}

// CountAttemptResult counts an attempt that ended; err is nil if the server responded.
func (r *Recorder) CountAttemptResult(server string, result policy.AttemptResult, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.AttemptResults[result]++
	r.current.AttemptTime += took
	if result != policy.Success {
		r.failedAttempts[server]++
	}
	if err != nil {
		r.lastAttemptError = err.Error()
	}
}

// LogReport logs one line about the time since the last report, if anything happened.
func (r *Recorder) LogReport(log *slog.Logger, attemptsOut int) {
	report := r.nextReport()
	if report.empty() {
		return
	}
	log.Info("counts", report.logFields(attemptsOut)...)
}

// metricsReport is what happened between two reports.
type metricsReport struct {
	now            Counters
	before         Counters
	attemptError   string
	invalidReason  string
	failedAttempts CountByName
}

// nextReport starts a new reporting interval and returns the one that ended.
func (r *Recorder) nextReport() metricsReport {
	report := metricsReport{now: r.Snapshot(), before: r.lastReported}
	r.lastReported = report.now
	r.mu.Lock()
	defer r.mu.Unlock()
	report.attemptError, r.lastAttemptError = r.lastAttemptError, ""
	report.invalidReason, r.lastInvalidReason = r.lastInvalidReason, ""
	report.failedAttempts, r.failedAttempts = r.failedAttempts, CountByName{}
	return report
}

// since is how much one counter has increased.
func (r *metricsReport) since(count func(*Counters) int) int { return count(&r.now) - count(&r.before) }

func (r *metricsReport) attemptsEnded() (n int) {
	for result := range r.now.AttemptResults {
		n += r.now.AttemptResults[result] - r.before.AttemptResults[result]
	}
	return n
}

func (r *metricsReport) empty() bool {
	activity := r.since(func(c *Counters) int {
		return c.AcceptedConnections + c.InvalidRequests + c.Requests + c.ClientDisconnects +
			c.Succeeded.Sum() + c.Rejected.Sum() + c.Failed.Sum()
	})
	return activity+r.attemptsEnded() == 0
}

// logFields are the keys and values of the counts line. The operators' pages name the keys.
func (r *metricsReport) logFields(attemptsOut int) []any {
	return []any{
		"taken", r.since(func(c *Counters) int { return c.Requests }),
		"served", r.since(func(c *Counters) int { return c.Succeeded.Sum() }),
		"refused", r.since(func(c *Counters) int { return c.Rejected.Sum() }),
		"failed", r.since(func(c *Counters) int { return c.Failed.Sum() }),
		"left", r.since(func(c *Counters) int { return c.ClientDisconnects }),
		"unsent", r.since(func(c *Counters) int { return c.AnsweredWithoutAttempt }),
		"open", r.now.InFlight(),
		"out", attemptsOut,
		"written", r.since(func(c *Counters) int { return c.AttemptsWritten }),
		slog.Group("ended", r.attemptFields()...),
		"accepted", r.since(func(c *Counters) int { return c.AcceptedConnections }),
		"evicted", r.since(func(c *Counters) int { return c.EvictedConnections }),
		"half_heads", r.since(func(c *Counters) int { return c.IncompleteHeads }),
		"turned_down", r.since(func(c *Counters) int { return c.InvalidRequests }),
		"reason", r.invalidReason,
		"crossed", r.since(func(c *Counters) int { return c.RequestsAfterClose }),
		"stale", r.since(func(c *Counters) int { return c.StaleConnections }),
	}
}

// attemptFields are the group "ended" of the counts line.
func (r *metricsReport) attemptFields() []any {
	var fields []any
	for result := range r.now.AttemptResults {
		if n := r.now.AttemptResults[result] - r.before.AttemptResults[result]; n > 0 {
			fields = append(fields, slog.Int(attemptResultNames[result], n))
		}
	}
	if ended := r.attemptsEnded(); ended > 0 {
		mean := (r.now.AttemptTime - r.before.AttemptTime) / time.Duration(ended)
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

// CountersPage is the JSON of the counters that operators read.
type CountersPage struct {
	Succeeded        CountByName `json:"success"`
	Rejected         CountByName `json:"busy"`
	Failed           CountByName `json:"failure"`
	AttemptsWritten  int         `json:"backend_calls"`
	InFlight         int         `json:"inflight"`
	EndpointsListed  int         `json:"hosts_listed"`
	EndpointsAvoided int         `json:"hosts_down"` // draining, unhealthy or overloaded
}

// Page is the counters now, with the numbers of endpoints that are listed, and that are avoided now.
func (r *Recorder) Page(listed, avoided int) CountersPage {
	c := r.Snapshot()
	return CountersPage{
		Succeeded:        c.Succeeded,
		Rejected:         c.Rejected,
		Failed:           c.Failed,
		AttemptsWritten:  c.AttemptsWritten,
		InFlight:         c.InFlight(),
		EndpointsListed:  listed,
		EndpointsAvoided: avoided,
	}
}
