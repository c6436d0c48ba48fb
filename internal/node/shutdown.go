// Draining and graceful shutdown.

package node

import (
	"context"
	"io"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/policy/guard"
)

const (
	// frontNoticeDelay is how long the front still sends connections after SIGTERM.
	frontNoticeDelay = 450 * time.Millisecond
	// closingAnswersTime is for how long after that every response closes its connection.
	closingAnswersTime = 150 * time.Millisecond
	// idleCloseInterval is between two looks at idle connections of clients that are sent away.
	idleCloseInterval = 20 * time.Millisecond
	// shutdownPollInterval is between two looks at the connections that are still open.
	shutdownPollInterval = idleCloseInterval / 4
	// finalAnswersMargin is before the kill that follows SIGTERM; by then all responses are on their way.
	finalAnswersMargin = 100 * time.Millisecond
	// killGrace is between SIGTERM and the kill, on top of the longest deadline of a class.
	killGrace = 700 * time.Millisecond
	// shutdownSlack is on top of the longest deadline, for the last responses to be written.
	shutdownSlack = 20 * time.Millisecond
	// maxDeadlineBeforeKill bounds that deadline.
	maxDeadlineBeforeKill = 3 * time.Second
)

// closeSocket closes what is no longer needed; a failure would change nothing.
func closeSocket(socket io.Closer) { socket.Close() }

// ready reports whether clients may come: the node serves and knows an endpoint in service. To clients two processes
// are one node: while this one shuts down, its successor has them.
func (n *Node) ready() bool {
	phase := n.lifecycle.Current()
	verdict := guard.AcceptClients{
		Serving:         phase == lifecycle.Serving,
		ShuttingDown:    phase == lifecycle.ShuttingDown,
		SuccessorServes: n.handover.SuccessorServes(),
		EndpointKnown:   n.loop.hasReadyEndpoint.Load(),
	}.Verdict()
	if verdict != guard.Allowed {
		n.loop.decisions.ReadinessRefused(verdict)
	}
	return verdict == guard.Allowed
}

// closing reports whether every response closes its connection.
func (n *Node) closing() bool {
	if n.lifecycle.DrainedFor() >= frontNoticeDelay {
		return true
	}
	return n.lifecycle.Current() == lifecycle.ShuttingDown && n.handover.SuccessorServes()
}

// closeIdleWhileDrained closes client connections without a request while clients are sent away, until ctx ends. An
// old connection has had the time to get its last response; a young one may have a request on its way.
func (n *Node) closeIdleWhileDrained(ctx context.Context) {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for {
		if n.lifecycle.DrainedFor() == 0 {
			ticker.Stop()
		} else {
			ticker.Reset(idleCloseInterval)
		}
		select {
		case <-n.phaseChanges:
		case <-ticker.C:
			if n.lifecycle.DrainedFor() >= frontNoticeDelay+closingAnswersTime {
				n.inbound.closeIdle(closingAnswersTime)
			}
		case <-ctx.Done():
			return
		}
	}
}

// shutDown stops serving without losing a request. A listener closed at once would reset the connections that the
// front still sends, and idle connections closed at once could have a request on its way. http.Server.Shutdown does
// not do: it closes a connection without a response if its request is read after the call.
func (n *Node) shutDown(ended <-chan serveEnded) {
	n.lifecycle.Transition(lifecycle.Shutdown)
	began, longest := time.Now(), longestDeadline(n.cfg.Settings)
	finalAnswers := began.Add(min(longest, maxDeadlineBeforeKill) + killGrace - finalAnswersMargin)
	end := began.Add(frontNoticeDelay + closingAnswersTime + longest + shutdownSlack)
	if n.handover.SuccessorServes() {
		closeSocket(n.inbound) // the successor has the queue of connections
	}
	time.Sleep(frontNoticeDelay + closingAnswersTime)
	closeSocket(n.inbound)
	<-ended
	for open := n.inbound.openConnections(); open > 0; open = n.inbound.openConnections() {
		now := time.Now()
		if now.After(end) {
			n.log.Warn("connections left open", "n", open) // all of their requests have been answered
			return
		}
		if now.After(finalAnswers) { // also requests that are complete only now; streamed responses may still end
			n.loop.runTask(n.loop.failOpenRequests)
		}
		time.Sleep(shutdownPollInterval)
	}
}
