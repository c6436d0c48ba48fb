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

// interruptedDiscovery is a discovery service that is down until it is told otherwise.
type interruptedDiscovery struct {
	up      atomic.Bool
	failed  chan struct{} // gets a value for a call while it is down, up to its capacity
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

// awaitNextFailure waits for a call that begins after now.
func (d *interruptedDiscovery) awaitNextFailure() {
	for len(d.failed) > 0 {
		<-d.failed
	}
	<-d.failed
}

// openDescriptors counts the open descriptors of the process.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// checkNotLeftWaiting checks that a new client is served or disconnected within a time.
func checkNotLeftWaiting(t *testing.T, address string) {
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
		t.Error("a new client was neither served nor disconnected")
	}
}

// Idle clients may fill the descriptors while discovery is down. The node keeps within its limit, the watch opens once
// discovery is back, and a new client is served or disconnected, never left waiting.
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
	for range idleClients { // they stay as far as the node lets them
		dialNode(t, address)
		maxOpen = max(maxOpen, p.openDescriptors(t))
	}
	if maxOpen > limit || maxOpen < limit/3 {
		t.Errorf("%d descriptors are open beside %d idle clients, the limit is %d", maxOpen, idleClients, limit)
	}
	discovery.awaitNextFailure() // it still polls while the clients hold all they may
	discovery.up.Store(true)
	select {
	case <-discovery.watched:
	case <-time.After(6 * time.Second):
		t.Error("no watch 6 s after discovery is back")
	}
	for range 20 {
		checkNotLeftWaiting(t, address)
	}
}
