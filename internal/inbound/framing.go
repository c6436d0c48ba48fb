package inbound

import (
	"errors"
	"net/http"
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
// Content-Length, and ignores chunking in HTTP/1.0. The argument head is the head of the request as it was read, or nil
// if it is unknown.
func CheckFraming(r *http.Request, head *Head) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return Reject(http.StatusHTTPVersionNotSupported, errHTTPVersion)
	case r.ContentLength < 0 && (head == nil || !head.isOnlyChunked(r)):
		return Reject(http.StatusBadRequest, errAmbiguousFraming)
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return Reject(http.StatusBadRequest, ErrBodyOnGet)
	}
	return nil
}
