package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"keelusher/policy"
)

// slowResponse is how a server gives a response without a Content-Length.
type slowResponse struct {
	chunked bool // otherwise the body ends with the connection
	body    string
	pieces  int           // number of writes in which the body is given
	pause   time.Duration // after each piece
}

// give writes the response, and reports whether its connection may be used again.
func (s slowResponse) give(c net.Conn) bool {
	head, pieceFormat, end := "HTTP/1.1 200 OK\r\n\r\n", "%[2]s", ""
	if s.chunked {
		head, pieceFormat, end = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	}
	_, _ = io.WriteString(c, head)
	size := len(s.body) / s.pieces
	for i := range s.pieces {
		if _, err := fmt.Fprintf(c, pieceFormat, size, s.body[i*size:(i+1)*size]); err != nil {
			return false
		}
		time.Sleep(s.pause)
	}
	_, err := io.WriteString(c, end)
	return err == nil && s.chunked
}

// startWithObjective starts a node whose classes have a latency objective, before a single server.
func startWithObjective(t *testing.T, objective time.Duration, b *backend) *runningNode {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = objective
	}
	return start(t, cfg)
}

// Guards against a long response of unknown length that is cut off, though its server is still sending: the time of an
// attempt limited the first 64 KiB of such a body instead of its first bytes.
func TestSlowResponseOfUnknownLength(t *testing.T) {
	t.Parallel()
	const (
		pieces    = 10
		pause     = 250 * time.Millisecond
		objective = time.Second // of the class, and so the time of an attempt
	)
	for _, chunked := range []bool{true, false} {
		for budget, when := range map[string]string{
			"10000m": "after the attempt's time, within the client's",
			"1000m":  "after the client's time, with its first bytes in time",
		} {
			t.Run(fmt.Sprint("chunked=", chunked, "/", budget), func(t *testing.T) {
				t.Parallel()
				body := randomBody(pieces * 10 << 10)
				b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
					return slowResponse{chunked, body, pieces, pause}.give(c)
				})
				n := startWithObjective(t, objective, b)
				r := newRequest(t, n.url, "unsafe", "1", "x")
				r.Header.Set("X-Budget", budget)
				status, _, got := do(t, r)
				if status != http.StatusOK || got != body {
					t.Errorf("a response that ends %s: got status %d and %d bytes, want 200 and all %d",
						when, status, len(got), len(body))
				}
				if cut := n.loop.decisions.Page().ResponsesCutOff; len(cut) > 0 {
					t.Errorf("responses cut off: %v, want none", cut)
				}
			})
		}
	}
}

// Guards against bytes of a response of unknown length that are held back while the server pauses, for 2 s or more or
// until the client's time is over: the first bytes of a long response are timed.
func TestSlowResponseIsNotHeldBack(t *testing.T) {
	t.Parallel()
	for budget, limit := range map[string]time.Duration{"30000m": 2 * time.Second, "900m": 900 * time.Millisecond} {
		t.Run("budget "+budget, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
				<-release
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			})
			n := startWith(t, b)
			r := newRequest(t, n.url, "unsafe", "1", "x")
			r.Header.Set("X-Budget", budget)
			began := time.Now()
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			first := make([]byte, len("first"))
			if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" {
				t.Fatalf("first bytes of the response: %q, %v, want \"first\"", first, err)
			}
			if took := time.Since(began); took >= limit {
				t.Errorf("the first bytes came after %v, want under %v", took, limit)
			}
			close(release)
			if rest, err := io.ReadAll(resp.Body); len(rest) != 0 || err != nil {
				t.Errorf("remainder of the response: %q, %v, want nothing and no error", rest, err)
			}
		})
	}
}

