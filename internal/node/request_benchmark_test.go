package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// benchmarkSockets is the limit on sockets. A server connection must be idle for minIdlePeriod between two requests, so
// sequential requests use many connections; the limit allows as many as they use within that period.
const benchmarkSockets = 4096

// benchmarkListener opens a listener on loopback and closes it at the end of the benchmark.
func benchmarkListener(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	return listener
}

// startBenchmarkServer starts a server that answers every request with a short response.
func startBenchmarkServer(b *testing.B) (address string) {
	b.Helper()
	listener := benchmarkListener(b)
	go func() { // returns when the listener is closed
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerRequests(connection)
		}
	}()
	return listener.Addr().String()
}

// answerRequests answers the requests on a connection until the connection ends.
func answerRequests(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}

// startBenchmarkNode starts a node whose only endpoint is the server, and stops it at the end of the benchmark.
func startBenchmarkNode(b *testing.B, server string) (address string) {
	b.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	b.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	known := fmt.Sprintf(`{"seq":1,"whole":true,
	 "hosts":[{"host":"s-0","dial":%q,"site":"z","health":"in_service"}]}`, server)
	cfg, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
	 "seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		discovery.Listener.Addr().String(), benchmarkSockets, known, fmt.Sprintf(settings, "pushed")))
	if err != nil {
		b.Fatal(err)
	}
	n, err := New(cfg, discardLogger())
	if err != nil {
		b.Fatal(err)
	}
	listener := benchmarkListener(b)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.serve(ctx, listener, nil, nil) }() // returns when ctx is canceled
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Errorf("the node stopped with %v, want no error", err)
		}
	})
	return listener.Addr().String()
}

// benchmarkClient sends its requests one after another on one connection.
type benchmarkClient struct {
	net.Conn
	reader *bufio.Reader
	sent   int
}

// request sends one request and reads its response.
func (c *benchmarkClient) request(b *testing.B) {
	b.Helper()
	c.sent++
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: %d\r\nX-Call-Class: unsafe\r\n"+
		"X-Budget: 30000m\r\nContent-Length: 7\r\n\r\npayload", c.sent)
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("request %d got status %d, error %v, want 200 and a whole body", c.sent, response.StatusCode, err)
	}
}

// BenchmarkRequestThroughNode measures one request on loopback: client connection, loop, server connection and back.
func BenchmarkRequestThroughNode(b *testing.B) {
	const untimedRequests = 3000 // enough to open as many server connections as the requests use
	connection, err := net.Dial("tcp", startBenchmarkNode(b, startBenchmarkServer(b)))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { connection.Close() })
	client := &benchmarkClient{Conn: connection, reader: bufio.NewReader(connection)}
	for range untimedRequests {
		client.request(b)
	}
	b.ReportAllocs()
	for b.Loop() {
		client.request(b)
	}
}
