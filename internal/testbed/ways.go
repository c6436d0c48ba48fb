// Links between any two parts, and their conditions.

package testbed

import (
	"path"
	"strings"
)

// way returns the direction from one part to another.
func (l *Lab) way(from, to string) *way {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wayLocked(from, to)
}

func (l *Lab) wayLocked(from, to string) *way {
	key := from + "->" + to
	if l.ways[key] == nil {
		l.ways[key] = newWay()
	}
	return l.ways[key]
}

// linked says whether a link is to have a proxy.
func (l *Lab) linked(from, to string) bool {
	for _, p := range l.world.Links {
		a, b, _ := strings.Cut(p, "->")
		if matches(a, from) && matches(b, to) || matches(a, to) && matches(b, from) {
			return true
		}
	}
	return false
}

func matches(pattern, name string) bool {
	ok, _ := path.Match(pattern, name) // patterns were checked
	return ok
}

// linkAddr is the address at which one part dials another, whose own address is target.
func (l *Lab) linkAddr(from, to, target string) string {
	if !l.linked(from, to) {
		return target
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from + "->" + to
	if l.links[key] == nil {
		link, err := newTCPLink(l.linkIP()+":0", target, l.wayLocked(from, to), l.wayLocked(to, from))
		if err != nil {
			return target // out of ports or descriptors: the fault then finds no link, and says so
		}
		l.links[key] = link
	}
	return l.links[key].gate.addr
}

func (l *Lab) nodeAddr(from string, n *Node) string { return l.linkAddr(from, n.name, n.Listen()) }

func (l *Lab) serverAddr(n *Node, name string) string {
	return l.linkAddr(n.name, name, l.servers[name].gate.addr)
}

// linksTo makes all links to a part meet new connections as the part does.
func (l *Lab) linksTo(name string, mode gateMode) {
	l.mu.Lock()
	var to []*tcpLink
	for key, link := range l.links {
		if _, b, _ := strings.Cut(key, "->"); b == name {
			to = append(to, link)
		}
	}
	l.mu.Unlock()
	for _, link := range to {
		link.follow(mode)
	}
}

// SetLink changes the direction from one part to another, both path patterns as in "n*" or "rooms-?", on every link of
// the world that has a proxy. It returns how many directions that were.
func (l *Lab) SetLink(from, to string, c Cond) (n int) {
	l.mu.Lock()
	touched := map[string]*way{}
	for key := range l.links {
		a, b, _ := strings.Cut(key, "->")
		for _, d := range [][2]string{{a, b}, {b, a}} {
			if matches(from, d[0]) && matches(to, d[1]) {
				touched[d[0]+"->"+d[1]] = l.wayLocked(d[0], d[1])
			}
		}
	}
	var links []*tcpLink
	for key, link := range l.links {
		a, b, _ := strings.Cut(key, "->")
		if touched[a+"->"+b] != nil || touched[b+"->"+a] != nil {
			links = append(links, link)
		}
	}
	l.mu.Unlock()
	for key, p := range touched {
		p.set(c)
		if (c == Cond{}) {
			l.spans.end(key, l.now())
		} else {
			l.spans.begin(key, l.now())
		}
	}
	for _, link := range links {
		link.pathsChanged()
	}
	return len(touched)
}

// ResetLink resets every connection on the links from one part to another.
func (l *Lab) ResetLink(from, to string) (n int) {
	l.mu.Lock()
	var hit []*tcpLink
	for key, link := range l.links {
		if a, b, _ := strings.Cut(key, "->"); matches(from, a) && matches(to, b) {
			hit = append(hit, link)
			l.spans.touch(key, l.now())
		}
	}
	l.mu.Unlock()
	for _, link := range hit {
		link.gate.reset()
	}
	return len(hit)
}
