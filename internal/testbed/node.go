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

// Node is one node process, or the address and name under which processes start one after another.
type Node struct {
	name, zone     string
	configuredName string // the name in the process's configuration; another node's where two share one
	tier           int
	index          int
	testbed        *Testbed
	address        string
	discovery      string
	process        *process
	starts         int
	paused         atomic.Bool
	wasReady       atomic.Bool // the present process has been
}

// Name is the node's name, the same after a restart.
func (n *Node) Name() string { return n.name }

// Listen is the address at which clients connect.
func (n *Node) Listen() string { return net.JoinHostPort(n.address, "5000") }

// Control is the address of the admin endpoint.
func (n *Node) Control() string { return net.JoinHostPort(n.address, "5001") }

// Log is the file that holds the output of the process, through all its starts.
func (n *Node) Log() string { return n.process.logPath() }

// NodeOf names the node that belongs to a server and calls the next tier for it.
func NodeOf(server string) string { return "n@" + server }

func (tb *Testbed) newNode(name, zone string, tier, index int) (*Node, error) {
	i := len(tb.nodeOrder)
	if i >= maxNodes {
		return nil, fmt.Errorf("more than %d nodes", maxNodes)
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
	if n.discovery, err = tb.disc.serve(n); err != nil {
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
		ended:   n.ended,
		command: n.command,
	}
	tb.nodes[name] = n
	tb.nodeOrder = append(tb.nodeOrder, n)
	return n, nil
}

// command returns the command that starts a process in the node's place.
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
		"ROUTER_LISTEN="+n.Listen(),
		"ROUTER_DISCOVERY="+n.discovery,
		"ROUTER_CONFIG="+filepath.Join(dir, "config.json"),
		"TMPDIR="+filepath.Join(dir, "tmp"),
	)
	if shimmed {
		c.Env = append(c.Env, shimEnv+"="+n.shimSpec(spec))
	}
	return c
}

// shimEnv is where a shim finds its spec, as JSON.
const shimEnv = "SHIM_SPEC"

// shimSpec returns the shim's spec with a seed that differs for each start of the process, and a log.
func (n *Node) shimSpec(spec shim.Spec) string {
	spec.Seed += uint64(n.starts)
	spec.Log = filepath.Join(n.process.dir, "faults.log")
	spec.LoadLog = n.tracerLog()
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // plain values
	}
	return string(text)
}

// RunShim runs a program under the shim whose spec is in the environment, and returns its exit code.
func RunShim(path string, args []string) (int, error) {
	var spec shim.Spec
	if err := json.Unmarshal([]byte(os.Getenv(shimEnv)), &spec); err != nil {
		return 0, fmt.Errorf("%s: %w", shimEnv, err)
	}
	return shim.Run(spec, path, args)
}

// configure writes the node's configuration as the platform does.
func (n *Node) configure() error {
	n.starts++
	return n.writeConfig()
}

func (n *Node) writeConfig() error {
	w := &n.testbed.world
	path, err := n.testbed.writeFleet(n)
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"fleet":     path,
		"name":      n.configuredName,
		"listen":    n.Listen(),
		"control":   n.Control(),
		"discovery": n.discovery,
		"seed":      fmt.Sprintf("%016x", xxhash.Sum64String(n.name)^w.Seed^uint64(n.starts)<<32),
		"limits": map[string]any{
			"cores":     w.Limits.Cores,
			"memory_mb": w.Limits.MemoryMB,
			"sockets":   w.Limits.Sockets,
		},
		"known":    n.testbed.disc.known(n),
		"settings": w.settings(n.tier, n.index, n.zone),
	})
	if err != nil {
		panic(err) // plain values
	}
	return os.WriteFile(filepath.Join(n.process.dir, "config.json"), text, 0o600)
}

// Start starts the process; it must not be running, and its address must be free.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.Listen())
	if err != nil {
		return fmt.Errorf("the address of %s is taken: %w: %w", n.name, errAddressTaken, err)
	}
	closeQuietly(listener)
	if err := n.configure(); err != nil {
		return err
	}
	n.testbed.checker.forgetNotifications(n.name)
	n.wasReady.Store(false)
	return n.process.start()
}

// Kill ends the process at once, with SIGKILL.
func (n *Node) Kill() {
	n.testbed.intervals.begin(n.name, n.testbed.now())
	n.process.kill()
}

// Running reports that there is a process in the node's place.
func (n *Node) Running() bool {
	running, _ := n.process.running()
	return running
}

// Starts is how often the process was started.
func (n *Node) Starts() int { return n.starts }

// Paused reports that the testbed has stopped the process for a moment, or for longer.
func (n *Node) Paused() bool { return n.paused.Load() }

const oldDiscoveryFor = 1500 * time.Millisecond // from a move to the end of the connections at the old address

// Reload moves the node's discovery to another address, writes that into its configuration and sends SIGHUP. The old
// address takes no new connection, and ends those that it has a moment later.
func (n *Node) Reload() error {
	before := n.testbed.disc.gateOf(n)
	addr, err := n.testbed.disc.serve(n)
	if err != nil {
		return err
	}
	n.discovery = addr
	if err := n.writeConfig(); err != nil {
		return err
	}
	before.refuse()
	time.AfterFunc(oldDiscoveryFor, before.reset)
	return n.process.signal(syscall.SIGHUP)
}

// Pause stops the process for a moment, as a busy machine may. Nothing that it does then is excused by that.
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

// pausedPart names the intervals in which a node was paused.
func pausedPart(node string) string { return "held up " + node }

// Stop halts the process with SIGSTOP, and Continue lets it go on.
func (n *Node) Stop() error {
	n.paused.Store(true)
	n.testbed.intervals.begin(n.name, n.testbed.now())
	return n.process.signal(syscall.SIGSTOP)
}

// Continue ends a Stop.
func (n *Node) Continue() error {
	err := n.process.signal(syscall.SIGCONT)
	n.testbed.intervals.end(n.name, n.testbed.now())
	return err
}

// Usage returns the resources that the process uses now.
func (n *Node) Usage() Usage { return n.process.usage() }

// Ready asks the node whether clients may come.
func (n *Node) Ready(ctx context.Context) bool {
	yes, _ := checkReady(ctx, readinessClient, n.Listen())
	return yes
}

// ended handles each end of the process. One that ended by itself after SIGTERM must have answered all that it
// accepted, so that its end excuses nothing.
func (n *Node) ended(crash string, clean bool) {
	n.testbed.linksTo(n.name, gateRefuse)
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

// Up waits until the process answers that clients may come; the front may take a moment longer.
func (n *Node) Up(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.testbed.world.Ready)
	defer cancel()
	for look := time.NewTicker(20 * time.Millisecond); ; {
		if n.Ready(ctx) {
			look.Stop()
			n.wasReady.Store(true)
			n.testbed.linksTo(n.name, gateOpen)
			n.testbed.intervals.end(n.name, n.testbed.now())
			return nil
		}
		if running, _ := n.process.running(); !running {
			look.Stop()
			return fmt.Errorf("%s ended before it was ready; it logged: %s", n.name, n.process.tail(2))
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			look.Stop()
			return fmt.Errorf("%s never became ready at %s; it logged: %s", n.name, n.Listen(), n.process.tail(2))
		}
	}
}
