package testbed

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// gateMode is how a listener treats new connections.
type gateMode int

const (
	gateOpen   gateMode = iota
	gateRefuse          // as of a dead process: connections are refused at once
	gateSilent          // as of a vanished machine: connections never come up, and open ones are silent
)

const backlog = 512

// gate is a listener that can refuse connections or fall silent, and come back at the same address. Silence is made
// by a full accept queue: the kernel then drops connection requests, so that they neither come up nor fail.
type gate struct {
	addr     string
	accepted chan net.Conn
	done     chan struct{}
	owned    sync.WaitGroup

	mu       sync.Mutex
	mode     gateMode
	listener *net.TCPListener // nil while refusing
	fillers  map[string]net.Conn
	conns    map[*gatedConn]struct{}
	thawed   chan struct{} // closed while not silent
}

// newGate opens a gate; port 0 picks one, kept from then on.
func newGate(addr string) (*gate, error) {
	g := &gate{addr: addr, accepted: make(chan net.Conn), done: make(chan struct{}), fillers: map[string]net.Conn{},
		conns: map[*gatedConn]struct{}{}, thawed: make(chan struct{})}
	close(g.thawed)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.addr = g.listener.Addr().String()
	return g, nil
}

func (g *gate) listen() error {
	listener, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	g.listener = listener.(*net.TCPListener)
	g.owned.Add(1)
	go g.take(g.listener)
	return nil
}

// take accepts until its listener is closed.
func (g *gate) take(listener *net.TCPListener) {
	defer g.owned.Done()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // silent, or out of descriptors for a moment
			g.mu.Lock()
			thawed := g.thawed
			g.mu.Unlock()
			select {
			case <-thawed:
				time.Sleep(time.Millisecond)
				continue
			case <-g.done:
				return
			}
		}
		g.mu.Lock()
		if f := g.fillers[c.RemoteAddr().String()]; f != nil {
			delete(g.fillers, c.RemoteAddr().String())
			g.mu.Unlock()
			f.Close()
			c.Close()
			continue
		}
		gc := &gatedConn{Conn: c, gate: g, closed: make(chan struct{})}
		g.conns[gc] = struct{}{}
		g.mu.Unlock()
		select {
		case g.accepted <- gc:
		case <-g.done:
			closeQuietly(gc)
			return
		}
	}
}

// set changes the mode. It returns once the new mode is in force.
func (g *gate) set(mode gateMode) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
		return net.ErrClosed
	default:
	}
	if mode == g.mode {
		return nil
	}
	if g.mode == gateSilent {
		if g.listener != nil {
			setBacklog(g.listener, backlog)
			_ = g.listener.SetDeadline(time.Time{}) // fails only on a closed listener
		}
		close(g.thawed)
	}
	g.mode = mode
	switch mode {
	case gateOpen:
		if g.listener == nil {
			return g.listen()
		}
	case gateRefuse:
		g.listener.Close()
		g.listener = nil
	case gateSilent:
		g.thawed = make(chan struct{})
		if g.listener == nil {
			if err := g.listen(); err != nil {
				return err
			}
		}
		_ = g.listener.SetDeadline(time.Now())
		setBacklog(g.listener, 0)
		for range 4 { // a queue of length 0 holds one
			c, err := net.DialTimeout("tcp", g.addr, 10*time.Millisecond)
			if err != nil {
				break
			}
			g.fillers[c.LocalAddr().String()] = c
		}
	}
	return nil
}

func setBacklog(listener *net.TCPListener, n int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails only on a closed listener
}

// refuse rejects new connections; open ones stay.
func (g *gate) refuse() { _ = g.set(gateRefuse) } // fails only at the testbed's end

// reset ends all open connections by a reset.
func (g *gate) reset() {
	g.mu.Lock()
	var all []*gatedConn
	for c := range g.conns {
		all = append(all, c)
	}
	g.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

var _ net.Listener = (*gate)(nil)

// Accept waits for the next connection; the gate's end is net.ErrClosed.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case c := <-g.accepted:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close ends the gate and resets its connections. It never fails.
func (g *gate) Close() error {
	g.mu.Lock()
	select {
	case <-g.done:
		g.mu.Unlock()
		return nil
	default:
	}
	close(g.done)
	if g.listener != nil {
		g.listener.Close()
	}
	for _, f := range g.fillers {
		f.Close()
	}
	g.mu.Unlock()
	g.reset()
	g.owned.Wait()
	return nil
}

// Addr returns the address, also while the gate refuses connections.
func (g *gate) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", g.addr)
	return a
}

// gatedConn neither reads nor writes while its gate is silent.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func (c *gatedConn) hold() error {
	c.gate.mu.Lock()
	thawed := c.gate.thawed
	c.gate.mu.Unlock()
	select {
	case <-thawed:
		return nil
	default:
	}
	select {
	case <-thawed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.hold(); err != nil {
		return 0, err
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.hold(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close of a silent connection does not reach the peer before the silence ends.
func (c *gatedConn) Close() (err error) {
	c.once.Do(func() {
		close(c.closed)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		thawed := c.gate.thawed
		c.gate.mu.Unlock()
		select {
		case <-thawed:
			err = c.Conn.Close()
		default:
			c.gate.owned.Add(1)
			go func() {
				defer c.gate.owned.Done()
				select {
				case <-thawed:
				case <-c.gate.done:
				}
				c.Conn.Close()
			}()
		}
	})
	return err
}

func (c *gatedConn) reset() {
	reset(c.Conn)
	closeQuietly(c)
}

// reset ends a connection so that the peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	closeQuietly(c)
}