// checkStalledResponse sends a request whose server stops within its response. It checks that the response ends 0.5 s
// after the client's time at the latest, in a way that shows that it is not whole.
func checkStalledResponse(t *testing.T, url string, budget time.Duration) {
	t.Helper()
	const slack = 500 * time.Millisecond
	r := newRequest(t, url, "unsafe", "1", "x")
	r.Header.Set("X-Budget", fmt.Sprint(budget.Milliseconds(), "m"))
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Error("the client took the response for whole, want an error status or a broken response")
	}
	if took := time.Since(began); took > budget+slack {
		t.Errorf("the response ended after %v, want %v at most", took, budget+slack)
	}
}

// Guards against a server that stops within a response of unknown length and so keeps the client waiting: a response
// that may be a short one ends 0.5 s after the client's time at the latest, in a way that shows that it is not whole.
func TestStalledResponseOfUnknownLength(t *testing.T) {
	t.Parallel()
	for _, chunked := range []bool{true, false} {
		for _, budget := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint("chunked=", chunked, "/", budget), func(t *testing.T) {
				t.Parallel()
				b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
					stalled := slowResponse{chunked, strings.Repeat("x", 10<<10), 1, 10 * time.Second}
					return stalled.give(c)
				})
				n := startWith(t, b)
				checkStalledResponse(t, n.url, budget)
			})
		}
	}
}

// Guards against bytes within a chunk that are held back, or cut off with the rest, while the server pauses: a read of
// a chunked body waits until it has filled its buffer or reached the end of the chunk.
func TestSlowChunkIsNotHeldBack(t *testing.T) {
	t.Parallel()
	const (
		limit  = 2 * time.Second
		pieces = 3
	)
	piece := strings.Repeat("line\r\n", 20) // line ends in the body are not the ends of chunks
	for name, before := range map[string]struct {
		chunks string
		length int
	}{
		"short response": {},
		"long response":  {fmt.Sprintf("%x\r\n%s\r\n", longBody, randomBody(longBody)), longBody},
		"small chunks":   {strings.Repeat("1;ext=1\r\nx\r\n", 2*maxBufferedBody), 2 * maxBufferedBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, pieces)
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+before.chunks)
				_, _ = fmt.Fprintf(c, "%x\r\n", pieces*len(piece))
				for range pieces {
					_, _ = io.WriteString(c, piece)
					<-received
				}
				_, err := io.WriteString(c, "\r\n0\r\n\r\n")
				return err == nil
			})
			n := startWithObjective(t, limit, b)
			defer close(received) // releases the server if the test fails
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			write(t, c, requestText("unsafe", "1", "x"))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			setReadTimeout(t, c, 10*time.Second)
			if _, err := io.ReadFull(resp.Body, make([]byte, before.length)); err != nil {
				t.Fatalf("the chunks before the slow one: %v", err)
			}
			for i := range pieces {
				setReadTimeout(t, c, limit)
				if _, err := io.ReadFull(resp.Body, make([]byte, len(piece))); err != nil {
					t.Fatalf("piece %d of the slow chunk: %v, want all of it within %v", i, err, limit)
				}
				received <- struct{}{}
			}
			if rest, err := io.ReadAll(resp.Body); len(rest) != 0 || err != nil {
				t.Errorf("remainder of the response: %q, %v, want nothing and no error", rest, err)
			}
		})
	}
}

// Guards against bytes of a chunked response that are held back, and cut off, while the server pauses where bytes and
// framing meet: a read that held them waited for more bytes than had arrived, or for the rest of a header or trailer.
func TestBytesBesideChunkFramingAreNotHeldBack(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second
	longText := strings.Repeat("x", 10*minArrived)
	for name, response := range map[string]struct{ begin, body, end string }{
		"fewer bytes than the header of their chunk is long": {"6;name=value\r\nfi", "fi", "rst!\r\n0\r\n\r\n"},
		"a long header of the next chunk":                    {"2\r\nfi\r\n4;" + longText, "fi", "\r\nrst!\r\n0\r\n\r\n"},
		"a long trailer":                                     {"6\r\nfirst!\r\n0\r\nname: " + longText, "first!", "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{})
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+response.begin)
				<-received
				_, err := io.WriteString(c, response.end)
				return err == nil
			})
			n := startWithObjective(t, limit, b)
			defer closeOnce(received) // releases the server if the test fails
			began := time.Now()
			resp, err := (&http.Client{Timeout: 2 * limit}).Do(newRequest(t, n.url, "unsafe", "1", "x"))
			if err != nil {
				t.Fatalf("no response within %v: %v", 2*limit, err)
			}
			defer resp.Body.Close()
			got := make([]byte, len(response.body))
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != response.body {
				t.Fatalf("status %d, first bytes %q, error %v, want 200 and %q", resp.StatusCode, got, err, response.body)
			}
			if took := time.Since(began); took >= limit {
				t.Errorf("the first bytes came after %v, want under %v", took, limit)
			}
			closeOnce(received)
			rest, err := io.ReadAll(resp.Body)
			if whole := response.body + string(rest); whole != "first!" || err != nil {
				t.Errorf("response %q, error %v, want \"first!\"", whole, err)
			}
		})
	}
}

