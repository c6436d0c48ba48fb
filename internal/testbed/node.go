package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"keelusher/internal/testbed/shim"

	"github.com/cespare/xxhash/v2"
)

// Node is one node of the load balancer: a name and address under which one process runs at a time. It stays the same
// when its process is restarted.
type Node struct {
	name, zone     string
	configuredName string // name in the process's configuration; differs if a scenario gives two nodes one name
	tier           int
	index          int
	testbed        *Testbed
	address        string
	discovery      string // address of discovery, or of its proxy
	process        *process
	starts         int         // number of starts of the process
	paused         atomic.Bool // the test bed has ever stopped or paused a process of the node
	wasReady       atomic.Bool // the present process has been ready
}

// Name returns the node's name, which stays the same after a restart.
func (n *Node) Name() string { return n.name }

// ListenAddr returns the address to which clients connect.
func (n *Node) ListenAddr() string { return net.JoinHostPort(n.address, "5000") }

// AdminAddr returns the address of the admin endpoint.
func (n *Node) AdminAddr() string { return net.JoinHostPort(n.address, "5001") }

// Log returns the path of the file with the output of the process, over all its starts.
func (n *Node) Log() string { return n.process.logPath() }

// NodeOf returns the name of the node that belongs to a server and sends the server's requests to the next tier.
func NodeOf(server string) string { return "n@" + server }

// newNode adds a node and its directory to the test bed, and opens the node's address of discovery. It does not
// start the process.
func (tb *Testbed) newNode(name, zone string, tier, index int) (*Node, error) {
	i := len(tb.orderedNodes)
	if i >= maxNodes {
		return nil, fmt.Errorf("the test bed supports at most %d nodes", maxNodes)
	}
	n := &Node{
		name:           name,
		configuredName: name,
		zone:           zone,
		tier:           tier,
		index:          index,
		testbed:        tb,
		address:        fmt.Sprintf("127.%d.1.%d", tb.block, 10+i),
	}
	var err error
	if n.discovery, err = tb.discovery.serve(n); err != nil {
		return nil, err
	}
	n.discovery = tb.linkAddr(name, "discovery", n.discovery)
	dir := filepath.Join(tb.dir, strings.ReplaceAll(name, "@", "-"))
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	n.process = &process{
		name:    name,
		dir:     dir,
		spawner: tb.spawner,
		onExit:  n.onExit,
		command: n.command,
	}
	tb.nodes[name] = n
	tb.orderedNodes = append(tb.orderedNodes, n)
	return n, nil
}

// command returns the command that starts the node's process, under a shim if the world has a shim spec for the node.
func (n *Node) command() *exec.Cmd {
	w := &n.testbed.world
	dir := n.process.dir
	c := exec.Command(w.Binary, w.Args...)
	spec, shimmed := w.Shims[n.name]
	if shimmed {
		c = exec.Command(w.Shim[0], append(slices.Clone(w.Shim[1:]), w.Binary)...)
	}
	c.Dir = dir
	c.Env = append(os.Environ(), w.Env...)
	c.Env = append(c.Env,
		"ROUTER_NAME="+n.configuredName,
		"ROUTER_LISTEN="+n.ListenAddr(),
		"ROUTER_DISCOVERY="+n.discovery,
		"ROUTER_CONFIG="+filepath.Join(dir, "config.json"),
		"TMPDIR="+filepath.Join(dir, "tmp"),
	)
	if shimmed {
		c.Env = append(c.Env, shimEnv+"="+n.shimSpec(spec))
	}
	return c
}

// shimEnv is the environment variable that holds a shim's spec as JSON.
const shimEnv = "SHIM_SPEC"

// shimSpec returns the JSON of a shim's spec, with log paths and a seed that differs for each start of the process.
func (n *Node) shimSpec(spec shim.Spec) string {
	spec.Seed += uint64(n.starts)
	spec.Log = filepath.Join(n.process.dir, "faults.log")
	spec.LoadLog = n.tracerLog()
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // cannot happen: the values are plain data
	}
	return string(text)
}

// RunShim runs a program under the shim with the spec from the environment, and returns the program's exit code.
func RunShim(path string, args []string) (int, error) {
	var spec shim.Spec
	if err := json.Unmarshal([]byte(os.Getenv(shimEnv)), &spec); err != nil {
		return 0, fmt.Errorf("%s: %w", shimEnv, err)
	}
	return shim.Run(spec, path, args)
}

// prepareStart counts a start and writes the node's configuration, as the platform does before each start.
func (n *Node) prepareStart() error {
	n.starts++
	return n.writeConfig()
}

