package inbound

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"keelusher/policy"
)

func TestParseBudget(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m":     480 * time.Millisecond,
		"0.5m":     500 * time.Microsecond,
		"250u":     250 * time.Microsecond,
		"3600000m": MaxBudget,
		"":         0, "480": 0, "480s": 0, "m": 0, "nanm": 0, "-1m": 0, "0m": 0, "3600001m": 0, "1e300m": 0,
	} {
		if got, err := ParseBudget(text); got != want || (err == nil) != (want > 0) {
			t.Errorf("ParseBudget(%q) = %v, %v, want %v", text, got, err, want)
		}
	}
}

func TestParseHeaders(t *testing.T) {
	methods := map[string]string{"safe": http.MethodGet}
	r := &http.Request{Method: http.MethodGet, Header: http.Header{"X-Call-Id": {"1"}, "X-Call-Class": {"safe"},
		"X-Caller": {"tenant"}, "X-Again": {"1"}, "X-Budget": {"30m"}, "X-Route-Hash": {"key"}}}
	meta, budget, err := ParseHeaders(r, methods)
	want := policy.Request{ID: "1", Class: "safe", Tenant: "tenant", IsRetry: true, Key: hashKey("key"), HasKey: true}
	if err != nil || budget != 30*time.Millisecond || meta != want {
		t.Errorf("ParseHeaders returned request %+v, budget %v, error %v, want request %+v, budget 30ms, no error",
			meta, budget, err, want)
	}
	for name, makeInvalid := range map[string]func(*http.Request){
		"X-Call-Id":    func(r *http.Request) { r.Header.Del("X-Call-Id") },
		"long ID":      func(r *http.Request) { r.Header.Set("X-Call-Id", strings.Repeat("x", MaxRequestID+1)) },
		"X-Call-Class": func(r *http.Request) { r.Header.Set("X-Call-Class", "other") },
		"X-Budget":     func(r *http.Request) { r.Header.Set("X-Budget", "30") },
	} {
		invalid := r.Clone(t.Context())
		makeInvalid(invalid)
		var rejection *Rejection
		_, _, err := ParseHeaders(invalid, methods)
		if !errors.As(err, &rejection) || rejection.Status != http.StatusBadRequest {
			t.Errorf("bad %s: error %v, want a rejection with status 400", name, err)
		}
	}
	post := r.Clone(t.Context())
	post.Method = http.MethodPost
	var rejection *Rejection
	if _, _, err := ParseHeaders(post, methods); !errors.As(err, &rejection) ||
		rejection.Status != http.StatusMethodNotAllowed || rejection.Allow != http.MethodGet {
		t.Errorf("POST for a class of GETs: error %v, want status 405 and Allow: GET", err)
	}
}

// Hop-by-hop headers must not reach the server, and the headers of the incoming request must not change.
func TestForwardableHeaders(t *testing.T) {
	incoming := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Budget": {"30m"},
		"X-Kept": {"a", "b"}}
	got := ForwardableHeaders(incoming)
	if len(got) != 1 || !slices.Equal(got["X-Kept"], []string{"a", "b"}) {
		t.Errorf("forwarded %v, want only X-Kept", got)
	}
	if len(incoming) != 5 {
		t.Errorf("the incoming headers were changed to %v, want all 5 kept", incoming)
	}
}
