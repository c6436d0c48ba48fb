package inbound

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// A head ends with its empty line, however it is split into reads, and does not include the bytes that follow.
func TestHeadInPieces(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: s\r\n\r\n", "GET / HTTP/1.1\nHost: s\n\n"} {
		for size := 1; size <= len(head); size++ {
			var h Head
			if h.Started() || h.Partial() {
				t.Fatal("the head counts as started before its first byte")
			}
			for rest := head + "body"; rest != ""; {
				piece := rest[:min(size, len(rest))]
				rest = rest[len(piece):]
				h.Add([]byte(piece))
				if read := len(head) + len("body") - len(rest); h.Partial() != (read < len(head)) || !h.Started() {
					t.Errorf("%q after %d bytes: partial %v, started %v, want started, and partial only before its end",
						head, read, h.Partial(), h.Started())
				}
			}
			if string(h.text) != head {
				t.Errorf("recorded %q, want %q", h.text, head)
			}
			if h.Reset(); h.Started() {
				t.Error("the head counts as started right after a reset")
			}
		}
	}
}

// A head without an end must not be recorded without limit: a client could exhaust the memory with it.
func TestEndlessHead(t *testing.T) {
	var h Head
	for range 100 {
		h.Add([]byte(strings.Repeat("x", MaxHead)))
	}
	if len(h.text) > 4*MaxHead || h.Partial() {
		t.Errorf("endless head: %d bytes recorded, partial %v, want at most 4*MaxHead, not partial",
			len(h.text), h.Partial())
	}
}

// Requests whose end is ambiguous allow request smuggling. They must be rejected with the right status.
func TestCheckFraming(t *testing.T) {
	const requestLine = "POST /api HTTP/1.1\r\n"
	chunked := func(head string) (*http.Request, *Head) {
		h := &Head{}
		h.Add([]byte(head))
		return &http.Request{Method: http.MethodPost, RequestURI: "/api", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			ContentLength: -1, TransferEncoding: []string{"chunked"}}, h
	}
	for name, tc := range map[string]struct {
		head   string
		change func(*http.Request)
		status int
	}{
		"chunked":              {requestLine + "Transfer-Encoding: chunked\r\n\r\n", nil, 0},
		"chunked and length":   {requestLine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", nil, 400},
		"incomplete head":      {requestLine + "Transfer-Encoding: chunked\r\n", nil, 400},
		"other request's head": {"GET / HTTP/1.1\r\n\r\n", nil, 400},
		"length":               {"", func(r *http.Request) { r.ContentLength = 1 }, 0},
		"HTTP/1.0":             {"", func(r *http.Request) { r.ProtoMinor = 0 }, 505},
		"GET with a body":      {"", func(r *http.Request) { r.Method, r.ContentLength = http.MethodGet, 1 }, 400},
	} {
		t.Run(name, func(t *testing.T) {
			r, head := chunked(tc.head)
			if tc.change != nil {
				tc.change(r)
			}
			err := CheckFraming(r, head)
			var rejection *Rejection
			if errors.As(err, &rejection) != (tc.status != 0) || rejection != nil && rejection.Status != tc.status {
				t.Errorf("CheckFraming returned %v, want a rejection with status %d, or none for 0", err, tc.status)
			}
		})
	}
	if r, _ := chunked(""); CheckFraming(r, nil) == nil {
		t.Error("a chunked request without a known head was accepted")
	}
}