// Guards against a short response that keeps its client waiting because no memory was left to buffer it: it is
// streamed, and its server stops within it. The last byte of a short response is due at the client's deadline.
func TestStalledShortResponseWithoutMemory(t *testing.T) {
	t.Parallel()
	const budget = time.Second
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf")
		_, _ = io.Copy(io.Discard, c) // until the node closes the connection
		return false
	})
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	n := start(t, cfg, func(n *Node) { n.buffers.responses.available.Store(0) })
	checkStalledResponse(t, n.url, budget)
}

// Guards against a long response that is cut off at a deployment whose servers close idle connections early: the idle
// time of connections limited the pauses of a server within a response.
func TestLongResponseOutlastsIdleTimeout(t *testing.T) {
	t.Parallel()
	const (
		idleTimeout = 300 * time.Millisecond
		pause       = time.Second
	)
	body := randomBody(longBody)
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:longBody/2])
		time.Sleep(pause)
		_, err := io.WriteString(c, body[longBody/2:])
		return err == nil
	})
	cfg := testConfig(t, "pushed", inService("s-0", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.connectionIdleTimeout = idleTimeout
	n := start(t, cfg)
	resp, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != body {
		t.Errorf("a response with a pause of %v: got %d bytes, error %v, want all %d", pause, len(got), err, len(body))
	}
}

// Guards against a broken response of unknown length that is forwarded because little time was left: one that breaks
// soon after its first bytes gets an error status.
func TestBrokenResponseWithLittleTimeLeft(t *testing.T) {
	t.Parallel()
	const (
		budget  = 150 * time.Millisecond
		breakAt = 20 * time.Millisecond
	)
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(breakAt)
		reset(c)
		return false
	})
	r := newRequest(t, startWith(t, b).url, "unsafe", "1", "x")
	r.Header.Set("X-Budget", fmt.Sprint(budget.Milliseconds(), "m"))
	if status, _, got := do(t, r); status != http.StatusBadGateway {
		t.Errorf("got status %d and %q, want 502", status, got)
	}
}

// Guards against a data race at the end of a node: the reader of a connection went on reading it after the connection
// was closed, while a response from it was still being forwarded.
func TestConnectionClosedWhileResponseIsStreamed(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"unknown length": "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
		"known length":   "Content-Length: 1000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+randomBody(2*maxBufferedBody))
				_, _ = io.Copy(io.Discard, c) // until the node closes the connection
				return false
			})
			p := testPool(t)
			started := make(chan responseStarted)
			p.responsesStarted = started
			results := make(chan attemptOutcome)
			p.results = results
			p.start(testAttempt(p, b.addr(), time.Minute))
			stream := (<-started).response.bodyStream
			time.AfterFunc(50*time.Millisecond, func() { p.close(stream.conn) })
			if _, err := io.Copy(io.Discard, stream); err == nil {
				t.Error("the stream ended without an error, though its connection was closed")
			}
			stream.finish(errResponseUnwanted, true)
			if got := (<-results).result; got != policy.Canceled {
				t.Errorf("result %v, want Canceled", got)
			}
		})
	}
}
