package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A call or a watch without a line for so long is broken: a line comes every 2 s, and a call that waits in
	// turn ends sooner. Silence, another dial and its watchSilenceTimeout must fit in the 6 s after which news counts as told
	// and the 3 s of grace for a drain.
	watchSilenceTimeout = 3 * time.Second
	// A first line comes at once, after a turn of 1 s and a connection that is 1 s late at most. One that fails must
	// leave time for another: where lists are pushed the grace of a drain is running already.
	firstLineTimeout = 2300 * time.Millisecond
	incompleteListTimeout  = 500 * time.Millisecond // a list that has begun is whole so soon, or it was cut short
	// A watchdog that comes so much late has slept with the whole process. The grace of a drain has 50 ms of slack.
	suspensionThreshold = 100 * time.Millisecond
	resumeQuietPeriod    = 50 * time.Millisecond // after a sleep, without a further line: all that waited has been read
	maxSendHold  = 300 * time.Millisecond
)

var (
	errSilent = errors.New("silent for too long")
	errIncompleteList   = errors.New("a list was cut short")
)

// stalenessMonitor holds discovery to its clock. A watch that falls silent, is mute from the start or leaves a list unfinished
// is cut, so that it is opened anew. It also sees that the process itself was stopped: news that waits in the socket
// may be overdue then, and until it has been read the node is behind.
type stalenessMonitor struct {
	silenceTimeout time.Duration
	pushed  bool // the agent's word counts also while no watch is open
	start   time.Time
	signDeadline     atomic.Int64 // after began: when the watchdog has surely bitten, unless it slept; 0: nothing is owed

	mu    sync.Mutex
	timer *time.Timer // nil: nothing is open
	watchNumber int         // so many were opened
	cancelWatch   func(error)
	listIncomplete  bool
	suspended  bool      // it has slept
	readSinceResume bool      // and something was read since
	heldDeadline int64     // the due that hold was last asked of while behind,
	heldSince time.Time // and when it first was
}

func newStalenessMonitor(silence time.Duration, pushed bool) *stalenessMonitor {
	return &stalenessMonitor{silenceTimeout: silence, pushed: pushed, start: time.Now()}
}

// stale says that news may be waiting which is overdue: nothing should be sent until it is read.
func (w *stalenessMonitor) stale() bool {
	due := w.signDeadline.Load()
	return due != 0 && int64(time.Since(w.start)) > due
}

// holdSends says that whoever is about to send should wait. After a sleep it does for holdMost at most.
func (w *stalenessMonitor) holdSends() bool {
	if w == nil || !w.stale() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if due := w.signDeadline.Load(); due != w.heldDeadline {
		w.heldDeadline, w.heldSince = due, time.Now()
	}
	return time.Since(w.heldSince) < maxSendHold
}

// expectSign sets when the next sign of life is due. The caller holds the lock.
func (w *stalenessMonitor) expectSign(within time.Duration) {
	w.signDeadline.Store(int64(time.Since(w.start) + within + suspensionThreshold))
}

// watchStarted begins to guard a call or a watch, which cut ends.
func (w *stalenessMonitor) watchStarted(cut func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspended = w.stale() // it slept between two watches
	patience := min(w.silenceTimeout, firstLineTimeout)
	if !w.suspended {
		w.expectSign(patience)
	}
	w.cancelWatch, w.listIncomplete, w.readSinceResume = cut, false, false
	w.watchNumber++
	n := w.watchNumber
	w.timer = time.AfterFunc(patience, func() { w.expire(n) })
}

// lineReceived hears a whole lineReceived or list.
func (w *stalenessMonitor) lineReceived() { w.signReceived(false, w.silenceTimeout) }

// partReceived hears the beginning of a list in many lines.
func (w *stalenessMonitor) partReceived() { w.signReceived(true, min(incompleteListTimeout, w.silenceTimeout)) }

func (w *stalenessMonitor) signReceived(torn bool, patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || torn && w.listIncomplete { // the time for a whole list runs from its first line
		return
	}
	w.listIncomplete, w.readSinceResume = torn, true
	if w.suspended {
		w.timer.Reset(resumeQuietPeriod)
		return
	}
	w.expectSign(patience)
	w.timer.Reset(patience)
}

func (w *stalenessMonitor) expire(watch int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil || w.watchNumber != watch: // that one is over
	case !w.suspended && w.stale(): // it slept: first what waits in the socket
		w.suspended, w.readSinceResume = true, false
		w.timer.Reset(resumeQuietPeriod)
	case w.suspended && w.readSinceResume && !w.listIncomplete: // all of that is read
		w.suspended = false
		w.expectSign(w.silenceTimeout)
		w.timer.Reset(w.silenceTimeout)
	default:
		why := errSilent
		if w.listIncomplete {
			why = errIncompleteList
		}
		w.suspended = false
		w.signDeadline.Store(0)
		w.cancelWatch(why)
	}
}

// watchEnded ends the guard. Where lists are pushed another watch is to be open within again.
func (w *stalenessMonitor) watchEnded(again time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
	switch {
	case !w.pushed:
		w.signDeadline.Store(0)
	case !w.stale():
		w.expectSign(again)
	}
}
