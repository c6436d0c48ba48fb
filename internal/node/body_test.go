package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// longBody is the size in bytes of a body that is streamed.
const longBody = 40 * maxBufferedBody

// randomBody returns a body of n bytes without a pattern, so that a comparison detects a misplaced part.
func randomBody(n int) string {
	b := make([]byte, n)
	for i, x := 0, uint32(1); i < n; i++ {
		x = x*1664525 + 1013904223
		b[i] = byte(x >> 24)
	}
	return string(b)
}

// Guards against bodies that are changed on the way: bodies of all sizes and framings are forwarded unchanged in both
// directions.
func TestBodiesAreForwardedUnchanged(t *testing.T) {
	framings := map[string]func(c net.Conn, body string) bool{
		"length": func(c net.Conn, body string) bool { return respond(c, "200 OK", body) },
		"chunks": func(c net.Conn, body string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for len(body) > 0 {
				n := min(len(body), 1+len(body)%5000)
				_, _ = fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n, body[:n])
				body = body[n:]
			}
			_, err := io.WriteString(c, "0\r\nX-Trailer: 1\r\n\r\n")
			return err == nil
		},
		"close": func(c net.Conn, body string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
			return false
		},
	}
	for name, frame := range framings {
		for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, longBody} {
			body := randomBody(size)
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool { return frame(c, body) })
			n := startWith(t, b)
			for i, chunked := range []bool{false, true, false, true} {
				r := newRequest(t, n.url, "unsafe", fmt.Sprint(i), body)
				if chunked {
					r.ContentLength = -1
				}
				if i > 1 {
					r.Header.Set("Expect", "100-continue")
				}
				status, _, got := do(t, r)
				if status != http.StatusOK || got != body || b.body[i] != body {
					t.Errorf("%s, %d bytes, chunked %v: status %d, the client got %d bytes, the server %d, want 200 and no change",
						name, size, chunked, status, len(got), len(b.body[i]))
				}
			}
		}
	}
}

// Guards against a response that is cut off by its server and looks complete to the client, or is counted as served.
func TestBrokenStreamedResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody),
	} {
		b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+randomBody(longBody/2))
			return false
		})
		n := startWith(t, b)
		resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: the truncated response was read without an error", name)
		}
		eventually(t, "the response is counted as failed", func() bool {
			c := n.loop.metrics.Snapshot()
			return c.Failed["unsafe"] == 1 && c.Succeeded["unsafe"] == 0 && c.InFlight() == 0
		})
	}
}

// Guards against a node that buffers long responses: the first bytes reach the client before the server has sent the
// remainder, and the server cannot write the whole response while the client does not read.
func TestResponsesAreStreamed(t *testing.T) {
	const total = maxStreamedBody - 1
	release := make(chan struct{})
	var written atomic.Int64
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", total)
		_, _ = io.WriteString(c, "first")
		<-release
		piece := make([]byte, 32<<10)
		for left := total - 5; left > 0; {
			n, err := c.Write(piece[:min(left, len(piece))])
			written.Add(int64(n))
			if left -= n; err != nil {
				return false
			}
		}
		return true
	})
	n := startWith(t, b)
	resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" {
		t.Fatalf("first bytes of the response: %q, %v, want \"first\"", first, err)
	}
	close(release)
	var before int64 = -1
	eventually(t, "the server cannot write any more", func() bool {
		was := before
		before = written.Load()
		time.Sleep(50 * time.Millisecond)
		return before > 0 && was == before
	})
	if before == total-5 {
		t.Error("the server could write the whole response before the client read it")
	}
	if rest, err := io.Copy(io.Discard, resp.Body); rest != total-5 || err != nil {
		t.Errorf("remainder of the response: %d bytes, error %v, want all bytes and no error", rest, err)
	}
}

// sendHead opens a connection and sends the head of a request with length as its last header.
func sendHead(t *testing.T, n *runningNode, length string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	write(t, c, requestText("unsafe", c.LocalAddr().String(), "", length))
	setReadTimeout(t, c, 20*time.Second)
	return c
}

// readStatus reads the head of a response and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against timeouts that are too short for slow clients: a client may take 2 s for its head and send its body at
// 64 kB/s.
func TestSlowClientIsServed(t *testing.T) {
	t.Parallel()
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	for _, size := range []int{60e3, 192e3} { // buffered, streamed
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: slow-%d\r\nX-Call-Class: unsafe\r\n"+
				"X-Budget: 30000m\r\nContent-Length: %d\r\n\r\n", size, size)
			for _, part := range []string{head[:10], head[10:50], head[50:]} {
				time.Sleep(400 * time.Millisecond)
				write(t, c, part)
			}
			for begin, left := time.Now(), size; left > 0; left -= 6400 {
				write(t, c, strings.Repeat("x", min(left, 6400)))
				time.Sleep(time.Until(begin.Add(time.Duration(size-left+6400) * time.Second / 64000)))
			}
			setReadTimeout(t, c, 20*time.Second)
			if got := readStatus(t, c); got != http.StatusOK {
				t.Errorf("the slow client got status %d, want 200", got)
			}
		})
	}
}

