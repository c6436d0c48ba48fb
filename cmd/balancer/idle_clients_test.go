package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// interruptedDiscovery is a discovery service that aborts every call until up is set.
type interruptedDiscovery struct {
	up      atomic.Bool
	failed  chan struct{} // gets a value for each aborted call, unless it is full
	watched chan struct{} // gets a value when a watch begins
}

func newInterruptedDiscovery() *interruptedDiscovery {
	return &interruptedDiscovery{
		failed:  make(chan struct{}, 1000),
		watched: make(chan struct{}, 100),
	}
}

func (d *interruptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.up.Load() {
		openWatch(w, r, d.watched)
		return
	}
	select {
	case d.failed <- struct{}{}:
	default:
	}
	panic(http.ErrAbortHandler)
}

// awaitNextFailure discards the failures recorded so far, and waits for the next call to be aborted.
func (d *interruptedDiscovery) awaitNextFailure() {
	for len(d.failed) > 0 {
		<-d.failed
	}
	<-d.failed
}

// openDescriptors returns the number of open file descriptors of the process.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// checkServedOrDisconnected checks that a new client is served or disconnected within 3 s.
func checkServedOrDisconnected(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(conn, "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n") // fails if the client is disconnected
	if _, err := bufio.NewReader(conn).ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a new client was neither served nor disconnected within 3 s")
	}
}

// While discovery is down, idle clients may use up the node's file descriptors. The node must stay within its limit,
// must still have a descriptor to open the watch when discovery is back, and must serve or disconnect new clients.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 128
	const idleClients = 3 * limit
	discovery := newInterruptedDiscovery()
	p := newProcess(t, nodeConfig{discovery: serveDiscovery(t, discovery.ServeHTTP), sockets: limit}.json())
	log := p.startLogging(t)
	address := log.awaitAddress(t)
	go func() { _, _ = io.Copy(io.Discard, log.reader) }() // until the process ends
	<-discovery.failed

	maxOpen := 0
	for range idleClients { // the node may disconnect some of them
		dialNode(t, address)
		maxOpen = max(maxOpen, p.openDescriptors(t))
	}
	if maxOpen > limit || maxOpen < limit/3 {
		t.Errorf("up to %d descriptors were open with %d idle clients, want between a third of the limit of %d and the limit",
			maxOpen, idleClients, limit)
	}
	discovery.awaitNextFailure() // the node still polls while clients hold all descriptors that are meant for clients
	discovery.up.Store(true)
	select {
	case <-discovery.watched:
	case <-time.After(6 * time.Second):
		t.Error("the node opened no watch within 6 s after discovery came back")
	}
	for range 20 {
		checkServedOrDisconnected(t, address)
	}
}
