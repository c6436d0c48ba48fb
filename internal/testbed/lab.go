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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const mostNodes = 240 // of one lab

// Lab is a running world.
type Lab struct {
	world    World
	dir      string
	scratch  bool // dir is the lab's own
	began    time.Time
	spans    spans
	referee  *Referee
	spawner  *spawner
	disc     *discovery
	front    *front
	clients  []*caller // by zone
	nodes    map[string]*Node
	servers  map[string]*Server
	order    []*Node // as started
	classes  map[string]*Class
	discard  *log.Logger
	lock     net.Listener // holds this lab's loopback addresses
	net      int          // 127.net.0.0/16 is this lab's
	done     chan struct{}
	owned    sync.WaitGroup
	closing  sync.Once
	lateness lateness
	attempts atomic.Int64 // that reached servers
	sent     sync.Map     // of them, by node: *atomic.Int64
	crossed  atomic.Int64 // of them, from another zone

	mu    sync.Mutex
	ways  map[string]*way
	links map[string]*tcpLink // by FROM->TO
	udp   map[string]*udpLink // beside some of them, at the same address
}

// Blocks of loopback addresses, 127.N.0.0/16 each.
const (
	firstBlock = 10
	blocks     = 240
	mostBlocks = 5 // that a lab tries
)

var errTaken = errors.New("another program has it")

// Open builds a world and starts its processes. It returns once the front has taken in every node, and fails, with
// nothing left running, when one does not come up. Beside a program that has one of its addresses it takes others.
func Open(ctx context.Context, w World) (l *Lab, err error) {
	return openFrom(ctx, w, rand.N(blocks))
}

// openFrom is Open that tries the blocks of addresses from one on.
func openFrom(ctx context.Context, w World, block int) (l *Lab, err error) {
	for range mostBlocks {
		if l, err = open(ctx, w, block); !errors.Is(err, errTaken) {
			break
		}
		block = l.net - firstBlock + 1
	}
	return l, err
}

func open(ctx context.Context, w World, block int) (l *Lab, err error) {
	if err := w.Fill(); err != nil {
		return nil, err
	}
	if w.Binary == "" {
		return nil, errors.New("no node program is named")
	}
	l = &Lab{world: w, dir: w.Dir, began: time.Now(), nodes: map[string]*Node{}, servers: map[string]*Server{},
		classes: map[string]*Class{}, discard: log.New(io.Discard, "", 0), done: make(chan struct{}), ways: map[string]*way{},
		links: map[string]*tcpLink{}, udp: map[string]*udpLink{}}
	l.spawner = newSpawner()
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if l.lock, l.net, err = claimNet(block); err != nil {
		return l, err
	}
	if l.dir == "" {
		l.scratch = true
		if l.dir, err = os.MkdirTemp("", "balancer-testbed-"); err != nil {
			return l, err
		}
	} else if err = os.MkdirAll(l.dir, 0o700); err != nil {
		return l, err
	}
	for i := range w.Classes {
		l.classes[w.Classes[i].Name] = &l.world.Classes[i]
	}
	l.referee = newReferee(&l.world, l.now, &l.spans)
	l.lateness.run(l)
	l.disc = newDiscovery(l)
	if err = l.populate(); err != nil {
		return l, err
	}
	return l, l.startAll(ctx)
}

// claimNet takes a part of the loopback range for itself alone, so that labs may run side by side.
func claimNet(first int) (net.Listener, int, error) {
	for i := range blocks {
		n := firstBlock + (first+i)%blocks
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:6999", n)); err == nil {
			return ln, n, nil
		}
	}
	return nil, 0, errors.New("no part of the loopback range is free")
}

func (l *Lab) serverIP() string    { return fmt.Sprintf("127.%d.0.2", l.net) }
func (l *Lab) linkIP() string      { return fmt.Sprintf("127.%d.0.3", l.net) }
func (l *Lab) discoveryIP() string { return fmt.Sprintf("127.%d.0.4", l.net) }

// populate makes the servers, the nodes' places, the front and the clients.
func (l *Lab) populate() error {
	w := &l.world
	for t, tier := range w.Tiers {
		n := 0
		for z, count := range tier.PerZone {
			for range count {
				n++
				s, err := newServer(l, fmt.Sprintf("%s-%d", tier.Name, n), w.Zones[z], t)
				if err != nil {
					return err
				}
				l.servers[s.name] = s
				l.disc.publish(t, s.entry(), 0)
			}
		}
	}
	var fronts []*Node
	for i := range w.Tiers[0].Nodes {
		n, err := l.newNode("n"+strconv.Itoa(i+1), w.Zones[i%len(w.Zones)], 0, i)
		if err != nil {
			return err
		}
		fronts = append(fronts, n)
	}
	for t, tier := range w.Tiers[:len(w.Tiers)-1] {
		for i := range tier.Servers {
			s := l.servers[fmt.Sprintf("%s-%d", tier.Name, i+1)]
			n, err := l.newNode(NodeOf(s.name), s.zone, t+1, i)
			if err != nil {
				return err
			}
			s.own = n
			s.next = &caller{lab: l, name: s.name, checkBody: true, dial: func(ctx context.Context) (net.Conn, string, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.nodeAddr(s.name, n))
				return c, n.name, err
			}}
		}
	}
	l.front = newFront(l, fronts)
	for _, z := range w.Zones {
		l.clients = append(l.clients, &caller{lab: l, name: clientsOf(z), checkBody: !w.TrustNodes, dial: l.front.dial(z)})
	}
	return nil
}

