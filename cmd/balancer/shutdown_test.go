package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Neither a second SIGTERM nor SIGHUP during a graceful shutdown may end the process before it has answered its last
// request.
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
	awaitCondition(t, "the node serves", func() bool { return answersOK("http://" + address + "/ready") })
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
		t.Errorf("the node ended with %v, want exit 0", err)
	}
}