// writeConfig writes the node's fleet file and config.json.
func (n *Node) writeConfig() error {
	w := &n.testbed.world
	path, err := n.testbed.writeFleet(n)
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"fleet":     path,
		"name":      n.configuredName,
		"listen":    n.ListenAddr(),
		"control":   n.AdminAddr(),
		"discovery": n.discovery,
		"seed":      fmt.Sprintf("%016x", xxhash.Sum64String(n.name)^w.Seed^uint64(n.starts)<<32),
		"limits": map[string]any{
			"cores":     w.Limits.Cores,
			"memory_mb": w.Limits.MemoryMB,
			"sockets":   w.Limits.Sockets,
		},
		"known":    n.testbed.discovery.fullList(n),
		"settings": w.settings(n.tier, n.index, n.zone),
	})
	if err != nil {
		panic(err) // cannot happen: the values are plain data
	}
	return os.WriteFile(filepath.Join(n.process.dir, "config.json"), text, 0o600)
}

// Start starts the process. It returns an error if the process is running or the node's address is in use.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.ListenAddr())
	if err != nil {
		return fmt.Errorf("the address of %s is taken: %w: %w", n.name, errAddressTaken, err)
	}
	closeQuietly(listener)
	if err := n.prepareStart(); err != nil {
		return err
	}
	n.testbed.checker.forgetNotifications(n.name)
	n.wasReady.Store(false)
	return n.process.start()
}

// Kill kills the process with SIGKILL and waits for its exit.
func (n *Node) Kill() {
	n.testbed.intervals.begin(n.name, n.testbed.now())
	n.process.kill()
}

// Running reports whether the node's process is running.
func (n *Node) Running() bool {
	running, _ := n.process.running()
	return running
}

// Starts returns how often the process was started.
func (n *Node) Starts() int { return n.starts }

// Paused reports whether the test bed has ever stopped or paused a process of the node.
func (n *Node) Paused() bool { return n.paused.Load() }

const oldDiscoveryGrace = 1500 * time.Millisecond // from a move to the reset of the connections to the old address

// Reload moves the node's discovery to another address, writes the address to the node's configuration and sends
// SIGHUP. The old address refuses new connections at once, and resets its open ones after oldDiscoveryGrace.
func (n *Node) Reload() error {
	before := n.testbed.discovery.gateOf(n)
	addr, err := n.testbed.discovery.serve(n)
	if err != nil {
		return err
	}
	n.discovery = addr
	if err := n.writeConfig(); err != nil {
		return err
	}
	before.refuse()
	time.AfterFunc(oldDiscoveryGrace, before.reset)
	return n.process.signal(syscall.SIGHUP)
}

// Pause stops the process for d and then continues it, as a busy machine may. Unlike with Stop, requests that the node
// loses meanwhile are findings.
func (n *Node) Pause(d time.Duration) error {
	n.paused.Store(true)
	n.testbed.intervals.begin(pausedPart(n.name), n.testbed.now())
	defer func() { n.testbed.intervals.end(pausedPart(n.name), n.testbed.now()) }()
	if err := n.process.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return n.process.signal(syscall.SIGCONT)
}

// pausedPart returns the key of the intervals in which a node was paused.
func pausedPart(node string) string { return "held up " + node }

// Stop stops the process with SIGSTOP. The checker excuses requests that the node loses until Continue.
func (n *Node) Stop() error {
	n.paused.Store(true)
	n.testbed.intervals.begin(n.name, n.testbed.now())
	return n.process.signal(syscall.SIGSTOP)
}

// Continue continues the process after Stop, with SIGCONT.
func (n *Node) Continue() error {
	err := n.process.signal(syscall.SIGCONT)
	n.testbed.intervals.end(n.name, n.testbed.now())
	return err
}

// Usage returns the resources that the process uses.
func (n *Node) Usage() Usage { return n.process.usage() }

// Ready reports whether the node says that it is ready for clients.
func (n *Node) Ready(ctx context.Context) bool {
	yes, _ := checkReady(ctx, nodeHTTPClient, n.ListenAddr())
	return yes
}

// onExit is called at each exit of the process; crash is empty if the exit was expected. A process that exits cleanly
// must have answered all requests that it accepted, so only other exits excuse lost requests.
func (n *Node) onExit(crash string, clean bool) {
	n.testbed.setLinkModes(n.name, gateRefuse)
	select {
	case <-n.testbed.done:
		return
	default:
	}
	if !clean {
		n.testbed.intervals.begin(n.name, n.testbed.now())
	}
	if crash != "" {
		n.testbed.checker.addFinding(Crash, "", n.name, crash)
	}
}

// AwaitReady waits until the process says that it is ready for clients, for World.ReadyTimeout at most. The front may
// send clients a moment later.
func (n *Node) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.testbed.world.ReadyTimeout)
	defer cancel()
	for ticker := time.NewTicker(20 * time.Millisecond); ; {
		if n.Ready(ctx) {
			ticker.Stop()
			n.wasReady.Store(true)
			n.testbed.setLinkModes(n.name, gateOpen)
			n.testbed.intervals.end(n.name, n.testbed.now())
			return nil
		}
		if running, _ := n.process.running(); !running {
			ticker.Stop()
			return fmt.Errorf("the process of %s exited before it was ready; end of its log: %s", n.name, n.process.logTail(2))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ticker.Stop()
			return fmt.Errorf("%s never became ready at %s; end of its log: %s", n.name, n.ListenAddr(), n.process.logTail(2))
		}
	}
}
