package inbound

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"
)

// MaxHead is the limit on the size of a request's head.
const MaxHead = 16 << 10

// Head records what a connection reads until the head of a request is complete. net/http accepts a chunked body even
// beside a Content-Length, which it hides; only the bytes show it. The zero value is ready for a first head. It is safe
// for concurrent use, since the HTTP server also reads in the background.
type Head struct {
	mu        sync.Mutex
	text      []byte
	complete  bool
	startedAt time.Time // when the first byte was read
}

// Add records bytes that were read.
func (h *Head) Add(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete || len(b) == 0 {
		return
	}
	if len(h.text) == 0 {
		h.startedAt = time.Now()
	}
	searched := max(0, len(h.text)-3) // the end of a head may span two reads
	h.text = append(h.text, b...)
	if end := headEnd(h.text[searched:]); end >= 0 {
		h.text = h.text[:searched+end]
		h.complete = true
	}
	if len(h.text) > 2*MaxHead { // the HTTP server has rejected it by then
		h.complete = true
	}
}

// headEnd is the index after the empty line that ends a head; -1: there is none.
func headEnd(text []byte) int {
	end := -1
	for _, separator := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		i := bytes.Index(text, separator)
		if i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// Partial reports whether a head has started to arrive and is not complete.
func (h *Head) Partial() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0 && !h.complete
}

// Started reports whether any of a head has arrived.
func (h *Head) Started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// Age is the time since the head started to arrive, if it has.
func (h *Head) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt)
}

// Reset prepares for the head of the next request.
func (h *Head) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text, h.complete = nil, false
}

// isOnlyChunked reports whether a chunked request has no Content-Length. False if that cannot be told, because the head
// did not arrive by itself, as that of a request that was sent before the response to the one before.
func (h *Head) isOnlyChunked(r *http.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.text)))
	requestLine, err := reader.ReadLine()
	if err != nil || !h.complete || requestLine != r.Method+" "+r.RequestURI+" "+r.Proto {
		return false
	}
	fields, err := reader.ReadMIMEHeader()
	return err == nil && len(fields["Content-Length"]) == 0 && slices.Contains(r.TransferEncoding, "chunked")
}