// startAll starts the last tier's nodes first, and waits until the front has all of its own.
func (l *Lab) startAll(ctx context.Context) error {
	for _, n := range l.order {
		l.spans.begin(n.name, l.now())
		if err := n.Start(); err != nil {
			return err
		}
	}
	l.front.start()
	for _, n := range l.order {
		if err := n.Up(ctx); err != nil {
			return err
		}
	}
	for _, n := range l.front.nodes {
		for in, moved := l.front.isIn(n); !in; in, moved = l.front.isIn(n) {
			select {
			case <-moved:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// now is the lab's clock: the time since it began.
func (l *Lab) now() time.Duration { return time.Since(l.began) }

// Now is the time since the lab began, as findings have it.
func (l *Lab) Now() time.Duration { return l.now() }

// Referee is the lab's referee.
func (l *Lab) Referee() *Referee { return l.referee }

// Node returns a node by name; nil: there is none.
func (l *Lab) Node(name string) *Node { return l.nodes[name] }

// Server returns a server by name; nil: there is none.
func (l *Lab) Server(name string) *Server { return l.servers[name] }

// Nodes returns all nodes, the front ones first.
func (l *Lab) Nodes() []*Node { return l.order }

// count books an attempt of a node that reached a server.
func (l *Lab) count(from string, s *Server) {
	l.attempts.Add(1)
	n, _ := l.sent.LoadOrStore(from, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if n := l.nodes[from]; n != nil && n.zone != s.zone {
		l.crossed.Add(1)
	}
}

// Attempts is how many attempts have reached servers, at all tiers, and how many of them came from another zone.
func (l *Lab) Attempts() (all, crossed int64) { return l.attempts.Load(), l.crossed.Load() }

// AttemptsOf is how many attempts of a node have reached servers.
func (l *Lab) AttemptsOf(node string) int64 {
	if n, ok := l.sent.Load(node); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Uneven is the number of answers that the busiest server of the first tier has made, over the mean.
func (l *Lab) Uneven() float64 {
	sum, most, n := 0, 0, 0
	for _, s := range l.servers {
		if s.tier == 0 {
			served := s.Served()
			sum, most, n = sum+served, max(most, served), n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most*n) / float64(sum)
}

// own runs f until it returns; Close waits for it.
func (l *Lab) own(f func()) {
	l.owned.Add(1)
	go func() {
		defer l.owned.Done()
		f()
	}()
}

// entry is the server as discovery lists it.
func (s *Server) entry() listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := listed{Host: s.name, Site: s.zone, Class: "m2", Health: s.health, Share: 1}
	if s.born != 0 {
		h.Born = s.lab.began.Add(s.born).UnixMilli()
	}
	return h
}

// Drain makes discovery list a server as draining; after the time it is gone, and answers nobody.
func (l *Lab) Drain(s *Server, goneAfter time.Duration) {
	s.mu.Lock()
	s.health = "terminating"
	s.mu.Unlock()
	l.disc.publish(s.tier, s.entry(), -1)
	if goneAfter <= 0 {
		return
	}
	time.AfterFunc(goneAfter, func() {
		select {
		case <-l.done:
			return
		default:
		}
		s.mu.Lock()
		s.health = "terminated"
		s.mu.Unlock()
		l.disc.publish(s.tier, s.entry(), -1)
		s.crash()
	})
}

// Discovery changes how discovery fails.
func (l *Lab) Discovery(o Outage) {
	l.disc.set(o)
	if (o == Outage{}) {
		l.spans.end("discovery", l.now())
	} else {
		l.spans.begin("discovery", l.now())
	}
}

// Close ends every process and waits for all that the lab has started.
func (l *Lab) Close() {
	l.closing.Do(func() {
		close(l.done)
		for _, n := range l.order {
			n.process.signal(syscall.SIGCONT) // fails where it has ended
			n.process.kill()
		}
		if l.front != nil && l.front.stop != nil {
			l.front.close()
		}
		for _, c := range l.clients {
			c.close()
		}
		if l.disc != nil {
			l.disc.close()
		}
		for _, s := range l.servers {
			s.gate.Close()
			s.http.Close()
		}
		for _, s := range l.servers {
			if s.next != nil {
				s.next.close()
			}
		}
		l.mu.Lock()
		links, udp := l.links, l.udp
		l.links, l.udp = map[string]*tcpLink{}, nil
		l.mu.Unlock()
		for _, link := range links {
			link.close()
		}
		for _, link := range udp {
			link.close()
		}
		l.owned.Wait()
		close(l.spawner.done)
		if l.lock != nil {
			l.lock.Close()
		}
		if l.scratch {
			os.RemoveAll(l.dir)
		}
	})
}
