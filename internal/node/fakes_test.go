package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// settings is the JSON of a node's settings; %q stands for the mode of discovery.
const settings = `{"balancers":1,"me":0,"tier":0,"registry-mode":%q,"tick-ms":2,"zone":"z",
 "blend":{"whole":0.55,"worst-class":0.3},"callers":{"marks-retry":true},
 "limits":{"conn-idle-ms":30000,"connect-timeout-ms":2000,"max-attempts":6,"max-retry-after-ms":1200,
  "retry-after":true},
 "rules":{"ask-within-ms":1000,"cold-from":0.12,"fall-multiple":3,"warm-after-ms":20000},
 "lanes":[{"name":"keyed","effect":"idempotency_key","key-scope":"cell","window-ms":60000,
   "target-ms":20000,"deadline-ms":60000,"worth":2},
  {"name":"safe","effect":"read_like","key-scope":"all","target-ms":20000,"deadline-ms":60000,"worth":1},
  {"name":"unsafe","effect":"non_idempotent","key-scope":"all","window-ms":5000,
   "target-ms":20000,"deadline-ms":60000,"worth":3}]}`

// testConfig returns the configuration of a node with a mode of discovery (pushed or on_request) and an endpoint list.
func testConfig(t *testing.T, mode string, known ...listedEndpoint) Config {
	t.Helper()
	knownJSON, err := json.Marshal(endpointList{Version: 1, Snapshot: true, Endpoints: known})
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		knownJSON, fmt.Sprintf(settings, mode)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// discardLogger returns a logger that discards all lines.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// inService returns an entry of the endpoint list for an endpoint in service.
func inService(id, addr string) listedEndpoint {
	return listedEndpoint{ID: id, Address: addr, Zone: "z", Health: "in_service"}
}

// eventually waits until ok returns true, for 20 s at most. what names the condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// backend is a server that handles each request by a function. The requests of one connection are handled one after
// another.
type backend struct {
	ln    net.Listener
	mu    sync.Mutex
	seen  []*http.Request
	body  []string
	conns []net.Conn
}

// newBackend starts a server, which runs until the test ends. It calls serve with the number of the request, counted
// from 1 over all connections; serve returns false to close the connection.
func newBackend(t *testing.T, serve func(n int, c net.Conn, r *http.Request) bool) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{ln: ln}
	t.Cleanup(func() {
		ln.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range b.conns {
			c.Close()
		}
	})
	go func() { // ends with the listener
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, c)
			b.mu.Unlock()
			go b.serveConn(c, serve) // ends with the connection
		}
	}()
	return b
}

// serveConn handles the requests of one connection until serve returns false.
func (b *backend) serveConn(c net.Conn, serve func(n int, c net.Conn, r *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.body = append(b.body, string(body))
		n := len(b.seen)
		b.mu.Unlock()
		if !serve(n, c, r) {
			return
		}
	}
}

func (b *backend) addr() string { return b.ln.Addr().String() }

func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func (b *backend) accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// respond writes a response and reports whether the write succeeded.
func respond(c net.Conn, status, body string, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(headers, ""), "\r\n"), body)
	return err == nil
}

// serveOK responds to every request with 200.
func serveOK(_ int, c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", "done") }

// silentDiscovery starts a discovery server that keeps watches open and sends no changes, and returns its address.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	return newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, `{"seq":1,"whole":false,"hosts":[]}`+"\n")
		<-r.Context().Done()
	})
}

// writeFlushed writes and flushes a part of a response. It ignores an error: the client may have disconnected.
func writeFlushed(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// setReadTimeout sets the deadline of all reads from a connection, counted from now.
func setReadTimeout(t *testing.T, c net.Conn, timeout time.Duration) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// newDiscoveryServer starts a discovery server, which runs until the test ends, and returns its address.
func newDiscoveryServer(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// runningNode is a node under test that serves on loopback.
type runningNode struct {
	*Node
	url          string
	adminAddress string
	stop         context.CancelFunc
	done         chan error
}

// start starts a node, waits until it is ready and stops it when the test ends.
func start(t *testing.T, cfg Config, adjust ...func(*Node)) *runningNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOn(t, ln, cfg, adjust...)
}

// startOn is like start, and accepts clients on a given listener.
func startOn(t *testing.T, ln net.Listener, cfg Config, adjust ...func(*Node)) *runningNode {
	t.Helper()
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range adjust {
		f(n)
	}
	adminListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{
		Node:         n,
		url:          "http://" + ln.Addr().String(),
		adminAddress: adminListener.Addr().String(),
		stop:         cancel,
		done:         make(chan error, 1),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- n.serve(ctx, ln, adminListener, nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	eventually(t, "/ready returns 200", func() bool {
		resp, err := http.Get(r.url + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// startWith starts a node whose endpoint list has the backends as s-0, s-1 and so on, and whose discovery sends no
// changes.
func startWith(t *testing.T, backends ...*backend) *runningNode {
	t.Helper()
	var hosts []listedEndpoint
	for i, b := range backends {
		hosts = append(hosts, inService(fmt.Sprintf("s-%d", i), b.addr()))
	}
	cfg := testConfig(t, "pushed", hosts...)
	cfg.Discovery = silentDiscovery(t)
	return start(t, cfg)
}

// newRequest returns a request of a class; one of class keyed has an idempotency key.
func newRequest(t *testing.T, url, class, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/api/x%2Fy?q=1&r=%20", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "30000m")
	if class == "keyed" {
		r.Header.Set("Idempotency-Key", "k-"+id)
	}
	return r
}

// do sends a request and returns the status, the headers and the body of the response.
func do(t *testing.T, r *http.Request) (int, http.Header, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(body)
}
