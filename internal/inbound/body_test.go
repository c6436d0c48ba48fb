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

// newTestBody returns a body that can be read without waiting.
func newTestBody(text string) *Body {
	r := httptest.NewRequest(http.MethodPost, "/api", strings.NewReader(text))
	return NewBody(httptest.NewRecorder(), r, time.Second)
}

// Buffer has to report correctly whether it has read the complete body, for known and unknown lengths, and the
// remainder has to stay readable. Otherwise a truncated body would be forwarded.
func TestBuffer(t *testing.T) {
	for name, tc := range map[string]struct {
		text     string
		size     int
		length   int64
		want     string
		complete bool
	}{
		"shorter than the buffer":              {"abc", 4, -1, "abc", true},
		"of the buffer's size, known length":   {"abcd", 4, 4, "abcd", true},
		"of the buffer's size, unknown length": {"abcd", 4, -1, "abcd", false},
		"longer than the buffer":               {"abcdef", 4, -1, "abcd", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBody(tc.text)
			buffered, complete, err := b.Buffer(tc.size, tc.length)
			if string(buffered) != tc.want || complete != tc.complete || err != nil {
				t.Errorf("Buffer returned %q, complete %v, error %v, want the values of this case and no error",
					buffered, complete, err)
			}
			if !complete && b.Consumed() {
				t.Error("the buffered bytes count as consumed")
			}
			rest, err := io.ReadAll(b)
			if string(buffered)+string(rest) != tc.text || err != nil || b.Failure() != nil || !b.Stop() {
				t.Errorf("the remainder is %q, error %v, failure %v, want the bytes that were not buffered and no error",
					rest, err, b.Failure())
			}
		})
	}
}

// A body that was stopped half-way must return no more bytes and must not be reported as complete.
func TestStoppedBody(t *testing.T) {
	b := newTestBody("abcdef")
	if _, err := b.Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	if b.Stop() || !b.Consumed() {
		t.Error("a partly read body is reported as complete or as not consumed, want incomplete and consumed")
	}
	if n, err := b.Read(make([]byte, 2)); n != 0 || !errors.Is(err, ErrBodyUnwanted) {
		t.Errorf("read after Stop: %d bytes, error %v, want 0 bytes and ErrBodyUnwanted", n, err)
	}
	if err := b.Failure(); !errors.Is(err, ErrBodyUnwanted) {
		t.Errorf("failure after Stop: %v, want ErrBodyUnwanted", err)
	}
}

// A slow client must miss its read deadline, and a fast one must not. The time for the next bytes grows with the bytes
// received, shrinks with the time spent in reads, and is at most maxBodyReadGap.
func TestNextDeadline(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		bytesRead int64
		waitTime  time.Duration
		want      time.Duration
	}{
		"no bytes yet":      {0, 0, time.Second},
		"at minBodyRate":    {64e3, time.Second, time.Second},
		"at half that rate": {32e3, time.Second, 500 * time.Millisecond},
		"much faster":       {64e6, 0, maxBodyReadGap},
	} {
		b := newTestBody("")
		b.bytesRead, b.waitTime = tc.bytesRead, tc.waitTime
		if got := b.nextDeadline(now).Sub(now); got != tc.want {
			t.Errorf("%s: %v until the deadline, want %v", name, got, tc.want)
		}
	}
}
