package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const smallSocketBuffer = 32 << 10

// startReader starts a server with a small receive buffer that reads a piece of each connection in every interval. It
// returns its address and the number of bytes that it has read.
func startReader(t *testing.T, piece int, interval time.Duration) (addr string, read *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	read = new(atomic.Int64)
	go func() { // ends with the listener
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(smallSocketBuffer)
			go func() { // ends with the connection
				defer c.Close()
				for b := make([]byte, piece); ; time.Sleep(interval) {
					n, err := c.Read(b)
					read.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), read
}

// Guards against a client that waits for its answer until long after its time, because its server reads a long request
// slowly: the time counts from the last byte that the client has written, and not from the last one that the node has
// passed on. The server cannot have run a request that it has not read, so that the client may send it again.
func TestSlowServerDoesNotExtendTheTimeOfARequest(t *testing.T) {
	const (
		budget    = 2 * time.Second
		lostAfter = 500 * time.Millisecond
	)
	body := randomBody(1 << 20)
	for name, request := range map[string]string{
		"length": requestText("unsafe", "1", body),
		"chunked": requestText("unsafe", "1", "", "Transfer-Encoding: chunked") +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, read := startReader(t, 16<<10, 100*time.Millisecond) // 6 s for the whole body
			cfg := testConfig(t, "pushed", inService("s-0", addr))
			cfg.Discovery = silentDiscovery(t)
			n := start(t, cfg, func(n *Node) {
				n.pool.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
					return raw.Control(func(fd uintptr) {
						_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, smallSocketBuffer)
					})
				}
			})
			c := dialNode(t, n)
			write(t, c, strings.Replace(request, "X-Budget: 30000m", fmt.Sprintf("X-Budget: %dm", budget.Milliseconds()), 1))
			written := time.Now()
			status := readStatusFrom(bufio.NewReader(c))
			if took := time.Since(written); status != http.StatusServiceUnavailable || took > budget+lostAfter {
				t.Errorf("got status %d after %v, want 503 at most %v after the last byte", status, took, budget+lostAfter)
			}
			if read.Load() >= int64(len(body)) {
				t.Error("the server has read the whole request, want it to be given up before")
			}
		})
	}
}

// Guards against a long request that is given up though its client is still writing it: the client's time begins only
// with its last byte, however long its server takes to read the others.
func TestTimeBeginsWithTheLastByte(t *testing.T) {
	t.Parallel()
	const budget = 3 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		slow := &slowReader{Reader: c, pause: 40 * time.Millisecond}
		r, err := http.ReadRequest(bufio.NewReaderSize(slow, 256<<10))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			respond(c, "200 OK", "done")
		}
	}()
	cfg := testConfig(t, "pushed", inService("s-0", ln.Addr().String()))
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg)
	r := newRequest(t, n.url, "unsafe", "1", strings.Repeat("x", 31<<20)) // 4.8 s at the pace of the server
	r.Header.Set("X-Budget", fmt.Sprint(budget.Milliseconds(), "m"))
	began := time.Now()
	if status, _, _ := do(t, r); status != http.StatusOK {
		t.Errorf("got status %d after %v, want 200", status, time.Since(began))
	}
}

// slowReader pauses before each read.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (r *slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(b)
}

// The earliest time of a client's last byte moves on with what proves that it was not written before: a read that had
// to wait, more arrived bytes than the client's kernel can have held, and more missing ones than it can hold now.
func TestBodyClock(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, tc := range map[string]struct {
		play func(*bodyClock) time.Time
		want time.Time
	}{
		"nothing known": {func(c *bodyClock) time.Time { return c.earliestEnd(at(3), 1000, -1) }, at(0)},
		"a read waited": {func(c *bodyClock) time.Time {
			c.recordRead(1000, false, at(1))
			c.recordRead(1000, true, at(2))
			c.recordRead(1000, false, at(3))
			return c.earliestEnd(at(4), 1000, -1)
		}, at(2)},
		"much is missing": {func(c *bodyClock) time.Time {
			return c.earliestEnd(at(3), 1000, 1001+maxClientSendBuffer)
		}, at(3)},
		"the rest may be in the client's buffer": {func(c *bodyClock) time.Time {
			return c.earliestEnd(at(3), 1000, 1000+maxClientSendBuffer)
		}, at(0)},
		"much has arrived since": {func(c *bodyClock) time.Time {
			c.recordRead(maxClientSendBuffer, false, at(1))
			c.earliestEnd(at(2), 1, -1)
			c.recordRead(maxClientSendBuffer, false, at(3))
			return c.earliestEnd(at(4), 2, -1)
		}, at(2)},
	} {
		c := &bodyClock{}
		c.start(start)
		if got := tc.play(c); !got.Equal(tc.want) {
			t.Errorf("%s: %v after the start, want %v", name, got.Sub(start), tc.want.Sub(start))
		}
	}
}
