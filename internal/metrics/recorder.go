// Package metrics counts the events and decisions of a node, for the log and for operators.
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

// ReportInterval is the interval at which the node logs counts lines: at most one per interval, to bound the log
// volume.
const ReportInterval = 5 * time.Second

// Counters holds the counters of a node since its start. They never decrease, so that the difference of two snapshots
// gives a counts line of the log.
type Counters struct {
	// Client connections.
	AcceptedConnections int
	EvictedConnections  int // closed while idle because the connection limit was reached
	IncompleteHeads     int // connections closed after an incomplete head of a request

	// Requests.
	InvalidRequests        int // rejected before they reached the policy
	RequestsAfterClose     int // read from a connection that was being evicted; the clients send them again
	Requests               int
	ClientDisconnects      int // requests whose client disconnected before the response
	Succeeded              CountByName
	Rejected               CountByName
	Failed                 CountByName
	AnsweredWithoutAttempt int // rejected or failed without an attempt

	// Attempts and server connections.
	StaleConnections int                     // found closed, or with unexpected bytes, when needed for the next attempt
	AttemptsWritten  int                     // written completely to a server
	AttemptResults   [policy.NotSent + 1]int // by result, attempts that ended
	AttemptTime      time.Duration           // sum over all attempts that ended
}

// CountByName counts by the name of a class or a server.
type CountByName map[string]int

// Sum returns the sum over all names.
func (c CountByName) Sum() (n int) {
	for _, count := range c {
		n += count
	}
	return n
}

// InFlight returns the number of requests without a response whose client is still connected.
func (c *Counters) InFlight() int {
	return c.Requests - c.ClientDisconnects - c.Succeeded.Sum() - c.Rejected.Sum() - c.Failed.Sum()
}

// Recorder holds the counters behind the counts line of the log and the counters of the admin endpoint. It is safe for
// concurrent use, except that only one goroutine may call LogReport.
type Recorder struct {
	mu                sync.Mutex
	current           Counters
	lastReported      Counters    // counters at the last report
	lastAttemptError  string      // error of the last attempt without a response
	lastInvalidReason string      // reason of the last invalid request
	failedAttempts    CountByName // by server, since the last report
}

// NewRecorder returns a Recorder with the counters of all classes at zero.
func NewRecorder(classes []policy.Class) *Recorder {
	r := &Recorder{
		failedAttempts: CountByName{},
		current: Counters{
			Succeeded: CountByName{},
			Rejected:  CountByName{},
			Failed:    CountByName{},
		},
	}
	for _, class := range classes {
		r.current.Succeeded[class.Name] = 0
		r.current.Rejected[class.Name] = 0
		r.current.Failed[class.Name] = 0
	}
	return r
}

// attemptResultNames holds the keys of attempt results in the group "ended" of the counts line.
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

// Update calls change with the counters while it holds the lock.
func (r *Recorder) Update(change func(*Counters)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.current)
}

// Snapshot returns a copy of the counters that later updates do not change.
func (r *Recorder) Snapshot() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.current
	c.Succeeded = maps.Clone(c.Succeeded)
	c.Rejected = maps.Clone(c.Rejected)
	c.Failed = maps.Clone(c.Failed)
	return c
}

// CountInvalidRequest counts a request that was rejected before it reached the policy.
func (r *Recorder) CountInvalidRequest(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.InvalidRequests++
	r.lastInvalidReason = reason
}

// CountResponse counts the final response to a request by class and status, and separately if there was no attempt.
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

// LogReport logs one line with the counts since the last report, unless there was no activity.
func (r *Recorder) LogReport(log *slog.Logger, attemptsInFlight int) {
	report := r.nextReport()
	if report.empty() {
		return
	}
	log.Info("counts", report.logFields(attemptsInFlight)...)
}

// metricsReport holds the counters and errors of one reporting interval.
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

// since returns the increase of a counter since the last report.
func (r *metricsReport) since(count func(*Counters) int) int { return count(&r.now) - count(&r.before) }

// attemptsEnded returns the number of attempts that ended since the last report.
func (r *metricsReport) attemptsEnded() (n int) {
	for result := range r.now.AttemptResults {
		n += r.now.AttemptResults[result] - r.before.AttemptResults[result]
	}
	return n
}

// empty reports whether there was no activity since the last report.
func (r *metricsReport) empty() bool {
	activity := r.since(func(c *Counters) int {
		return c.AcceptedConnections + c.InvalidRequests + c.Requests + c.ClientDisconnects +
			c.Succeeded.Sum() + c.Rejected.Sum() + c.Failed.Sum()
	})
	return activity+r.attemptsEnded() == 0
}

// logFields returns the keys and values of the counts line. The keys are documented for operators and must not change.
func (r *metricsReport) logFields(attemptsInFlight int) []any {
	return []any{
		"taken", r.since(func(c *Counters) int { return c.Requests }),
		"served", r.since(func(c *Counters) int { return c.Succeeded.Sum() }),
		"refused", r.since(func(c *Counters) int { return c.Rejected.Sum() }),
		"failed", r.since(func(c *Counters) int { return c.Failed.Sum() }),
		"left", r.since(func(c *Counters) int { return c.ClientDisconnects }),
		"unsent", r.since(func(c *Counters) int { return c.AnsweredWithoutAttempt }),
		"open", r.now.InFlight(),
		"out", attemptsInFlight,
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

// attemptFields returns the group "ended" of the counts line.
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
	// If one server has most of the failures, that server is faulty; similar numbers at many servers point to a fault
	// of the tier behind them.
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

// CountersPage is the JSON form of the counters, for operators.
type CountersPage struct {
	Succeeded        CountByName `json:"success"`
	Rejected         CountByName `json:"busy"`
	Failed           CountByName `json:"failure"`
	AttemptsWritten  int         `json:"backend_calls"`
	InFlight         int         `json:"inflight"`
	EndpointsListed  int         `json:"hosts_listed"`
	EndpointsAvoided int         `json:"hosts_down"` // draining, unhealthy or overloaded
}

// Page returns the current counters, with the number of endpoints that are listed and of those that are now avoided.
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
