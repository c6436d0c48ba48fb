// How the event loop handles requests and attempts.

package node

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"keelusher/internal/metrics"
	"keelusher/policy"
	"keelusher/policy/guard"
)

// handleRequest passes a new request to the policy, or rejects it if its ID is in use. The head of the request and the
// buffered part of its body have been read.
func (l *eventLoop) handleRequest(request *clientRequest) {
	l.awaitOverdueUpdates()
	if open := l.openRequests[request.meta.ID]; open != nil {
		l.rejectDuplicate(request, open)
		return
	}
	if l.recent.contains(request.meta.ID, l.clock.now()) {
		l.rejectRepeated(request, http.StatusConflict)
		return
	}
	l.openRequests[request.meta.ID] = request
	if request.bodyStream == nil {
		l.countRequest(request)
	}
	l.handle(request.meta)
}

// rejectDuplicate rejects a request whose ID is in use: the policy would confuse it with the open request and never
// answer it. If the open request is finished and only its attempts are left, its client has disconnected and retries:
// an idempotent request then gets 503, so that the client retries it again. Any other request gets 409, since 503 would
// tell the client that nothing was executed, though the first request may have been.
func (l *eventLoop) rejectDuplicate(request, open *clientRequest) {
	status := http.StatusConflict
	if open.finished.Load() && request.method == http.MethodGet {
		status = http.StatusServiceUnavailable
	}
	l.rejectRepeated(request, status)
}

// rejectRepeated rejects a request under an ID that the node has had before.
func (l *eventLoop) rejectRepeated(request *clientRequest, status int) {
	l.metrics.CountInvalidRequest("X-Call-Id is in use")
	request.bodyMemory.release()
	request.responses <- response{status: status}
}

// countRequest counts a request in the metrics, once only: when it is complete, or has its final response before that.
func (l *eventLoop) countRequest(request *clientRequest) {
	if request.counted {
		return
	}
	request.counted = true
	l.metrics.Update(func(c *metrics.Counters) { c.Requests++ })
}

// handleDisconnect handles the disconnect of a client that waits for its response.
func (l *eventLoop) handleDisconnect(request *clientRequest) {
	l.awaitOverdueUpdates()
	l.disconnect(request)
	l.forget(request)
}

// disconnect finishes a request whose client has disconnected. It reports false if the request was finished already.
func (l *eventLoop) disconnect(request *clientRequest) bool {
	if request.finished.Swap(true) {
		return false
	}
	request.disconnectedAt.set(l.clock.now())
	if request.counted {
		l.metrics.Update(func(c *metrics.Counters) { c.ClientDisconnects++ })
	}
	l.handle(policy.ClientDisconnected{ID: request.meta.ID})
	return true
}

// failOpenRequests makes the policy give every open request its final response now, because the node shuts down.
func (l *eventLoop) failOpenRequests() {
	for _, id := range slices.Sorted(maps.Keys(l.openRequests)) {
		l.handle(policy.ShutdownDeadline{ID: id})
	}
}

// sendAttempt starts an attempt. An attempt to an endpoint that is no longer in service ends without being sent.
func (l *eventLoop) sendAttempt(now time.Duration, action policy.SendAttempt) {
	request := l.openRequests[action.ID]
	if request == nil {
		l.log.Error("attempt for an unknown request", "id", action.ID)
		return
	}
	to := l.endpoints[action.Endpoint]
	if to == nil {
		to = &endpoint{id: action.Endpoint}
		to.unavailable.Store(true)
	}
	att := &attempt{
		request:     request,
		number:      request.attemptCount,
		endpoint:    to,
		timeout:     action.Timeout,
		deadline:    min(now+action.Timeout, request.deadline),
		retryBefore: action.RetryBefore,
	}
	if request.attemptCount == 0 && l.recent.covers(request.meta.Class) {
		l.shareID(request.meta.ID)
	}
	request.attemptCount++
	request.inFlight++
	l.attemptsInFlight++
	l.sender.start(att)
}

