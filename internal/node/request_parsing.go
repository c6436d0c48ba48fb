// The conversion of HTTP requests into requests for the event loop.

package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"keelusher/internal/inbound"
)

// Reasons for rejecting a request. Their texts are sent to the client.
var (
	errBudgetSpentWaiting = errors.New("the request waited to be read for longer than its time")
	errBodyOverLimit      = fmt.Errorf("the body is over %d bytes", maxStreamedBody)
	errBodyUnreadable     = errors.New("the body could not be read")
)

// parseRequest converts an HTTP request into a request for the loop. Its errors are of type *inbound.Rejection. The
// caller then releases what the request has reserved.
func (h *clientHandler) parseRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, error) {
	meta, budget, err := inbound.ParseHeaders(r, h.methods)
	if err != nil {
		return nil, err
	}
	request := &clientRequest{
		meta:       meta,
		method:     r.Method,
		url:        forwardedURL(r),
		host:       r.Host,
		responses:  make(chan response, 1),
		connection: clientConnOf(r),
	}
	if err := h.readBody(w, r, request); err != nil {
		return request, err
	}
	request.header = inbound.ForwardableHeaders(r.Header)
	request.budget = budget - h.timeQueued(request.connection)
	if request.budget <= 0 {
		return request, inbound.Reject(http.StatusServiceUnavailable, errBudgetSpentWaiting)
	}
	request.deadline = h.clock.now() + request.budget
	request.meta.Deadline = request.deadline
	request.meta.BodyIncomplete = request.bodyStream != nil
	return request, nil
}

// forwardedURL returns the URL of a request in the form in which its path is written as the client has sent it. A path
// with characters that may not stand in one would be encoded anew otherwise, "%2F" as "/". Absolute URLs, and paths
// that begin like a host, have no such form.
func forwardedURL(r *http.Request) *url.URL {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return r.URL
	}
	return &url.URL{Opaque: path, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// timeQueued returns how long a request that has just been read may have waited to be read, because the process was
// suspended, its connection was not yet accepted or admitted, or no processor was free. The client counts this time
// against the budget.
func (h *clientHandler) timeQueued(c *clientConn) time.Duration {
	suspended := min(h.suspension.TimeQueued(), c.idleFor())
	return max(suspended, c.sinceLastBytes())
}

// readBody reads a short body completely. Of a long body it reads the first part, up to maxBufferedBody bytes, and
// leaves the remainder to be streamed; if no memory is available, up to minChunkSize bytes. A client that sends only
// the head of a request with a long body thus occupies no server. Its errors are of type *inbound.Rejection.
func (h *clientHandler) readBody(w http.ResponseWriter, r *http.Request, request *clientRequest) error {
	if r.ContentLength > maxStreamedBody {
		return inbound.Reject(http.StatusRequestEntityTooLarge, errBodyOverLimit)
	}
	request.contentLength = r.ContentLength
	if request.contentLength == 0 {
		return nil
	}
	stream := inbound.NewBody(w, r, firstBodyByteDue(r))
	// An unknown length (-1) becomes the largest unsigned number, so that the maximum is reserved.
	request.bodyMemory = h.buffers.requests.reserve(int(min(uint64(request.contentLength), maxBufferedBody)))
	size := minChunkSize // part of what a connection may take
	if request.bodyMemory != nil {
		size = request.bodyMemory.size
	}
	var complete bool
	var err error
	request.body, complete, err = stream.Buffer(size, request.contentLength)
	if err != nil {
		return inbound.Reject(http.StatusBadRequest, errBodyUnreadable)
	}
	if complete {
		request.contentLength = int64(len(request.body))
		request.bodyMemory.shrinkTo(len(request.body))
	} else {
		request.bodyStream = stream
	}
	if r.Method == http.MethodGet && len(request.body) > 0 {
		return inbound.Reject(http.StatusBadRequest, inbound.ErrBodyOnGet)
	}
	return nil
}
