package testbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const maxNodes = 240 // in one test bed

// Testbed is a running emulation of a World.
type Testbed struct {
	world          World
	dir            string
	ownsDir        bool // dir is a temporary folder that Close removes
	began          time.Time
	intervals      intervals
	checker        *Checker
	spawner        *spawner
	discovery      *discovery
	front          *front
	clients        []*client // by zone
	nodes          map[string]*Node
	servers        map[string]*Server
	orderedNodes   []*Node // in the order in which they are started
	classes        map[string]*Class
	discardLog     *log.Logger
	blockLock      net.Listener // keeps other test beds off this one's block of loopback addresses
	block          int          // number of the block: the addresses are in 127.block.0.0/16
	done           chan struct{}
	goroutines     sync.WaitGroup
	closeOnce      sync.Once
	lateness       lateness
	attempts       atomic.Int64 // number of attempts that arrived at servers
	attemptsByNode sync.Map     // number of those attempts, an *atomic.Int64, by node name
	crossZone      atomic.Int64 // number of those attempts that came from another zone

	mu         sync.Mutex
	directions map[string]*direction
	tcpLinks   map[string]*tcpLink // by FROM->TO
	udpLinks   map[string]*udpLink // by FROM->TO; at the addresses of TCP links
}

// Blocks of loopback addresses, 127.N.0.0/16 each.
const (
	firstBlock = 10
	blocks     = 240
	maxBlocks  = 5 // blocks that a test bed tries before it returns an error
)

var errAddressTaken = errors.New("the address is in use by another program")

// Open builds a world and starts its processes. It returns once the front sends connections to every node. If a node
// does not become ready, Open fails with nothing left running. If another program uses one of the addresses, Open tries
// again in another block of addresses.
func Open(ctx context.Context, w World) (tb *Testbed, err error) {
	return openFrom(ctx, w, rand.N(blocks))
}

// openFrom does what Open does, starting with a given block of addresses.
func openFrom(ctx context.Context, w World, block int) (tb *Testbed, err error) {
	for range maxBlocks {
		if tb, err = open(ctx, w, block); !errors.Is(err, errAddressTaken) {
			break
		}
		block = tb.block - firstBlock + 1
	}
	return tb, err
}

func open(ctx context.Context, w World, block int) (tb *Testbed, err error) {
	if err := w.Fill(); err != nil {
		return nil, err
	}
	if w.Binary == "" {
		return nil, errors.New("World.Binary is empty, want the path of the node program")
	}
	tb = newTestbed(w)
	tb.spawner = newSpawner()
	defer func() {
		if err != nil {
			tb.Close()
		}
	}()
	if tb.blockLock, tb.block, err = claimBlock(block); err != nil {
		return tb, err
	}
	if tb.dir == "" {
		tb.ownsDir = true
		if tb.dir, err = os.MkdirTemp("", "balancer-testbed-"); err != nil {
			return tb, err
		}
	} else if err = os.MkdirAll(tb.dir, 0o700); err != nil {
		return tb, err
	}
	for i := range w.Classes {
		tb.classes[w.Classes[i].Name] = &tb.world.Classes[i]
	}
	tb.checker = newChecker(&tb.world, tb.now, &tb.intervals)
	tb.lateness.run(tb)
	tb.discovery = newDiscovery(tb)
	if err = tb.populate(); err != nil {
		return tb, err
	}
	return tb, tb.startAll(ctx)
}

func newTestbed(w World) *Testbed {
	return &Testbed{
		world:      w,
		dir:        w.Dir,
		began:      time.Now(),
		nodes:      map[string]*Node{},
		servers:    map[string]*Server{},
		classes:    map[string]*Class{},
		discardLog: log.New(io.Discard, "", 0),
		done:       make(chan struct{}),
		directions: map[string]*direction{},
		tcpLinks:   map[string]*tcpLink{},
		udpLinks:   map[string]*udpLink{},
	}
}

// claimBlock claims a block of the loopback range exclusively, so that several test beds can run at the same time. It
// holds the block by listening on one of its addresses.
func claimBlock(first int) (net.Listener, int, error) {
	for i := range blocks {
		n := firstBlock + (first+i)%blocks
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:6999", n)); err == nil {
			return listener, n, nil
		}
	}
	return nil, 0, errors.New("no block of loopback addresses is free")
}

func (tb *Testbed) serverIP() string    { return fmt.Sprintf("127.%d.0.2", tb.block) }
func (tb *Testbed) linkIP() string      { return fmt.Sprintf("127.%d.0.3", tb.block) }
func (tb *Testbed) discoveryIP() string { return fmt.Sprintf("127.%d.0.4", tb.block) }

