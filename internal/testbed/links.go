package testbed

import (
	"path"
	"strings"
)

// directionLocked returns the direction from one part to another, and creates it at the first call; tb.mu is held.
func (tb *Testbed) directionLocked(from, to string) *direction {
	key := from + "->" + to
	if tb.directions[key] == nil {
		tb.directions[key] = newDirection()
	}
	return tb.directions[key]
}

// hasProxy reports whether the link between two parts has a proxy, by the patterns of World.Links. A pattern applies to
// the link in both directions.
func (tb *Testbed) hasProxy(from, to string) bool {
	for _, p := range tb.world.Links {
		a, b, _ := strings.Cut(p, "->")
		if matches(a, from) && matches(b, to) || matches(a, to) && matches(b, from) {
			return true
		}
	}
	return false
}

// matches reports whether a path pattern matches a name.
func matches(pattern, name string) bool {
	ok, _ := path.Match(pattern, name) // Fault.Check rejects invalid patterns; one in World.Links matches nothing
	return ok
}

// linkAddr returns the address at which one part dials another: that of the proxy if the link has one, else target, the
// address of the other part. It starts the proxy at the first call.
func (tb *Testbed) linkAddr(from, to, target string) string {
	if !tb.hasProxy(from, to) {
		return target
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	key := from + "->" + to
	if tb.tcpLinks[key] == nil {
		link, err := newTCPLink(tb.linkIP()+":0", target, tb.directionLocked(from, to), tb.directionLocked(to, from))
		if err != nil {
			return target // no free port or file descriptor: a fault that matches only this link then fails with errNoLink
		}
		tb.tcpLinks[key] = link
	}
	return tb.tcpLinks[key].gate.addr
}

// nodeAddr returns the address at which a part dials a node.
func (tb *Testbed) nodeAddr(from string, n *Node) string {
	return tb.linkAddr(from, n.name, n.ListenAddr())
}

// serverAddr returns the address at which a node dials a server.
func (tb *Testbed) serverAddr(n *Node, name string) string {
	return tb.linkAddr(n.name, name, tb.servers[name].gate.addr)
}

// setLinkModes sets how the links to a part treat new connections, so that the proxies refuse connections while the
// part refuses them.
func (tb *Testbed) setLinkModes(name string, mode gateMode) {
	tb.mu.Lock()
	var to []*tcpLink
	for key, link := range tb.tcpLinks {
		if _, b, _ := strings.Cut(key, "->"); b == name {
			to = append(to, link)
		}
	}
	tb.mu.Unlock()
	for _, link := range to {
		link.setServerMode(mode)
	}
}

// SetLink sets the condition of the directions from one part to another on all links that have a proxy; from and to are
// path patterns such as "n*" or "rooms-?". It returns the number of directions that were set.
func (tb *Testbed) SetLink(from, to string, c LinkCondition) (n int) {
	tb.mu.Lock()
	touched := map[string]*direction{}
	for key := range tb.tcpLinks {
		a, b, _ := strings.Cut(key, "->")
		for _, d := range [][2]string{{a, b}, {b, a}} {
			if matches(from, d[0]) && matches(to, d[1]) {
				touched[d[0]+"->"+d[1]] = tb.directionLocked(d[0], d[1])
			}
		}
	}
	var links []*tcpLink
	for key, link := range tb.tcpLinks {
		a, b, _ := strings.Cut(key, "->")
		if touched[a+"->"+b] != nil || touched[b+"->"+a] != nil {
			links = append(links, link)
		}
	}
	tb.mu.Unlock()
	for key, p := range touched {
		p.set(c)
		if (c == LinkCondition{}) {
			tb.intervals.end(key, tb.now())
		} else {
			tb.intervals.begin(key, tb.now())
		}
	}
	for _, link := range links {
		link.conditionsChanged()
	}
	return len(touched)
}

// ResetLink resets all connections on the links from one part to another, both path patterns. It returns the number of
// links.
func (tb *Testbed) ResetLink(from, to string) (n int) {
	tb.mu.Lock()
	var matching []*tcpLink
	for key, link := range tb.tcpLinks {
		if a, b, _ := strings.Cut(key, "->"); matches(from, a) && matches(to, b) {
			matching = append(matching, link)
			tb.intervals.recordMoment(key, tb.now())
		}
	}
	tb.mu.Unlock()
	for _, link := range matching {
		link.gate.reset()
	}
	return len(matching)
}
