package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// SIGHUP moves the watch to the discovery that the file now names, an invalid file changes nothing, and only SIGTERM
// ends the program.
func TestServesThroughSIGHUPUntilSIGTERM(t *testing.T) {
	discovery, watched := startDiscovery(t)
	p := newProcess(t, nodeConfig{discovery: discovery}.json())
	log := p.startLogging(t)
	address := log.awaitAddress(t)
	awaitCondition(t, "it is ready", func() bool { return mustGetStatus(t, "http://"+address+"/ready") == http.StatusOK })
	<-watched
	p.writeConfig(t, "{")
	p.signal(t, syscall.SIGHUP)
	log.await(t, "the previous one stays in use")
	moved, watchedThere := startDiscovery(t)
	p.writeConfig(t, nodeConfig{discovery: moved}.json())
	p.signal(t, syscall.SIGHUP)
	<-watchedThere
	p.signal(t, syscall.SIGTERM)
	log.readToEnd()
	if err := p.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}

// A configuration that cannot be read at the moment of SIGHUP, because it is being written or the system lacks a
// resource, is read a moment later without a second signal.
func TestConfigurationCompletedAfterSIGHUP(t *testing.T) {
	discovery, watched := startDiscovery(t)
	p := newProcess(t, nodeConfig{discovery: discovery}.json())
	p.start(t)
	<-watched
	moved, watchedThere := startDiscovery(t)
	text := nodeConfig{discovery: moved}.json()
	p.writeConfig(t, text[:len(text)/2])
	p.signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // it finds half of the file meanwhile; if not, the test shows less
	p.writeConfig(t, text)
	select {
	case <-watchedThere:
	case <-time.After(4 * time.Second):
		t.Error("4 s after the signal the node has not moved")
	}
}
