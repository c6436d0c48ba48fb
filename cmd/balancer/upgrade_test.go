package main

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// upgradableNode starts successive processes of one node, which share its address and $TMPDIR.
type upgradableNode struct {
	listen, tmp, discovery string
}

// start starts a process with its own admin address, and waits until it is able to serve.
func (n upgradableNode) start(t *testing.T) *process {
	t.Helper()
	adminAddress := freeAddress(t)
	p := newProcess(t, nodeConfig{listen: n.listen, adminAddress: adminAddress, discovery: n.discovery}.json())
	p.Env = append(p.Env, "TMPDIR="+n.tmp)
	p.start(t)
	awaitCondition(t, "process can serve", func() bool { return answersOK("http://" + adminAddress + "/control/ready") })
	return p
}

// isReady reports whether a readiness check of the node succeeds.
func (n upgradableNode) isReady() bool { return answersOK("http://" + n.listen + "/ready") }

// isWaitingForSuccessor reports whether a process listens on the hand-over socket.
func (n upgradableNode) isWaitingForSuccessor() bool {
	conn, err := net.Dial("unix", n.tmp+"/quaywick-"+n.listen+".sock")
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// checkReadyUntilEnd checks that the node stays ready until a process ends, and that the process ends without an error.
func (n upgradableNode) checkReadyUntilEnd(t *testing.T, p *process) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the old process ended with %v, want exit 0", err)
			}
			return
		default:
			if !n.isReady() {
				t.Fatal("a readiness check failed during the shutdown of the old process")
			}
		}
	}
}

// During an upgrade the node has to stay ready when the successor is killed and when the predecessor is shut down or
// killed. When its last process has been killed, a new one has to start despite the hand-over socket that was left
// behind.
func TestUpgradesAndKills(t *testing.T) {
	discovery, _ := startDiscovery(t)
	node := upgradableNode{listen: freeAddress(t), tmp: t.TempDir(), discovery: discovery}
	first := node.start(t)
	killedSuccessor := node.start(t)
	killedSuccessor.kill(t)
	awaitCondition(t, "the old process serves alone", node.isReady)
	for range 10 {
		if !node.isReady() {
			t.Fatal("the old process is not ready after its successor was killed")
		}
	}
	awaitCondition(t, "the old process waits for the next successor", node.isWaitingForSuccessor)

	second := node.start(t)
	first.signal(t, syscall.SIGTERM)
	node.checkReadyUntilEnd(t, first)

	third := node.start(t)
	second.kill(t)
	awaitCondition(t, "the new process serves alone", node.isReady)

	third.kill(t) // no process is left, only the file of the hand-over socket
	if links, err := os.ReadDir(node.tmp); err != nil || len(links) == 0 {
		t.Errorf("the killed process left no hand-over socket: %v", err)
	}
	node.start(t)
	awaitCondition(t, "a new process serves after the kill", node.isReady)
}
