package node

import (
	"bufio"
	"net/http"
	"testing"
)

// Guards against requests of clients that are answered 200 though no server has run them: a call to the path of the
// readiness check, and a method that the HTTP library answers by itself.
func TestReadinessIsAskedByGet(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	call := "X-Call-Id: 1\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\n\r\n"
	for name, tc := range map[string]struct {
		text    string
		status  int
		reaches bool
	}{
		"check":             {"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n", http.StatusOK, false},
		"call to that path": {"POST /ready HTTP/1.1\r\nHost: s\r\n" + call, http.StatusOK, true},
		"POST without a call": {"POST /ready HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n",
			http.StatusBadRequest, false},
		"OPTIONS *": {"OPTIONS * HTTP/1.1\r\nHost: s\r\n" + call, http.StatusMethodNotAllowed, false},
	} {
		before := b.requests()
		c := dialNode(t, n)
		write(t, c, tc.text)
		status := readStatusFrom(bufio.NewReader(c))
		if reached := b.requests() > before; status != tc.status || reached != tc.reaches {
			t.Errorf("%s: status %d, reached a server: %v, want %d and %v", name, status, reached, tc.status, tc.reaches)
		}
	}
}
