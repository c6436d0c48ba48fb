package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A call or a watch without a line for so long is broken: a line comes every 2 s, and a call that waits in
	// turn ends sooner. Silence, another dial and its silence must fit in the 6 s after which news counts as told
	// and the 3 s of grace for a drain.
	silence = 3 * time.Second
	// A first line comes at once, after a turn of 1 s and a connection that is 1 s late at most. One that fails must
	// leave time for another: where lists are pushed the grace of a drain is running already.
	firstLine = 2300 * time.Millisecond
	tornTime  = 500 * time.Millisecond // a list that has begun is whole so soon, or it was cut short
	// A watchdog that comes so much late has slept with the whole process. The grace of a drain has 50 ms of slack.
	overslept = 100 * time.Millisecond
	settle    = 50 * time.Millisecond // after a sleep, without a further line: all that waited has been read
	holdMost  = 300 * time.Millisecond
)

var (
	errSilent = errors.New("silent for too long")
	errTorn   = errors.New("a list was cut short")
)

// watchdog holds discovery to its clock. A watch that falls silent, is mute from the start or leaves a list unfinished
// is cut, so that it is opened anew. It also sees that the process itself was stopped: news that waits in the socket
// may be overdue then, and until it has been read the node is behind.
type watchdog struct {
	silence time.Duration
	pushed  bool // the agent's word counts also while no watch is open
	began   time.Time
	due     atomic.Int64 // after began: when the watchdog has surely bitten, unless it slept; 0: nothing is owed

	mu    sync.Mutex
	timer *time.Timer // nil: nothing is open
	watch int         // so many were opened
	cut   func(error)
	torn  bool
	late  bool      // it has slept
	heard bool      // and something was read since
	asked int64     // the due that hold was last asked of while behind,
	since time.Time // and when it first was
}

func newWatchdog(silence time.Duration, pushed bool) *watchdog {
	return &watchdog{silence: silence, pushed: pushed, began: time.Now()}
}

// behind says that news may be waiting which is overdue: nothing should be sent until it is read.
func (w *watchdog) behind() bool {
	due := w.due.Load()
	return due != 0 && int64(time.Since(w.began)) > due
}

// hold says that whoever is about to send should wait. After a sleep it does for holdMost at most.
func (w *watchdog) hold() bool {
	if w == nil || !w.behind() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if due := w.due.Load(); due != w.asked {
		w.asked, w.since = due, time.Now()
	}
	return time.Since(w.since) < holdMost
}

// owe sets when the next sign of life is due. The caller holds the lock.
func (w *watchdog) owe(within time.Duration) {
	w.due.Store(int64(time.Since(w.began) + within + overslept))
}

// open begins to guard a call or a watch, which cut ends.
func (w *watchdog) open(cut func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = w.behind() // it slept between two watches
	patience := min(w.silence, firstLine)
	if !w.late {
		w.owe(patience)
	}
	w.cut, w.torn, w.heard = cut, false, false
	w.watch++
	n := w.watch
	w.timer = time.AfterFunc(patience, func() { w.bite(n) })
}

// line hears a whole line or list.
func (w *watchdog) line() { w.hear(false, w.silence) }

// part hears the beginning of a list in many lines.
func (w *watchdog) part() { w.hear(true, min(tornTime, w.silence)) }

func (w *watchdog) hear(torn bool, patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || torn && w.torn { // the time for a whole list runs from its first line
		return
	}
	w.torn, w.heard = torn, true
	if w.late {
		w.timer.Reset(settle)
		return
	}
	w.owe(patience)
	w.timer.Reset(patience)
}

func (w *watchdog) bite(watch int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil || w.watch != watch: // that one is over
	case !w.late && w.behind(): // it slept: first what waits in the socket
		w.late, w.heard = true, false
		w.timer.Reset(settle)
	case w.late && w.heard && !w.torn: // all of that is read
		w.late = false
		w.owe(w.silence)
		w.timer.Reset(w.silence)
	default:
		why := errSilent
		if w.torn {
			why = errTorn
		}
		w.late = false
		w.due.Store(0)
		w.cut(why)
	}
}

// close ends the guard. Where lists are pushed another watch is to be open within again.
func (w *watchdog) close(again time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
	switch {
	case !w.pushed:
		w.due.Store(0)
	case !w.behind():
		w.owe(again)
	}
}
