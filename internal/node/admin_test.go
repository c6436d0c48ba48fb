package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"keelusher/internal/admin"
	"keelusher/internal/metrics"
	"keelusher/policy/guard"
)

// callAdmin sends one request to the admin endpoint, and returns the status and the body of the response.
func (r *runningNode) callAdmin(t *testing.T, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.adminAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	status, _, body := do(t, req)
	return status, body
}

// ready polls /ready on a new connection, as the front-end load balancer does, and returns the status.
func (r *runningNode) ready(t *testing.T) int {
	t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(r.url + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// dialAdmin opens a connection to the admin endpoint. It is closed when the test ends.
func dialAdmin(t *testing.T, n *runningNode) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.adminAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// The admin endpoint answers unknown paths with 404, wrong methods with 405 and malformed requests with 400 or 431.
func TestAdminRequests(t *testing.T) {
	n := startWith(t, newBackend(t, serveOK))
	for _, call := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/control/ready", 200},
		{"PUT", "/control/in-service", 200},
		{"GET", "/control/nothing", 404},
		{"GET", "/control//ready", 404},
		{"GET", "/ready", 404},
		{"POST", "/control/ready", 405},
		{"GET", "/control/out-of-service", 405},
		{"DELETE", "/control/in-service", 405},
	} {
		if status, _ := n.callAdmin(t, call.method, call.path); status != call.want {
			t.Errorf("%s %s: status %d, want %d", call.method, call.path, status, call.want)
		}
	}
	for text, want := range map[string]string{
		"no call at all\r\n\r\n":                         " 400 ",
		"GET /control/ready HTTP/1.1\r\n\r\n":            " 400 ", // no Host
		"GET /" + strings.Repeat("x", 16<<10) + " HTTP/": " 431 ",
	} {
		c := dialAdmin(t, n)
		_, _ = io.WriteString(c, text) // ignored: the connection may be closed while a long head is written
		setReadTimeout(t, c, 20*time.Second)
		if response, _ := io.ReadAll(c); !strings.Contains(string(response), want) {
			t.Errorf("the response to %.30q is %q, want the status%s", text, response, want)
		}
	}
}

// The admin endpoint must answer operators at any load. Here clients hold all connections that the node allows them,
// and twice as many connections as the admin endpoint's own limit are opened to it without a complete call.
func TestAdminEndpointWhenConnectionLimitsAreReached(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.Sockets = 2 * baseReservedDescriptors // the minimum that the configuration allows
	n := start(t, cfg)
	held := make(chan bool)
	limit := cfg.connectionLimits(1).clients
	for i := range limit {
		go func() {
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x"))
			if err == nil {
				resp.Body.Close()
			}
			held <- err == nil
		}()
	}
	eventually(t, "the limit on client connections is reached", func() bool {
		n.inbound.mu.Lock()
		defer n.inbound.mu.Unlock()
		return n.inbound.admitted == limit && n.inbound.awaitingHead.Len() == 0
	})
	for i := range 2 * admin.MaxConnections {
		_, _ = io.WriteString(dialAdmin(t, n), "GET /control"[:i%2*12]) // fails if the connection has been evicted
	}
	begin := time.Now()
	if status, _ := n.callAdmin(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("GET /control/ready got status %d, want 200", status)
	}
	if took := time.Since(begin); took > admin.CallTimeout/2 { // must not depend on the timeout of other calls
		t.Errorf("GET /control/ready was answered after %v, want at most half of admin.CallTimeout", took)
	}
	close(release)
	for range limit {
		if !<-held {
			t.Error("a client got no response")
		}
	}
}

// A connection with an incomplete request is closed. Otherwise it would count against the connection limit for ever.
func TestAdminClosesIncompleteRequest(t *testing.T) {
	n := startWith(t, newBackend(t, serveOK))
	c := dialAdmin(t, n)
	if _, err := io.WriteString(c, "GET /control/ready HTTP/1.1\r\nHost"); err != nil {
		t.Fatal(err)
	}
	setReadTimeout(t, c, 2*admin.CallTimeout)
	if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("the connection with an incomplete request is still open")
	}
}

