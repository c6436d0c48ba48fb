package inbound

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

var (
	errHTTPVersion      = errors.New("that version of HTTP is not spoken here")
	errAmbiguousFraming = errors.New("the body's end is not clear")

	// ErrBodyOnGet is the reason for the rejection of a GET request that has a body.
	ErrBodyOnGet = errors.New("a GET has no body")
)

// CheckFraming returns a *Rejection if the HTTP version of a request is below 1.1, if the end of its body is ambiguous,
// or if it is a GET with a body. If the client and the node disagreed on the end of a body, the remainder of the body
// could be taken for another request (request smuggling). net/http accepts a chunked body together with a
// Content-Length, which it drops, and ignores chunking in HTTP/1.0. The argument framer has passed the head of the
// request; it is nil if the connection is unknown.
func CheckFraming(r *http.Request, framer *Framer) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return Reject(http.StatusHTTPVersionNotSupported, errHTTPVersion)
	case framer != nil && !framer.endsClearly():
		return Reject(http.StatusBadRequest, errAmbiguousFraming)
	case framer == nil && r.ContentLength < 0:
		return Reject(http.StatusBadRequest, errAmbiguousFraming)
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return Reject(http.StatusBadRequest, ErrBodyOnGet)
	}
	return nil
}

// framing says how the end of a request's body is recognized.
type framing struct {
	chunked   bool
	length    int64 // if the body is not chunked
	ambiguous bool  // the headers contradict each other, or cannot be read with certainty
}

// parseFraming returns the framing that the lines of a complete head announce.
func parseFraming(head []byte) framing {
	var f framing
	hasLength := false
	inFramingHeader := false // the previous line begins a header that says where the body ends
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') { // continues the previous line
			f.ambiguous = f.ambiguous || inFramingHeader
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimRight(name, " \t") // such a name is rejected by net/http
		isLength := bytes.EqualFold(name, []byte("Content-Length"))
		isEncoding := bytes.EqualFold(name, []byte("Transfer-Encoding"))
		inFramingHeader = isLength || isEncoding
		if isEncoding {
			f.chunked = true
		}
		if isLength {
			length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
			f.ambiguous = f.ambiguous || err != nil || hasLength && int64(length) != f.length
			f.length = int64(length)
			hasLength = true
		}
	}
	f.ambiguous = f.ambiguous || f.chunked && hasLength
	return f
}
