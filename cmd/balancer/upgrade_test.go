package main

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// upgradableNode starts processes of one node, with the same address and $TMPDIR.
type upgradableNode struct {
	listen, tmp, discovery string
}

// start starts a process with an admin address of its own, and waits until it can serve.
func (n upgradableNode) start(t *testing.T) *process {
	t.Helper()
	control := freeAddress(t)
	p := newProcess(t, nodeConfig{listen: n.listen, control: control, discovery: n.discovery}.json())
	p.Env = append(p.Env, "TMPDIR="+n.tmp)
	p.start(t)
	awaitCondition(t, "it can serve", func() bool { return answersOK("http://" + control + "/control/ready") })
	return p
}

// isReady reports whether the node's readiness check succeeds.
func (n upgradableNode) isReady() bool { return answersOK("http://" + n.listen + "/ready") }

// isWaitingForSuccessor reports whether a process listens for the next one.
func (n upgradableNode) isWaitingForSuccessor() bool {
	conn, err := net.Dial("unix", n.tmp+"/quaywick-"+n.listen+".sock")
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// checkReadyUntilEnd checks that the node is ready until one of its processes has ended without an error.
func (n upgradableNode) checkReadyUntilEnd(t *testing.T, p *process) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the old process ended with %v", err)
			}
			return
		default:
			if !n.isReady() {
				t.Fatal("a readiness check failed")
			}
		}
	}
}

// Whichever process is killed or told to shut down, and when, the node continues to serve or starts afresh.
func TestUpgradesAndKills(t *testing.T) {
	discovery, _ := startDiscovery(t)
	node := upgradableNode{listen: freeAddress(t), tmp: t.TempDir(), discovery: discovery}
	first := node.start(t)
	killedSuccessor := node.start(t)
	killedSuccessor.kill(t)
	awaitCondition(t, "the old process serves alone", node.isReady)
	for range 10 {
		if !node.isReady() {
			t.Fatal("it does not serve alone")
		}
	}
	awaitCondition(t, "it waits for the next one", node.isWaitingForSuccessor)

	second := node.start(t)
	first.signal(t, syscall.SIGTERM)
	node.checkReadyUntilEnd(t, first)

	third := node.start(t)
	second.kill(t)
	awaitCondition(t, "the new process serves alone", node.isReady)

	third.kill(t) // none is left but the file
	if links, err := os.ReadDir(node.tmp); err != nil || len(links) == 0 {
		t.Errorf("nothing was left behind: %v", err)
	}
	node.start(t)
	awaitCondition(t, "it starts afresh", node.isReady)
}
