package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"keelusher/policy"
)

// runCounts counts how often servers may have run each request, by request id.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounts) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// serveWithFaults handles the requests of a server that fails in every way that can be observed on a socket: it rejects
// requests, returns errors, closes without a response or in the middle of one, and closes idle connections.
func (c *runCounts) serveWithFaults(n int, conn net.Conn, r *http.Request) bool {
	if n%5 == 1 {
		return respond(conn, "503 Service Unavailable", "", "X-Rejected: 1")
	}
	c.add(r.Header.Get("X-Call-Id"))
	switch {
	case n%7 == 2:
		return respond(conn, "500 Internal Server Error", "")
	case n%11 == 3:
		return false // a close without a response
	case n%13 == 4:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		return false
	case n%3 == 0:
		respond(conn, "200 OK", "done")
		return false // a close while the connection is idle
	}
	return respond(conn, "200 OK", "done")
}

// checkResponse sends a request and checks its response against how often the request may have run. It returns the
// status, or 0 if no response came.
func checkResponse(t *testing.T, n *runningNode, class, id string, runs *runCounts) int {
	t.Helper()
	resp, err := http.DefaultClient.Do(newRequest(t, n.url, class, id, "x"))
	if err != nil {
		t.Errorf("request %s got no response: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	ran := runs.of(id)
	switch {
	case err != nil:
		t.Errorf("request %s got an incomplete response: %v", id, err)
	case resp.StatusCode == http.StatusOK && string(body) != "done":
		t.Errorf("request %s got the body %q, want done", id, body)
	case resp.StatusCode == http.StatusServiceUnavailable && ran > 0:
		t.Errorf("request %s was rejected, but may have run %d times, want 0", id, ran)
	case class == "unsafe" && ran > 1:
		t.Errorf("non-idempotent request %s may have run %d times, want at most once", id, ran)
	}
	return resp.StatusCode
}

// With servers that fail in every way that can be observed on a socket, each request gets one final response, a
// non-idempotent request runs at most once, and only requests that never ran are rejected.
func TestRetryRulesUnderFaults(t *testing.T) {
	runs := &runCounts{runs: map[string]int{}}
	var backends []*backend
	for range 4 {
		backends = append(backends, newBackend(t, runs.serveWithFaults))
	}
	n := startWith(t, backends...)

	const clients, each = 12, 40
	var mu sync.Mutex
	answered := map[int]int{}
	var wg sync.WaitGroup
	for client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				class := []string{"keyed", "unsafe"}[i%2]
				status := checkResponse(t, n, class, fmt.Sprintf("%d-%d", client, i), runs)
				if status == 0 {
					return
				}
				mu.Lock()
				answered[status]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if answered[200] == 0 || answered[502] == 0 {
		t.Errorf("responses by status: %v, want some 200 and some 502", answered)
	}
	for status := range answered {
		if status != 200 && status != 502 && status != 503 {
			t.Errorf("status %d, want 200, 502 or 503", status)
		}
	}
}

// A request to a server that sends no response is answered at its deadline, when its attempt ends too.
func TestUnresponsiveServerEndsAtDeadline(t *testing.T) {
	connClosed := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(connClosed)
		return false
	})
	n := startWith(t, b)
	r := newRequest(t, n.url, "unsafe", "1", "x")
	r.Header.Set("X-Budget", "2000m")
	if status, _, _ := do(t, r); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the request may have run", status)
	}
	<-connClosed
}

// If a server rejects a request without reading its large body, the request does not count as executed.
func TestEarlyRejection(t *testing.T) {
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		return respond(c, "503 Service Unavailable", "", "X-Rejected: 1", "Connection: close")
	})
	status, _, _ := do(t, newRequest(t, startWith(t, b).url, "unsafe", "1", strings.Repeat("x", maxBufferedBody)))
	if status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
}

// Guards against a response head without an end that occupies unlimited memory or holds the request until its deadline:
// the attempt fails as soon as the head exceeds its limit.
func TestEndlessResponseHeads(t *testing.T) {
	for name, parts := range map[string][2]string{
		"a header":        {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, parts[0]+strings.Repeat(parts[1], 16*maxBufferedBody/len(parts[1])))
				_, _ = io.Copy(io.Discard, c) // until the node closes the connection
				return false
			})
			begin := time.Now()
			if status, _, _ := do(t, newRequest(t, startWith(t, b).url, "unsafe", "1", "x")); status != http.StatusBadGateway {
				t.Errorf("status %d, want 502: the request may have run", status)
			}
			if took := time.Since(begin); took > 15*time.Second { // the budget is 30 s
				t.Errorf("the response took %v, want at most 15 s", took)
			}
		})
	}
}

// The start times of servers in endpoint lists are converted to clock times of the node; a missing one stays zero.
func TestServerStartTimeIsClockTime(t *testing.T) {
	ck := newClock()
	startedAt := ck.start.Add(-5 * time.Second)
	s := listedEndpoint{ID: "s", Health: "in_service", StartedAtMillis: float64(startedAt.UnixMicro()) / 1000}.endpoint()
	if age := ck.now() - s.StartedAt; age < 4999*time.Millisecond || age > time.Minute {
		t.Errorf("a server that started 5 s ago has the age %v, want 5 s to 1 min", age)
	}
	if s := (listedEndpoint{Health: "terminating"}).endpoint(); s.StartedAt != 0 || s.State != policy.Draining {
		t.Errorf("endpoint %+v, want no start time and draining", s)
	}
}
