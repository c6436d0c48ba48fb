package testbed

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	maxSources        = 64               // maximum number of senders for which a UDP link keeps a socket
	sourceIdleTimeout = 30 * time.Second // a sender's socket is closed after this time without a reply
	maxDatagramSize   = 64 << 10
)

// udpLink is a UDP proxy: it forwards datagrams to the target, and the target's replies back to the senders.
type udpLink struct {
	toTarget, toSender *direction
	conn               *net.UDPConn
	target             *net.UDPAddr
	done               chan struct{}
	goroutines         sync.WaitGroup // goroutines that close waits for

	mu        sync.Mutex
	sources   map[string]*net.UDPConn // sockets connected to the target, by the sender's address
	reordered map[*direction]func()   // functions that send the datagram held back until after the next one
}

func newUDPLink(listen, target string, toTarget, toSender *direction) (*udpLink, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	l := &udpLink{
		toTarget:  toTarget,
		toSender:  toSender,
		conn:      conn,
		target:    to,
		done:      make(chan struct{}),
		sources:   map[string]*net.UDPConn{},
		reordered: map[*direction]func(){},
	}
	l.goroutines.Add(1)
	go l.forward()
	return l, nil
}

// addr returns the address that senders use.
func (l *udpLink) addr() string { return l.conn.LocalAddr().String() }

// close closes the link's sockets and waits for its goroutines.
func (l *udpLink) close() {
	close(l.done)
	closeQuietly(l.conn)
	l.mu.Lock()
	for _, c := range l.sources {
		closeQuietly(c)
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

// forward forwards datagrams to the target until the link is closed. As on any network, a datagram that cannot be sent
// is lost.
func (l *udpLink) forward() {
	defer l.goroutines.Done()
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := l.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if out := l.source(from); out != nil {
			l.send(l.toTarget, slices.Clone(buf[:n]), func(b []byte) { _, _ = out.Write(b) })
		}
	}
}

// source returns the socket through which a sender's datagrams go to the target. It opens one for a new sender, and
// returns nil if there are maxSources already or the socket cannot be opened.
func (l *udpLink) source(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.sources[from.String()]
	if out != nil || len(l.sources) >= maxSources {
		return out
	}
	out, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil
	}
	l.sources[from.String()] = out
	l.goroutines.Add(1)
	go l.forwardReplies(out, from)
	return out
}

// forwardReplies forwards the target's replies to a sender until none has come for sourceIdleTimeout.
func (l *udpLink) forwardReplies(out *net.UDPConn, to *net.UDPAddr) {
	defer l.goroutines.Done()
	defer closeQuietly(out)
	buf := make([]byte, maxDatagramSize)
	for {
		_ = out.SetReadDeadline(time.Now().Add(sourceIdleTimeout)) // fails only on a closed socket, and then so does the read
		n, err := out.Read(buf)
		var timeout net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
			break
		}
		if err == nil { // another error means that the target's port is closed for now
			l.send(l.toSender, slices.Clone(buf[:n]), func(b []byte) { _, _ = l.conn.WriteToUDP(b, to) })
		}
	}
	l.mu.Lock()
	delete(l.sources, to.String())
	l.mu.Unlock()
}

// send sends one datagram subject to the condition of its direction: it may be lost, delayed, duplicated or held back
// until after the next one.
func (l *udpLink) send(d *direction, data []byte, write func([]byte)) {
	if d.undisturbed.Load() {
		write(data)
		return
	}
	c, _ := d.get()
	if c.Cut || rand.Float64() < c.Loss {
		return
	}
	sendThis := func() { write(data) }
	l.mu.Lock()
	delayed := l.reordered[d]
	if delayed == nil && rand.Float64() < c.Reorder {
		l.reordered[d] = sendThis
		l.mu.Unlock()
		return
	}
	delete(l.reordered, d)
	l.mu.Unlock()
	out := []func(){sendThis}
	if delayed != nil {
		out = append(out, delayed)
	}
	if rand.Float64() < c.Dup {
		out = append(out, sendThis)
	}
	for _, send := range out {
		l.sendAfter(c, send)
	}
}

// sendAfter sends a datagram after the delay and jitter of a condition, unless the link is closed by then.
func (l *udpLink) sendAfter(c LinkCondition, send func()) {
	wait := c.Delay
	if c.Jitter > 0 {
		wait += rand.N(c.Jitter)
	}
	if wait <= 0 {
		send()
		return
	}
	time.AfterFunc(wait, func() {
		select {
		case <-l.done:
		default:
			send()
		}
	})
}
