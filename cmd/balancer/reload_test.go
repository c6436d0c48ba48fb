package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// After SIGHUP the node has to watch the discovery service named in the changed configuration file. A file that has
// become invalid must not end the program or change its configuration.
func TestServesThroughSIGHUPUntilSIGTERM(t *testing.T) {
	discovery, watched := startDiscovery(t)
	p := newProcess(t, nodeConfig{discovery: discovery}.json())
	log := p.startLogging(t)
	address := log.awaitAddress(t)
	awaitCondition(t, "/ready is OK", func() bool { return mustGetStatus(t, "http://"+address+"/ready") == http.StatusOK })
	<-watched
	p.writeConfig(t, "{")
	p.signal(t, syscall.SIGHUP)
	log.await(t, "the previous one stays in use")
	newDiscovery, newWatched := startDiscovery(t)
	p.writeConfig(t, nodeConfig{discovery: newDiscovery}.json())
	p.signal(t, syscall.SIGHUP)
	<-newWatched
	p.signal(t, syscall.SIGTERM)
	log.readToEnd()
	if err := p.Wait(); err != nil {
		t.Errorf("the node ended with %v, want exit 0", err)
	}
}

// A configuration that cannot be loaded at the moment of SIGHUP, here because only half of it has been written, has to
// be loaded later without a second signal. The same retry covers a shortage of system resources.
func TestConfigurationCompletedAfterSIGHUP(t *testing.T) {
	discovery, watched := startDiscovery(t)
	p := newProcess(t, nodeConfig{discovery: discovery}.json())
	p.start(t)
	<-watched
	newDiscovery, newWatched := startDiscovery(t)
	text := nodeConfig{discovery: newDiscovery}.json()
	p.writeConfig(t, text[:len(text)/2])
	p.signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // for the node to read half of the file; if it has not yet, the test proves less
	p.writeConfig(t, text)
	select {
	case <-newWatched:
	case <-time.After(4 * time.Second):
		t.Error("the node did not watch the new discovery service within 4 s")
	}
}
