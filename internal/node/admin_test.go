package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

// ask makes one call at the door on a connection of its own.
func (r *running) ask(t *testing.T, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.adminAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	status, _, body := do(t, req)
	return status, body
}

// ready asks as the front does.
func (r *running) ready(t *testing.T) int {
	t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(r.url + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestAdminRequests(t *testing.T) {
	n := startWith(t, newBackend(t, ok))
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
		if status, _ := n.ask(t, call.method, call.path); status != call.want {
			t.Errorf("%s %s: %d, want %d", call.method, call.path, status, call.want)
		}
	}
	for text, want := range map[string]string{
		"no call at all\r\n\r\n":                         " 400 ",
		"GET /control/ready HTTP/1.1\r\n\r\n":            " 400 ", // no Host
		"GET /" + strings.Repeat("x", 16<<10) + " HTTP/": " 431 ",
	} {
		c, err := net.Dial("tcp", n.adminAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text) // a long head may be cut off while it is written
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if said, _ := io.ReadAll(c); !strings.Contains(string(said), want) {
			t.Errorf("to %.30q it said %q, want %s", text, said, want)
		}
	}
}

// The door answers while callers hold all their places and more mute peers than it has places stay there.
func TestAdminEndpointWhenConnectionLimitsAreReached(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.Sockets = 2 * reservedDescriptors // the least there may be
	n := start(t, cfg)
	held := make(chan bool)
	most := cfg.clientConnectionLimit(cfg.Sockets)
	for i := range most {
		go func() {
			resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x"))
			if err == nil {
				resp.Body.Close()
			}
			held <- err == nil
		}()
	}
	eventually(t, "all places are taken", func() bool {
		n.inbound.mu.Lock()
		defer n.inbound.mu.Unlock()
		return n.inbound.admitted == most && n.inbound.awaitingHead.Len() == 0
	})
	for i := range 2 * adminMaxConnections {
		c, err := net.Dial("tcp", n.adminAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /control"[:i%2*12])
	}
	begin := time.Now()
	if status, _ := n.ask(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
	if took := time.Since(begin); took > adminCallTimeout/2 { // so no mute peer had to run out of its time first
		t.Errorf("answered after %v", took)
	}
	close(release)
	for range most {
		if !<-held {
			t.Error("a caller lost its answer")
		}
	}
}

// Half a call is closed, so that it holds no place for ever.
func TestAdminClosesIncompleteRequest(t *testing.T) {
	n := startWith(t, newBackend(t, ok))
	c, err := net.Dial("tcp", n.adminAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /control/ready HTTP/1.1\r\nHost")
	c.SetReadDeadline(time.Now().Add(2 * adminCallTimeout))
	if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("left open")
	}
}

// Out of service, what is open is answered as the last one of its connection, idle connections are closed, and
// the node comes back without a restart, as often as it is told.
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
	eventually(t, "it is out", func() bool { return b.requests() == 1 })
	for range 2 { // a repeated call changes nothing
		if status, _ := n.ask(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
			t.Fatalf("not drained: %d", status)
		}
		if status := n.ready(t); status != http.StatusServiceUnavailable {
			t.Errorf("/ready says %d", status)
		}
	}
	if status, _ := n.ask(t, "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("this process can serve, yet the door says %d", status)
	}
	idle.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection reads %v, want a close", err)
	}
	close(release)
	if resp := <-held; resp == nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("what was open was answered %+v, want 200 and a close", resp)
	}
	for range 2 {
		if status, _ := n.ask(t, "PUT", "/control/in-service"); status != http.StatusOK {
			t.Fatalf("not taken back: %d", status)
		}
		if status := n.ready(t); status != http.StatusOK {
			t.Errorf("/ready says %d", status)
		}
	}
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "after", "x")); status != http.StatusOK {
		t.Errorf("answered %d after the return", status)
	}
}

// A node that is told to stop does not come back, and one that has not heard of its servers is not in service.
func TestLifecycleTransitions(t *testing.T) {
	for name, tc := range map[string]struct {
		signals []lifecycleEvent
		want    phase
		refused bool // of the last signal
	}{
		"heard":                      {[]lifecycleEvent{eventListReceived}, phaseServing, false},
		"drained before it is heard": {[]lifecycleEvent{eventDrain, eventListReceived}, phaseDrained, false},
		"taken back too early":       {[]lifecycleEvent{eventDrain, eventResume}, phaseStarting, false},
		"taken back, then heard":     {[]lifecycleEvent{eventDrain, eventResume, eventListReceived}, phaseServing, false},
		"drained and back, twice":    {[]lifecycleEvent{eventListReceived, eventDrain, eventResume, eventDrain, eventResume}, phaseServing, false},
		"no way back":                {[]lifecycleEvent{eventListReceived, eventShutdown, eventResume}, phaseShuttingDown, true},
		"drained, then told to stop": {[]lifecycleEvent{eventListReceived, eventDrain, eventShutdown}, phaseShuttingDown, false},
		"out of service as it is":    {[]lifecycleEvent{eventListReceived, eventShutdown, eventDrain}, phaseShuttingDown, false},
	} {
		l := &lifecycle{onTransition: func(phase, phase) {}}
		ok := true
		for _, s := range tc.signals {
			ok = l.transition(s)
		}
		if l.current() != tc.want || ok == tc.refused {
			t.Errorf("%s: %v, allowed %v", name, l.current(), ok)
		}
	}
}

// A door that cannot open is said before anything is served.
func TestAdminAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg := testConfig(t, "pushed")
	cfg.Control = taken.Addr().String()
	n, err := New(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.Run(ctx); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("ended with %v", err)
	}
}

// The figures say what callers and servers saw, from the start of the process, and agree with the log's counts.
func TestCounters(t *testing.T) {
	release := make(chan struct{})
	good := newBackend(t, func(n int, c net.Conn, r *http.Request) bool {
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
	read := func() (f countersPage) {
		t.Helper()
		status, text := n.ask(t, "GET", "/control/counters")
		if err := json.Unmarshal([]byte(text), &f); status != http.StatusOK || err != nil {
			t.Fatalf("%d %q: %v", status, text, err)
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
	eventually(t, "it is out", func() bool { return good.requests() == 6 })
	want := countersPage{Succeeded: countByName{"unsafe": 2, "keyed": 1, "safe": 0}, Rejected: countByName{"unsafe": 1, "keyed": 0, "safe": 0},
		Failed: countByName{"unsafe": 1, "keyed": 0, "safe": 0}, AttemptsWritten: 6, InFlight: 1, EndpointsListed: 1, EndpointsAvoided: 1}
	if got := read(); !reflect.DeepEqual(got, want) { // the one server has just refused for want of room
		t.Errorf("got %+v, want %+v", got, want)
	}
	close(release)
	<-held
	if got := read(); got.InFlight != 0 || got.Succeeded["unsafe"] != 3 {
		t.Errorf("after the last answer %+v", got)
	}
	if c := n.loop.metrics.snapshot(); c.succeeded.sum() != 4 || c.attemptsWritten != 6 {
		t.Errorf("the log would say %+v", c)
	}
}
