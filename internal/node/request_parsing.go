// The parsing of clients' HTTP requests.

package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"keelusher/policy"
)

const maxBudget = time.Hour

// Reasons to reject a request. Their texts are sent to the client.
var (
	errNoRequestID         = errors.New("X-Call-Id is missing")
	errUnknownClass        = errors.New("X-Call-Class is missing or unknown")
	errBudgetUsedSuspended = errors.New("the process stood still for longer than the request's time")
	errBodyUnreadable      = errors.New("the body could not be read")
	errBudgetSyntax        = errors.New("want a number and m or u")
	errBudgetRange         = errors.New("out of range")
)

// parseRequest turns an HTTP request into a request for the loop. An error comes with the status to reject it with.
func (h *clientHandler) parseRequest(w http.ResponseWriter, r *http.Request) (c *clientRequest, status int, err error) {
	meta, status, err := h.parseMeta(w, r)
	if err != nil {
		return nil, status, err
	}
	budget, err := parseBudget(r.Header.Get("X-Budget"))
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("X-Budget: %w", err)
	}
	c = &clientRequest{
		meta:       meta,
		method:     r.Method,
		url:        r.URL,
		host:       r.Host,
		responses:  make(chan response, 1),
		connection: clientConnOf(r),
	}
	if status, err := h.readBody(w, r, c); err != nil {
		return nil, status, err
	}
	c.header = forwardableHeaders(r.Header)
	// A request that waited for a suspended process has used up a part of its time.
	c.budget = budget - min(h.suspension.timeQueued(), c.connection.idleFor())
	if c.budget <= 0 {
		return nil, http.StatusServiceUnavailable, errBudgetUsedSuspended
	}
	c.deadline = h.clock.now() + c.budget
	c.meta.Deadline = c.deadline
	c.meta.BodyIncomplete = c.bodyStream != nil
	return c, 0, nil
}

// parseMeta reads from the headers what the policy needs to know of a request.
func (h *clientHandler) parseMeta(w http.ResponseWriter, r *http.Request) (meta policy.Request, status int, err error) {
	meta.ID = r.Header.Get("X-Call-Id")
	meta.Class = r.Header.Get("X-Call-Class")
	meta.Tenant = r.Header.Get("X-Caller")
	meta.IsRetry = r.Header.Get("X-Again") == "1"
	if meta.ID == "" {
		return meta, http.StatusBadRequest, errNoRequestID
	}
	// Servers fail requests of unknown classes, and the policy would take that for a fault of theirs.
	method := h.methods[meta.Class]
	if method == "" {
		return meta, http.StatusBadRequest, errUnknownClass
	}
	if method != r.Method {
		w.Header().Set("Allow", method)
		return meta, http.StatusMethodNotAllowed, fmt.Errorf("the method of this class is %s", method)
	}
	if key := r.Header.Get("X-Route-Hash"); key != "" {
		meta.Key, meta.HasKey = hashKey(key), true
	}
	return meta, 0, nil
}

// hashKey is the form of a key that the policy compares.
func hashKey(key string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(key))
	return sum.Sum64()
}

// readBody reads a short body completely, and of a long one as much as memory is available for. The remainder is
// streamed later. A peer that sends only the head of a request with a long body thus takes no server's time.
func (h *clientHandler) readBody(w http.ResponseWriter, r *http.Request, c *clientRequest) (status int, err error) {
	if r.ContentLength > maxStreamedBody {
		return http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxStreamedBody)
	}
	c.contentLength = r.ContentLength
	if c.contentLength == 0 {
		return 0, nil
	}
	stream := &requestStream{
		controller:       http.NewResponseController(w),
		body:             r.Body,
		firstByteTimeout: firstBodyByteDue(r),
	}
	// The maximum, if the length is not known: -1 is then the greatest unsigned number.
	c.bodyMemory = h.buffers.requests.reserve(int(min(uint64(c.contentLength), maxBufferedBody)))
	if c.bodyMemory == nil {
		c.bodyStream = stream
		return 0, nil
	}
	complete, err := c.bufferBody(stream)
	if err != nil {
		c.bodyMemory.release()
		return http.StatusBadRequest, errBodyUnreadable
	}
	if complete {
		c.contentLength = int64(len(c.body))
		c.bodyMemory.shrinkTo(len(c.body))
	} else {
		stream.consumed.Store(false) // what was read is in c.body, and can be sent again
		c.bodyStream = stream
	}
	if r.Method == http.MethodGet && len(c.body) > 0 {
		c.bodyMemory.release()
		return http.StatusBadRequest, errBodyOnGet
	}
	return 0, nil
}

// bufferBody reads as much of a body as fits into the reserved memory, and reports whether that is all of it.
func (c *clientRequest) bufferBody(stream *requestStream) (complete bool, err error) {
	reserved := c.bodyMemory.size
	c.body, err = io.ReadAll(io.LimitReader(stream, int64(reserved)))
	if err != nil {
		return false, err
	}
	if len(c.body) == reserved && c.contentLength != int64(reserved) {
		return false, nil
	}
	_, err = stream.Read(make([]byte, 1)) // the end
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// parseBudget reads a time as a number and its unit: m for milliseconds or u for microseconds.
func parseBudget(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, errBudgetSyntax
		}
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, errBudgetSyntax
	}
	value *= float64(unit)
	inRange := value > 0 && value <= float64(maxBudget) // false for NaN too
	if !inRange {
		return 0, errBudgetRange
	}
	return time.Duration(value), nil
}

// connectionHeaders concern a single connection, or are set anew by the node.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"X-Budget",
}

// forwardableHeaders are the headers of a request that are sent to a server.
func forwardableHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
