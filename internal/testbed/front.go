package testbed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	pollInterval  = 100 * time.Millisecond
	readyTimeout  = time.Second
	notReadyDelay = 200 * time.Millisecond // how long a node still gets new connections after it is no longer ready
)

// front spreads the clients' connections over the nodes of their zone, or over all nodes if their zone has none that is
// ready. It polls /ready of each node: a node is in use once it answers 200, is dropped notReadyDelay after it first
// answered otherwise, and World.FrontDetectionDelay after it stopped answering.
type front struct {
	testbed *Testbed
	nodes   []*Node
	stop    context.CancelFunc
	owned   sync.WaitGroup

	mu      sync.Mutex
	ready   map[*Node]bool
	next    map[string]int // round-robin position by zone
	changed chan struct{}  // closed when a node is taken into use or dropped
}

func newFront(tb *Testbed, nodes []*Node) *front {
	return &front{
		testbed: tb,
		nodes:   nodes,
		ready:   map[*Node]bool{},
		next:    map[string]int{},
		changed: make(chan struct{}),
	}
}

func (f *front) start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, n := range f.nodes {
		f.owned.Add(1)
		go func() {
			defer f.owned.Done()
			f.watch(ctx, n)
		}()
	}
}

func (f *front) close() {
	f.stop()
	f.owned.Wait()
}

// watch polls /ready of one node until ctx ends.
func (f *front) watch(ctx context.Context, n *Node) {
	client := &http.Client{
		Timeout: readyTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: readyTimeout}).DialContext,
		},
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var notReadySince, unresponsiveSince time.Time
	for {
		ready, answered := checkReady(ctx, client, f.testbed.nodeAddr(clientsOf(n.zone), n))
		now := time.Now()
		switch {
		case ready:
			notReadySince, unresponsiveSince = time.Time{}, time.Time{}
			f.setReady(n, true)
		case answered:
			unresponsiveSince = time.Time{}
			if notReadySince.IsZero() {
				notReadySince = now
			}
			if now.Sub(notReadySince) >= notReadyDelay {
				f.setReady(n, false)
			}
		default:
			if unresponsiveSince.IsZero() {
				unresponsiveSince = now
			}
			if now.Sub(unresponsiveSince) >= f.testbed.world.FrontDetectionDelay {
				f.setReady(n, false)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkReady requests /ready of a node. yes reports whether the node answered 200, answered whether it answered at all.
func checkReady(ctx context.Context, client *http.Client, addr string) (yes, answered bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/ready", nil)
	if err != nil {
		return false, false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false, false
	}
	closeQuietly(resp.Body)
	return resp.StatusCode == http.StatusOK, true
}

func (f *front) setReady(n *Node, in bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready[n] != in {
		f.ready[n] = in
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// isReady reports whether the front sends connections to a node, and returns a channel that is closed when that changes
// for any node.
func (f *front) isReady(n *Node) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready[n], f.changed
}

var errNoNode = errors.New("the front has no ready node")

// pick returns the next ready node of a zone in round-robin order, or of all nodes if the zone has no ready node.
func (f *front) pick(zone string) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, sameZone := range []bool{true, false} {
		var candidates []*Node
		for _, n := range f.nodes {
			if f.ready[n] && (n.zone == zone || !sameZone) {
				candidates = append(candidates, n)
			}
		}
		if len(candidates) > 0 {
			f.next[zone]++
			return candidates[f.next[zone]%len(candidates)], nil
		}
	}
	return nil, errNoNode
}

// dial returns a function that connects the client of a zone to a node and returns the node's name.
func (f *front) dial(zone string) func(context.Context) (net.Conn, string, error) {
	return func(ctx context.Context) (net.Conn, string, error) {
		n, err := f.pick(zone)
		if err != nil {
			return nil, "", err
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.testbed.nodeAddr(clientsOf(zone), n))
		return c, n.name, err
	}
}

// clientsOf returns the name under which links and faults refer to the clients of a zone.
func clientsOf(zone string) string { return "clients-" + zone }
