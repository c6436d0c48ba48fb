package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchSilenceTimeout is how long a watch or a poll may go without a line: discovery sends one every 2 s, and a
	// poll that waits its turn ends sooner. Silence, another connection and its silence fit in the 6 s after which a
	// change counts as notified and the 3 s of grace for a draining server.
	watchSilenceTimeout = 3 * time.Second
	// firstLineTimeout is for the first line, which comes at once but for a connection 1 s late and a turn of 1 s. A
	// watch that fails leaves time for another: where lists are pushed, the grace of a draining server runs already.
	firstLineTimeout = 2300 * time.Millisecond
	// incompleteListTimeout is for the rest of a list in many lines.
	incompleteListTimeout = 500 * time.Millisecond
	// suspensionThreshold is how late the monitor's own timer may be before the process counts as suspended. The
	// grace of a draining server has 50 ms of slack.
	suspensionThreshold = 100 * time.Millisecond
	// resumeQuietPeriod without a further line means that everything buffered during a suspension has been read.
	resumeQuietPeriod = 50 * time.Millisecond
	// maxSendHold bounds how long sends wait after a suspension.
	maxSendHold = 300 * time.Millisecond
)

// The errors with which the monitor cancels a watch.
var (
	errSilent         = errors.New("silent for too long")
	errIncompleteList = errors.New("a list was cut short")
)

// stalenessMonitor watches over the age of the endpoint list. It cancels a watch that is silent, or that leaves a list
// incomplete, so that discovery opens another. It also detects that the process itself was suspended: updates that are
// buffered in the socket may be overdue then, and until they have been read the list is stale.
//
//	state       sign of life                   timer expires
//	no watch    ignored                        ignored
//	watching    deadline moves                 suspended if the timer is far too late; else the watch is canceled
//	suspended   quiet period starts again      watching if something was read and no list is incomplete; else canceled
//
// A nil monitor never holds sends. Methods are safe for concurrent use.
type stalenessMonitor struct {
	silenceTimeout time.Duration
	pushed         bool // lists are pushed: changes count as notified also while no watch is open
	start          time.Time
	signDeadline   atomic.Int64 // nanoseconds after start; past it the process was suspended. 0: no sign is expected

	mu              sync.Mutex
	timer           *time.Timer // nil: no watch is open
	watchNumber     int
	cancelWatch     func(error)
	listIncomplete  bool
	suspended       bool
	readSinceResume bool
	heldDeadline    int64     // the deadline for which sends are held
	heldSince       time.Time // and since when they are
}

func newStalenessMonitor(silence time.Duration, pushed bool) *stalenessMonitor {
	return &stalenessMonitor{silenceTimeout: silence, pushed: pushed, start: time.Now()}
}

// stale reports whether overdue updates may be waiting to be read.
func (m *stalenessMonitor) stale() bool {
	deadline := m.signDeadline.Load()
	return deadline != 0 && int64(time.Since(m.start)) > deadline
}

// holdSends reports whether sends should wait for updates to be read, for maxSendHold after a suspension at most.
func (m *stalenessMonitor) holdSends() bool {
	if m == nil || !m.stale() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if deadline := m.signDeadline.Load(); deadline != m.heldDeadline {
		m.heldDeadline, m.heldSince = deadline, time.Now()
	}
	return time.Since(m.heldSince) < maxSendHold
}

// expectSign sets when the next sign of life is due. The caller holds the lock.
func (m *stalenessMonitor) expectSign(within time.Duration) {
	m.signDeadline.Store(int64(time.Since(m.start) + within + suspensionThreshold))
}

// watchStarted starts to monitor a watch or a poll, which cancel ends.
func (m *stalenessMonitor) watchStarted(cancel func(error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := min(m.silenceTimeout, firstLineTimeout)
	m.suspended = m.stale() // the process was suspended between two watches
	if !m.suspended {
		m.expectSign(timeout)
	}
	m.cancelWatch = cancel
	m.listIncomplete, m.readSinceResume = false, false
	m.watchNumber++
	number := m.watchNumber
	m.timer = time.AfterFunc(timeout, func() { m.expire(number) })
}

// lineReceived notes a complete line or list.
func (m *stalenessMonitor) lineReceived() { m.signReceived(false, m.silenceTimeout) }

// partReceived notes a line of a list in many lines.
func (m *stalenessMonitor) partReceived() {
	m.signReceived(true, min(incompleteListTimeout, m.silenceTimeout))
}

func (m *stalenessMonitor) signReceived(listIncomplete bool, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer == nil {
		return
	}
	if listIncomplete && m.listIncomplete { // the time for a complete list runs from its first line
		return
	}
	m.listIncomplete, m.readSinceResume = listIncomplete, true
	if m.suspended {
		m.timer.Reset(resumeQuietPeriod)
		return
	}
	m.expectSign(timeout)
	m.timer.Reset(timeout)
}

// expire handles the timer of a watch.
func (m *stalenessMonitor) expire(watchNumber int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.timer == nil || m.watchNumber != watchNumber: // that watch has ended
	case !m.suspended && m.stale(): // first read what the socket has buffered
		m.suspended, m.readSinceResume = true, false
		m.timer.Reset(resumeQuietPeriod)
	case m.suspended && m.readSinceResume && !m.listIncomplete: // all of that is read
		m.suspended = false
		m.expectSign(m.silenceTimeout)
		m.timer.Reset(m.silenceTimeout)
	default:
		cause := errSilent
		if m.listIncomplete {
			cause = errIncompleteList
		}
		m.suspended = false
		m.signDeadline.Store(0)
		m.cancelWatch(cause)
	}
}

// watchEnded ends the monitoring of a watch. Where lists are pushed, the next one is to be open within backoff.
func (m *stalenessMonitor) watchEnded(backoff time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer.Stop()
	m.timer = nil
	switch {
	case !m.pushed:
		m.signDeadline.Store(0)
	case !m.stale():
		m.expectSign(backoff)
	}
}
