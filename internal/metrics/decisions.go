// Counters and log lines, by reason, of the decisions against a request, an attempt or a connection.

package metrics

import (
	"context"
	"log/slog"
	"sync/atomic"

	"keelusher/policy/guard"

	"golang.org/x/time/rate"
)

const (
	decisionLinesPerSecond  = 2 // the log holds a sample; the counters are complete
	violationLinesPerSecond = 10
	logLineBurst            = 20
)

// verdictCounters holds a counter for each verdict of the guard.
type verdictCounters [guard.NumberOfVerdicts]atomic.Int64

func (c *verdictCounters) add(verdict guard.Verdict) { c[verdict].Add(1) }

// nonZero returns the counters above zero, by the name of the verdict.
func (c *verdictCounters) nonZero() map[string]int64 {
	counts := map[string]int64{}
	for verdict := range c {
		if n := c[verdict].Load(); n > 0 {
			counts[guard.Verdict(verdict).String()] = n
		}
	}
	return counts
}

// CloseCause is the reason for which the node closed a client connection that had no request in progress.
type CloseCause int

// Causes of closing a connection.
const (
	CloseIdle     CloseCause = iota // no request within the idle timeout
	CloseSlowHead                   // the head of a request was not complete in time
	CloseEvicted                    // the connection limit was reached; this connection had been idle for longest
	CloseShutdown                   // the node is draining or shutting down
	numberOfCloseCauses
)

var closeCauseNames = [numberOfCloseCauses]string{
	CloseIdle:     "rested",
	CloseSlowHead: "slow_head",
	CloseEvicted:  "makes_room",
	CloseShutdown: "leaving",
}

// CutOffCause is the reason for which the node stopped to receive or forward a response that had begun.
type CutOffCause int

// Causes of cutting off a response.
const (
	CutOffTimeout      CutOffCause = iota // the attempt timed out before the whole body had arrived
	CutOffServerSilent                    // the server stopped sending the body
	CutOffClientSlow                      // the client stopped reading the body
	CutOffTooLong                         // the body exceeds the maximum length
	numberOfCutOffCauses
)

var cutOffCauseNames = [numberOfCutOffCauses]string{
	CutOffTimeout:      "attempt_timeout",
	CutOffServerSilent: "server_silent",
	CutOffClientSlow:   "client_slow",
	CutOffTooLong:      "too_long",
}

// Attempt identifies an attempt in the log.
type Attempt struct {
	RequestID string
	Number    int
	Endpoint  string
}

// Decisions counts and logs all decisions of a node. The counters run from the start of the process. It is safe for
// concurrent use.
type Decisions struct {
	log            *slog.Logger
	decisionLimit  *rate.Limiter
	violationLimit *rate.Limiter // separate, so that other lines do not use up the limit for violations

	attemptsNotSent     verdictCounters
	requestsRejected    verdictCounters // rejected or failed by the policy
	readinessRefused    verdictCounters // negative answers to /ready
	violations          verdictCounters // each is a fault of this node
	closedConnections   [numberOfCloseCauses]atomic.Int64
	responsesCutOff     [numberOfCutOffCauses]atomic.Int64
	failedAccepts       atomic.Int64
	unexpectedResponses atomic.Int64 // responses without a request
	suppressedLines     atomic.Int64 // log lines beyond the rate limits
}

// NewDecisions returns Decisions with all counters at zero, which logs to log.
func NewDecisions(log *slog.Logger) *Decisions {
	return &Decisions{
		log:            log,
		decisionLimit:  rate.NewLimiter(decisionLinesPerSecond, logLineBurst),
		violationLimit: rate.NewLimiter(violationLinesPerSecond, logLineBurst),
	}
}

// logLimited logs a line, or counts it as suppressed if the rate limit is reached.
func (d *Decisions) logLimited(limit *rate.Limiter, level slog.Level, message string, args ...any) {
	if !limit.Allow() {
		d.suppressedLines.Add(1)
		return
	}
	d.log.Log(context.Background(), level, message, args...)
}

// AttemptNotSent counts and logs an attempt that the guard prevented.
func (d *Decisions) AttemptNotSent(attempt Attempt, why guard.Verdict) {
	d.attemptsNotSent.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "attempt not sent",
		"id", attempt.RequestID, "attempt", attempt.Number, "server", attempt.Endpoint, "reason", why.String())
}

