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

// Limits of the transport.
const (
	packetQueueSize = 256  // packets queued for memberlist; further ones are dropped
	maxPacketRate   = 4000 // packets per second; further ones are dropped without being parsed
	packetBurst     = 1000 // burst of the rate limit
	maxSenders      = 4096 // processes for which received sequence numbers are recorded
	readBufferSize  = 64 << 10
	errorPause      = 50 * time.Millisecond // after a failed read or accept
)

// MaxDescriptors is the largest number of file descriptors that a mesh uses.
const MaxDescriptors = 2 + maxInboundStreams + maxOutboundStreams

// transportConfig is the configuration of a transport.
type transportConfig struct {
	address  string            // of both sockets
	fleet    uint64            // hash of the fleet's name
	process  uint64            // number of this process
	sequence *atomic.Uint64    // last sequence number sent, shared by all transports of the process
	dial     map[string]string // by member name: addresses to use instead of the advertised ones
	drops    *DropCounters
}

// transport carries memberlist's packets and streams in frames.
type transport struct {
	transportConfig
	packetsSent atomic.Int64
	bytesSent   atomic.Int64 // in packets, with their frames

	udp      *net.UDPConn
	tcp      *net.TCPListener
	packets  chan *memberlist.Packet // to memberlist, from readPackets
	streams  chan net.Conn           // to memberlist, from openInbound
	inbound  streamSlots
	outbound streamSlots

	limiter *rate.Limiter // of received packets
	replays replayGuard   // used only by the goroutine of readPackets

	goroutines sync.WaitGroup
	closed     chan struct{}
	closeOnce  sync.Once
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// listenTransport opens both sockets at one address and starts the transport's goroutines, which Shutdown ends.
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

// listenBoth listens over UDP and TCP at the same port.
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

// FinalAdvertiseAddr returns the address to advertise to peers.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP.To4(), at.Port, nil
}

// dialAddress returns the address at which this process reaches a member: the configured one for its name, otherwise
// the advertised one.
func (t *transport) dialAddress(to memberlist.Address) string {
	if own := t.dial[memberNameOf(to.Name)]; own != "" {
		return own
	}
	return to.Addr
}

// newFrame returns a frame from this process with the next sequence number.
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

// WriteTo sends one packet to an address whose member name is not known.
func (t *transport) WriteTo(payload []byte, address string) (time.Time, error) {
	return t.WriteToAddress(payload, memberlist.Address{Addr: address})
}

// PacketCh returns the channel of received packets.
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
			continue // an earlier packet was sent to a closed port
		case err != nil: // a system error, which may persist
			if !t.pause() {
				return
			}
			continue
		}
		t.receivePacket(buffer[:n], from)
	}
}

// receivePacket passes one packet on to memberlist, or drops and counts it.
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

// parsePacket parses one packet and checks its size, its kind and its sender's sequence number.
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

// pause waits after an error. It returns false if the transport has been shut down.
func (t *transport) pause() bool {
	select {
	case <-time.After(errorPause):
		return true
	case <-t.closed:
		return false
	}
}

// Shutdown closes both sockets and waits for the transport's goroutines to return.
func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.closed)
		_ = t.udp.Close() // nothing is left to do if a close fails
		t.tcp.Close()
	})
	t.goroutines.Wait()
	return nil
}
