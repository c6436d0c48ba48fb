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

// MaxHead is the limit on the size of a request's head: the request line and the headers.
const MaxHead = 16 << 10

// Head records the bytes read from a connection until the head of a request is complete. They are needed because
// net/http accepts a chunked body together with a Content-Length and then drops that header. The zero value is ready to
// use. It is safe for concurrent use, since the HTTP server also reads in the background.
type Head struct {
	mu        sync.Mutex
	text      []byte
	complete  bool
	startedAt time.Time // when the first byte was read
}

// Add appends bytes that were read, up to the end of the head.
func (h *Head) Add(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete || len(b) == 0 {
		return
	}
	if len(h.text) == 0 {
		h.startedAt = time.Now()
	}
	searched := max(0, len(h.text)-3) // the empty line at the end may span two reads
	h.text = append(h.text, b...)
	if end := headEnd(h.text[searched:]); end >= 0 {
		h.text = h.text[:searched+end]
		h.complete = true
	}
	if len(h.text) > 2*MaxHead { // the HTTP server has rejected the request by now
		h.complete = true
	}
}

// headEnd returns the index after the empty line that ends a head, or -1 if there is none.
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

// Partial reports whether some but not all of a head has arrived.
func (h *Head) Partial() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0 && !h.complete
}

// Started reports whether at least one byte of a head has arrived.
func (h *Head) Started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// Age returns the time since the first byte of the head arrived. It is meaningful only if Started reports true.
func (h *Head) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt)
}

// Reset discards the recorded head, for the next request of the connection.
func (h *Head) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text, h.complete = nil, false
}

// isOnlyChunked reports whether r is chunked and its recorded head has no Content-Length. It returns false if the
// recorded head is not that of r, for example because the client pipelined requests.
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
