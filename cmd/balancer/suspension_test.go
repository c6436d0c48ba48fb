package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// isSuspended reports whether the process is stopped by a signal.
func (p *process) isSuspended() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	return err == nil && strings.Contains(string(stat), ") T ")
}

// After a suspension, a node's socket buffers may hold requests of clients that have disconnected meanwhile. The node
// must not forward these requests, even if more bytes follow them, but has to serve a client that is still connected.
func TestClientsOfASuspendedProcess(t *testing.T) {
	discovery, watched := startDiscovery(t)
	served := make(chan string, 100)
	backend := startBackend(t, func(_ http.ResponseWriter, r *http.Request) { served <- r.Header.Get("X-Call-Id") })
	address := freeAddress(t)
	p := newProcess(t, nodeConfig{listen: address, discovery: discovery, backend: backend}.json())
	p.start(t)
	<-watched
	awaitCondition(t, "the node serves", func() bool { return answersOK("http://" + address + "/ready") })

	p.signal(t, syscall.SIGSTOP)
	awaitCondition(t, "the node is suspended", p.isSuspended)
	const budget = 9 * time.Second
	longRequest := "POST /api HTTP/1.1\r\nX: " + strings.Repeat("x", 8<<10)
	for i, following := range []string{"", "P", longRequest} {
		disconnecting := dialNode(t, address)
		sendRequest(t, disconnecting, fmt.Sprint("left-", i), budget, following)
		disconnecting.Close()
	}
	connected := dialNode(t, address)
	sendRequest(t, connected, "stays", budget, "")
	p.signal(t, syscall.SIGCONT)
	checkServed(t, connected)

	p.signal(t, syscall.SIGTERM)
	_ = p.Wait() // no request is forwarded after the process has ended
	close(served)
	for id := range served {
		if id != "stays" {
			t.Errorf("request %s was forwarded, though its client had disconnected", id)
		}
	}
}
