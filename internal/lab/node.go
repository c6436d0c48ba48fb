// A node process and its place.

package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is one keelusher process, or the place of one.
type Node struct {
	name, zone string
	called     string // the name that the process is told; its own, but for a twin's
	tier       int
	self       int
	lab        *Lab
	ip         string
	discovery  string
	process    *process
	starts     int
}

// Name is the node's name, the same after a restart.
func (n *Node) Name() string { return n.name }

// Listen is the address at which callers connect.
func (n *Node) Listen() string { return net.JoinHostPort(n.ip, "5000") }

// Control is the address of the operators' door.
func (n *Node) Control() string { return net.JoinHostPort(n.ip, "5001") }

// Log is the file that holds what the process said, through all its starts.
func (n *Node) Log() string { return n.process.logPath() }

// NodeOf names the node that belongs to a server and calls the next tier for it.
func NodeOf(server string) string { return "n@" + server }

func (l *Lab) newNode(name, zone string, tier, self int) (*Node, error) {
	i := len(l.order)
	if i >= mostNodes {
		return nil, fmt.Errorf("more than %d nodes", mostNodes)
	}
	n := &Node{name: name, called: name, zone: zone, tier: tier, self: self, lab: l, ip: fmt.Sprintf("127.%d.1.%d", l.net, 10+i)}
	var err error
	if n.discovery, err = l.disc.serve(n); err != nil {
		return nil, err
	}
	n.discovery = l.linkAddr(name, "discovery", n.discovery)
	dir := filepath.Join(l.dir, strings.ReplaceAll(name, "@", "-"))
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	n.process = &process{name: name, dir: dir, spawner: l.spawner, ended: n.ended, command: func() *exec.Cmd {
		c := exec.Command(l.world.Binary, l.world.Args...)
		c.Dir = dir
		c.Env = append(append(os.Environ(), l.world.Env...), "ROUTER_NAME="+n.called, "ROUTER_LISTEN="+n.Listen(),
			"ROUTER_DISCOVERY="+n.discovery, "ROUTER_CONFIG="+filepath.Join(dir, "config.json"), "TMPDIR="+filepath.Join(dir, "tmp"))
		return c
	}}
	l.nodes[name] = n
	l.order = append(l.order, n)
	return n, nil
}

// configure writes the node's configuration as the platform does.
func (n *Node) configure() error {
	w := &n.lab.world
	n.starts++
	path, err := n.lab.writeFleet(n)
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"fleet": path,
		"name":  n.called, "listen": n.Listen(), "control": n.Control(), "discovery": n.discovery,
		"seed":     fmt.Sprintf("%016x", xxhash.Sum64String(n.name)^w.Seed^uint64(n.starts)<<32),
		"limits":   map[string]any{"cores": w.Limits.Cores, "memory_mb": w.Limits.MemoryMB, "sockets": w.Limits.Sockets},
		"known":    n.lab.disc.known(n),
		"settings": w.settings(n.tier, n.self, n.zone),
	})
	if err != nil {
		panic(err) // plain values
	}
	return os.WriteFile(filepath.Join(n.process.dir, "config.json"), text, 0o600)
}

// Start starts the process; it must not be running, and its address must be free.
func (n *Node) Start() error {
	ln, err := net.Listen("tcp", n.Listen())
	if err != nil {
		return fmt.Errorf("the address of %s is taken: %w: %w", n.name, errTaken, err)
	}
	ln.Close()
	if err := n.configure(); err != nil {
		return err
	}
	n.lab.referee.forget(n.name)
	return n.process.start()
}

// Kill ends the process at once, with SIGKILL.
func (n *Node) Kill() {
	n.lab.spans.begin(n.name, n.lab.now())
	n.process.kill()
}

// Terminate sends SIGTERM and waits for the end, which it brings by SIGKILL after the longest deadline and 0.7 s. It
// says whether that was needed.
func (n *Node) Terminate() (killed bool) {
	longest := 3 * time.Second
	for _, c := range n.lab.world.Classes {
		longest = max(longest, c.Deadline)
	}
	n.process.signal(syscall.SIGTERM) // fails only where it has ended
	if _, over := n.process.running(); over != nil {
		select {
		case <-over:
		case <-time.After(longest + 700*time.Millisecond):
			n.process.kill()
			killed = true
		}
	}
	n.lab.spans.begin(n.name, n.lab.now())
	return killed
}

// Stop halts the process with SIGSTOP, and Continue lets it go on.
func (n *Node) Stop() error {
	n.lab.spans.begin(n.name, n.lab.now())
	return n.process.signal(syscall.SIGSTOP)
}

// Continue ends a Stop.
func (n *Node) Continue() error {
	err := n.process.signal(syscall.SIGCONT)
	n.lab.spans.end(n.name, n.lab.now())
	return err
}

// Usage is what the process takes now.
func (n *Node) Usage() Usage { return n.process.usage() }

// Ready asks the node whether clients may come.
func (n *Node) Ready(ctx context.Context) bool {
	yes, _ := ready(ctx, asker, n.Listen())
	return yes
}

// ended is told of each end of the process.
func (n *Node) ended(crash string) {
	n.lab.linksTo(n.name, gateRefuse)
	select {
	case <-n.lab.done:
		return
	default:
	}
	n.lab.spans.begin(n.name, n.lab.now())
	if crash != "" {
		n.lab.referee.find(Crash, "", n.name, crash)
	}
}

// Up waits until the process answers that clients may come; the front may take a moment longer.
func (n *Node) Up(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.lab.world.Ready)
	defer cancel()
	for look := time.NewTicker(20 * time.Millisecond); ; {
		if n.Ready(ctx) {
			look.Stop()
			n.lab.linksTo(n.name, gateOpen)
			n.lab.spans.end(n.name, n.lab.now())
			return nil
		}
		if running, _ := n.process.running(); !running {
			look.Stop()
			return fmt.Errorf("%s ended before it was ready; it said: %s", n.name, n.process.tail(2))
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			look.Stop()
			return fmt.Errorf("%s never became ready at %s; it said: %s", n.name, n.Listen(), n.process.tail(2))
		}
	}
}
