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
	// frontEndNoticeDelay is how long the front-end load balancer still sends connections after SIGTERM.
	frontEndNoticeDelay = 450 * time.Millisecond
	// closingResponsesTime is the time after frontEndNoticeDelay in which every response closes its connection, but idle
	// connections stay open.
	closingResponsesTime = 150 * time.Millisecond
	// idleCloseInterval is the interval between checks for idle connections while the node is drained or shutting down.
	idleCloseInterval = 20 * time.Millisecond
	// shutdownPollInterval is the interval between checks for connections that are still open.
	shutdownPollInterval = idleCloseInterval / 4
	// finalResponsesMargin is how long before the kill that follows SIGTERM all open requests get their responses.
	finalResponsesMargin = 100 * time.Millisecond
	// killGrace is the part of the time between SIGTERM and the kill that exceeds the longest deadline of a class.
	killGrace = 700 * time.Millisecond
	// maxStreamingShutdown is how long after SIGTERM the process stays to pass on long responses and bodies, unless the
	// platform kills it before.
	maxStreamingShutdown = time.Minute
	// shutdownSlack is the time after the longest deadline for the last responses to be written.
	shutdownSlack = 20 * time.Millisecond
	// maxDeadlineBeforeKill is the upper bound of the longest deadline in the computation of the time of the kill.
	maxDeadlineBeforeKill = 3 * time.Second
)

// closeSocket closes a socket that is no longer needed, and ignores the error because nothing depends on it.
func closeSocket(socket io.Closer) { socket.Close() }

// ready reports whether the front-end load balancer may send clients to this process: the node serves and knows an
// endpoint in service. A process and its successor are one node to clients, so a process that shuts down is ready while
// its successor serves.
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

// closing reports whether every response has to close its connection: from frontEndNoticeDelay after the node was
// drained or began to shut down, and at once if it shuts down while a successor serves.
func (n *Node) closing() bool {
	if n.lifecycle.DrainedFor() >= frontEndNoticeDelay {
		return true
	}
	return n.lifecycle.Current() == lifecycle.ShuttingDown && n.handover.SuccessorServes()
}

// closeIdleWhileDrained closes idle client connections while the node is drained or shutting down, until ctx ends. It
// closes only those that have been idle for closingResponsesTime: on the other connections a request may be on its way,
// and its response closes the connection.
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
			if n.lifecycle.DrainedFor() >= frontEndNoticeDelay+closingResponsesTime {
				n.inbound.closeIdle(closingResponsesTime)
			}
		case <-ctx.Done():
			return
		}
	}
}

// shutDown stops serving without losing a request. If it closed the listener at once, connections that the front-end
// load balancer still opens would be reset; if it closed idle connections at once, requests on their way would be lost.
// http.Server.Shutdown is unsuitable: it closes a connection without a response if its request is read after the call.
func (n *Node) shutDown(ended <-chan serveEnded) {
	n.lifecycle.Transition(lifecycle.Shutdown)
	began, longest := time.Now(), longestDeadline(n.cfg.Settings)
	finalResponsesAt := began.Add(min(longest, maxDeadlineBeforeKill) + killGrace - finalResponsesMargin)
	waitUntil := began.Add(frontEndNoticeDelay + closingResponsesTime + longest + shutdownSlack)
	streamUntil := began.Add(maxStreamingShutdown)
	if n.handover.SuccessorServes() {
		closeSocket(n.inbound) // the successor accepts the connections in the shared queue
	}
	time.Sleep(frontEndNoticeDelay + closingResponsesTime)
	closeSocket(n.inbound)
	<-ended
	for open := n.inbound.openConnections(); open > 0; open = n.inbound.openConnections() {
		now := time.Now()
		if streaming := n.inbound.servingConnections() > 0 && now.Before(streamUntil); now.After(waitUntil) && !streaming {
			n.log.Warn("connections left open", "n", open) // every request on them has been answered
			return
		}
		if now.After(finalResponsesAt) { // repeated for requests that arrived since; streamed responses may still end
			n.loop.runTask(n.loop.failOpenRequests)
		}
		time.Sleep(shutdownPollInterval)
	}
}
