package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const virtualPort = 7000

var (
	errVirtualRefused = errors.New("refused")
	errVirtualTimeout = errors.New("timeout")
)

// virtualNetwork carries packets and streams within this process, in real time or, in a synctest bubble, in virtual
// time.
type virtualNetwork struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*virtualEndpoint // by address
	loss      float64                     // probability that a packet is lost
}

func newVirtualNetwork(seed uint64) *virtualNetwork {
	return &virtualNetwork{
		random:    rand.New(rand.NewPCG(1, seed)),
		endpoints: map[string]*virtualEndpoint{},
	}
}

func (n *virtualNetwork) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// virtualEndpoint connects one process to the network. The count of sent bytes includes a frame header for each packet.
type virtualEndpoint struct {
	network     *virtualNetwork
	ip          net.IP
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	packetsSent atomic.Int64
	bytesSent   atomic.Int64
	down        atomic.Bool
}

var _ packetNetwork = (*virtualEndpoint)(nil)

// open adds the endpoint of member i to the network.
func (n *virtualNetwork) open(i int) *virtualEndpoint {
	endpoint := &virtualEndpoint{
		network: n,
		ip:      net.IPv4(10, byte(i>>16), byte(i>>8), byte(i)).To4(),
		packets: make(chan *memberlist.Packet, 4*packetQueueSize),
		streams: make(chan net.Conn),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[endpoint.addr()] = endpoint
	return endpoint
}

// find returns the endpoint at an address, or nil.
func (n *virtualNetwork) find(address string) *virtualEndpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[address]
}

func (e *virtualEndpoint) addr() string { return fmt.Sprintf("%s:%d", e.ip, virtualPort) }

func (e *virtualEndpoint) sent() (packets, bytes int64) {
	return e.packetsSent.Load(), e.bytesSent.Load()
}

func (e *virtualEndpoint) Shutdown() error {
	e.down.Store(true)
	return nil
}

func (e *virtualEndpoint) StreamCh() <-chan net.Conn { return e.streams }

func (e *virtualEndpoint) PacketCh() <-chan *memberlist.Packet { return e.packets }

func (e *virtualEndpoint) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return e.ip, virtualPort, nil
}

func (e *virtualEndpoint) WriteTo(data []byte, to string) (time.Time, error) {
	return e.WriteToAddress(data, memberlist.Address{Addr: to})
}

func (e *virtualEndpoint) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: to}, timeout)
}

// route returns the destination of a packet, and draws its delay and whether it arrives.
func (e *virtualEndpoint) route(address string) (to *virtualEndpoint, delay time.Duration, arrives bool) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	to = e.network.endpoints[address]
	lost := to == nil || to.down.Load() || e.down.Load() || e.network.random.Float64() < e.network.loss
	delay = time.Duration(200+e.network.random.IntN(1000)) * time.Microsecond
	return to, delay, !lost
}

func (e *virtualEndpoint) WriteToAddress(data []byte, address memberlist.Address) (time.Time, error) {
	e.packetsSent.Add(1)
	e.bytesSent.Add(int64(len(data) + frameHeaderSize))
	to, delay, arrives := e.route(address.Addr)
	if arrives {
		copied := slices.Clone(data)
		time.AfterFunc(delay, func() { to.receive(copied, e.ip) })
	}
	return time.Now(), nil
}

// receive queues a packet for memberlist, or drops it if the queue is full.
func (e *virtualEndpoint) receive(data []byte, from net.IP) {
	packet := &memberlist.Packet{
		Buf:       data,
		From:      &net.UDPAddr{IP: from, Port: virtualPort},
		Timestamp: time.Now(),
	}
	select {
	case e.packets <- packet:
	default:
	}
}

func (e *virtualEndpoint) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to := e.network.find(address.Addr)
	if to == nil || to.down.Load() || e.down.Load() {
		return nil, errVirtualRefused
	}
	local, remote := net.Pipe()
	select {
	case to.streams <- remote:
		return local, nil
	case <-time.After(timeout):
		return nil, errVirtualTimeout
	}
}
