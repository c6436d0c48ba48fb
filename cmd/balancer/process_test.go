package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program in place of the tests if BALANCER_AS_PROGRAM is set, so that the tests can start it.
func TestMain(m *testing.M) {
	if os.Getenv("BALANCER_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// nodeConfig is the part of a node's configuration that the tests change. Zero fields stand for defaults.
type nodeConfig struct {
	listen       string
	adminAddress string // address of the admin endpoint; none by default
	discovery    string
	seed         string
	memoryMB     int
	sockets      int
	backend      string
	objectiveMS  int
	deadlineMS   int
}

// json returns the text of the configuration file.
func (c nodeConfig) json() string {
	control := ""
	if c.adminAddress != "" {
		control = fmt.Sprintf(`"control":%q,`, c.adminAddress)
	}
	return fmt.Sprintf(`{"name":"n0",%s"listen":%q,"discovery":%q,"seed":%q,
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"health":"in_service"}]},
 "settings":{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":75},
  "lanes":[{"name":"a","target-ms":%d,"deadline-ms":%d,"worth":1}]}}`,
		control,
		cmp.Or(c.listen, "127.0.0.1:0"),
		cmp.Or(c.discovery, "127.0.0.1:1"),
		cmp.Or(c.seed, "8c1f30d27a5be964"),
		cmp.Or(c.memoryMB, 192),
		cmp.Or(c.sockets, 1024),
		cmp.Or(c.backend, "127.0.0.1:1"),
		cmp.Or(c.objectiveMS, 100),
		cmp.Or(c.deadlineMS, 200),
	)
}

// process is an operating-system process that runs the program.
type process struct {
	*exec.Cmd
	configPath string
}

// newProcess returns a process with a configuration file. It has not been started.
func newProcess(t *testing.T, config string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	p := &process{Cmd: exec.Command(os.Args[0]), configPath: path}
	p.Env = append(os.Environ(), "BALANCER_AS_PROGRAM=1", "ROUTER_CONFIG="+path)
	p.writeConfig(t, config)
	return p
}

func (p *process) writeConfig(t *testing.T, config string) {
	t.Helper()
	if err := os.WriteFile(p.configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process, which is killed at the end of the test.
func (p *process) start(t *testing.T) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // fails if the process has ended
		_ = p.Wait()
	})
}

// startLogging starts the process and returns its log.
func (p *process) startLogging(t *testing.T) *processLog {
	t.Helper()
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.start(t)
	return &processLog{reader: stderr, lines: bufio.NewScanner(stderr)}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatalf("sending the signal %v failed: %v", s, err)
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill(t *testing.T) {
	t.Helper()
	if err := p.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	var exit *exec.ExitError
	if err := p.Wait(); !errors.As(err, &exit) {
		t.Fatalf("a killed process ended with %v, want an exit error", err)
	}
}

// runToFailure runs a process, checks that it ends with exit code 1, and returns its output.
func (p *process) runToFailure(t *testing.T) string {
	t.Helper()
	output, err := p.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the process ended with %v, want exit 1", err)
	}
	return string(output)
}

// processLog is the log of a process.
type processLog struct {
	reader io.Reader
	lines  *bufio.Scanner
}

// await reads the log up to the first line that matches a pattern, and returns the last submatch.
func (l *processLog) await(t *testing.T, pattern string) string {
	t.Helper()
	expression := regexp.MustCompile(pattern)
	for l.lines.Scan() {
		if m := expression.FindStringSubmatch(l.lines.Text()); m != nil {
			return m[len(m)-1]
		}
	}
	t.Fatalf("the log ended without a line that matches %q: %v", pattern, l.lines.Err())
	return ""
}

// awaitAddress reads the log up to the address on which the node serves.
func (l *processLog) awaitAddress(t *testing.T) string {
	t.Helper()
	return l.await(t, `msg=serving .*listen=(\S+)`)
}

// readToEnd reads the rest of the log, until the process ends.
func (l *processLog) readToEnd() {
	for l.lines.Scan() {
	}
}

// awaitCondition waits until a condition holds, for 20 s at most.
func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// answersOK reports whether a GET on a new connection is answered with status 200.
func answersOK(url string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// mustGetStatus returns the status of the response to a GET. It fails the test if there is no response.
func mustGetStatus(t *testing.T, url string) int {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// startDiscovery starts a discovery service that keeps its watches open. It returns its address, and a channel that
// gets a value for each watch that begins.
func startDiscovery(t *testing.T) (address string, watched <-chan struct{}) {
	t.Helper()
	began := make(chan struct{}, 100)
	address = serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) { openWatch(w, r, began) })
	return address, began
}

func serveDiscovery(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// openWatch responds with an update that lists no endpoints, and keeps the watch open.
func openWatch(w http.ResponseWriter, r *http.Request, began chan<- struct{}) {
	if _, err := fmt.Fprintln(w, `{"seq":2,"whole":false,"hosts":[]}`); err != nil {
		return
	}
	w.(http.Flusher).Flush()
	began <- struct{}{}
	<-r.Context().Done()
}

// startBackend starts a server for the node's requests, and returns its address.
func startBackend(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// dialNode opens a client connection, which is closed at the end of the test.
func dialNode(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// sendRequest writes a request without a body, and the bytes that follow it on the connection.
func sendRequest(t *testing.T, conn net.Conn, id string, budget time.Duration, following string) {
	t.Helper()
	const format = "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: %s\r\nX-Call-Class: a\r\nX-Budget: %dm\r\n\r\n%s"
	_, err := fmt.Fprintf(conn, format, id, budget.Milliseconds(), following)
	if err != nil {
		t.Fatal(err)
	}
}

// checkServed reads a response and checks that its status is 200.
func checkServed(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the client got response %v, error %v, want status 200", response, err)
	}
}

// checkErrorLines checks that the output of a process consists of count lines, each with the program's prefix, and
// returns the lines.
func checkErrorLines(t *testing.T, output string, count int) []string {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(output, "\n"), "\n")
	if len(lines) != count || strings.Count(output, "\n") != count {
		t.Fatalf("the process wrote %q, want %d lines", output, count)
	}
	for _, line := range lines {
		if !strings.HasPrefix(line, "balancer: ") {
			t.Errorf("got the error line %q, want the prefix \"balancer: \"", line)
		}
	}
	return lines
}
