package node

import (
	"container/list"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"deckrelay"
)

const (
	readTime  = 2 * time.Second // for a whole request, from connecting on; a peer that takes longer is owed a close
	writeTime = 5 * time.Second // for an answer
	idleTime  = 2 * time.Second // for a caller's connection between requests
	maxBudget = time.Hour
)

// callers answers what callers ask.
type callers struct {
	clock    clock
	arrivals chan<- *call
	gone     chan<- *call
	stopped  <-chan struct{}
	stats    *stats
	methods  map[string]string // by class; others are no classes
	ready    func() bool
	closing  func() bool // every answer ends its connection
}

func (h *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	engage(r)
	if status, err := framing(r); err != nil {
		h.turnDown(w, status, err)
		return
	}
	if r.URL.Path == "/ready" {
		status := http.StatusOK
		if !h.ready() {
			status = http.StatusServiceUnavailable
		}
		h.lastIfClosing(w)
		w.WriteHeader(status)
		return
	}
	c, status, err := h.read(w, r)
	if err != nil {
		h.turnDown(w, status, err)
		return
	}
	select {
	case h.arrivals <- c:
	case <-h.stopped: // the node ends, and this connection was cut
		panic(http.ErrAbortHandler)
	}
	select {
	case a := <-c.reply:
		h.write(w, a)
	case <-r.Context().Done():
		select {
		case h.gone <- c:
		case <-h.stopped:
		}
		// A plain return would be a 200 that no server made, and a client that closed one side only would read it.
		panic(http.ErrAbortHandler)
	}
}

// turnDown answers what is no proper request and ends its connection: the body may not have been read to
// its end, and what follows on the connection need not be a request.
func (h *callers) turnDown(w http.ResponseWriter, status int, err error) {
	h.stats.turnedDown(err.Error())
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// framing says with which status to turn down a request whose end callers and the node could see at different
// places: the rest of its body would pass as a request of its own. net/http takes a chunked body even beside a
// Content-Length, which it hides, and ignores chunking in HTTP/1.0; callers always state the length.
func framing(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("that version of HTTP is not spoken here")
	case r.ContentLength < 0:
		return http.StatusLengthRequired, errors.New("Content-Length is missing")
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return http.StatusBadRequest, errors.New("a GET has no body")
	}
	return 0, nil
}

// read turns an HTTP request into a call, or says with which status to turn it down.
func (h *callers) read(w http.ResponseWriter, r *http.Request) (*call, int, error) {
	bad := func(format string, args ...any) (*call, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	c := &call{method: r.Method, url: r.URL, host: r.Host, reply: make(chan answer, 1)}
	c.req.ID = r.Header.Get("X-Call-Id")
	c.req.Class = r.Header.Get("X-Call-Class")
	c.req.Tenant = r.Header.Get("X-Caller")
	c.req.Repeat = r.Header.Get("X-Again") == "1"
	if c.req.ID == "" {
		return bad("X-Call-Id is missing")
	}
	// Servers fail what is of no class, and the module would take that for their ill health.
	switch method := h.methods[c.req.Class]; method {
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
		c.req.Key, c.req.HasKey = sum.Sum64(), true
	}
	c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxBody)
	}
	if err != nil {
		return bad("the body could not be read")
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // from here on a read only watches for the client's leaving
	c.header = forwardable(r.Header)
	c.deadline = h.clock.now() + budget
	c.req.Deadline = c.deadline
	return c, 0, nil
}

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

// lastIfClosing makes an answer the last one on its connection while callers are sent away.
func (h *callers) lastIfClosing(w http.ResponseWriter) {
	if h.closing() {
		w.Header().Set("Connection", "close")
	}
}

func (h *callers) write(w http.ResponseWriter, a answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	h.lastIfClosing(w)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body) // a caller that left is noticed by its request's context
}

// methods gives the method that each class decides.
func methods(classes []deckrelay.Class) map[string]string {
	m := map[string]string{}
	for _, c := range classes {
		m[c.Name] = http.MethodPost
		if c.Effect == deckrelay.Safe {
			m[c.Name] = http.MethodGet
		}
	}
	return m
}

// longestDeadline is how long a caller may wait at most.
func longestDeadline(s deckrelay.Settings) time.Duration {
	return slices.MaxFunc(s.Classes, func(a, b deckrelay.Class) int { return int(a.Deadline - b.Deadline) }).Deadline
}

// bounded accepts no more connections at once than it has places. When all are taken, the one that has gone
// longest without a request makes room: callers must not wait behind peers that send nothing, or half a head.
type bounded struct {
	net.Listener
	accepted func()

	mu      sync.Mutex
	freed   *sync.Cond
	most    int
	taken   int
	closed  bool
	waiting *list.List // of *placed, without a request in work, the longest first
}

func bound(ln net.Listener, most int, accepted func()) *bounded {
	b := &bounded{Listener: ln, accepted: accepted, most: most, waiting: list.New()}
	b.freed = sync.NewCond(&b.mu)
	return b
}

func (b *bounded) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.accepted()
	p := &placed{Conn: c, of: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.taken >= b.most && !b.closed {
		if e := b.waiting.Front(); e != nil {
			e.Value.(*placed).closeLocked()
		} else {
			b.freed.Wait()
		}
	}
	b.taken++
	b.wait(p)
	return p, nil
}

// Close ends the accepting. What was accepted before is served still.
func (b *bounded) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.freed.Broadcast()
	return b.Listener.Close()
}

// resize changes how many places there are. What is open beyond them stays until it ends.
func (b *bounded) resize(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.freed.Broadcast()
}

// track is told by the HTTP server what a connection is doing. That a request has begun to arrive is no reason
// to keep a connection: engage is told when its head is there.
func (b *bounded) track(c net.Conn, state http.ConnState) {
	p, ok := c.(*placed)
	if !ok || state != http.StateIdle {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.closed && p.place == nil {
		b.wait(p)
		b.freed.Signal()
	}
}

// wait puts a connection last among those without a request in work.
func (b *bounded) wait(p *placed) {
	p.place, p.since = b.waiting.PushBack(p), time.Now()
}

// placedKey finds the connection in the context of its requests.
type placedKey struct{}

// engage keeps the connection of a request from making room until the request is answered.
func engage(r *http.Request) {
	p, ok := r.Context().Value(placedKey{}).(*placed)
	if !ok {
		return
	}
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	p.unplace()
}

// closeWaiting closes the connections that have been without a request in work for so long.
func (b *bounded) closeWaiting(age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil && time.Since(e.Value.(*placed).since) >= age; e = b.waiting.Front() {
		e.Value.(*placed).closeLocked()
	}
}

// open is how many connections there are.
func (b *bounded) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// placed gives its place back when it is closed.
type placed struct {
	net.Conn
	of *bounded

	// guarded by of.mu
	place  *list.Element // in of.waiting; nil: a request is in work
	since  time.Time     // when it was put there
	closed bool
}

func (c *placed) Close() error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes under the lock: no new connection may take the place while the descriptor is still held.
func (c *placed) closeLocked() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.unplace()
	c.of.taken--
	c.of.freed.Signal()
	return c.Conn.Close()
}

func (c *placed) unplace() {
	if c.place != nil {
		c.of.waiting.Remove(c.place)
		c.place = nil
	}
}
