// The HTTP handler of clients' requests.

package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"keelusher/internal/inbound"
	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
	"keelusher/policy/guard"
)

// A well-behaved client takes up to 2 s for a head and sends its body at 64 kB/s or more; a client that sends no
// complete request must get an error or a close within 3 s of connecting.
const (
	headTimeout          = 2500 * time.Millisecond // from the connect
	firstBodyByteTimeout = 2 * time.Second
	headAndBodyTimeout   = 2800 * time.Millisecond // for a head and the first bytes of a body, from the connect
	clientIdleTimeout    = 2 * time.Second         // between two requests on a connection
)

// clientHandler passes clients' requests to the event loop, and writes the responses that the loop returns.
type clientHandler struct {
	clock       clock
	arrivals    chan<- *clientRequest
	disconnects chan<- *clientRequest
	stopped     <-chan struct{} // closed when the loop has stopped
	metrics     *metrics.Recorder
	decisions   *metrics.Decisions
	buffers     buffers
	methods     map[string]string             // by class name; other classes are unknown
	suspension  *lifecycle.SuspensionDetector // nil: suspensions of the process are not detected
	ready       func() bool

	closeConnections func() bool // whether every response closes its connection
}

// ServeHTTP implements http.Handler.
func (h *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !recordHeadRead(r) {
		h.abortEvicted()
	}
	if err := inbound.CheckFraming(r, framerOf(r)); err != nil {
		h.reject(w, err)
		return
	}
	if isReadinessCheck(r) {
		h.serveReadiness(w)
		return
	}
	request, err := h.parseRequest(w, r)
	if err != nil {
		request.release()
		h.reject(w, err)
		return
	}
	if !recordRequestRead(r) {
		request.bodyMemory.release()
		h.abortEvicted()
	}
	if request.bodyStream != nil {
		// The response may be written before the body's end has been read. The error is ignored: HTTP/1.1 connections
		// support this.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	select {
	case h.arrivals <- request:
	case <-h.stopped: // the node has stopped and closed this connection
		panic(http.ErrAbortHandler)
	}
	select {
	case final := <-request.responses:
		if final.status == abortResponse.status {
			h.abort(request)
		}
		if final.status == http.StatusOK {
			recordForwarded(r)
		}
		h.writeResponse(w, request, final)
	case <-r.Context().Done():
		h.reportDisconnect(request)
	}
}

// isReadinessCheck reports whether a request asks whether the node is ready. One with the ID of a call is a client's.
func isReadinessCheck(r *http.Request) bool {
	return r.URL.Path == "/ready" && (r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		r.Header.Get("X-Call-Id") == ""
}

// serveReadiness answers 200 if the node serves clients, else 503.
func (h *clientHandler) serveReadiness(w http.ResponseWriter) {
	status := http.StatusOK
	if !h.ready() {
		status = http.StatusServiceUnavailable
	}
	h.beginResponse(w)
	w.WriteHeader(status)
}

// reportDisconnect notifies the loop that the client of a request has disconnected, and aborts the handling of the
// request.
func (h *clientHandler) reportDisconnect(request *clientRequest) {
	select {
	case h.disconnects <- request:
	case <-h.stopped:
	}
	select { // a response may have arrived at the same time; the loop sends none after the notification
	case final := <-request.responses:
		final.discard()
	default:
	}
	h.abort(request)
}

// abort ends the handling of a request whose client has disconnected. A plain return would send an empty 200, which a
// client that has shut down only its sending direction could read.
func (h *clientHandler) abort(request *clientRequest) {
	if request.bodyStream != nil {
		request.bodyStream.Stop()
	}
	panic(http.ErrAbortHandler)
}

// abortEvicted ends the handling of a request whose connection the node has closed. The client retries the request, so
// forwarding this one could execute it twice.
func (h *clientHandler) abortEvicted() {
	h.metrics.Update(func(c *metrics.Counters) { c.RequestsAfterClose++ })
	h.decisions.Violation(guard.RequestRead)
	panic(http.ErrAbortHandler)
}

// reject answers a request that is not passed to the loop, and closes its connection: the body may not have been read
// to its end, so the bytes that follow need not be a request. Errors other than *inbound.Rejection count as faults of
// the client and are answered with 400.
func (h *clientHandler) reject(w http.ResponseWriter, reason error) {
	status := http.StatusBadRequest
	var rejection *inbound.Rejection
	if errors.As(reason, &rejection) {
		status = rejection.Status
		if rejection.Allow != "" {
			w.Header().Set("Allow", rejection.Allow)
		}
	}
	h.metrics.CountInvalidRequest(reason.Error())
	w.Header().Set("Connection", "close")
	http.Error(w, reason.Error(), status)
}

// beginResponse announces, if it is so, that the connection is closed after this response.
func (h *clientHandler) beginResponse(w http.ResponseWriter) {
	if h.closeConnections() {
		w.Header().Set("Connection", "close")
	}
}

// writeResponse writes the final response to a request. Write errors are ignored: the request's context reports that
// the client has disconnected.
func (h *clientHandler) writeResponse(w http.ResponseWriter, request *clientRequest, final response) {
	controller := http.NewResponseController(w)
	defer final.bodyMemory.release()
	h.beginResponse(w)
	bodyUnread := request.bodyStream != nil && !request.bodyStream.Stop()
	if bodyUnread {
		w.Header().Set("Connection", "close")
	}
	if final.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(final.retryAfter.Seconds(), 'f', -1, 64))
	}
	if final.contentType != "" {
		w.Header().Set("Content-Type", final.contentType)
	}
	if final.bodyStream != nil {
		h.streamResponse(w, controller, final)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(final.body)))
		w.WriteHeader(final.status)
		_, _ = w.Write(final.body)
	}
	if bodyUnread {
		_ = controller.Flush()
		request.bodyStream.Discard()
	}
}

// streamResponse forwards a response while it arrives. If the response is cut off, the client's connection is closed,
// so that the client does not take the response for complete.
func (h *clientHandler) streamResponse(w http.ResponseWriter, controller *http.ResponseController, final response) {
	if length := final.bodyStream.response.ContentLength; length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(final.status)
	buffer := make([]byte, h.buffers.chunkSize)
	chunk := final.body
	for {
		if err := writeChunk(w, controller, chunk); err != nil {
			final.bodyStream.finish(err, true)
			panic(http.ErrAbortHandler)
		}
		n, err := final.bodyStream.Read(buffer)
		chunk = buffer[:n]
		switch {
		case n > 0: // the next read returns the error again
		case errors.Is(err, io.EOF):
			final.bodyStream.finish(nil, false)
			return
		case err != nil:
			final.bodyStream.finish(err, false)
			panic(http.ErrAbortHandler)
		}
	}
}

// writeChunk writes a part of a streamed response to the client and flushes it.
func writeChunk(w io.Writer, controller *http.ResponseController, chunk []byte) error {
	_, err := w.Write(chunk)
	return errors.Join(err, controller.Flush())
}

// methodsByClass returns the HTTP method of each class by its name.
func methodsByClass(classes []policy.Class) map[string]string {
	methods := map[string]string{}
	for _, class := range classes {
		methods[class.Name] = http.MethodPost
		if class.Idempotency == policy.Idempotent {
			methods[class.Name] = http.MethodGet
		}
	}
	return methods
}

// longestDeadline returns the longest deadline of any class: no client waits longer for a response.
func longestDeadline(s policy.Settings) time.Duration {
	longest := slices.MaxFunc(s.Classes, func(a, b policy.Class) int { return int(a.Deadline - b.Deadline) })
	return longest.Deadline
}
