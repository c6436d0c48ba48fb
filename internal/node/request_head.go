// The head of a request as it arrived, and the check that the end of its body is unambiguous.

package node

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"
)

// maxRequestHead bounds the head of a request.
const maxRequestHead = 16 << 10

// requestHead records what a connection reads until the head of a request is complete. net/http accepts a chunked
// body even beside a Content-Length, which it hides; only the bytes show it. It is safe for concurrent use, since the
// HTTP server also reads in the background.
type requestHead struct {
	mu        sync.Mutex
	text      []byte
	complete  bool
	startedAt time.Time // when the first byte was read
}

// add records bytes that were read.
func (h *requestHead) add(b []byte) {
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
	if len(h.text) > 2*maxRequestHead { // the HTTP server has rejected it by then
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

// partial reports whether a head has started to arrive and is not complete.
func (h *requestHead) partial() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0 && !h.complete
}

// started reports whether any of a head has arrived.
func (h *requestHead) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// age is the time since the head started to arrive, if it has.
func (h *requestHead) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt)
}

// reset prepares for the head of the next request.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text, h.complete = nil, false
}

// isOnlyChunked reports whether a chunked request has no Content-Length. False if that cannot be told, because the head
// did not arrive by itself, as that of a request that was sent before the response to the one before.
func (h *requestHead) isOnlyChunked(r *http.Request) bool {
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

// Reasons to reject a request whose end is ambiguous. Their texts are sent to the client.
var (
	errHTTPVersion      = errors.New("that version of HTTP is not spoken here")
	errAmbiguousFraming = errors.New("the body's end is not clear")
	errBodyOnGet        = errors.New("a GET has no body")
)

// checkFraming tells whether the client and the node agree where a request ends; otherwise the remainder of its body
// could pass as a request. net/http accepts a chunked body even beside a Content-Length, and ignores chunking in
// HTTP/1.0. An error comes with the status to reject the request with.
func checkFraming(r *http.Request) (status int, err error) {
	c := clientConnOf(r)
	switch {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errHTTPVersion
	case r.ContentLength < 0 && (c == nil || !c.head.isOnlyChunked(r)):
		return http.StatusBadRequest, errAmbiguousFraming
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return http.StatusBadRequest, errBodyOnGet
	}
	return 0, nil
}
