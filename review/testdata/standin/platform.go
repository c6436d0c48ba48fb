// The platform around a node: its configuration, its process, and discovery.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	heartbeat    = 2 * time.Second // of a watch, while nothing changes
	readyTimeout = 30 * time.Second

	// Descriptors that a node may hold.
	manyDescriptors = 1024
	fewDescriptors  = 256
)

// host is an entry of the endpoint list, in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type hostList struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery answers calls for the whole list, and watches. The list never changes.
type discovery struct {
	address string
	list    hostList
}

func startDiscovery(s site, servers []string) (*discovery, error) {
	d := &discovery{list: hostList{Seq: 41, Whole: true}}
	for i, address := range servers {
		d.list.Hosts = append(d.list.Hosts, host{
			Host:   "s-" + strconv.Itoa(i+1),
			Dial:   address,
			Site:   s.zone,
			Class:  s.kind,
			Block:  i,
			Health: "in_service",
			Share:  1,
		})
	}
	var err error
	d.address, err = serve(d.ServeHTTP)
	return d, err
}

// serve serves HTTP on a free loopback address, until the program ends, and returns the address.
func serve(handler http.HandlerFunc) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(d.list) // fails only if the node has closed the connection
	if r.URL.Query().Get("watch") == "" {
		return
	}
	for {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(heartbeat):
			_, _ = w.Write([]byte("\n"))
		}
	}
}

// platform runs one node.
type platform struct {
	listen  string // where clients connect
	folder  string // temporary
	record  *recorder
	process *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// startNode starts discovery with a list of servers, and a node that may hold so many descriptors, and waits until the
// node is ready.
func (r *run) startNode(s site, descriptors int, servers ...string) error {
	d, err := startDiscovery(s, servers)
	if err != nil {
		return err
	}
	command, err := runCommand(r.root)
	if err != nil {
		return err
	}
	p := &platform{record: r.record, exited: make(chan struct{})}
	if p.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if p.listen, err = freeAddress(); err != nil {
		return err
	}
	if err := p.start(r.root, command, s, descriptors, d); err != nil {
		_ = os.RemoveAll(p.folder)
		return err
	}
	r.node = p
	r.started.Store(p)
	if err := p.awaitReady(); err != nil {
		return err
	}
	r.record.printf("front     the node is ready")
	return nil
}

// runCommand returns the command of the deploy file that starts a node.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(value, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// freeAddress returns a loopback address that no socket used a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start writes the configuration and starts the process.
func (p *platform) start(root, command string, s site, descriptors int, d *discovery) error {
	known, err := json.Marshal(d.list)
	if err != nil {
		return err
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
 "known":%s,
 "settings":%s}`, p.listen, d.address, descriptors, known, s.settings)
	path := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	temporary := filepath.Join(p.folder, "tmp")
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.process = exec.Command("/bin/sh", "-c", command)
	p.process.Dir = root
	p.process.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+p.listen,
		"ROUTER_DISCOVERY="+d.address, "ROUTER_CONFIG="+path, "TMPDIR="+temporary)
	p.process.Stdout, p.process.Stderr = log, log
	p.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.process.Start(); err != nil {
		return err
	}
	p.record.printf("platform  started a node of %s: clients at %s", s.name, p.listen)
	go func() {
		err := p.process.Wait()
		p.record.printf("platform  the node ended: %v", err)
		close(p.exited)
	}()
	return nil
}

// awaitReady waits until the node answers 200 to GET /ready.
func (p *platform) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.listen + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the node was not ready within %v", readyTimeout)
}

// stop ends the node and removes the temporary folder.
func (p *platform) stop() {
	select {
	case <-p.exited:
		p.record.printf("platform  the node had ended by itself")
	default:
		_ = p.process.Process.Kill() // fails only if the process has ended
		<-p.exited
	}
	_ = os.RemoveAll(p.folder)
}
