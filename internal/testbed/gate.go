package testbed

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// gateMode is how a gate treats new connections.
type gateMode int

const (
	gateOpen   gateMode = iota
	gateRefuse          // connections are refused at once, as after the exit of a process
	gateSilent          // connection attempts time out and open connections stall, as if the machine were off the network
)

const (
	backlog       = 512 // length of the accept queue while the gate is open
	maxFillers    = 50  // attempts to fill the accept queue; one of length 0 still holds one connection
	fillerTimeout = 10 * time.Millisecond
)

// gate is a listener that can refuse connections or fall silent, and open again at the same address. While it is silent
// its accept queue is full: the kernel then drops SYN packets, so that connection attempts neither succeed nor fail.
type gate struct {
	addr       string
	accepted   chan net.Conn
	done       chan struct{}
	goroutines sync.WaitGroup // goroutines that Close waits for
	accepting  sync.Mutex     // held during each call of the listener's Accept; locked after mu if both are

	mu           sync.Mutex
	mode         gateMode
	listener     *net.TCPListener    // nil while refusing
	queueFillers map[string]net.Conn // connections that fill the accept queue, by their local address
	conns        map[*gatedConn]struct{}
	unsilenced   chan struct{} // closed while not silent
}

// newGate opens a gate. With port 0 the kernel picks a port, which the gate then keeps.
func newGate(addr string) (*gate, error) {
	g := &gate{addr: addr, accepted: make(chan net.Conn), done: make(chan struct{}), queueFillers: map[string]net.Conn{},
		conns: map[*gatedConn]struct{}{}, unsilenced: make(chan struct{})}
	close(g.unsilenced)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.addr = g.listener.Addr().String()
	return g, nil
}

// listen opens the listener and starts to accept connections. g.mu must be held unless the gate is new.
func (g *gate) listen() error {
	listener, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	g.listener = listener.(*net.TCPListener)
	g.goroutines.Add(1)
	go g.acceptLoop(g.listener)
	return nil
}

// acceptLoop accepts connections until the listener is closed, and passes them to Accept.
func (g *gate) acceptLoop(listener net.Listener) {
	defer g.goroutines.Done()
	for {
		g.accepting.Lock()
		c, err := listener.Accept()
		g.accepting.Unlock()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the deadline that a silent gate sets, or a temporary lack of file descriptors
			g.mu.Lock()
			unsilenced := g.unsilenced
			g.mu.Unlock()
			select {
			case <-unsilenced:
				time.Sleep(time.Millisecond)
				continue
			case <-g.done:
				return
			}
		}
		g.mu.Lock()
		if f := g.queueFillers[c.RemoteAddr().String()]; f != nil {
			delete(g.queueFillers, c.RemoteAddr().String())
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

// set changes the mode, and returns once the new mode is in effect.
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
		close(g.unsilenced)
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
		g.unsilenced = make(chan struct{})
		if g.listener == nil {
			if err := g.listen(); err != nil {
				return err
			}
		}
		_ = g.listener.SetDeadline(time.Now())
		g.accepting.Lock() // a call of Accept that has begun may still take a connection out of the queue
		defer g.accepting.Unlock()
		setBacklog(g.listener, 0)
		g.fillQueue(func() (net.Conn, error) { return net.DialTimeout("tcp", g.addr, fillerTimeout) })
	}
	return nil
}

// fillQueue opens connections until the accept queue is full. A dial may also time out because this process was held
// up, so its failure does not show that the queue is full. g.mu must be held.
func (g *gate) fillQueue(dial func() (net.Conn, error)) {
	for range maxFillers {
		if acceptQueueFull(g.listener) {
			return
		}
		if c, err := dial(); err == nil {
			g.queueFillers[c.LocalAddr().String()] = c
		}
	}
}

// setBacklog sets the length of the accept queue of an open listener.
func setBacklog(listener *net.TCPListener, n int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails only on a closed listener
}

// refuse makes the gate refuse new connections; open ones stay.
func (g *gate) refuse() { _ = g.set(gateRefuse) } // fails only if the gate is closed

// reset resets all open connections.
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

// Accept waits for the next connection. It returns net.ErrClosed once the gate is closed.
func (g *gate) Accept() (net.Conn, error) {
	select {
	case c := <-g.accepted:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close closes the gate and resets its connections. It never fails.
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
	for _, f := range g.queueFillers {
		f.Close()
	}
	g.mu.Unlock()
	g.reset()
	g.goroutines.Wait()
	return nil
}

// Addr returns the address, also while the gate refuses connections.
func (g *gate) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", g.addr)
	return a
}

// gatedConn is an accepted connection of a gate. Its reads and writes block while the gate is silent.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

// waitWhileSilent waits while the gate is silent. It returns net.ErrClosed if the connection is closed meanwhile.
func (c *gatedConn) waitWhileSilent() error {
	c.gate.mu.Lock()
	unsilenced := c.gate.unsilenced
	c.gate.mu.Unlock()
	select {
	case <-unsilenced:
		return nil
	default:
	}
	select {
	case <-unsilenced:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.waitWhileSilent(); err != nil {
		return 0, err
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.waitWhileSilent(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection. While the gate is silent the peer does not notice: the socket is closed once the silence
// ends or the gate is closed.
func (c *gatedConn) Close() (err error) {
	c.once.Do(func() {
		close(c.closed)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		unsilenced := c.gate.unsilenced
		c.gate.mu.Unlock()
		select {
		case <-unsilenced:
			err = c.Conn.Close()
		default:
			c.gate.goroutines.Add(1)
			go func() {
				defer c.gate.goroutines.Done()
				select {
				case <-unsilenced:
				case <-c.gate.done:
				}
				c.Conn.Close()
			}()
		}
	})
	return err
}

// reset closes the connection with a TCP reset.
func (c *gatedConn) reset() {
	reset(c.Conn)
	closeQuietly(c)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	closeQuietly(c)
}
