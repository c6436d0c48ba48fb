package membership

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

// ether carries packets and streams within this process, in whatever time its goroutines run in.
type ether struct {
	mu   sync.Mutex
	r    *rand.Rand
	at   map[string]*port
	loss float64
}

// port is one process's end of it. It counts what a frame would have.
type port struct {
	ether          *ether
	ip             net.IP
	in             chan *memberlist.Packet
	streams        chan net.Conn
	packets, bytes atomic.Int64
	dead           atomic.Bool
}

const etherPort = 7000

func (e *ether) open(i int) *port {
	p := &port{ether: e, ip: net.IPv4(10, byte(i>>16), byte(i>>8), byte(i)).To4(), in: make(chan *memberlist.Packet, 4*packetQueue), streams: make(chan net.Conn)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at[p.addr()] = p
	return p
}

func (p *port) addr() string                        { return fmt.Sprintf("%s:%d", p.ip, etherPort) }
func (p *port) sent() (a, b int64)                  { return p.packets.Load(), p.bytes.Load() }
func (p *port) Shutdown() error                     { p.dead.Store(true); return nil }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }
func (p *port) PacketCh() <-chan *memberlist.Packet { return p.in }
func (p *port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.ip, etherPort, nil
}
func (p *port) WriteTo(b []byte, to string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: to})
}
func (p *port) DialTimeout(to string, d time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: to}, d)
}

func (p *port) to(addr string) (*port, time.Duration, bool) {
	p.ether.mu.Lock()
	defer p.ether.mu.Unlock()
	q := p.ether.at[addr]
	lost := q == nil || q.dead.Load() || p.dead.Load() || p.ether.r.Float64() < p.ether.loss
	return q, time.Duration(200+p.ether.r.IntN(1000)) * time.Microsecond, !lost
}

func (p *port) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	p.packets.Add(1)
	p.bytes.Add(int64(len(b) + frameHead))
	if q, delay, ok := p.to(a.Addr); ok {
		data := slices.Clone(b)
		time.AfterFunc(delay, func() {
			select {
			case q.in <- &memberlist.Packet{Buf: data, From: &net.UDPAddr{IP: p.ip, Port: etherPort}, Timestamp: time.Now()}:
			default:
			}
		})
	}
	return time.Now(), nil
}

func (p *port) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	p.ether.mu.Lock()
	q := p.ether.at[a.Addr]
	p.ether.mu.Unlock()
	if q == nil || q.dead.Load() {
		return nil, fmt.Errorf("refused")
	}
	near, far := net.Pipe()
	select {
	case q.streams <- far:
		return near, nil
	case <-time.After(d):
		return nil, fmt.Errorf("timeout")
	}
}

// Fleets of many members in virtual time: how soon a silent end is known to all, who is wrongly taken for gone under 10%
// loss, and what membership costs each. MESH_SIZES=64,256,500 plays larger ones than CI does, and prints the table.
func TestFleetInVirtualTime(t *testing.T) {
	sizes := "32"
	if s := os.Getenv("MESH_SIZES"); s != "" {
		sizes = s
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 4 || n > 2000 {
			t.Fatalf("MESH_SIZES: %q", text)
		}
		t.Run(text, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { virtual(t, n) }) })
	}
}

func virtual(t *testing.T, n int) {
	e := &ether{r: rand.New(rand.NewPCG(1, uint64(n))), at: map[string]*port{}}
	var all []*Mesh
	var ports []*port
	defer func() {
		for _, m := range all {
			if m != nil {
				m.Close()
			}
		}
		time.Sleep(time.Minute) // the library's goroutines end with their last probe
	}()
	for i := range n {
		p := e.open(i)
		ports = append(ports, p)
		m, err := start(Config{Fleet: "v", Name: fmt.Sprintf("n%04d", i), Listen: p.addr(), Seeds: []string{"n0000=10.0.0.0:7000", "n0001=10.0.0.1:7000", "n0002=10.0.0.2:7000"},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, func(*Mesh) (wire, error) { return p, nil })
		if err != nil {
			t.Fatal(err)
		}
		m.AnnounceServing()
		all = append(all, m)
		if i%20 == 19 {
			time.Sleep(100 * time.Millisecond) // a rolling start
		}
	}
	agreed := func() bool {
		for _, m := range all {
			if m == nil {
				continue
			}
			if v := m.View(); v.Side < Majority || v.Digest != all[0].View().Digest || v.MemberListSize < n-1 {
				return false
			}
		}
		return true
	}
	until := func(what string, is func() bool) time.Duration {
		t.Helper()
		from := time.Now()
		for !is() {
			if time.Since(from) > 2*time.Minute {
				t.Fatalf("%d members, never: %s; %v", n, what, all[0].Counters().States)
			}
			time.Sleep(50 * time.Millisecond)
		}
		return time.Since(from)
	}
	whole := until("all agree", agreed)
	measure := func(d time.Duration) (packets, bytes float64) {
		var p, b int64
		for _, x := range ports {
			p, b = p-x.packets.Load(), b-x.bytes.Load()
		}
		time.Sleep(d)
		for _, x := range ports {
			p, b = p+x.packets.Load(), b+x.bytes.Load()
		}
		per := d.Seconds() * float64(n)
		return float64(p) / per, float64(b) / per
	}
	time.Sleep(10 * time.Second) // until the joins have gone round
	packets, bytes := measure(20 * time.Second)
	gone := func(name string) (seen int) {
		for _, m := range all {
			if m != nil && m.state(name) == Dead {
				seen++
			}
		}
		return seen
	}
	victim := n - 1
	name := fmt.Sprintf("n%04d", victim)
	ports[victim].dead.Store(true) // from one moment to the next
	all[victim].Close()
	all[victim] = nil
	first := until("one knows", func() bool { return gone(name) > 0 })
	last := first + until("all know", func() bool { return gone(name) == n-1 })
	e.mu.Lock()
	e.loss = 0.1
	e.mu.Unlock()
	time.Sleep(30 * time.Second)
	wrong := 0
	for i := range n - 1 {
		wrong += gone(fmt.Sprintf("n%04d", i))
	}
	lossy, _ := measure(10 * time.Second)
	t.Logf("| %d | whole after %.1f s | %.2f packets/s | %.0f bytes/s | gone for the first %.2f s | for all %.2f s | wrongly gone under 10%% loss for 30 s: %d | then %.2f packets/s |",
		n, whole.Seconds(), packets, bytes, first.Seconds(), last.Seconds(), wrong, lossy)
	if wrong != 0 || last > 15*time.Second {
		t.Errorf("%d members: %d wrongly gone, an end known to all after %v", n, wrong, last)
	}
}

// state is a member's state in the newest view, without a copy of all of it.
func (m *Mesh) state(name string) State {
	v := m.view.Load()
	i, ok := slices.BinarySearchFunc(v.Members, name, func(one Member, name string) int { return strings.Compare(one.Name, name) })
	if !ok {
		return -1
	}
	return v.Members[i].State
}
