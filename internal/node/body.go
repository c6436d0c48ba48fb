package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Bodies of up to maxBody are held whole: those of requests can then be sent again, those of answers are known to
// be whole before a byte of them is passed on. Longer ones pass through buffers of a fixed size, one a connection
// and direction, so that a slow peer slows the other side down and holds nothing else.
const (
	maxStreamedBody = 32 << 20 // of a body that passes through
	minBodyRate   = 64e3     // bytes a second that clients' bodies come with at least

	maxBodyReadGap = 2300 * time.Millisecond // between two pieces: a client that stops is owed an error or a close in 3 s
)

// memoryBudget bounds the sum of what is held whole. It never makes anyone wait: a body for which there is no room
// passes through.
type memoryBudget struct {
	total int
	available  atomic.Int64 // below 0: what is out is over a whole that has become smaller
}

func newMemoryBudget(n int) *memoryBudget {
	b := &memoryBudget{total: n}
	b.available.Store(int64(n))
	return b
}

// rescale makes it a part of the whole. The parts are those of processes that rescale a limit.
func (b *memoryBudget) rescale(was, now int) { b.available.Add(int64(b.total/now - b.total/was)) }

// reserve reserves n bytes; nil: there is no room.
func (b *memoryBudget) reserve(n int) *memoryReservation {
	if b.available.Add(int64(-n)) < 0 {
		b.available.Add(int64(n))
		return nil
	}
	return &memoryReservation{budget: b, size: n}
}

// memoryReservation is a reserved part of a budget. One owner at a time changes it.
type memoryReservation struct {
	budget *memoryBudget
	size    int
}

// shrink gives back what is over n bytes, all of it for 0.
func (l *memoryReservation) shrink(n int) {
	if l != nil && n < l.size {
		l.budget.available.Add(int64(l.size - n))
		l.size = n
	}
}

// buffers are the sizes that follow from the limits, so that all of them together stay in memory.
type buffers struct {
	requests, responses *memoryBudget
	chunkSize             int // of what passes through, a connection and direction
}

// newBuffers gives an eighth of the memory to each kind.
func newBuffers(memoryMB, connections int) buffers {
	part := memoryMB << 20 / 8
	if memoryMB == 0 {
		part = 32 << 20
	}
	return buffers{requests: newMemoryBudget(part), responses: newMemoryBudget(part),
		chunkSize: min(max(part/(2*connections), 2<<10), 32<<10)}
}

var (
	errBodyTooSlow   = errors.New("the body came too slowly")
	errBodyTooLong   = errors.New("the body is too long")
	errClosed = errors.New("nobody wants the rest of the body")
)

// upload is a body that has not been read whole when its request is taken. It is read at the pace of the server
// it goes to, and given up when it comes slower than callers may send.
type upload struct {
	rc    *http.ResponseController
	body  io.Reader
	first time.Duration // its first bytes are due within it

	mu      sync.Mutex // held during a read
	n       int64
	waited  time.Duration // for the client, over all reads
	err     error
	touched atomic.Bool // some of it was read: it cannot be sent again
	stopped atomic.Bool
}

func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		u.err = errClosed
	}
	if u.err != nil {
		return 0, u.err
	}
	began := time.Now()
	u.expect(began)
	n, err := u.body.Read(b)
	u.waited += time.Since(began)
	if n > 0 {
		u.n += int64(n)
		u.touched.Store(true)
	}
	switch {
	case u.stopped.Load():
		err = errClosed
	case err == io.EOF: // from here on a read only watches for the client's leaving
		u.rc.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errBodyTooSlow
	case u.n > maxStreamedBody:
		err = errBodyTooLong
	}
	u.err = err
	return n, err
}

// stop ends the reading, also one that waits, and says whether the body was read to its end.
func (u *upload) stop() bool {
	u.stopped.Store(true)
	if u.mu.TryLock() { // nobody reads
		defer u.mu.Unlock()
		return u.err == io.EOF
	}
	u.rc.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// expect gives the next bytes the time that a client at the slowest pace may still take, and no longer than one may be
// silent. The time in which the server took nothing is not the client's.
func (u *upload) expect(now time.Time) {
	pace := time.Duration(float64(u.n) / minBodyRate * float64(time.Second))
	left := u.first + pace - u.waited
	if u.n > 0 {
		left = min(left, maxBodyReadGap)
	}
	u.rc.SetReadDeadline(now.Add(left))
}

// discard reads on after stop, as long as the caller keeps the pace: a close before it has written its request would
// reset the connection, and it might not get to read its answer.
func (u *upload) discard() {
	buf := make([]byte, 4<<10)
	for n, err := 0, error(nil); err == nil && u.n < maxStreamedBody; u.n += int64(n) {
		began := time.Now()
		u.expect(began)
		n, err = u.body.Read(buf)
		u.waited += time.Since(began)
	}
}

// failed is why the body could not be read to its end; nil: it was, or it was not tried.
func (u *upload) failed() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// download is an answer that is passed on while it comes. Whoever reads it ends it once.
type download struct {
	conn *conn
	resp *http.Response
	n    int64
	over chan struct{}
	once sync.Once
	err  error // once over: why it is not whole
	ours bool  // once over: the server is not to blame
}

func (d *download) Read(b []byte) (int, error) {
	d.conn.SetReadDeadline(time.Now().Add(d.conn.pool.streamTimeout))
	n, err := d.resp.Body.Read(b)
	if d.n += int64(n); d.n > maxStreamedBody && err == nil {
		err = errBodyTooLong
	}
	return n, err
}

// end says how the passing on went, before the connection is used again.
func (d *download) end(err error, ours bool) {
	d.once.Do(func() {
		d.err, d.ours = err, ours
		if err == nil {
			d.check()
			d.conn.rest()
		}
		close(d.over)
	})
}