// handleRequestWritten sets the deadline of a request whose body has been streamed to a server: its budget counts from
// the time when the client has written the body.
func (l *eventLoop) handleRequestWritten(written requestWritten) {
	request := written.attempt.request
	request.deadline = written.clientDeadline
	if !request.finished.Load() {
		l.countRequest(request)
	}
	l.handle(policy.RequestSent{ID: request.meta.ID, Attempt: written.attempt.number, Deadline: request.deadline})
}

// handleResponseStarted passes a streamed response to the client. It is counted when it has ended.
func (l *eventLoop) handleResponseStarted(started responseStarted) {
	request := started.attempt.request
	if request.finished.Swap(true) {
		started.response.discard()
		return
	}
	l.handle(policy.ResponseStarted{ID: request.meta.ID, Attempt: started.attempt.number})
	request.responses <- started.response
}

// reject sends the final response to a request that the policy rejects or fails, unless the request is finished.
func (l *eventLoop) reject(id string, final response, why guard.Verdict) {
	request := l.openRequests[id]
	if request == nil || request.finished.Swap(true) {
		return
	}
	l.decisions.RequestRejected(id, final.status, request.attemptCount, why)
	request.responses <- final
	l.countRequest(request)
	l.metrics.CountResponse(request.meta.Class, final.status, request.attemptCount)
	l.forget(request)
}

// forget removes a request that is finished and has no attempt in flight.
func (l *eventLoop) forget(request *clientRequest) {
	if !request.finished.Load() || request.inFlight > 0 || l.openRequests[request.meta.ID] != request {
		return
	}
	delete(l.openRequests, request.meta.ID)
	request.bodyMemory.release()
}

// logIdentity returns the identification of an attempt in the log of decisions.
func (att *attempt) logIdentity() metrics.Attempt {
	return metrics.Attempt{RequestID: att.request.meta.ID, Number: att.number, Endpoint: att.endpoint.id}
}

// handleAttemptResult notifies the policy of an attempt that has ended, and answers the client if that is possible.
func (l *eventLoop) handleAttemptResult(outcome attemptOutcome) {
	l.awaitOverdueUpdates()
	att, request := outcome.attempt, outcome.attempt.request
	request.inFlight--
	l.attemptsInFlight--
	l.metrics.CountAttemptResult(att.endpoint.id, outcome.result, l.clock.now()-att.startedAt, outcome.err)
	if outcome.notSentReason == guard.ClientDisconnected && l.disconnect(request) {
		request.responses <- abortResponse
	}
	if !outcome.result.NeverRan() && l.recent.covers(request.meta.Class) {
		l.recent.add(request.meta.ID, l.clock.now())
	}
	bodyConsumed := l.checkBodyStream(request)
	l.passResponse(request, outcome)
	l.handle(policy.AttemptEnded{
		ID:           request.meta.ID,
		Attempt:      att.number,
		Endpoint:     att.endpoint.id,
		Result:       outcome.result,
		Latency:      l.clock.now() - att.startedAt,
		Answered:     request.finished.Load(),
		BodyConsumed: bodyConsumed,
		Load:         outcome.load,
	})
	l.forget(request)
}

// checkBodyStream reports whether a part of a streamed body has been consumed, so that the request cannot be sent
// again. If the client has failed to send its body, the request ends with 408: no server is at fault, and another
// attempt would not get more of the body.
func (l *eventLoop) checkBodyStream(request *clientRequest) (consumed bool) {
	if request.bodyStream == nil || request.finished.Load() {
		return false
	}
	consumed = request.bodyStream.Consumed()
	if request.bodyStream.Failure() != nil {
		l.disconnect(request)
		request.responses <- response{status: http.StatusRequestTimeout}
	}
	return consumed
}

// passResponse sends the response of an attempt to the client if it is the final one, and counts it.
func (l *eventLoop) passResponse(request *clientRequest, outcome attemptOutcome) {
	switch {
	case outcome.streamed: // the client has received it already
		l.countRequest(request)
		l.metrics.CountResponse(request.meta.Class, outcome.response.status, request.attemptCount)
	case outcome.result == policy.Success && !request.finished.Swap(true):
		l.countRequest(request)
		l.metrics.CountResponse(request.meta.Class, http.StatusOK, request.attemptCount)
		request.responses <- outcome.response
	default:
		outcome.response.discard()
	}
}
