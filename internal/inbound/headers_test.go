package inbound

import (
	"errors"
	"net/http"
	"slices"
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
			t.Errorf("%q: %v, %v, want %v", text, got, err, want)
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
		t.Errorf("got %+v, %v, %v, want %+v", meta, budget, err, want)
	}
	for name, spoil := range map[string]func(*http.Request){
		"X-Call-Id":    func(r *http.Request) { r.Header.Del("X-Call-Id") },
		"X-Call-Class": func(r *http.Request) { r.Header.Set("X-Call-Class", "other") },
		"X-Budget":     func(r *http.Request) { r.Header.Set("X-Budget", "30") },
	} {
		broken := r.Clone(t.Context())
		spoil(broken)
		var rejection *Rejection
		_, _, err := ParseHeaders(broken, methods)
		if !errors.As(err, &rejection) || rejection.Status != http.StatusBadRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
	post := r.Clone(t.Context())
	post.Method = http.MethodPost
	var rejection *Rejection
	if _, _, err := ParseHeaders(post, methods); !errors.As(err, &rejection) ||
		rejection.Status != http.StatusMethodNotAllowed || rejection.Allow != http.MethodGet {
		t.Errorf("another method: %v", err)
	}
}

// Headers of one connection are not forwarded, and the incoming ones are not changed.
func TestForwardableHeaders(t *testing.T) {
	incoming := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Budget": {"30m"},
		"X-Kept": {"a", "b"}}
	got := ForwardableHeaders(incoming)
	if len(got) != 1 || !slices.Equal(got["X-Kept"], []string{"a", "b"}) {
		t.Errorf("got %v", got)
	}
	if len(incoming) != 5 {
		t.Errorf("the incoming headers are now %v", incoming)
	}
}
