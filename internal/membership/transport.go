package membership

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Bounds of the transport.
const (
	packetQueueSize = 256  // packets that wait for memberlist; more are dropped
	maxPacketRate   = 4000 // packets a second that are read; a flood beyond is dropped unread
	packetBurst     = 1000
	maxSenders      = 4096 // processes whose sequence numbers are kept
	readBufferSize  = 64 << 10
	errorPause      = 50 * time.Millisecond // after a read or an accept that failed
)

// MaxDescriptors is how many file descriptors a mesh uses at most.
const MaxDescriptors = 2 + maxInboundStreams + maxOutboundStreams

// transportConfig is what a transport is opened with.
type transportConfig struct {
	address  string // for both sockets
	fleet    uint64
	process  uint64
	sequence *atomic.Uint64    // of the process, over all its transports
	dial     map[string]string // by name: addresses for peers that differ from the advertised ones
	drops    *DropCounters
}

// transport carries memberlist's packets and streams in frames.
type transport struct {
	transportConfig
	packetsSent atomic.Int64
	bytesSent   atomic.Int64 // streams left out

	udp      *net.UDPConn
	tcp      *net.TCPListener
	packets  chan *memberlist.Packet // to memberlist, from readPackets
	streams  chan net.Conn           // to memberlist, from openInbound
	inbound  streamSlots
	outbound streamSlots

	limiter *rate.Limiter // of packets read
	replays replayGuard   // only readPackets uses it

	goroutines sync.WaitGroup
	closed     chan struct{}
	closeOnce  sync.Once
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// listenTransport opens both sockets at one address. Its goroutines end with Shutdown.
func listenTransport(cfg transportConfig) (*transport, error) {
	udp, tcp, err := listenBoth(cfg.address)
	if err != nil {
		return nil, err
	}
	t := &transport{
		transportConfig: cfg,
		udp:             udp,
		tcp:             tcp,
		packets:         make(chan *memberlist.Packet, packetQueueSize),
		streams:         make(chan net.Conn),
		inbound:         make(streamSlots, maxInboundStreams),
		outbound:        make(streamSlots, maxOutboundStreams),
		limiter:         rate.NewLimiter(maxPacketRate, packetBurst),
		replays:         newReplayGuard(),
		closed:          make(chan struct{}),
	}
	t.goroutines.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

// listenBoth listens at one port over UDP and TCP.
func listenBoth(address string) (*net.UDPConn, *net.TCPListener, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, err
	}
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		return nil, nil, err
	}
	at.Port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := net.ListenUDP("udp4", at)
	if err != nil {
		tcp.Close()
		return nil, nil, err
	}
	return udp, tcp, nil
}

func (t *transport) addr() string { return t.tcp.Addr().String() }

func (t *transport) sent() (packets, bytes int64) {
	return t.packetsSent.Load(), t.bytesSent.Load()
}

// FinalAdvertiseAddr is the address that peers are given.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP.To4(), at.Port, nil
}

// dialAddress is where this process reaches a member: its own address for the name, or the advertised one.
func (t *transport) dialAddress(to memberlist.Address) string {
	if own := t.dial[nameOf(to.Name)]; own != "" {
		return own
	}
	return to.Addr
}

// newFrame is a frame of this process with the next sequence number.
func (t *transport) newFrame(kind frameKind, payload []byte) frame {
	return frame{
		kind:     kind,
		fleet:    t.fleet,
		process:  t.process,
		sequence: t.sequence.Add(1),
		payload:  payload,
	}
}

// WriteToAddress sends one packet.
func (t *transport) WriteToAddress(payload []byte, to memberlist.Address) (time.Time, error) {
	address, err := net.ResolveUDPAddr("udp4", t.dialAddress(to))
	if err != nil {
		return time.Time{}, err
	}
	f := t.newFrame(framePacket, payload)
	packet := f.append(make([]byte, 0, frameHeaderSize+len(payload)))
	t.packetsSent.Add(1)
	t.bytesSent.Add(int64(len(packet)))
	_, err = t.udp.WriteToUDP(packet, address)
	return time.Now(), err
}

// WriteTo sends one packet to an address without a name.
func (t *transport) WriteTo(payload []byte, address string) (time.Time, error) {
	return t.WriteToAddress(payload, memberlist.Address{Addr: address})
}

// PacketCh gives the packets that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// readPackets reads packets until the transport is shut down.
func (t *transport) readPackets() {
	defer t.goroutines.Done()
	buffer := make([]byte, readBufferSize)
	for {
		n, from, err := t.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // an earlier packet met a closed port
		case err != nil: // of the system's; it may stay
			if !t.pause() {
				return
			}
			continue
		}
		t.receivePacket(buffer[:n], from)
	}
}

// receivePacket hands one packet to memberlist, or drops and counts it.
func (t *transport) receivePacket(data []byte, from net.Addr) {
	if !t.limiter.Allow() {
		t.drops.Flood.Add(1)
		return
	}
	f, err := t.parsePacket(data)
	if err != nil {
		t.drops.count(err)
		return
	}
	packet := &memberlist.Packet{
		Buf:       append([]byte(nil), f.payload...),
		From:      from,
		Timestamp: time.Now(),
	}
	select {
	case t.packets <- packet:
	default:
		t.drops.Full.Add(1)
	}
}

// parsePacket checks one packet, its sender's sequence number included.
func (t *transport) parsePacket(data []byte) (frame, error) {
	if len(data) > maxPacketSize+frameHeaderSize {
		return frame{}, errOversized
	}
	f, err := parseFrame(data, t.fleet)
	if err != nil {
		return f, err
	}
	if f.kind != framePacket {
		return f, errMalformed
	}
	if !t.replays.accept(f.process, f.sequence) {
		return f, errReplayed
	}
	return f, nil
}

// pause waits after an error; false: the transport is shut down.
func (t *transport) pause() bool {
	select {
	case <-time.After(errorPause):
		return true
	case <-t.closed:
		return false
	}
}

// Shutdown closes both sockets and waits for the goroutines that read them.
func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.closed)
		_ = t.udp.Close() // nothing is left to do where one of them fails
		t.tcp.Close()
	})
	t.goroutines.Wait()
	return nil
}
