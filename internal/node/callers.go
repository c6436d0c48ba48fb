package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/policy"
	"keelusher/policy/guard"
)

const (
	// A proper caller takes up to 2 s for a head and sends its body at no less than slowest; a peer that sends no
	// whole request is owed an error or a close within 3 s of connecting.
	headTime  = 2500 * time.Millisecond // for a head, from connecting on
	stallTime = 2 * time.Second         // for the first bytes of a body
	peerTime  = 2800 * time.Millisecond // for both
	writeTime = 5 * time.Second         // for the next bytes of an answer
	idleTime  = 2 * time.Second         // for a caller's connection between requests
	maxBudget = time.Hour
)

// callers answers what callers ask.
type callers struct {
	clock      clock
	arrivals   chan<- *clientRequest
	gone       chan<- *clientRequest
	stopped    <-chan struct{}
	stats      *metrics
	decisions  *decisions
	buffers    buffers
	methods    map[string]string             // by class; others are no classes
	suspension *lifecycle.SuspensionDetector // nil: stops of the process are not noticed
	ready      func() bool
	closing    func() bool // every answer ends its connection
}

func (h *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !engage(r) {
		h.drop()
	}
	if status, err := framing(r); err != nil {
		h.turnDown(w, status, err)
		return
	}
	if r.URL.Path == "/ready" {
		status := http.StatusOK
		if !h.ready() {
			status = http.StatusServiceUnavailable
		}
		h.begin(w, r)
		w.WriteHeader(status)
		return
	}
	c, status, err := h.read(w, r)
	if err != nil {
		h.turnDown(w, status, err)
		return
	}
	if !hold(r) {
		c.bodyMemory.shrink(0)
		h.drop()
	}
	if c.bodyStream != nil {
		http.NewResponseController(w).EnableFullDuplex() // the answer may come before the body's end
	}
	select {
	case h.arrivals <- c:
	case <-h.stopped: // the node ends, and this connection was cut
		panic(http.ErrAbortHandler)
	}
	select {
	case a := <-c.responses:
		if a.status == abortResponse.status {
			h.abandon(c)
		}
		h.write(w, r, c, a)
	case <-r.Context().Done():
		select {
		case h.gone <- c:
		case <-h.stopped:
		}
		select { // the answer may have come in the same moment, and no other comes after the loop has heard
		case a := <-c.responses:
			a.discard()
		default:
		}
		h.abandon(c)
	}
}

// abandon ends the handling of a call whose client is gone. A plain return would be a 200 that no server made, and a
// client that closed one side only would read it.
func (h *callers) abandon(c *clientRequest) {
	if c.bodyStream != nil {
		c.bodyStream.stop()
	}
	panic(http.ErrAbortHandler)
}

// drop ends the handling of a request whose connection the node has closed. Its client sends it again, so that to send
// it on would run it twice.
func (h *callers) drop() {
	h.stats.update(func(c *counters) { c.requestsAfterClose++ })
	h.decisions.violation(guard.RequestRead)
	panic(http.ErrAbortHandler)
}

// turnDown answers what is no proper request and ends its connection: the body may not have been read to
// its end, and what follows on the connection need not be a request.
func (h *callers) turnDown(w http.ResponseWriter, status int, err error) {
	h.stats.countInvalidRequest(err.Error())
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// framing says with which status to turn down a request whose end callers and the node could see at different
// places: the rest of its body would pass as a request of its own. net/http takes a chunked body even beside a
// Content-Length, which it hides, and ignores chunking in HTTP/1.0.
func framing(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("that version of HTTP is not spoken here")
	case r.ContentLength < 0 && !soleFraming(r):
		return http.StatusBadRequest, errors.New("the body's end is not clear")
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return http.StatusBadRequest, errNoBody
	}
	return 0, nil
}

