package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// loopback is the host of every address in a case.
const loopback = "127.0.0.1"

// recorder writes what was sent, answered and run to record.txt, each line with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// line writes one line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host is one entry of the endpoint list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list is a list of endpoints, or the changes since an earlier one.
type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// heartbeat is the time after which discovery sends an empty line on a watch.
const heartbeat = 2 * time.Second

// discovery is the stand-in of the discovery service, as the protocol page describes it.
type discovery struct {
	address string

	mu      sync.Mutex
	current list
	changes []list
	changed chan struct{} // closed at the next change
}

// startDiscovery serves a list of hosts.
func startDiscovery(hosts []host) (*discovery, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		address: listener.Addr().String(),
		current: list{Seq: 1, Whole: true, Hosts: slices.Clone(hosts)},
		changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

// change adds hosts to the list, or removes those that are terminated, and tells all watches.
func (d *discovery) change(hosts []host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Seq++
	for _, h := range hosts {
		d.current.Hosts = slices.DeleteFunc(d.current.Hosts, func(o host) bool { return o.Host == h.Host })
		if h.Health != "terminated" {
			d.current.Hosts = append(d.current.Hosts, h)
		}
	}
	d.changes = append(d.changes, list{Seq: d.current.Seq, Hosts: hosts})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the whole list, or a watch, which begins with the whole list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	encoder := json.NewEncoder(w)
	d.mu.Lock()
	_ = encoder.Encode(d.current)
	next, changed := len(d.changes), d.changed
	d.mu.Unlock()
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for http.NewResponseController(w).Flush() == nil {
		select {
		case <-changed:
			d.mu.Lock()
			for ; next < len(d.changes); next++ {
				_ = encoder.Encode(d.changes[next])
			}
			changed = d.changed
			d.mu.Unlock()
		case <-time.After(heartbeat):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// inService returns an entry for a server that started long ago.
func inService(name, address string) host {
	return host{
		Host: name, Dial: address, Site: "thorvaldson", Class: "front-small", Block: 1, Health: "in_service", Share: 1,
	}
}

// limits are those of a node.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings returns the settings of a node of the first tier, with the figures of the example on the wire page.
func settings(nodes, index int) map[string]any {
	lane := func(name, effect string) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "deadline-ms": budget.Milliseconds(), "target-ms": 2500, "late-share": 0,
			"worth": 1, "key-scope": "all", "window-ms": 5000, "stream": false,
		}
	}
	return map[string]any{
		"balancers": nodes, "me": index, "zone": "thorvaldson", "localities": []string{"thorvaldson", "kirk-hall"},
		"tier": 0, "tiers": []string{"front", "schedule", "rooms"}, "family": "chain",
		"family-info": map[string]any{"passes-deadline": true}, "shapes": []string{"front-small"}, "tick-ms": 5,
		"blend":   map[string]any{"whole": 0.75, "worst-class": 0.1, "worst-tenant": 0.1, "worst-window": 0.05},
		"callers": map[string]any{"marks-retry": false},
		"lanes":   []any{lane(calendarView, "read_like"), lane(slotBooking, "non_idempotent")},
		"limits": map[string]any{
			"cancelling": true, "conn-idle-ms": 10000, "connect-timeout-ms": 250, "max-attempts": 5,
			"max-retry-after-ms": 2000, "max-streams": 1, "may-probe": true, "peers": false, "retry-after": true,
			"second-copies": true,
		},
		"over-share-worth": 0.05, "registry-mode": "on_request", "weights": "silent", "worth-by": "request",
		"rules": map[string]any{
			"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-from": 0.38, "fall-ms": 3000, "fall-multiple": 4,
			"stop-sending-within-ms": 3000, "warm-after-ms": 8500,
		},
		"telemetry": map[string]any{"fields": []string{}, "via": "silent"},
		"tenants":   []any{map[string]any{"name": "prairie-chorale", "quota-per-s": 50, "share": 1}},
	}
}

// nodeConfig says how a node is started.
type nodeConfig struct {
	name      string
	directory string // for its configuration and $TMPDIR
	discovery string
	limits    limits
	hosts     []host // the list that it last knew
	nodes     int    // of the tier; 0: this one alone
	index     int    // among them
}

// node is a process of the balancer, started with the command of the deploy file.
type node struct {
	command *exec.Cmd
	listen  string
	control string
	ended   chan struct{} // closed when the process has ended
}

var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// deployedRun returns the run command of the deploy file.
func deployedRun() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := runCommand.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml names no run command")
	}
	return string(match[1]), nil
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(count int) (addresses []string, err error) {
	for range count {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() // when all are found, so that they differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startNode starts a node and waits until it says that it can serve.
func startNode(c nodeConfig) (*node, error) {
	run, err := deployedRun()
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	listen, control := addresses[0], addresses[1]
	config, err := json.Marshal(map[string]any{
		"name": c.name, "listen": listen, "control": control, "discovery": c.discovery,
		"seed": fmt.Sprintf("%016x", rand.Uint64()), "limits": c.limits,
		"known":    list{Seq: 1, Whole: true, Hosts: c.hosts},
		"settings": settings(max(c.nodes, 1), c.index),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.directory, c.name+".json")
	temporary := filepath.Join(c.directory, c.name)
	if err := errors.Join(os.WriteFile(path, config, 0o644), os.MkdirAll(temporary, 0o755)); err != nil {
		return nil, err
	}
	n := &node{
		command: exec.Command("/bin/sh", "-c", run),
		listen:  listen,
		control: control,
		ended:   make(chan struct{}),
	}
	logFile, err := os.Create(filepath.Join(c.directory, c.name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	n.command.Stdout, n.command.Stderr = logFile, logFile
	n.command.Env = append(os.Environ(), "ROUTER_NAME="+c.name, "ROUTER_LISTEN="+listen,
		"ROUTER_DISCOVERY="+c.discovery, "ROUTER_CONFIG="+path, "ROUTER_CONTROL="+control, "TMPDIR="+temporary)
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.command.Wait()
		close(n.ended)
	}()
	return n, n.awaitReady()
}

// readyWithin is the time that the deployment page gives a node to be ready.
const readyWithin = 30 * time.Second

func (n *node) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + n.control + "/control/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("the node at %s was not ready in time", n.listen)
}

// signal sends a signal to the node.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// stop ends the node.
func (n *node) stop() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// server is a stand-in for a server of the tier: it reads requests and lets the case answer them.
type server struct {
	name     string
	listener net.Listener
}

// startServer serves each connection with a function, which returns when the connection is to be closed.
func startServer(name string, serve func(connection net.Conn, reader *bufio.Reader)) (*server, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				serve(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return &server{name: name, listener: listener}, nil
}

// host returns the entry of the server in the endpoint list.
func (s *server) host() host { return inService(s.name, s.listener.Addr().String()) }

// answerAll answers each request of a connection.
func answerAll(connection net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !answer(connection, request) {
			return
		}
	}
}

// answer reads the body of a request and answers 200 with its id. It reports whether the connection can be used again.
func answer(connection net.Conn, request *http.Request) bool {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	body := "done " + request.Header.Get("X-Call-Id")
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// The classes of the settings.
const (
	calendarView = "calendar-view" // safe to repeat
	slotBooking  = "slot-booking"  // must never run twice
)

const (
	// budget is the deadline of both classes, and the time that clients wait for an answer.
	budget = 6 * time.Second
	// lostAfter is how long after its time a request without a final answer is lost.
	lostAfter = 500 * time.Millisecond
)

// requestHeaders returns the headers of a request, as the protocol page shows them.
func requestHeaders(id, class string) []string {
	return []string{
		"X-Call-Id: " + id, "X-Call-Class: " + class, "X-Caller: prairie-chorale",
		"X-Budget: " + strconv.FormatInt(budget.Milliseconds(), 10) + "m",
	}
}

// head returns the head of a request with further headers.
func head(method, id, class string, more ...string) string {
	lines := append([]string{method + " /api HTTP/1.1", "Host: service.internal"}, requestHeaders(id, class)...)
	return strings.Join(append(lines, more...), "\r\n") + "\r\n\r\n"
}

// smallLimits are the limits of a node of a small deployment.
var smallLimits = limits{Cores: 1, MemoryMB: 64, Sockets: 256}

// startTier starts discovery and a node of the first tier before a server.
func (p *play) startTier(l limits, s *server) (*node, error) {
	hosts := []host{s.host()}
	d, err := startDiscovery(hosts)
	if err != nil {
		return nil, err
	}
	return startNode(nodeConfig{name: "n0", directory: p.directory, discovery: d.address, limits: l, hosts: hosts})
}