// Guards against clients that occupy a connection or a server after they have stopped sending a long body. Such a
// client gets an error or a close within 3 s, and no server gets a complete request.
func TestStalledBodyIsRejected(t *testing.T) {
	t.Parallel()
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	for _, length := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		t.Run(length, func(t *testing.T) {
			t.Parallel()
			begin := time.Now()
			c := sendHead(t, n, length)
			if length[0] == 'T' {
				write(t, c, "f4240\r\n")
			}
			write(t, c, "half")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && (resp.StatusCode < 400 || resp.StatusCode > 499) {
				t.Errorf("the client got status %d, want 4xx or a close", resp.StatusCode)
			} else if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection was neither answered nor closed")
			}
			if took := time.Since(begin); took > 2900*time.Millisecond {
				t.Errorf("the client got a response or a close after %v, want 2.9s at most", took)
			}
			if got := b.requests(); got != 0 {
				t.Errorf("the server got %d complete requests, want none", got)
			}
		})
	}
}

// Guards against retries of a streamed body that has been consumed in part: such a request is answered with 503 at
// once, since it was not executed. While no byte of the body has been consumed, the request is retried with another
// server.
func TestStreamedBodyIsRetriedOnlyIfUnconsumed(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	good := newBackend(t, serveOK)
	cfg := testConfig(t, "pushed", inService("s-0", refusing.Addr().String()), inService("s-1", good.addr()))
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg)
	body := randomBody(longBody)
	for i := range 8 { // the policy selects the refusing server for some of these requests
		if got, _, _ := do(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), body)); got != http.StatusOK {
			t.Errorf("a request whose body was not consumed got status %d, want 200", got)
		}
	}
	cutting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cutting.Close()
	var cuts atomic.Int64
	firstCut := make(chan struct{})
	go func() {
		for {
			c, err := cutting.Accept()
			if err != nil {
				return
			}
			count := cuts.Add(1)
			_, _ = io.ReadFull(c, make([]byte, maxBufferedBody))
			c.Close()
			if count == 1 {
				close(firstCut)
			}
		}
	}()
	cfg = testConfig(t, "pushed", inService("s-0", cutting.Addr().String()), inService("s-1", cutting.Addr().String()))
	cfg.Discovery = silentDiscovery(t)
	n = start(t, cfg)
	c := sendHead(t, n, fmt.Sprintf("Content-Length: %d", longBody))
	go func() { // returns when the node has closed the connection
		_, _ = io.WriteString(c, body[:longBody-1])
		<-firstCut // keeps the body incomplete: socket buffers may take all its bytes before the server closes
		_, _ = io.WriteString(c, body[longBody-1:])
	}()
	if got := readStatus(t, c); got != http.StatusServiceUnavailable {
		t.Errorf("the request whose body was partly consumed got status %d, want 503", got)
	}
	if got := cuts.Load(); got != 1 {
		t.Errorf("the request was sent %d times, want once", got)
	}
}

// Guards against memory that is reserved beyond the budget or never released. A body for which no memory is left is
// streamed unchanged.
func TestMemoryBudgetsHold(t *testing.T) {
	const length = 2 * minChunkSize // over what is buffered without a reservation
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", randomBody(length)) })
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	const memory = length * 3 / 2 // for one body of either direction
	n := start(t, cfg, func(n *Node) {
		n.buffers.requests.available.Store(memory)
		n.buffers.responses.available.Store(memory)
	})
	done := make(chan error)
	for i := range 20 {
		r := newRequest(t, n.url, "keyed", fmt.Sprint(i), randomBody(length))
		go func() {
			resp, err := http.DefaultClient.Do(r)
			if err == nil {
				var got []byte
				if got, err = io.ReadAll(resp.Body); err == nil && !bytes.Equal(got, []byte(randomBody(length))) {
					err = errors.New("the body was changed on the way")
				}
				resp.Body.Close()
			}
			done <- err
		}()
	}
	for range 20 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	eventually(t, "all memory is released", func() bool {
		return n.buffers.requests.available.Load() == memory && n.buffers.responses.available.Load() == memory
	})
	small := newMemoryBudget(10)
	reservation := small.reserve(8)
	if reservation == nil || small.reserve(3) != nil {
		t.Error("reservations of a budget of 10 bytes: 8 bytes failed, or 3 more succeeded")
	}
	small.rescale(1, 2)
	if reservation.release(); small.reserve(6) != nil || small.reserve(5) == nil {
		t.Error("reservations of a budget halved to 5 bytes: 6 bytes succeeded, or 5 failed")
	}
}

// Guards against a reset that loses a rejection: a client that is rejected while its body still arrives gets the
// response at once, and may send the whole body.
func TestRejectedClientMayFinishItsBody(t *testing.T) {
	t.Parallel()
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	b.ln.Close()
	c := sendHead(t, n, fmt.Sprintf("Content-Length: %d", maxBufferedBody+256000))
	write(t, c, string(make([]byte, maxBufferedBody))) // the node reads this many before the request is passed to the loop
	begin := time.Now()
	if got := readStatus(t, c); got != http.StatusServiceUnavailable {
		t.Errorf("the client got status %d, want 503", got)
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the client got the response after %v, want 1s at most", took)
	}
	for left := 256000; left > 0; left -= 6400 {
		if _, err := c.Write(make([]byte, 6400)); err != nil {
			t.Fatalf("connection closed with %d bytes of the body left: %v", left, err)
		}
		time.Sleep(time.Until(begin.Add(time.Duration(256000-left+6400) * time.Second / 64000)))
	}
	if rest, err := io.ReadAll(c); err != nil {
		t.Errorf("after the response: %q, %v, want a close", rest, err)
	}
}