// startAll starts all nodes, the front ones first, and waits until all are ready and the front sends connections to
// each front node.
func (tb *Testbed) startAll(ctx context.Context) error {
	for _, n := range tb.orderedNodes {
		tb.intervals.begin(n.name, tb.now())
		if err := n.Start(); err != nil {
			return err
		}
	}
	tb.front.start()
	for _, n := range tb.orderedNodes {
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	for _, n := range tb.front.nodes {
		for ready, changed := tb.front.isReady(n); !ready; ready, changed = tb.front.isReady(n) {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// now returns the time on the test bed's clock, which starts when the test bed begins.
func (tb *Testbed) now() time.Duration { return time.Since(tb.began) }

// Now returns the time since the test bed began, as in Finding.At.
func (tb *Testbed) Now() time.Duration { return tb.now() }

// Checker returns the invariant checker.
func (tb *Testbed) Checker() *Checker { return tb.checker }

// Node returns the node of a name, or nil if there is none.
func (tb *Testbed) Node(name string) *Node { return tb.nodes[name] }

// Server returns the server of a name, or nil if there is none.
func (tb *Testbed) Server(name string) *Server { return tb.servers[name] }

// Nodes returns all nodes, the front ones first.
func (tb *Testbed) Nodes() []*Node { return tb.orderedNodes }

// countAttempt counts an attempt of a node that arrived at a server.
func (tb *Testbed) countAttempt(from string, s *Server) {
	tb.attempts.Add(1)
	n, _ := tb.attemptsByNode.LoadOrStore(from, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if n := tb.nodes[from]; n != nil && n.zone != s.zone {
		tb.crossZone.Add(1)
	}
}

// Attempts returns the number of attempts that arrived at servers of all tiers, and how many of them crossed zones.
func (tb *Testbed) Attempts() (all, crossZone int64) { return tb.attempts.Load(), tb.crossZone.Load() }

// AttemptsOf returns the number of attempts of a node that arrived at servers.
func (tb *Testbed) AttemptsOf(node string) int64 {
	if n, ok := tb.attemptsByNode.Load(node); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Imbalance returns the number of answers of the busiest server of the first tier, divided by the mean of that tier.
func (tb *Testbed) Imbalance() float64 {
	sum, busiest, n := 0, 0, 0
	for _, s := range tb.servers {
		if s.tier == 0 {
			served := s.Served()
			sum, busiest, n = sum+served, max(busiest, served), n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(busiest*n) / float64(sum)
}

// startGoroutine runs f in a goroutine that Close waits for. f must return once tb.done, or the listener or connection
// that f uses, is closed.
func (tb *Testbed) startGoroutine(f func()) {
	tb.goroutines.Add(1)
	go func() {
		defer tb.goroutines.Done()
		f()
	}()
}

// entry returns the server's entry in the endpoint list.
func (s *Server) entry() endpointEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := endpointEntry{Host: s.name, Zone: s.zone, Class: "m2", Health: s.health, Share: 1}
	if s.startedAt != 0 {
		h.StartedMS = s.testbed.began.Add(s.startedAt).UnixMilli()
	}
	return h
}

// Drain makes discovery list a server as draining. If removeAfter is above 0, the server is removed from the list after
// that time, and its process ends.
func (tb *Testbed) Drain(s *Server, removeAfter time.Duration) {
	s.mu.Lock()
	s.health = healthDraining
	s.mu.Unlock()
	tb.discovery.publish(s.tier, s.entry(), -1)
	if removeAfter <= 0 {
		return
	}
	time.AfterFunc(removeAfter, func() {
		select {
		case <-tb.done:
			return
		default:
		}
		s.mu.Lock()
		s.health = healthRemoved
		s.mu.Unlock()
		tb.discovery.publish(s.tier, s.entry(), -1)
		s.crash()
	})
}

// SetDiscoveryFault sets the fault of discovery.
func (tb *Testbed) SetDiscoveryFault(o DiscoveryFault) {
	tb.discovery.setFault(o)
	if (o == DiscoveryFault{}) {
		tb.intervals.end("discovery", tb.now())
	} else {
		tb.intervals.begin("discovery", tb.now())
	}
}

// Close ends every process and waits for all goroutines that the test bed has started.
func (tb *Testbed) Close() { tb.closeOnce.Do(tb.shutDown) }

func (tb *Testbed) shutDown() {
	close(tb.done)
	for _, n := range tb.orderedNodes {
		_ = n.process.signal(syscall.SIGCONT) // fails if the process has ended
		n.process.kill()
	}
	if tb.front != nil && tb.front.stop != nil {
		tb.front.close()
	}
	for _, c := range tb.clients {
		c.close()
	}
	if tb.discovery != nil {
		tb.discovery.close()
	}
	for _, s := range tb.servers {
		closeQuietly(s.gate)
		closeQuietly(s.http)
	}
	for _, s := range tb.servers {
		if s.nextTier != nil {
			s.nextTier.close()
		}
	}
	tb.closeLinks()
	tb.goroutines.Wait()
	close(tb.spawner.done)
	if tb.blockLock != nil {
		closeQuietly(tb.blockLock)
	}
	if tb.ownsDir {
		_ = os.RemoveAll(tb.dir) // on an error the remaining files stay in the temporary folder
	}
}

func (tb *Testbed) closeLinks() {
	tb.mu.Lock()
	links, udp := tb.tcpLinks, tb.udpLinks
	tb.tcpLinks = map[string]*tcpLink{}
	tb.udpLinks = nil
	tb.mu.Unlock()
	for _, link := range links {
		link.close()
	}
	for _, link := range udp {
		link.close()
	}
}
