// The listener for clients, with a bound on their connections, and which of them makes room.

package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener accepts no more connections at once than it has places. When all are taken, the one that has gone
// longest without a request makes room, else the one whose request has been coming in for longest: clients must not
// wait behind peers that send nothing, half a head or half a body. It makes room by the hand of its own reader, who
// alone knows whether a whole request has come in meanwhile; that one is served, and another connection makes room.
type limitedListener struct {
	net.Listener
	stats     *metrics
	decisions *decisions
	ended     chan struct{} // closed by Close

	mu      sync.Mutex
	freed   *sync.Cond
	most    int
	taken   int
	closed  bool
	cut     atomic.Bool // the node ends: what is open is closed at once
	waiting *list.List  // of *clientConn, without a whole head, the longest first
	coming  *list.List  // of *clientConn, without a whole request, the longest first
	evicted *clientConn // its reader was told to make room; nil: none
}

func newLimitedListener(ln net.Listener, most int, st *metrics, d *decisions) *limitedListener {
	b := &limitedListener{Listener: ln, stats: st, decisions: d, ended: make(chan struct{}), most: most, waiting: list.New(),
		coming: list.New()}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// accept waits for a connection. It fails only where no other can come any more: http.Server.Serve would end, and the
// node with it, on each error that Go does not call temporary, such as ENOBUFS.
func (b *limitedListener) accept() (net.Conn, error) {
	for pause := acceptPauseLeast; ; pause = min(2*pause, acceptPauseMost) {
		c, err := b.Listener.Accept()
		if err == nil || endsListener(err) {
			return c, err
		}
		b.decisions.acceptFailed(err)
		if !isShortage(err) { // of that one connection
			pause = acceptPauseLeast
		}
		select {
		case <-time.After(pause):
		case <-b.ended:
			return nil, net.ErrClosed
		}
	}
}

// Accept waits for a connection and makes room for it.
func (b *limitedListener) Accept() (net.Conn, error) {
	c, err := b.accept()
	if err != nil {
		return nil, err
	}
	b.stats.update(func(c *counters) { c.acceptedConnections++ })
	p := &clientConn{Conn: c, of: b, born: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.taken >= b.most && !b.closed {
		b.makeRoom()
		b.freed.Wait()
	}
	b.taken++
	p.put(b.waiting)
	return p, nil
}

// makeRoom tells the reader of one connection to end it. The caller holds the lock, and waits until that is done or
// the connection has a request: freed is signalled for both.
func (b *limitedListener) makeRoom() {
	e := b.waiting.Front()
	if e == nil {
		e = b.coming.Front()
	}
	if e == nil || b.evicted != nil {
		return
	}
	b.stats.update(func(c *counters) { c.evictedConnections++ })
	b.evicted = e.Value.(*clientConn)
	b.evicted.Conn.SetReadDeadline(longAgo)
}

// Close ends the accepting. What was accepted before is served still.
func (b *limitedListener) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		close(b.ended)
	}
	b.closed = true
	b.freed.Broadcast()
	return b.Listener.Close()
}

// resize changes how many places there are. What is open beyond them stays until it ends.
func (b *limitedListener) resize(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.freed.Broadcast()
}

// track is told by the HTTP server what a connection is doing. That a request has begun to arrive is no reason
// to keep a connection: engage is told when its head is there.
func (b *limitedListener) track(c net.Conn, state http.ConnState) {
	p, ok := c.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.unplace(); !p.closed {
		p.kept, p.freeAt = true, time.Now()
		p.put(b.waiting)
		b.freed.Signal()
	}
}

// clientConnKey finds the connection in the context of its requests.
type clientConnKey struct{}

// connOf is the connection of a request; nil: it has none of ours.
func connOf(r *http.Request) *clientConn {
	p, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return p
}

// engage tells that a request's head is there, hold that all of it is, or that it is on its way to a server: from
// then until it is answered its connection does not make room. Both say whether it is still open: it may have made
// room between the read and this look, and nobody could be answered there.
func engage(r *http.Request) bool {
	p := connOf(r)
	if p == nil {
		return true
	}
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	if p.unplace(); !p.closed {
		p.put(p.of.coming)
		p.of.freed.Signal()
	}
	return !p.closed
}

func hold(r *http.Request) bool {
	p := connOf(r)
	if p == nil {
		return true
	}
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	p.unplace()
	return !p.closed
}

// bodyDue is how soon the first bytes of a request's body have to be there.
func bodyDue(r *http.Request) time.Duration {
	p := connOf(r)
	if p == nil {
		return stallTime
	}
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	if p.kept {
		return stallTime
	}
	return min(stallTime, peerTime-time.Since(p.born))
}

// closeWaiting ends the connections that have been without a request in work for so long. It only tells their readers
// to: nobody else can know that no request has come in meanwhile.
func (b *limitedListener) closeWaiting(age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil && time.Since(e.Value.(*clientConn).since) >= age; e = e.Next() {
		p := e.Value.(*clientConn)
		p.ending = true
		p.Conn.SetReadDeadline(longAgo)
	}
}

// open is how many connections there are.
func (b *limitedListener) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}
