package testbed

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // until either side ends
			}()
		}
	}()
	return ln.Addr().String()
}

// newLink returns a link to an echo server, and the link's direction from the server to the client.
func newLink(t *testing.T) (l *tcpLink, toClient *direction) {
	t.Helper()
	toClient = newDirection()
	l, err := newTCPLink("127.0.0.1:0", startEchoServer(t), newDirection(), toClient)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return l, toClient
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A reset of a link while data is on its way must reach the client as a reset, not as a clean end, and the link must
// take new connections afterwards.
func TestLinkResetInMidBody(t *testing.T) {
	l, toClient := newLink(t)
	c := dial(t, l.gate.addr)
	toClient.set(LinkCondition{Rate: 100_000})
	// The write completes at once; at this rate the echo takes 1 s.
	if _, err := c.Write(make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	l.gate.reset()
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after a reset of the link: got error %v, want a connection reset", err)
	}
	toClient.set(LinkCondition{})
	c = dial(t, l.gate.addr)
	writeText(t, c, "hello")
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		t.Errorf("echo on a new connection after the reset: %v", err)
	}
}

// A cut in one direction must hold back only that direction, without an error, and block new connections. After the cut
// the held data must be delivered and new connections must succeed.
func TestLinkCutOneWay(t *testing.T) {
	l, toClient := newLink(t)
	c := dial(t, l.gate.addr)
	toClient.set(LinkCondition{Cut: true})
	l.conditionsChanged()
	writeText(t, c, "hello")
	check(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	if n, err := c.Read(make([]byte, 5)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read through the cut: got %d bytes and error %v, want 0 bytes and a time-out", n, err)
	}
	if c, err := net.DialTimeout("tcp", l.gate.addr, 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection was established through the cut")
	}
	toClient.set(LinkCondition{})
	l.conditionsChanged()
	check(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Errorf("echo after the cut: got %q and error %v, want \"hello\"", got, err)
	}
	dial(t, l.gate.addr)
}

// Of 4,000 datagrams the shares that are lost and duplicated must match the condition within five standard deviations,
// and at least a third of those to be reordered must arrive out of order.
func TestUDPLinkLosesDoublesAndReorders(t *testing.T) {
	const n, loss, dup, reorder = 4000, 0.2, 0.1, 0.1
	server, client, toServer := newUDPTestLink(t)
	exchangePingPong(t, client, server)
	toServer.set(LinkCondition{Loss: loss, Dup: dup, Reorder: reorder})
	seen := datagramCounts{received: map[int]int{}, last: -1}
	for i := range n {
		writeText(t, client, strconv.Itoa(i))
		if i%20 == 19 {
			seen.readAll(t, server)
		}
	}
	checkShare := func(what string, got int, p float64) {
		t.Helper()
		if d := 5 * math.Sqrt(n*p*(1-p)); math.Abs(float64(got)-n*p) > d {
			t.Errorf("%s: %d of %d datagrams, want %.0f with a tolerance of %.0f", what, got, n, n*p, d)
		}
	}
	checkShare("lost", n-len(seen.received), loss)
	checkShare("doubled", seen.duplicated, dup*(1-loss)*(1-reorder/2)) // a reordered datagram is not duplicated
	if float64(seen.outOfOrder) < n*reorder*(1-loss)/3 {
		t.Errorf("%d datagrams arrived out of order, fewer than a third of those to be reordered", seen.outOfOrder)
	}
}

// newUDPTestLink returns the sockets at both ends of a UDP link, and the direction from the client to the server.
func newUDPTestLink(t *testing.T) (server *net.UDPConn, client net.Conn, toServer *direction) {
	t.Helper()
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(server) })
	toServer = newDirection()
	l, err := newUDPLink("127.0.0.1:0", server.LocalAddr().String(), toServer, newDirection())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	client, err = net.Dial("udp", l.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(client) })
	return server, client, toServer
}

// exchangePingPong sends one datagram through a link and one back, and checks that both arrive.
func exchangePingPong(t *testing.T, client net.Conn, server *net.UDPConn) {
	t.Helper()
	buf := make([]byte, 100)
	writeText(t, client, "ping")
	check(t, server.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, from, err := server.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := server.WriteToUDP([]byte("pong"), from); err != nil {
		t.Fatal(err)
	}
	check(t, client.SetReadDeadline(time.Now().Add(waitTimeout)))
	if k, err := client.Read(buf); err != nil || string(buf[:k]) != "pong" {
		t.Fatalf("reply through the link: got %q and error %v, want \"pong\"", buf[:k], err)
	}
}

// datagramCounts counts the datagrams that arrive; each carries its number.
type datagramCounts struct {
	received   map[int]int // arrivals by number
	duplicated int
	outOfOrder int
	last       int // highest number so far
}

// readAll reads datagrams until none has come for 2 ms.
func (c *datagramCounts) readAll(t *testing.T, server *net.UDPConn) {
	t.Helper()
	buf := make([]byte, 100)
	check(t, server.SetReadDeadline(time.Now().Add(2*time.Millisecond)))
	for {
		k, err := server.Read(buf)
		if err != nil {
			return
		}
		x, err := strconv.Atoi(string(buf[:k]))
		check(t, err)
		c.received[x]++
		if c.received[x] > 1 {
			c.duplicated++
		}
		if x < c.last {
			c.outOfOrder++
		}
		c.last = max(c.last, x)
	}
}
