package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// refusals is the fewest requests that a node has to refuse on end, with no attempt in between, for the rule.
const refusals = 15

// replacedServers: under a burst the servers of a tier are slow for half a minute. Some seconds later, while nobody
// sends anything, half of them are replaced. Then the usual traffic returns. With TROUBLE=0 the servers are not slow.
func replacedServers(p *play) error {
	const (
		nodes, servers = 30, 8
		usual, slow    = 750 * time.Millisecond, 2400 * time.Millisecond
		slowFor        = 30 * time.Second
	)
	var mu sync.Mutex
	attempts := map[string]int{} // by the name of the node
	var serviceTime atomic.Int64
	serviceTime.Store(int64(usual))
	if p.trouble {
		serviceTime.Store(int64(slow))
	}
	serve := func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			name, _, _ := strings.Cut(request.Header.Get("X-Call-Id"), "-")
			mu.Lock()
			attempts[name]++
			mu.Unlock()
			time.Sleep(time.Duration(serviceTime.Load()))
			if !answer(connection, request) {
				return
			}
		}
	}
	var hosts []host
	for i := range servers + servers/2 {
		s, err := startServer(fmt.Sprintf("s-%02d", i), serve)
		if err != nil {
			return err
		}
		hosts = append(hosts, s.host())
	}
	d, err := startDiscovery(hosts[:servers])
	if err != nil {
		return err
	}
	tier := make([]*node, nodes)
	for i := range tier {
		tier[i], err = startNode(nodeConfig{
			name: fmt.Sprintf("n%d", i), directory: p.directory, discovery: d.address, limits: smallLimits,
			hosts: hosts[:servers], nodes: nodes, index: i,
		})
		if tier[i] != nil {
			defer tier[i].stop()
		}
		if err != nil {
			return err
		}
	}
	p.line("clients: 4 requests a second to each of %d nodes for %v; a server takes %v for one", nodes, slowFor,
		time.Duration(serviceTime.Load()))
	answered := p.traffic(tier, "slow", 4, slowFor)
	for i := range tier {
		p.line("n%d: %v", i, answered[i])
	}
	serviceTime.Store(int64(usual))
	time.Sleep(3 * time.Second)
	for first := 0; first < servers/2; first += servers / 4 {
		p.replace(d, hosts[first:first+servers/4], hosts[servers+first:servers+first+servers/4])
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	clear(attempts)
	mu.Unlock()
	p.line("clients: 5 requests a second to each node for 6 s")
	answered = p.traffic(tier, "after", 5, 6*time.Second)
	refusing := 0
	mu.Lock()
	defer mu.Unlock()
	for i := range tier {
		name := fmt.Sprintf("n%d", i)
		p.line("%s: %v, attempts %d", name, answered[i], attempts[name])
		refused := answered[i][http.StatusServiceUnavailable]
		if refused >= refusals && len(answered[i]) == 1 && attempts[name] == 0 {
			refusing++
		}
	}
	p.line("%d of %d nodes refused all that they got", refusing, nodes)
	if refusing > nodes/10 {
		p.breach("%d of %d nodes refused all that they got for 6 s, with no attempt in between", refusing, nodes)
	}
	return nil
}

// replace lets some hosts drain, lets new ones join in their place, and removes the first.
func (p *play) replace(d *discovery, old, joined []host) {
	for i := range old {
		old[i].Health = "terminating"
		joined[i].Born = time.Now().UnixMilli()
		p.line("discovery: %s drains, %s takes its place", old[i].Host, joined[i].Host)
	}
	d.change(slices.Clone(old))
	time.Sleep(time.Second)
	d.change(slices.Clone(joined))
	time.Sleep(time.Second)
	for i := range old {
		old[i].Health = "terminated"
	}
	d.change(slices.Clone(old))
}

// traffic sends requests to each node for some time, and returns the counts of answers by status for each node.
func (p *play) traffic(tier []*node, kind string, rate int, length time.Duration) []map[int]int {
	var mu sync.Mutex
	counts := make([]map[int]int, len(tier))
	var running sync.WaitGroup
	for i, n := range tier {
		counts[i] = map[int]int{}
		running.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for k := range int(length.Seconds() * float64(rate)) {
				running.Go(func() {
					status, _ := askOnce(n.listen, fmt.Sprintf("n%d-%s-%d", i, kind, k))
					mu.Lock()
					counts[i][status]++
					mu.Unlock()
				})
				<-ticker.C
			}
		})
	}
	running.Wait()
	return counts
}
