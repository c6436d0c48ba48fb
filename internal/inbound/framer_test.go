package inbound

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// receive gives the framer bytes as if they were read from the connection, size at a time, and returns what it passes.
func receive(f *Framer, text string, size int) (passed string) {
	b := make([]byte, 4<<10)
	for text != "" {
		n := copy(b, text[:min(size, f.ReadLimit(len(b)), len(text))])
		text = text[n:]
		for n = f.Receive(b, n); n > 0; n = f.Next(b) {
			passed += string(b[:n])
		}
		if n == 0 && f.ReadLimit(len(b)) == 0 {
			break
		}
	}
	return passed
}

// A head ends with its empty line, however it is split into reads. Nothing of it is passed before its end, and it does
// not include the bytes that follow.
func TestHeadInPieces(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: s\r\n\r\n", "GET / HTTP/1.1\nHost: s\n\n",
		"\r\nGET / HTTP/1.1\r\nHost: s\r\n\r\n"} {
		for size := 1; size <= len(head); size++ {
			var f Framer
			if f.Started() || f.Partial() {
				t.Fatal("the head counts as started before its first byte")
			}
			b := make([]byte, 4<<10)
			passed := ""
			for rest := head + "body"; rest != ""; {
				n := copy(b, rest[:min(size, len(rest))])
				rest = rest[n:]
				n = f.Receive(b, n)
				passed += string(b[:n])
				read := len(head) + len("body") - len(rest)
				if f.Partial() != (read < len(head)) || !f.Started() {
					t.Errorf("%q after %d bytes: partial %v, started %v, want started, and partial only before its end",
						head, read, f.Partial(), f.Started())
				}
				if f.Partial() && passed != "" {
					t.Errorf("%q after %d bytes: %q was passed before the end of the head", head, read, passed)
				}
			}
			if passed != head {
				t.Errorf("passed %q, want %q", passed, head)
			}
			f = Framer{}
			if receive(&f, head, size); !f.Started() {
				t.Error("the request does not count as started before the response to it")
			}
			if f.EndRequest(); f.Started() {
				t.Error("the head counts as started right after the response to the previous request")
			}
		}
	}
}

// A head without an end must not be recorded without limit: a client could exhaust the memory with it. The HTTP server
// must get its bytes, so that it rejects the head.
func TestEndlessHead(t *testing.T) {
	var f Framer
	passed := 0
	for range 100 {
		passed += len(receive(&f, strings.Repeat("x", MaxHead), MaxHead))
		if held := len(f.head) + len(f.held); held > 4*MaxHead {
			t.Fatalf("%d bytes of an endless head are recorded, want at most 4*MaxHead", held)
		}
	}
	if passed != 100*MaxHead || f.Partial() {
		t.Errorf("endless head: %d bytes passed, partial %v, want all passed, and not partial", passed, f.Partial())
	}
}

// The HTTP server must not get bytes of the next request with those of the one before, however the stream is split: it
// would read them ahead, and their framing could not be checked any more. The next request must then be passed whole,
// also if the server's background read has taken its first byte.
func TestRequestsAreKeptApart(t *testing.T) {
	const next = "POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy"
	for name, first := range map[string]string{
		"no body":       "GET /a HTTP/1.1\r\nHost: s\r\n\r\n",
		"length":        "POST /a HTTP/1.1\r\nContent-Length: 12\r\n\r\n0\r\n\r\nGET /\r\n",
		"chunked":       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na\nb\nc\r\n0\r\n\r\n",
		"chunk trailer": "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-T: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(first)+len(next); size++ {
				for _, inBackground := range []bool{false, true} {
					checkKeptApart(t, first, next, size, inBackground)
				}
			}
		})
	}
}

// checkKeptApart has a server read two requests as net/http does: it asks for bytes only while the first one is not
// whole, except for a background read.
func checkKeptApart(t *testing.T, first, next string, size int, inBackground bool) {
	t.Helper()
	var f Framer
	stream := first + next
	read := func(want int, limit int) (passed string) {
		b := make([]byte, limit)
		for len(passed) < want {
			n := f.Next(b)
			if n == 0 {
				n = copy(b, stream[:min(size, f.ReadLimit(limit), len(stream))])
				stream = stream[n:]
				n = f.Receive(b, n)
			}
			passed += string(b[:n])
			if n == 0 && stream == "" && f.held == nil {
				break
			}
		}
		return passed
	}
	if got := read(len(first), 4<<10); got != first {
		t.Fatalf("reads of %d: passed %q as the first request, want %q", size, got, first)
	}
	ahead := ""
	if inBackground {
		ahead = read(1, backgroundReadSize)
	}
	f.EndRequest()
	if got := ahead + read(len(next)-len(ahead), 4<<10); got != next || !f.endsClearly() {
		t.Fatalf("reads of %d, background read %v: passed %q as the next request, clear %v, want %q, clear",
			size, inBackground, got, f.endsClearly(), next)
	}
}

// A server that asks for more after the end of a request must not get the bytes of the next one.
func TestNothingIsReadBeyondARequest(t *testing.T) {
	var f Framer
	receive(&f, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 4<<10)
	if limit := f.ReadLimit(4 << 10); limit != 0 {
		t.Errorf("%d bytes may be read beyond the request, want none", limit)
	}
	if !f.IsBackgroundRead(backgroundReadSize) || f.ReadLimit(backgroundReadSize) != backgroundReadSize {
		t.Error("no background read is possible after a request")
	}
}

// Requests whose end is ambiguous allow request smuggling. They must be rejected with the right status.
func TestCheckFraming(t *testing.T) {
	const requestLine = "POST /api HTTP/1.1\r\n"
	chunked := func(head string) (*http.Request, *Framer) {
		f := &Framer{}
		receive(f, head, 4<<10)
		return &http.Request{Method: http.MethodPost, RequestURI: "/api", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			ContentLength: -1, TransferEncoding: []string{"chunked"}}, f
	}
	for name, tc := range map[string]struct {
		head   string
		change func(*http.Request)
		status int
	}{
		"chunked":              {requestLine + "Transfer-Encoding: chunked\r\n\r\n", nil, 0},
		"chunked and length":   {requestLine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", nil, 400},
		"incomplete head":      {requestLine + "Transfer-Encoding: chunked\r\n", nil, 400},
		"length after chunked": {requestLine + "Transfer-Encoding: chunked\r\ncontent-length:1\r\n\r\n", nil, 400},
		"folded length":        {requestLine + "Content-Length:\r\n 1\r\n\r\n", nil, 400},
		"two lengths":          {requestLine + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", nil, 400},
		"no length":            {requestLine + "Content-Length: x\r\n\r\n", nil, 400},
		"length in a value":    {requestLine + "Transfer-Encoding: chunked\r\nX: Content-Length: 1\r\n\r\n", nil, 0},
		"head not read":        {"", nil, 400},
		"length":               {requestLine + "Content-Length: 1\r\n\r\n", func(r *http.Request) { r.ContentLength = 1 }, 0},
		"HTTP/1.0":             {requestLine + "\r\n", func(r *http.Request) { r.ProtoMinor = 0 }, 505},
		"GET with a body": {"GET / HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
			func(r *http.Request) { r.Method, r.ContentLength = http.MethodGet, 1 }, 400},
	} {
		t.Run(name, func(t *testing.T) {
			r, framer := chunked(tc.head)
			if tc.change != nil {
				tc.change(r)
			}
			err := CheckFraming(r, framer)
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
