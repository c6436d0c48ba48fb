// What the guard decided, counted by its verdicts, with the log lines that go with it.

package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"keelusher/policy/guard"

	"golang.org/x/time/rate"
)

const (
	decisionLinesPerSecond  = 2  // log lines about decisions, a second: samples, for the counts are whole
	violationLinesPerSecond = 10 // the same about violations, each of which is a fault
	logLineBurst      = 20
)

// verdictCounters counts by verdict.
type verdictCounters [guard.NumberOfVerdicts]atomic.Int64

func (c *verdictCounters) add(v guard.Verdict) { c[v].Add(1) }

// nonZero are the counts above zero, by the verdicts' names.
func (c *verdictCounters) nonZero() map[string]int64 {
	out := map[string]int64{}
	for v := range c {
		if n := c[v].Load(); n > 0 {
			out[guard.Verdict(v).String()] = n
		}
	}
	return out
}

// closeCause is why the node ended a client's connection that had no request in work.
type closeCause int

const (
	closeIdle    closeCause = iota // it had no request for as long as it may rest
	closeSlowHead                    // its request's head did not come in time
	closeEvicted                   // all places are taken, and it has gone without a request for longest
	closeShutdown                     // the process sends its clients away
	numberOfCloseCauses
)

var closeCauseNames = [numberOfCloseCauses]string{closeIdle: "rested", closeSlowHead: "slow_head", closeEvicted: "makes_room",
	closeShutdown: "leaving"}

// decisions is the one place where decisions are counted and logged. Its counts run from the start of the process.
type decisions struct {
	log    *slog.Logger
	decisionLimit  *rate.Limiter
	violationLimit *rate.Limiter // of violations: nothing else may crowd them out

	attemptsNotSent       verdictCounters // attempts, by why they were not sent
	requestsRejected      verdictCounters // requests refused or failed by the module, by why
	readinessRefused      verdictCounters // answers to the front that clients may not come
	violations    verdictCounters // promises that were broken, by which; each is a fault of the node's
	closedConnections        [numberOfCloseCauses]atomic.Int64
	failedAccepts atomic.Int64
	suppressedLines      atomic.Int64 // log lines left out
}

func newDecisions(log *slog.Logger) *decisions {
	return &decisions{
		log:    log,
		decisionLimit:  rate.NewLimiter(decisionLinesPerSecond, logLineBurst),
		violationLimit: rate.NewLimiter(violationLinesPerSecond, logLineBurst),
	}
}

// logLimited logs a decision, if not too many were in this second.
func (d *decisions) logLimited(bound *rate.Limiter, level slog.Level, message string, args ...any) {
	if !bound.Allow() {
		d.suppressedLines.Add(1)
		return
	}
	d.log.Log(context.Background(), level, message, args...)
}

// attemptNotSent is told of each attempt that the guard held back.
func (d *decisions) attemptNotSent(att *attempt, why guard.Verdict) {
	d.attemptsNotSent.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "attempt not sent", "id", att.request.meta.ID, "attempt", att.number, "server", att.endpoint.id, "reason", why.String())
}

// requestRejected is told of each request that the module refuses or fails.
func (d *decisions) requestRejected(id string, status, attempts int, why guard.Verdict) {
	d.requestsRejected.add(why)
	d.logLimited(d.decisionLimit, slog.LevelInfo, "request turned away", "id", id, "status", status, "attempts", attempts, "reason", why.String())
}

// attemptWritten takes the second look at an attempt whose last byte was just written.
func (d *decisions) attemptWritten(att *attempt, sent guard.Sent) {
	if v := sent.Violation(); v != guard.Allowed {
		d.violation(v, "id", att.request.meta.ID, "attempt", att.number, "server", att.endpoint.id, "told", sent.Told,
			"left", sent.ClientDeadline-sent.Now)
	}
}

// violation counts a broken promise.
func (d *decisions) violation(v guard.Verdict, args ...any) {
	d.violations.add(v)
	d.logLimited(d.violationLimit, slog.LevelWarn, "violation", append([]any{"reason", v.String()}, args...)...)
}

// acceptFailed is told of each accept that failed, for clients or operators.
func (d *decisions) acceptFailed(err error) {
	d.failedAccepts.Add(1)
	d.logLimited(d.decisionLimit, slog.LevelWarn, "accept failed", "err", err)
}

// connectionClosed counts a client's connection that the node ended.
func (d *decisions) connectionClosed(cause closeCause) { d.closedConnections[cause].Add(1) }

// decisionsPage is what operators read of the decisions.
type decisionsPage struct {
	AttemptsNotSent       map[string]int64 `json:"attempts_not_sent"`
	RequestsRejected      map[string]int64 `json:"requests_turned_away"`
	ReadinessRefused      map[string]int64 `json:"not_ready"`
	Violations    map[string]int64 `json:"violations"`
	ClosedConnections        map[string]int64 `json:"connections_closed"`
	FailedAccepts int64            `json:"failed_accepts"`
	SuppressedLines      int64            `json:"log_lines_left_out"`
}

func (d *decisions) page() decisionsPage {
	f := decisionsPage{
		AttemptsNotSent:       d.attemptsNotSent.nonZero(),
		RequestsRejected:      d.requestsRejected.nonZero(),
		ReadinessRefused:      d.readinessRefused.nonZero(),
		Violations:    d.violations.nonZero(),
		ClosedConnections:        map[string]int64{},
		FailedAccepts: d.failedAccepts.Load(),
		SuppressedLines:      d.suppressedLines.Load(),
	}
	for cause, name := range closeCauseNames {
		if n := d.closedConnections[cause].Load(); n > 0 {
			f.ClosedConnections[name] = n
		}
	}
	return f
}

// atomicTime is a clock time that is set once; zero: not yet.
type atomicTime struct{ value atomic.Int64 }

func (t *atomicTime) set(at time.Duration) { t.value.CompareAndSwap(0, int64(at)) }

func (t *atomicTime) get() time.Duration { return time.Duration(t.value.Load()) }