// RequestRejected counts and logs a request that the policy rejected or failed.
func (d *Decisions) RequestRejected(id string, status, attempts int, why guard.Verdict) {
	d.requestsRejected.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "request turned away",
		"id", id, "status", status, "attempts", attempts, "reason", why.String())
}

// AttemptWritten checks an attempt again after its last byte was written. It counts and logs a violation if the attempt
// broke a guarantee.
func (d *Decisions) AttemptWritten(attempt Attempt, sent guard.Sent) {
	if verdict := sent.Violation(); verdict != guard.Allowed {
		d.Violation(verdict, "id", attempt.RequestID, "attempt", attempt.Number, "server", attempt.Endpoint,
			"told", sent.Timeout, "left", sent.ClientDeadline-sent.Now)
	}
}

// Violation counts and logs a violation of a guarantee by this node.
func (d *Decisions) Violation(verdict guard.Verdict, args ...any) {
	d.violations.add(verdict)
	args = append([]any{"reason", verdict.String()}, args...)
	d.logLimited(d.violationLimit, slog.LevelWarn, "violation", args...)
}

// ReadinessRefused counts a negative answer to /ready.
func (d *Decisions) ReadinessRefused(why guard.Verdict) { d.readinessRefused.add(why) }

// Violations returns the number of violations so far, by the name of the verdict.
func (d *Decisions) Violations() map[string]int64 { return d.violations.nonZero() }

// AcceptFailed counts and logs a failure to accept a connection of a client or an operator.
func (d *Decisions) AcceptFailed(err error) {
	d.failedAccepts.Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "accept failed", "err", err)
}

// UnexpectedResponse counts and logs bytes that an endpoint sent without a request. An endpoint that responds twice may
// earlier have sent its second response after the next request was written to that connection. The client of that next
// request then got the response to the previous one.
func (d *Decisions) UnexpectedResponse(endpoint string) {
	d.unexpectedResponses.Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "unexpected response", "server", endpoint)
}

// ResponseCutOff counts and logs a response that the node stopped to receive or forward after it had begun. received is
// the number of bytes of the body that had arrived.
func (d *Decisions) ResponseCutOff(attempt Attempt, why CutOffCause, received int64) {
	d.responsesCutOff[why].Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "response cut off",
		"id", attempt.RequestID, "attempt", attempt.Number, "server", attempt.Endpoint,
		"reason", cutOffCauseNames[why], "received", received)
}

// ConnectionClosed counts a client connection that the node closed while no request was in progress on it.
func (d *Decisions) ConnectionClosed(cause CloseCause) { d.closedConnections[cause].Add(1) }

// DecisionsPage is the JSON form of the decisions, for operators.
type DecisionsPage struct {
	AttemptsNotSent     map[string]int64 `json:"attempts_not_sent"`
	RequestsRejected    map[string]int64 `json:"requests_turned_away"`
	ReadinessRefused    map[string]int64 `json:"not_ready"`
	Violations          map[string]int64 `json:"violations"`
	ClosedConnections   map[string]int64 `json:"connections_closed"`
	ResponsesCutOff     map[string]int64 `json:"responses_cut_off"`
	FailedAccepts       int64            `json:"failed_accepts"`
	UnexpectedResponses int64            `json:"unexpected_responses"`
	SuppressedLines     int64            `json:"log_lines_left_out"`
}

// Page returns the decisions so far.
func (d *Decisions) Page() DecisionsPage {
	return DecisionsPage{
		AttemptsNotSent:     d.attemptsNotSent.nonZero(),
		RequestsRejected:    d.requestsRejected.nonZero(),
		ReadinessRefused:    d.readinessRefused.nonZero(),
		Violations:          d.violations.nonZero(),
		ClosedConnections:   nonZeroByName(d.closedConnections[:], closeCauseNames[:]),
		ResponsesCutOff:     nonZeroByName(d.responsesCutOff[:], cutOffCauseNames[:]),
		FailedAccepts:       d.failedAccepts.Load(),
		UnexpectedResponses: d.unexpectedResponses.Load(),
		SuppressedLines:     d.suppressedLines.Load(),
	}
}

// nonZeroByName returns the counters above zero, by the name at the same index.
func nonZeroByName(counters []atomic.Int64, names []string) map[string]int64 {
	counts := map[string]int64{}
	for i, name := range names {
		if n := counters[i].Load(); n > 0 {
			counts[name] = n
		}
	}
	return counts
}
