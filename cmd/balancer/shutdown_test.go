package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Signals during a graceful shutdown change nothing: neither a second SIGTERM nor SIGHUP ends the process before it has
// answered.
func TestSignalsDuringShutdown(t *testing.T) {
	discovery, watched := startDiscovery(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	backend := startBackend(t, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})
	address := freeAddress(t)
	p := newProcess(t, nodeConfig{
		listen:      address,
		discovery:   discovery,
		backend:     backend,
		objectiveMS: 20000,
		deadlineMS:  60000,
	}.json())
	log := p.startLogging(t)
	<-watched
	awaitCondition(t, "it serves", func() bool { return answersOK("http://" + address + "/ready") })
	client := dialNode(t, address)
	sendRequest(t, client, "1", time.Minute, "")
	<-arrived

	p.signal(t, syscall.SIGTERM)
	log.await(t, "to=leaving")
	p.signal(t, syscall.SIGTERM)
	p.signal(t, syscall.SIGHUP)
	log.await(t, "msg=reconfigured")
	close(release)
	checkServed(t, client)
	log.readToEnd()
	if err := p.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}
