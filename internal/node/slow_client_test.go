package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a long response that loses its end: the write deadline of its last bytes was still set when the server
// ended the body, seconds after them.
func TestLateEndOfLongResponse(t *testing.T) {
	t.Parallel()
	const pause = responseWriteTimeout + time.Second
	body := randomBody(longBody)
	for name, end := range map[string]func(net.Conn) bool{
		"last chunk": func(c net.Conn) bool {
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		},
		"close of the connection": func(net.Conn) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
				head, text := "HTTP/1.1 200 OK\r\n\r\n", body
				if name == "last chunk" {
					head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
					text = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
				}
				_, _ = io.WriteString(c, head+text)
				time.Sleep(pause)
				return end(c)
			})
			n := startWith(t, b)
			response, err := http.DefaultClient.Do(newRequest(t, n.url, "unsafe", "1", "x"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			if err != nil || !bytes.Equal(got, []byte(body)) {
				t.Errorf("got %d bytes, error %v, want all %d and the end", len(got), err, len(body))
			}
		})
	}
}

// Guards against a client that reads a long response slowly, but steadily, and is cut off: the node's socket becomes
// writable again only after the client has read a large part of what it holds. A client that stops reading must still
// be cut off.
func TestSteadySlowReaderIsServed(t *testing.T) {
	t.Parallel()
	const (
		length     = 1 << 20
		pieceSize  = 8 << 10
		pause      = 500 * time.Millisecond
		slowFor    = 2*responseWriteTimeout + 2*time.Second
		nodeBuffer = 200 << 10 // in bytes; the client reads a third of what the kernel makes of it in over 5 s
	)
	body := randomBody(length)
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool { return respond(c, "200 OK", body) })
	n, ln := startGatedNode(t, b)
	request := func(id string) *gatedClient {
		c := ln.dial(t)
		if err := c.SetReadBuffer(pieceSize); err != nil {
			t.Fatal(err)
		}
		if err := c.node.SetWriteBuffer(nodeBuffer); err != nil {
			t.Fatal(err)
		}
		c.send(t, requestText("safe", id, ""))
		return c
	}
	stopped := request("stops")
	slow := request("slow")
	setReadTimeout(t, slow, time.Minute)
	response, err := http.ReadResponse(bufio.NewReaderSize(slow, pieceSize), nil)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for end := time.Now().Add(slowFor); time.Now().Before(end); time.Sleep(pause) {
		if _, err := io.CopyN(&got, response.Body, pieceSize); err != nil {
			t.Fatalf("cut off after %d bytes, though the client reads steadily: %v", got.Len(), err)
		}
	}
	if err := slow.SetReadBuffer(length); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(&got, response.Body); err != nil || !bytes.Equal(got.Bytes(), []byte(body)) {
		t.Errorf("got %d bytes, error %v, want all %d", got.Len(), err, length)
	}
	eventually(t, "the client that reads nothing is cut off", func() bool { return stopped.node.isClosed() })
	if n.inbound.openConnections() > 2 {
		t.Errorf("%d connections are open, want at most that of the test and that of the slow client",
			n.inbound.openConnections())
	}
}

// A client counts as stalled if it acknowledges nothing for responseWriteTimeout, or too little in the mean.
func TestWriteProgress(t *testing.T) {
	type check struct {
		after          time.Duration
		pending, added int
	}
	steady := []check{}
	trickle := []check{}
	for i := range 40 {
		after := time.Duration(i+1) * time.Second
		steady = append(steady, check{after, 1000000 - 4000*i, 0})
		trickle = append(trickle, check{after, 1000000 - i, 0})
	}
	for name, tc := range map[string]struct {
		checks  []check
		stalled time.Duration // when the client counts as stalled; 0: never
	}{
		"reads steadily":          {steady, 0},
		"reads a byte per second": {trickle, 6 * time.Second},
		"reads nothing": {[]check{{time.Second, 5000, 0}, {3 * time.Second, 5000, 0}, {6 * time.Second, 5000, 0}},
			6 * time.Second},
		"reads what was added": {[]check{{time.Second, 5000, 0}, {3 * time.Second, 5000, 3000}, {6 * time.Second, 5000, 0}},
			0},
	} {
		began := time.Now()
		p := writeProgress{began: began}
		var stalled time.Duration
		for _, c := range tc.checks {
			if p.stalled(c.pending, c.added, began.Add(c.after)) {
				stalled = c.after
				break
			}
		}
		if stalled != tc.stalled {
			t.Errorf("%s: stalled after %v, want after %v (0 is never)", name, stalled, tc.stalled)
		}
	}
}
