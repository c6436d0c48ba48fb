package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// startSlowServer starts a server that waits before it reads a request, then reads all of it and responds.
func startSlowServer(t *testing.T, wait time.Duration) (addr string) {
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
				time.Sleep(wait)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					respond(c, "200 OK", "done")
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a 408 for a client that is not slow: its long body is ready, and only the server reads it slowly.
func TestSlowServerIsNotBlamedOnClient(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, "pushed", inService("s-0", startSlowServer(t, 4*time.Second)))
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg)
	status, _, text := do(t, newRequest(t, n.url, "unsafe", "1", strings.Repeat("x", 16<<20)))
	if status != http.StatusOK {
		t.Errorf("got status %d, want 200; body: %s", status, text)
	}
}

// Guards against a time limit for the body that is computed from its length only: a client that has sent most of a long
// body and stops gets an error or a close within 3 s, though at the minimum rate its bytes would have taken far longer.
func TestClientStopsWithinLongBody(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int{"of 3 MB": 3 << 20, "of 64 KiB": maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startWith(t, newBackend(t, serveOK))
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			head := requestText("unsafe", "1", "", fmt.Sprint("Content-Length: ", length))
			write(t, c, head+strings.Repeat("x", length-length/16))
			stopped := time.Now()
			setReadTimeout(t, c, 10*time.Second)
			_, err = c.Read(make([]byte, 1))
			if took := time.Since(stopped); errors.Is(err, os.ErrDeadlineExceeded) || took > 3*time.Second {
				t.Errorf("the client's read ended after %v with error %v, want a response or a close after 3s at most",
					took, err)
			}
		})
	}
}

// shutDownWrites makes writes to the node's only connection to a server fail, once that connection is idle.
func shutDownWrites(t *testing.T, p *pool) {
	t.Helper()
	eventually(t, "the connection is idle, and shut down for writes", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.idle.Len() != 1 {
			return false
		}
		toServer := p.idle.Front().Value.(*serverConn).Conn.(*net.TCPConn)
		return toServer.CloseWrite() == nil
	})
}

// Guards against a wait without end: the head of a request with a long body cannot be written, and the server, which
// has seen nothing of it, neither responds nor closes the connection.
func TestFailedWriteOfLongRequestIsAnswered(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	n := startWith(t, newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		respond(c, "200 OK", "done")
		<-ended // the connection stays open
		return false
	}))
	do(t, newRequest(t, n.url, "unsafe", "1", ""))
	shutDownWrites(t, n.pool)
	time.Sleep(300 * time.Millisecond) // after a quiet time the connection is used again
	c := sendHead(t, n, fmt.Sprintf("Content-Length: %d", 3<<20))
	write(t, c, strings.Repeat("x", maxBufferedBody))
	began := time.Now()
	setReadTimeout(t, c, 10*time.Second)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response in %v: %v", time.Since(began), err)
	}
	response.Body.Close()
	if took := time.Since(began); response.StatusCode != http.StatusServiceUnavailable || took > 3*time.Second {
		t.Errorf("got status %d after %v, want 503 after 3s at most", response.StatusCode, took)
	}
}

// Guards against a response that is lost because its server sent it before it had the whole request: the client would
// be told that nothing was executed.
func TestEarlyResponseToLongRequestIsForwarded(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]string{
		"with a length": "Content-Length: 3145728",
		"in chunks":     "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			cfg := testConfig(t, "pushed", inService("s-0", server.Addr().String()))
			cfg.Discovery = silentDiscovery(t)
			n := start(t, cfg)
			c := sendHead(t, n, length)
			const halfChunk = 1 << 19
			if strings.HasSuffix(length, "chunked") {
				write(t, c, fmt.Sprintf("%x\r\n", 2*halfChunk))
			}
			write(t, c, strings.Repeat("x", halfChunk))
			toServer, err := server.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer toServer.Close()
			if _, err := http.ReadRequest(bufio.NewReader(toServer)); err != nil {
				t.Fatal(err)
			}
			respond(toServer, "200 OK", "done")
			time.Sleep(50 * time.Millisecond) // lets the response arrive before the next part of the body
			write(t, c, strings.Repeat("x", halfChunk))
			if got := readStatus(t, c); got != http.StatusOK {
				t.Errorf("got status %d, want the server's 200", got)
			}
		})
	}
}
