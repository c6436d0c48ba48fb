package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// flood sends a text on one connection after another as fast as the node takes it, until stop is closed, and reads and
// ignores the responses.
func flood(address, text string, stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
		go func() { // ends when the node or this function closes the connection
			for {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
			}
		}()
		select {
		case <-ended:
			conn.Close()
		case <-stop:
			conn.Close()
			<-ended
			return
		}
	}
}

// Guards against a client that takes the whole processor: one that sends requests which the node answers by itself,
// without a pause on one connection, must not delay the requests of others.
func TestFloodOnOneConnectionDelaysNobody(t *testing.T) {
	const (
		clients     = 10
		floodTime   = 3 * time.Second
		longestTime = 500 * time.Millisecond // for a request that its server answers at once
	)
	for name, request := range map[string]string{
		"readiness": "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n",
		"options":   "OPTIONS * HTTP/1.1\r\nHost: s\r\n\r\n",
		"rejected": "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: flood\r\nX-Call-Class: a\r\nX-Budget: 1m\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"malformed": "GET\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			discovery, _ := startDiscovery(t)
			_, address := startWithoutRaceDetector(t, nodeConfig{
				discovery:   discovery,
				backend:     startBackend(t, func(http.ResponseWriter, *http.Request) {}),
				objectiveMS: 2500,
				deadlineMS:  6000,
			}.json())
			stop := make(chan struct{})
			var running sync.WaitGroup
			running.Go(func() { flood(address, strings.Repeat(request, 20), stop) })
			var slowest atomic.Int64
			end := time.Now().Add(floodTime)
			var proper sync.WaitGroup
			for i := range clients {
				proper.Go(func() {
					for k := 0; time.Now().Before(end); k++ {
						began := time.Now()
						sendAndCheck(t, address, strconv.Itoa(i)+"-"+strconv.Itoa(k))
						slowest.Store(max(slowest.Load(), int64(time.Since(began))))
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			proper.Wait()
			close(stop)
			running.Wait()
			if took := time.Duration(slowest.Load()); took > longestTime {
				t.Errorf("a request beside the flood took %v, want at most %v", took, longestTime)
			}
		})
	}
}

// sendAndCheck sends a request on a new connection and checks that it is served.
func sendAndCheck(t *testing.T, address, id string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	sendRequest(t, conn, id, 6*time.Second, "")
	checkServed(t, conn)
}
