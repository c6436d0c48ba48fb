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
	decisionLines  = 2  // log lines about decisions, a second: samples, for the counts are whole
	violationLines = 10 // the same about violations, each of which is a fault
	lineBurst      = 20
)

// verdictCounts counts by verdict.
type verdictCounts [guard.NumberOfVerdicts]atomic.Int64

func (c *verdictCounts) add(v guard.Verdict) { c[v].Add(1) }

// figures are the counts above zero, by the verdicts' names.
func (c *verdictCounts) figures() map[string]int64 {
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
	closeRested    closeCause = iota // it had no request for as long as it may rest
	closeSlowHead                    // its request's head did not come in time
	closeMakesRoom                   // all places are taken, and it has gone without a request for longest
	closeLeaving                     // the process sends its clients away
	numberOfCauses
)

var causeNames = [numberOfCauses]string{closeRested: "rested", closeSlowHead: "slow_head", closeMakesRoom: "makes_room",
	closeLeaving: "leaving"}

// decisions is the one place where decisions are counted and logged. Its counts run from the start of the process.
type decisions struct {
	log    *slog.Logger
	lines  *rate.Limiter
	alarms *rate.Limiter // of violations: nothing else may crowd them out

	notSent       verdictCounts // attempts, by why they were not sent
	answered      verdictCounts // requests refused or failed by the module, by why
	notReady      verdictCounts // answers to the front that clients may not come
	violations    verdictCounts // promises that were broken, by which; each is a fault of the node's
	closed        [numberOfCauses]atomic.Int64
	failedAccepts atomic.Int64
	silenced      atomic.Int64 // log lines left out
}

func newDecisions(log *slog.Logger) *decisions {
	return &decisions{
		log:    log,
		lines:  rate.NewLimiter(decisionLines, lineBurst),
		alarms: rate.NewLimiter(violationLines, lineBurst),
	}
}

// line logs a decision, if not too many were in this second.
func (d *decisions) line(bound *rate.Limiter, level slog.Level, message string, args ...any) {
	if !bound.Allow() {
		d.silenced.Add(1)
		return
	}
	d.log.Log(context.Background(), level, message, args...)
}

// attemptNotSent is told of each attempt that the guard held back.
func (d *decisions) attemptNotSent(att *attempt, why guard.Verdict) {
	d.notSent.add(why)
	d.line(d.lines, slog.LevelInfo, "attempt not sent", "id", att.call.req.ID, "attempt", att.n, "server", att.target.id, "reason", why.String())
}

// requestAnswered is told of each request that the module refuses or fails.
func (d *decisions) requestAnswered(id string, status, attempts int, why guard.Verdict) {
	d.answered.add(why)
	d.line(d.lines, slog.LevelInfo, "request turned away", "id", id, "status", status, "attempts", attempts, "reason", why.String())
}

// attemptWritten takes the second look at an attempt whose last byte was just written.
func (d *decisions) attemptWritten(att *attempt, sent guard.Sent) {
	if v := sent.Violation(); v != guard.Allowed {
		d.violation(v, "id", att.call.req.ID, "attempt", att.n, "server", att.target.id, "told", sent.Timeout,
			"left", sent.ClientDeadline-sent.Now)
	}
}

// violation counts a broken promise.
func (d *decisions) violation(v guard.Verdict, args ...any) {
	d.violations.add(v)
	d.line(d.alarms, slog.LevelWarn, "violation", append([]any{"reason", v.String()}, args...)...)
}

// acceptFailed is told of each accept that failed, for clients or operators.
func (d *decisions) acceptFailed(err error) {
	d.failedAccepts.Add(1)
	d.line(d.lines, slog.LevelWarn, "accept failed", "err", err)
}

// connectionClosed counts a client's connection that the node ended.
func (d *decisions) connectionClosed(cause closeCause) { d.closed[cause].Add(1) }

// decisionFigures is what operators read of the decisions.
type decisionFigures struct {
	NotSent       map[string]int64 `json:"attempts_not_sent"`
	Answered      map[string]int64 `json:"requests_turned_away"`
	NotReady      map[string]int64 `json:"not_ready"`
	Violations    map[string]int64 `json:"violations"`
	Closed        map[string]int64 `json:"connections_closed"`
	FailedAccepts int64            `json:"failed_accepts"`
	Silenced      int64            `json:"log_lines_left_out"`
}

func (d *decisions) figures() decisionFigures {
	f := decisionFigures{
		NotSent:       d.notSent.figures(),
		Answered:      d.answered.figures(),
		NotReady:      d.notReady.figures(),
		Violations:    d.violations.figures(),
		Closed:        map[string]int64{},
		FailedAccepts: d.failedAccepts.Load(),
		Silenced:      d.silenced.Load(),
	}
	for cause, name := range causeNames {
		if n := d.closed[cause].Load(); n > 0 {
			f.Closed[name] = n
		}
	}
	return f
}

// atomicTime is a clock time that is set once; zero: not yet.
type atomicTime struct{ v atomic.Int64 }

func (t *atomicTime) set(at time.Duration) { t.v.CompareAndSwap(0, int64(at)) }

func (t *atomicTime) get() time.Duration { return time.Duration(t.v.Load()) }
