// The decision log: what was decided against a request, an attempt or a connection, counted and logged by reason.

package metrics

import (
	"context"
	"log/slog"
	"sync/atomic"

	"keelusher/policy/guard"

	"golang.org/x/time/rate"
)

const (
	decisionLinesPerSecond  = 2 // a sample: the counters are complete
	violationLinesPerSecond = 10
	logLineBurst            = 20
)

// verdictCounters count by verdict of the guard.
type verdictCounters [guard.NumberOfVerdicts]atomic.Int64

func (c *verdictCounters) add(verdict guard.Verdict) { c[verdict].Add(1) }

// nonZero returns the counters above zero, by the verdicts' names.
func (c *verdictCounters) nonZero() map[string]int64 {
	counts := map[string]int64{}
	for verdict := range c {
		if n := c[verdict].Load(); n > 0 {
			counts[guard.Verdict(verdict).String()] = n
		}
	}
	return counts
}

// CloseCause is why the node closed a client connection that had no request in progress.
type CloseCause int

// The causes.
const (
	CloseIdle     CloseCause = iota // no request within the idle timeout
	CloseSlowHead                   // the head of a request was not complete in time
	CloseEvicted                    // the connection limit is reached, and this one has been without a request for longest
	CloseShutdown                   // the node is draining or shutting down
	numberOfCloseCauses
)

var closeCauseNames = [numberOfCloseCauses]string{
	CloseIdle:     "rested",
	CloseSlowHead: "slow_head",
	CloseEvicted:  "makes_room",
	CloseShutdown: "leaving",
}

// Attempt names an attempt in the log.
type Attempt struct {
	RequestID string
	Number    int
	Endpoint  string
}

// Decisions is the one place where Decisions are counted and logged. The counters run from the start of the process.
// It is safe for concurrent use.
type Decisions struct {
	log            *slog.Logger
	decisionLimit  *rate.Limiter
	violationLimit *rate.Limiter // of its own, so that no other lines displace a violation

	attemptsNotSent   verdictCounters
	requestsRejected  verdictCounters // or failed by the policy
	readinessRefused  verdictCounters // negative answers to /ready
	violations        verdictCounters // each one is a fault of this node
	closedConnections [numberOfCloseCauses]atomic.Int64
	failedAccepts     atomic.Int64
	unexpected        atomic.Int64 // responses that no request asked for
	suppressedLines   atomic.Int64 // log lines over the limits
}

// NewDecisions makes counters at zero, which log to log.
func NewDecisions(log *slog.Logger) *Decisions {
	return &Decisions{
		log:            log,
		decisionLimit:  rate.NewLimiter(decisionLinesPerSecond, logLineBurst),
		violationLimit: rate.NewLimiter(violationLinesPerSecond, logLineBurst),
	}
}

// logLimited logs a line unless the limit is reached.
func (d *Decisions) logLimited(limit *rate.Limiter, level slog.Level, message string, args ...any) {
	if !limit.Allow() {
		d.suppressedLines.Add(1)
		return
	}
	d.log.Log(context.Background(), level, message, args...)
}

// AttemptNotSent counts an attempt that the guard prevented.
func (d *Decisions) AttemptNotSent(attempt Attempt, why guard.Verdict) {
	d.attemptsNotSent.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "attempt not sent",
		"id", attempt.RequestID, "attempt", attempt.Number, "server", attempt.Endpoint, "reason", why.String())
}

// RequestRejected counts a request that the policy rejected or failed.
func (d *Decisions) RequestRejected(id string, status, attempts int, why guard.Verdict) {
	d.requestsRejected.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "request turned away",
		"id", id, "status", status, "attempts", attempts, "reason", why.String())
}

// AttemptWritten checks an attempt again after its last byte was written.
func (d *Decisions) AttemptWritten(attempt Attempt, sent guard.Sent) {
	if verdict := sent.Violation(); verdict != guard.Allowed {
		d.Violation(verdict, "id", attempt.RequestID, "attempt", attempt.Number, "server", attempt.Endpoint,
			"told", sent.Timeout, "left", sent.ClientDeadline-sent.Now)
	}
}

// Violation counts a guarantee that the node did not keep.
func (d *Decisions) Violation(verdict guard.Verdict, args ...any) {
	d.violations.add(verdict)
	args = append([]any{"reason", verdict.String()}, args...)
	d.logLimited(d.violationLimit, slog.LevelWarn, "violation", args...)
}

// ReadinessRefused counts a negative answer to the front.
func (d *Decisions) ReadinessRefused(why guard.Verdict) { d.readinessRefused.add(why) }

// Violations are the violations so far, by name.
func (d *Decisions) Violations() map[string]int64 { return d.violations.nonZero() }

// AcceptFailed counts an accept that failed, of a client's or an operator's connection.
func (d *Decisions) AcceptFailed(err error) {
	d.failedAccepts.Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "accept failed", "err", err)
}

// UnexpectedResponse counts bytes of an endpoint that no request asked for. One that responds twice may have crossed
// the next request on its connection before: that client got another's response.
func (d *Decisions) UnexpectedResponse(endpoint string) {
	d.unexpected.Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "unexpected response", "server", endpoint)
}

// ConnectionClosed counts a client connection that the node closed.
func (d *Decisions) ConnectionClosed(cause CloseCause) { d.closedConnections[cause].Add(1) }

// DecisionsPage is the JSON of the decisions that operators read.
type DecisionsPage struct {
	AttemptsNotSent   map[string]int64 `json:"attempts_not_sent"`
	RequestsRejected  map[string]int64 `json:"requests_turned_away"`
	ReadinessRefused  map[string]int64 `json:"not_ready"`
	Violations        map[string]int64 `json:"violations"`
	ClosedConnections map[string]int64 `json:"connections_closed"`
	FailedAccepts     int64            `json:"failed_accepts"`
	Unexpected        int64            `json:"unexpected_responses"`
	SuppressedLines   int64            `json:"log_lines_left_out"`
}

// Page is the decisions so far.
func (d *Decisions) Page() DecisionsPage {
	page := DecisionsPage{
		AttemptsNotSent:   d.attemptsNotSent.nonZero(),
		RequestsRejected:  d.requestsRejected.nonZero(),
		ReadinessRefused:  d.readinessRefused.nonZero(),
		Violations:        d.violations.nonZero(),
		ClosedConnections: map[string]int64{},
		FailedAccepts:     d.failedAccepts.Load(),
		Unexpected:        d.unexpected.Load(),
		SuppressedLines:   d.suppressedLines.Load(),
	}
	for cause, name := range closeCauseNames {
		if n := d.closedConnections[cause].Load(); n > 0 {
			page.ClosedConnections[name] = n
		}
	}
	return page
}
