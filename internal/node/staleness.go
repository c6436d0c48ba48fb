package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchSilenceTimeout is how long a watch or a poll may go without a line. Discovery sends a line every 2 s, and a
	// poll that has to wait for a call slot of discovery ends sooner. One silent watch, a new connection and a
	// second silent watch fit into 9 s: 6 s until the change counts as notified, and 3 s of grace for a draining
	// server.
	watchSilenceTimeout = 3 * time.Second
	// firstLineTimeout is the timeout of the first line, which discovery sends at once. It allows 1 s for a slow
	// connection and 1 s for a poll that waits for a call slot of discovery. A watch that fails must leave time
	// for another one: where lists are pushed, the grace period of a draining server has begun already.
	firstLineTimeout = 2300 * time.Millisecond
	// incompleteListTimeout is the timeout of the next line of a list that spans several lines, and listTimeout that of
	// its last line. A silent watch, such a list and another watch fit into 9 s.
	incompleteListTimeout = 500 * time.Millisecond
	listTimeout           = 2 * time.Second
	// suspensionThreshold is how late the monitor's own timer may fire before the process counts as suspended. The
	// grace period of a draining server has 50 ms of slack.
	suspensionThreshold = 100 * time.Millisecond
	// resumeQuietPeriod is the time without a line after which everything buffered during a suspension counts as read.
	resumeQuietPeriod = 50 * time.Millisecond
	// maxSendHold is the longest time for which sends wait after a suspension.
	maxSendHold = 300 * time.Millisecond
)

// The causes with which the monitor cancels a watch.
var (
	errSilent         = errors.New("silent for too long")
	errIncompleteList = errors.New("a list was cut short")
)

// stalenessMonitor detects that the endpoint list may be out of date. It cancels a watch that is silent or leaves a
// list incomplete, so that discovery opens another one. It also detects that the process was suspended: overdue updates
// may then be waiting in the socket, and the list is stale until they have been read.
//
//	state       line received                  timer expires
//	no watch    ignored                        ignored
//	watching    deadline moves                 suspended if the timer is far too late; else the watch is canceled
//	suspended   quiet period restarts          watching if a line was read and no list is incomplete; else canceled
//
// A nil monitor never holds sends. The methods are safe for concurrent use.
type stalenessMonitor struct {
	silenceTimeout   time.Duration
	pushed           bool // lists are pushed: updates may become overdue even while no watch is open
	start            time.Time
	activityDeadline atomic.Int64 // in ns after start; if it passes, the process was suspended. 0: there is none

	mu              sync.Mutex
	timer           *time.Timer // nil if no watch is open
	watchNumber     int
	cancelWatch     func(error)
	listIncomplete  bool
	listDue         time.Time // when the last line of an incomplete list is due
	suspended       bool
	readSinceResume bool
	heldDeadline    int64     // the activityDeadline that has passed, which is why sends are held
	heldSince       time.Time // when sends were first held because heldDeadline had passed
}

func newStalenessMonitor(silence time.Duration, pushed bool) *stalenessMonitor {
	return &stalenessMonitor{silenceTimeout: silence, pushed: pushed, start: time.Now()}
}

// stale reports whether overdue updates may be waiting in the socket.
func (m *stalenessMonitor) stale() bool {
	deadline := m.activityDeadline.Load()
	return deadline != 0 && int64(time.Since(m.start)) > deadline
}

// holdSends reports whether sends should wait until overdue updates have been read. After a suspension it does so for
// maxSendHold at most.
func (m *stalenessMonitor) holdSends() bool {
	if m == nil || !m.stale() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if deadline := m.activityDeadline.Load(); deadline != m.heldDeadline {
		m.heldDeadline, m.heldSince = deadline, time.Now()
	}
	return time.Since(m.heldSince) < maxSendHold
}

// expectActivity sets activityDeadline: the next line or watch is due within the given time. The caller holds m.mu.
func (m *stalenessMonitor) expectActivity(within time.Duration) {
	m.activityDeadline.Store(int64(time.Since(m.start) + within + suspensionThreshold))
}

// watchStarted starts to monitor a watch or a poll. The monitor calls cancel to end it.
func (m *stalenessMonitor) watchStarted(cancel func(error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := min(m.silenceTimeout, firstLineTimeout)
	m.suspended = m.stale() // the process was suspended between two watches
	if !m.suspended {
		m.expectActivity(timeout)
	}
	m.cancelWatch = cancel
	m.listIncomplete, m.readSinceResume = false, false
	m.watchNumber++
	number := m.watchNumber
	m.timer = time.AfterFunc(timeout, func() { m.expire(number) })
}

// lineReceived records a heartbeat or the last line of a list.
func (m *stalenessMonitor) lineReceived() { m.recordActivity(false, m.silenceTimeout) }

// listPartReceived records a line of a list of which more lines follow.
func (m *stalenessMonitor) listPartReceived() {
	m.recordActivity(true, min(incompleteListTimeout, m.silenceTimeout))
}

// recordActivity restarts the timer after a line. The next line is due within timeout.
func (m *stalenessMonitor) recordActivity(listIncomplete bool, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer == nil {
		return
	}
	if listIncomplete {
		timeout = m.listPartTimeout(timeout)
	}
	m.listIncomplete, m.readSinceResume = listIncomplete, true
	if m.suspended {
		m.timer.Reset(resumeQuietPeriod)
		return
	}
	m.expectActivity(timeout)
	m.timer.Reset(timeout)
}

// listPartTimeout returns the timeout of the line after a part of a list: the given one, or what is left until the list
// is due. The caller holds m.mu.
func (m *stalenessMonitor) listPartTimeout(timeout time.Duration) time.Duration {
	now := time.Now()
	if !m.listIncomplete {
		m.listDue = now.Add(listTimeout)
	}
	return min(timeout, max(0, m.listDue.Sub(now)))
}

// expire handles the expiry of the timer that was set for a watch.
func (m *stalenessMonitor) expire(watchNumber int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.timer == nil || m.watchNumber != watchNumber: // that watch has ended
	case !m.suspended && m.stale(): // the updates buffered in the socket are to be read first
		m.suspended, m.readSinceResume = true, false
		m.timer.Reset(resumeQuietPeriod)
	case m.suspended && m.readSinceResume && !m.listIncomplete: // all buffered updates have been read
		m.suspended = false
		m.expectActivity(m.silenceTimeout)
		m.timer.Reset(m.silenceTimeout)
	default:
		cause := errSilent
		if m.listIncomplete {
			cause = errIncompleteList
		}
		m.suspended = false
		m.activityDeadline.Store(0)
		m.cancelWatch(cause)
	}
}

// watchEnded ends the monitoring of a watch. Where lists are pushed, the next watch is due within backoff.
func (m *stalenessMonitor) watchEnded(backoff time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer.Stop()
	m.timer = nil
	switch {
	case !m.pushed:
		m.activityDeadline.Store(0)
	case !m.stale():
		m.expectActivity(backoff)
	}
}
