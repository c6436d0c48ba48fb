package inbound

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newTestBody is the body of a request whose bytes are there.
func newTestBody(text string) *Body {
	r := httptest.NewRequest(http.MethodPost, "/api", strings.NewReader(text))
	return NewBody(httptest.NewRecorder(), r, time.Second)
}

// Buffer tells whether it has read all, for bodies of known and unknown length, and the remainder can be read on.
func TestBuffer(t *testing.T) {
	for name, tc := range map[string]struct {
		text     string
		size     int
		length   int64
		want     string
		complete bool
	}{
		"shorter than the buffer":            {"abc", 4, -1, "abc", true},
		"of the buffer's size, as announced": {"abcd", 4, 4, "abcd", true},
		"of the buffer's size, unknown":      {"abcd", 4, -1, "abcd", false},
		"longer than the buffer":             {"abcdef", 4, -1, "abcd", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBody(tc.text)
			buffered, complete, err := b.Buffer(tc.size, tc.length)
			if string(buffered) != tc.want || complete != tc.complete || err != nil {
				t.Errorf("got %q, %v, %v", buffered, complete, err)
			}
			if !complete && b.Consumed() {
				t.Error("what was buffered counts as consumed")
			}
			rest, err := io.ReadAll(b)
			if string(buffered)+string(rest) != tc.text || err != nil || b.Failure() != nil || !b.Stop() {
				t.Errorf("the remainder is %q, %v, failure %v", rest, err, b.Failure())
			}
		})
	}
}

// A stopped body gives no more bytes, and says that it is incomplete.
func TestStoppedBody(t *testing.T) {
	b := newTestBody("abcdef")
	if _, err := b.Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	if b.Stop() || !b.Consumed() {
		t.Error("a body that was read in part is complete, or not consumed")
	}
	if n, err := b.Read(make([]byte, 2)); n != 0 || !errors.Is(err, ErrBodyUnwanted) {
		t.Errorf("read %d bytes more, %v", n, err)
	}
	if err := b.Failure(); !errors.Is(err, ErrBodyUnwanted) {
		t.Errorf("its failure is %v", err)
	}
}

// The time for the next bytes grows with those that came, shrinks with the waits, and has a bound of its own.
func TestNextDeadline(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		bytesRead int64
		waitTime  time.Duration
		want      time.Duration
	}{
		"the first bytes":   {0, 0, time.Second},
		"at the least rate": {64e3, time.Second, time.Second},
		"slower":            {32e3, time.Second, 500 * time.Millisecond},
		"far ahead":         {64e6, 0, maxBodyReadGap},
	} {
		b := newTestBody("")
		b.bytesRead, b.waitTime = tc.bytesRead, tc.waitTime
		if got := b.nextDeadline(now).Sub(now); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
