package membership

import (
	"log/slog"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// detectorReports holds what one failure detector has reported: state changes of processes, and the results of its
// probes. Each detector has its own detectorReports. After a detector is shut down, its suspicion timers still report
// for a while. The mesh no longer reads these reports, so it cannot mistake them for those of the next detector.
//
// Memberlist's goroutines call the exported methods, which never block.
type detectorReports struct {
	events  chan processEvent
	dropped atomic.Bool // an event was dropped, because the queue was full
	probes  probeResults
	log     *slog.Logger
}

// processEvent is a change of a process that the failure detector reports. Memberlist's goroutines send the events, the
// mesh's goroutine receives them.
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

// NotifyJoin queues an event for a process that is new, or live again.
func (r *detectorReports) NotifyJoin(node *memberlist.Node) { r.notify(node, true) }

// NotifyLeave queues an event for a process that the failure detector reports dead, or that has left.
func (r *detectorReports) NotifyLeave(node *memberlist.Node) { r.notify(node, false) }

// NotifyUpdate queues an event for a process that has published new metadata.
func (r *detectorReports) NotifyUpdate(node *memberlist.Node) { r.notify(node, true) }

// AckPayload returns nil, since answers to probes carry no payload.
func (r *detectorReports) AckPayload() []byte { return nil }

// NotifyPingComplete records a process's answer to a probe of this process's failure detector.
func (r *detectorReports) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	r.probes.recordAnswer(node.Name)
}

var failedProbe = regexp.MustCompile(`Suspect (\S+) has failed, no acks received`)

// Write logs a line of memberlist's own log at the debug level, and records the failed probe if the line reports one.
// That line is the only sign by which memberlist reports an unanswered probe; a test fails if its text changes.
func (r *detectorReports) Write(line []byte) (int, error) {
	if match := failedProbe.FindSubmatch(line); match != nil {
		r.probes.recordFailure(string(match[1]))
	}
	r.log.Debug("memberlist", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
