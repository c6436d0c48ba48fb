package inbound

import (
	"errors"
	"net/http"
)

var (
	errHTTPVersion      = errors.New("that version of HTTP is not spoken here")
	errAmbiguousFraming = errors.New("the body's end is not clear")

	// ErrBodyOnGet is the reason to reject a GET with a body.
	ErrBodyOnGet = errors.New("a GET has no body")
)

// CheckFraming fails with a *Rejection unless the client and the node agree where a request ends; otherwise the
// remainder of its body could pass as a request. net/http accepts a chunked body even beside a Content-Length, and
// ignores chunking in HTTP/1.0. The head is that of the request as it was read; nil: not known.
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
