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

// A client that comes and goes while the process is suspended is not served when it resumes; one that stays is.
func TestClientsOfASuspendedProcess(t *testing.T) {
	discovery, watched := startDiscovery(t)
	served := make(chan string, 100)
	backend := startBackend(t, func(_ http.ResponseWriter, r *http.Request) { served <- r.Header.Get("X-Call-Id") })
	address := freeAddress(t)
	p := newProcess(t, nodeConfig{listen: address, discovery: discovery, backend: backend}.json())
	p.start(t)
	<-watched
	awaitCondition(t, "it serves", func() bool { return answersOK("http://" + address + "/ready") })

	p.signal(t, syscall.SIGSTOP)
	awaitCondition(t, "it is suspended", p.isSuspended)
	const budget = 9 * time.Second
	longRequest := "POST /api HTTP/1.1\r\nX: " + strings.Repeat("x", 8<<10)
	for i, following := range []string{"", "P", longRequest} {
		left := dialNode(t, address)
		sendRequest(t, left, fmt.Sprint("left-", i), budget, following)
		left.Close()
	}
	stays := dialNode(t, address)
	sendRequest(t, stays, "stays", budget, "")
	p.signal(t, syscall.SIGCONT)
	checkServed(t, stays)

	p.signal(t, syscall.SIGTERM)
	_ = p.Wait() // whatever it would have forwarded has been forwarded when it ends
	close(served)
	for id := range served {
		if id != "stays" {
			t.Errorf("%s was forwarded, though its client had disconnected", id)
		}
	}
}
