package membership

import (
	"log/slog"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// detectorReports are what one failure detector has reported: changes of processes, and the results of its probes.
// They end with their detector. A detector that was shut still reports for a while, by timers of suspicions that it
// began before; nobody reads that, so it can't be taken for the word of the next detector.
//
// Its exported methods are for memberlist's goroutines, and never wait.
type detectorReports struct {
	events  chan processEvent
	dropped atomic.Bool // events: the queue was full
	probes  probeResults
	log     *slog.Logger
}

// processEvent is a change in the failure detector. Memberlist's goroutines make them, the mesh's takes them.
type processEvent struct {
	node memberlist.Node
	live bool
}

func newDetectorReports(log *slog.Logger) *detectorReports {
	return &detectorReports{
		events: make(chan processEvent, eventQueueSize),
		probes: newProbeResults(),
		log:    log,
	}
}

func (r *detectorReports) notify(node *memberlist.Node, live bool) {
	select {
	case r.events <- processEvent{*node, live}:
	default:
		r.dropped.Store(true)
	}
}

// NotifyJoin takes a new process.
func (r *detectorReports) NotifyJoin(node *memberlist.Node) { r.notify(node, true) }

// NotifyLeave takes a process that is dead by the failure detector, or has left.
func (r *detectorReports) NotifyLeave(node *memberlist.Node) { r.notify(node, false) }

// NotifyUpdate takes new metadata.
func (r *detectorReports) NotifyUpdate(node *memberlist.Node) { r.notify(node, true) }

// AckPayload has nothing to add to an answer.
func (r *detectorReports) AckPayload() []byte { return nil }

// NotifyPingComplete takes a process's answer to this one's probe.
func (r *detectorReports) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	r.probes.recordAnswer(node.Name)
}

var failedProbe = regexp.MustCompile(`Suspect (\S+) has failed, no acks received`)

// Write takes a line of memberlist's own log, and logs it at the debug level. Memberlist reports a probe without an
// answer in no other way; a test fails where that line changes.
func (r *detectorReports) Write(line []byte) (int, error) {
	if match := failedProbe.FindSubmatch(line); match != nil {
		r.probes.recordFailure(string(match[1]))
	}
	r.log.Debug("memberlist", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
