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

const maxNodes = 240 // of one testbed

// Testbed is a running world.
type Testbed struct {
	world      World
	dir        string
	scratch    bool // dir is the testbed's own
	began      time.Time
	intervals  intervals
	checker    *Checker
	spawner    *spawner
	disc       *discovery
	front      *front
	clients    []*client // by zone
	nodes      map[string]*Node
	servers    map[string]*Server
	nodeOrder  []*Node // as started
	classes    map[string]*Class
	discardLog *log.Logger
	blockLock  net.Listener // holds this testbed's loopback addresses
	block      int          // 127.block.0.0/16 is this testbed's
	done       chan struct{}
	owned      sync.WaitGroup
	closing    sync.Once
	lateness   lateness
	attempts   atomic.Int64 // that reached servers
	sent       sync.Map     // of them, by node: *atomic.Int64
	crossZone  atomic.Int64 // of them, from another zone

	mu         sync.Mutex
	directions map[string]*direction
	tcpLinks   map[string]*tcpLink // by FROM->TO
	udpLinks   map[string]*udpLink // beside some of them, at the same address
}

// Blocks of loopback addresses, 127.N.0.0/16 each.
const (
	firstBlock = 10
	blocks     = 240
	maxBlocks  = 5 // that a testbed tries
)

var errAddressTaken = errors.New("another program has it")

// Open builds a world and starts its processes. It returns once the front has taken in every node, and fails, with
// nothing left running, when one does not come up. Beside a program that has one of its addresses it takes others.
func Open(ctx context.Context, w World) (tb *Testbed, err error) {
	return openFrom(ctx, w, rand.N(blocks))
}

// openFrom is Open that tries the blocks of addresses from one on.
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
		return nil, errors.New("no node program is named")
	}
	tb = newTestbed(w)
	tb.spawner = newSpawner()
	defer func() {
		if err != nil {
			tb.Close()
		}
	}()
	if tb.blockLock, tb.block, err = claimNet(block); err != nil {
		return tb, err
	}
	if tb.dir == "" {
		tb.scratch = true
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
	tb.disc = newDiscovery(tb)
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

// claimNet claims a part of the loopback range exclusively, so that testbeds may run side by side.
func claimNet(first int) (net.Listener, int, error) {
	for i := range blocks {
		n := firstBlock + (first+i)%blocks
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:6999", n)); err == nil {
			return listener, n, nil
		}
	}
	return nil, 0, errors.New("no part of the loopback range is free")
}

func (tb *Testbed) serverIP() string    { return fmt.Sprintf("127.%d.0.2", tb.block) }
func (tb *Testbed) linkIP() string      { return fmt.Sprintf("127.%d.0.3", tb.block) }
func (tb *Testbed) discoveryIP() string { return fmt.Sprintf("127.%d.0.4", tb.block) }

// startAll starts the last tier's nodes first, and waits until the front has all of its own.
func (tb *Testbed) startAll(ctx context.Context) error {
	for _, n := range tb.nodeOrder {
		tb.intervals.begin(n.name, tb.now())
		if err := n.Start(); err != nil {
			return err
		}
	}
	tb.front.start()
	for _, n := range tb.nodeOrder {
		if err := n.Up(ctx); err != nil {
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

// now is the testbed's clock: the time since it began.
func (tb *Testbed) now() time.Duration { return time.Since(tb.began) }

// Now is the time since the testbed began, as findings have it.
func (tb *Testbed) Now() time.Duration { return tb.now() }

// Checker returns the checker of the testbed's invariants.
func (tb *Testbed) Checker() *Checker { return tb.checker }

// Node returns a node by name; nil: there is none.
func (tb *Testbed) Node(name string) *Node { return tb.nodes[name] }

// Server returns a server by name; nil: there is none.
func (tb *Testbed) Server(name string) *Server { return tb.servers[name] }

// Nodes returns all nodes, the front ones first.
func (tb *Testbed) Nodes() []*Node { return tb.nodeOrder }

// count counts an attempt of a node that reached a server.
func (tb *Testbed) count(from string, s *Server) {
	tb.attempts.Add(1)
	n, _ := tb.sent.LoadOrStore(from, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if n := tb.nodes[from]; n != nil && n.zone != s.zone {
		tb.crossZone.Add(1)
	}
}

// Attempts is how many attempts have reached servers, at all tiers, and how many of them came from another zone.
func (tb *Testbed) Attempts() (all, crossZone int64) { return tb.attempts.Load(), tb.crossZone.Load() }

// AttemptsOf is how many attempts of a node have reached servers.
func (tb *Testbed) AttemptsOf(node string) int64 {
	if n, ok := tb.sent.Load(node); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Imbalance is the number of answers that the busiest server of the first tier has made, over the mean.
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

// goOwned runs f in a goroutine that Close waits for.
func (tb *Testbed) goOwned(f func()) {
	tb.owned.Add(1)
	go func() {
		defer tb.owned.Done()
		f()
	}()
}

// entry is the server as discovery lists it.
func (s *Server) entry() endpointEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := endpointEntry{Host: s.name, Site: s.zone, Class: "m2", Health: s.health, Share: 1}
	if s.born != 0 {
		h.Born = s.testbed.began.Add(s.born).UnixMilli()
	}
	return h
}

// Drain makes discovery list a server as draining; after the time it is removed, and answers no more.
func (tb *Testbed) Drain(s *Server, removeAfter time.Duration) {
	s.mu.Lock()
	s.health = healthDraining
	s.mu.Unlock()
	tb.disc.publish(s.tier, s.entry(), -1)
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
		tb.disc.publish(s.tier, s.entry(), -1)
		s.crash()
	})
}

// SetDiscoveryFault changes how discovery fails.
func (tb *Testbed) SetDiscoveryFault(o DiscoveryFault) {
	tb.disc.set(o)
	if (o == DiscoveryFault{}) {
		tb.intervals.end("discovery", tb.now())
	} else {
		tb.intervals.begin("discovery", tb.now())
	}
}

// Close ends every process and waits for all that the testbed has started.
func (tb *Testbed) Close() { tb.closing.Do(tb.shutDown) }

func (tb *Testbed) shutDown() {
	close(tb.done)
	for _, n := range tb.nodeOrder {
		_ = n.process.signal(syscall.SIGCONT) // fails where it has ended
		n.process.kill()
	}
	if tb.front != nil && tb.front.stop != nil {
		tb.front.close()
	}
	for _, c := range tb.clients {
		c.close()
	}
	if tb.disc != nil {
		tb.disc.close()
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
	tb.owned.Wait()
	close(tb.spawner.done)
	if tb.blockLock != nil {
		closeQuietly(tb.blockLock)
	}
	if tb.scratch {
		_ = os.RemoveAll(tb.dir) // what cannot be removed stays in the temporary folder
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