// While a node is drained, the response to an open request closes its connection, and idle connections are closed. The
// node can be returned to service without a restart, and repeated calls have no further effect.
func TestDrainAndReturn(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			<-release
		}
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, b)
	idle, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	held := make(chan *http.Response, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "held", "x"))
		if err != nil {
			t.Error(err)
		} else {
			resp.Body.Close()
		}
		held <- resp
	}()
	eventually(t, "the server has the request", func() bool { return b.requests() == 1 })
	for range 2 { // a repeated call has no further effect
		if status, _ := n.callAdmin(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
			t.Fatalf("PUT out-of-service got status %d, want 200", status)
		}
		if status := n.ready(t); status != http.StatusServiceUnavailable {
			t.Errorf("/ready got status %d while drained, want 503", status)
		}
	}
	if status, _ := n.callAdmin(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("GET /control/ready got status %d though the process can serve, want 200", status)
	}
	setReadTimeout(t, idle, 20*time.Second)
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading from the idle connection returned %v, want EOF", err)
	}
	close(release)
	if resp := <-held; resp == nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("the open request got %+v, want 200 and Connection: close", resp)
	}
	for range 2 {
		if status, _ := n.callAdmin(t, "PUT", "/control/in-service"); status != http.StatusOK {
			t.Fatalf("PUT in-service got status %d, want 200", status)
		}
		if status := n.ready(t); status != http.StatusOK {
			t.Errorf("/ready got status %d after the return to service, want 200", status)
		}
	}
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "after", "x")); status != http.StatusOK {
		t.Errorf("a request after the return to service got status %d, want 200", status)
	}
}

// If the admin address is in use, Run returns an error before the node serves.
func TestAdminAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg := testConfig(t, "pushed")
	cfg.Control = taken.Addr().String()
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.Run(ctx); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("Run returned %v, want an error of the admin address", err)
	}
}

// The counters of the admin endpoint agree with what clients and servers saw since the start of the process, and with
// the counts in the log.
func TestCounters(t *testing.T) {
	release := make(chan struct{})
	good := newBackend(t, func(_ int, c net.Conn, r *http.Request) bool {
		switch r.Header.Get("X-Call-Id") {
		case "held":
			<-release
		case "broken":
			return respond(c, "500 Internal Server Error", "")
		case "full":
			return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
		}
		return respond(c, "200 OK", "done")
	})
	n := startWith(t, good)
	read := func() (f metrics.CountersPage) {
		t.Helper()
		status, text := n.callAdmin(t, "GET", "/control/counters")
		if err := json.Unmarshal([]byte(text), &f); status != http.StatusOK || err != nil {
			t.Fatalf("GET /control/counters: status %d, body %q: %v", status, text, err)
		}
		return f
	}
	for class, ids := range map[string][]string{"unsafe": {"1", "2", "broken", "full"}, "keyed": {"3"}} {
		for _, id := range ids {
			do(t, newRequest(t, n.url, class, id, "x"))
		}
	}
	held := make(chan bool)
	go func() {
		do(t, newRequest(t, n.url, "unsafe", "held", "x"))
		held <- true
	}()
	eventually(t, "the server has six requests", func() bool { return good.requests() == 6 })
	// The server may receive an attempt a moment before the node counts the attempt.
	eventually(t, "six attempts are counted", func() bool { return read().AttemptsWritten == 6 })
	want := metrics.CountersPage{
		Succeeded:        metrics.CountByName{"unsafe": 2, "keyed": 1, "safe": 0},
		Rejected:         metrics.CountByName{"unsafe": 1, "keyed": 0, "safe": 0},
		Failed:           metrics.CountByName{"unsafe": 1, "keyed": 0, "safe": 0},
		AttemptsWritten:  6,
		InFlight:         1,
		EndpointsListed:  1,
		EndpointsAvoided: 1, // the one server has just rejected a request as overloaded
	}
	if got := read(); !reflect.DeepEqual(got, want) {
		t.Errorf("the counters are %+v, want %+v", got, want)
	}
	close(release)
	<-held
	if got := read(); got.InFlight != 0 || got.Succeeded["unsafe"] != 3 {
		t.Errorf("the counters after the last response are %+v, want 0 in flight and 3 unsafe successes", got)
	}
	if c := n.loop.metrics.Snapshot(); c.Succeeded.Sum() != 4 || c.AttemptsWritten != 6 {
		t.Errorf("the counts of the log are %+v, want 4 successes and 6 attempts", c)
	}
}

// The admin endpoint returns the counts of decisions.
func TestDecisionsAtAdminEndpoint(t *testing.T) {
	n := startWith(t, newBackend(t, serveOK))
	n.loop.decisions.Violation(guard.TimeoutTooLong)
	resp, err := http.Get("http://" + n.adminAddress + "/control/decisions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var f metrics.DecisionsPage
	if err = errors.Join(err, json.Unmarshal(text, &f)); err != nil || f.Violations["told_too_much_time"] != 1 {
		t.Errorf("GET /control/decisions: error %v, body %s, want one violation", err, text)
	}
}