// read turns an HTTP request into a call, or says with which status to turn it down.
func (h *callers) read(w http.ResponseWriter, r *http.Request) (*clientRequest, int, error) {
	bad := func(format string, args ...any) (*clientRequest, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	c := &clientRequest{method: r.Method, url: r.URL, host: r.Host, responses: make(chan response, 1), connection: connOf(r)}
	c.meta.ID = r.Header.Get("X-Call-Id")
	c.meta.Class = r.Header.Get("X-Call-Class")
	c.meta.Tenant = r.Header.Get("X-Caller")
	c.meta.IsRetry = r.Header.Get("X-Again") == "1"
	if c.meta.ID == "" {
		return bad("X-Call-Id is missing")
	}
	// Servers fail what is of no class, and the module would take that for their ill health.
	switch method := h.methods[c.meta.Class]; method {
	case "":
		return bad("X-Call-Class is missing or unknown")
	case r.Method:
	default:
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("the method of this class is %s", method)
	}
	budget, err := parseBudget(r.Header.Get("X-Budget"))
	if err != nil {
		return bad("X-Budget: %v", err)
	}
	if key := r.Header.Get("X-Route-Hash"); key != "" {
		sum := fnv.New64a() // the module only compares keys
		sum.Write([]byte(key))
		c.meta.Key, c.meta.HasKey = sum.Sum64(), true
	}
	if status, err := h.body(w, r, c); err != nil {
		return nil, status, err
	}
	c.header = forwardable(r.Header)
	c.budget = budget
	// A request that waited for a process that stood still has used up a part of its time.
	c.budget -= min(h.suspension.TimeQueued(), connOf(r).restedFor())
	if c.budget <= 0 {
		return nil, http.StatusServiceUnavailable, errWaited
	}
	c.deadline = h.clock.now() + c.budget
	c.meta.Deadline, c.meta.BodyIncomplete = c.deadline, c.bodyStream != nil
	return c, 0, nil
}

// body reads a short body whole and the beginning of a long one, as far as there is room. The rest is left to the
// server's pace. A peer that sends a long body's head alone so gets no server's time.
func (h *callers) body(w http.ResponseWriter, r *http.Request, c *clientRequest) (int, error) {
	if r.ContentLength > maxStreamedBody {
		return http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxStreamedBody)
	}
	c.contentLength = r.ContentLength
	if c.contentLength == 0 {
		return 0, nil
	}
	u := &upload{rc: http.NewResponseController(w), body: r.Body, first: bodyDue(r)}
	if c.bodyMemory = h.buffers.requests.reserve(int(min(uint64(c.contentLength), maxBufferedBody))); c.bodyMemory == nil {
		c.bodyStream = u
		return 0, nil
	}
	var err error
	c.body, err = io.ReadAll(io.LimitReader(u, int64(c.bodyMemory.size)))
	if err == nil && (len(c.body) < c.bodyMemory.size || c.contentLength == int64(c.bodyMemory.size)) {
		_, err = u.Read(make([]byte, 1)) // the end
	}
	switch {
	case err == nil:
		u.touched.Store(false) // c.body can be sent again
		c.bodyStream = u
	case err != io.EOF:
		c.bodyMemory.shrink(0)
		return http.StatusBadRequest, errors.New("the body could not be read")
	default:
		c.contentLength = int64(len(c.body))
		c.bodyMemory.shrink(len(c.body))
	}
	if r.Method == http.MethodGet && len(c.body) > 0 {
		c.bodyMemory.shrink(0)
		return http.StatusBadRequest, errNoBody
	}
	return 0, nil
}

var errWaited = errors.New("the process stood still for longer than the request's time")

var errNoBody = errors.New("a GET has no body")

// parseBudget reads a number with its unit, m for milliseconds or u for microseconds.
func parseBudget(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, errors.New("want a number and m or u")
		}
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, errors.New("want a number and m or u")
	}
	if v *= float64(unit); !(v > 0 && v <= float64(maxBudget)) { // also catches NaN
		return 0, errors.New("out of range")
	}
	return time.Duration(v), nil
}

// hopByHop are the headers that concern one connection, or that the node sets anew.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "X-Budget"}

func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// begin prepares an answer: it is the last one on its connection while callers are sent away, and what comes in
// after it is the next request's head.
func (h *callers) begin(w http.ResponseWriter, r *http.Request) {
	if p := connOf(r); p != nil {
		p.seen.next()
	}
	if h.closing() {
		w.Header().Set("Connection", "close")
	}
}

func (h *callers) write(w http.ResponseWriter, r *http.Request, c *clientRequest, a response) {
	rc := http.NewResponseController(w)
	defer a.bodyMemory.shrink(0)
	rc.SetWriteDeadline(time.Now().Add(writeTime))
	h.begin(w, r)
	unread := c.bodyStream != nil && !c.bodyStream.stop()
	if unread {
		w.Header().Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	if a.bodyStream != nil {
		h.passOn(w, rc, a)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		w.Write(a.body) // a caller that left is noticed by its request's context
	}
	if unread {
		rc.Flush()
		c.bodyStream.discard()
	}
}

// passOn gives a caller what a server gives, as it comes. An answer that breaks off ends the connection, so that
// the caller can tell.
func (h *callers) passOn(w http.ResponseWriter, rc *http.ResponseController, a response) {
	if n := a.bodyStream.resp.ContentLength; n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(a.status)
	buf, part := make([]byte, h.buffers.chunkSize), a.body
	for {
		rc.SetWriteDeadline(time.Now().Add(writeTime))
		_, err := w.Write(part)
		if err = errors.Join(err, rc.Flush()); err != nil {
			a.bodyStream.end(err, true)
			panic(http.ErrAbortHandler)
		}
		n, err := a.bodyStream.Read(buf)
		if part = buf[:n]; n > 0 {
			continue // an error comes again
		}
		if err == io.EOF {
			a.bodyStream.end(nil, false)
			return
		}
		if err != nil {
			a.bodyStream.end(err, false)
			panic(http.ErrAbortHandler)
		}
	}
}

// methods gives the method that each class decides.
func methods(classes []policy.Class) map[string]string {
	m := map[string]string{}
	for _, c := range classes {
		m[c.Name] = http.MethodPost
		if c.Idempotency == policy.Idempotent {
			m[c.Name] = http.MethodGet
		}
	}
	return m
}

// longestDeadline is how long a caller may wait at most.
func longestDeadline(s policy.Settings) time.Duration {
	return slices.MaxFunc(s.Classes, func(a, b policy.Class) int { return int(a.Deadline - b.Deadline) }).Deadline
}
