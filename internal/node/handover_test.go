package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"keelusher/internal/handover"
	"keelusher/internal/lifecycle"
)

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startProcess starts a node in the same way as the program: the node takes over the listener or opens one.
// startProcess waits until the node can serve.
func startProcess(t *testing.T, cfg Config) *runningNode {
	t.Helper()
	cfg.Control = freeAddr(t)
	n, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{
		Node:         n,
		url:          "http://" + cfg.Listen,
		adminAddress: cfg.Control,
		stop:         cancel,
		done:         make(chan error, 1),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	eventually(t, "the process can serve", func() bool {
		resp, err := http.Get("http://" + r.adminAddress + "/control/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// startSuccessor starts a process once the one that runs can hand over to it.
func startSuccessor(t *testing.T, cfg Config) *runningNode {
	t.Helper()
	eventually(t, "the hand-over socket is bound", func() bool {
		_, err := os.Stat(cfg.handoverSocket)
		return err == nil
	})
	return startProcess(t, cfg)
}

// upgradeConfig returns the configuration that the processes of one node share.
func upgradeConfig(t *testing.T, b *backend) Config {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.Listen = freeAddr(t)
	cfg.handoverSocket = handover.Path(t.TempDir(), cfg.Listen)
	return cfg
}

// sendUntil sends requests, each on a new connection, until done is closed, and polls /ready after every tenth request.
// The test fails at the first request that does not succeed, and whenever /ready does not return 200.
func (r *runningNode) sendUntil(t *testing.T, client int, done <-chan struct{}) {
	t.Helper()
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		resp, err := fresh.Do(newRequest(t, r.url, "unsafe", fmt.Sprintf("%d-%d", client, i), "x"))
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a client got response %v, error %v, want 200", resp, err)
			return
		}
		if i%10 == 0 && r.ready(t) != http.StatusOK {
			t.Error("/ready did not return 200")
		}
	}
}

// stopAndWait shuts a node down and waits until it has ended.
func (r *runningNode) stopAndWait(t *testing.T) {
	t.Helper()
	r.stop()
	if err := <-r.done; err != nil {
		t.Errorf("the process ended with %v, want no error", err)
	}
}

// While a new process takes over and the old one shuts down, no client's connection may be refused, reset or left
// unread, and /ready must return 200 throughout. While both processes run, each has the connection limit that belongs
// to half the descriptors.
func TestUpgradeUnderLoad(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, serveOK))
	oldProcess := startProcess(t, cfg)
	done := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	stopped := sync.OnceFunc(func() { close(done) })
	defer stopped()
	for client := range 8 {
		load.Add(1)
		go func() {
			defer load.Done()
			oldProcess.sendUntil(t, client, done)
		}()
	}
	served := func(r *runningNode) int {
		c := r.loop.metrics.Snapshot()
		return c.Succeeded.Sum()
	}
	eventually(t, "the old process serves", func() bool { return served(oldProcess) > 20 })
	newProcess := startProcess(t, cfg)
	eventually(t, "the old process knows that its successor serves", oldProcess.handover.SuccessorServes)
	half := cfg.connectionLimits(2).clients
	if oldProcess.inbound.limit != half || newProcess.inbound.limit != half {
		t.Errorf("connection limits are %d and %d, want %d each", oldProcess.inbound.limit, newProcess.inbound.limit, half)
	}
	oldProcess.stopAndWait(t)
	before := served(newProcess)
	eventually(t, "the new process serves alone", func() bool { return served(newProcess) > before+20 })
	eventually(t, "the new process has the whole connection limit", func() bool {
		newProcess.inbound.mu.Lock()
		defer newProcess.inbound.mu.Unlock()
		return newProcess.inbound.limit == cfg.connectionLimits(1).clients
	})
	third := startProcess(t, cfg) // a successor can itself be replaced
	newProcess.stopAndWait(t)
	if served(third) == 0 {
		eventually(t, "the third process serves", func() bool { return served(third) > 0 })
	}
	stopped()
}

// If a successor exits, the old process goes on serving and can hand over to another successor.
func TestSuccessorFails(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, serveOK))
	oldProcess := startProcess(t, cfg)
	var predecessor *handover.Predecessor
	eventually(t, "the hand-over socket accepts a connection", func() bool {
		var err error
		predecessor, err = handover.Connect(cfg.handoverSocket)
		return err == nil && predecessor != nil
	})
	predecessor.AnnounceServing()
	eventually(t, "the old process knows that its successor serves", oldProcess.handover.SuccessorServes)
	predecessor.Listener.Close()
	predecessor.Close()
	eventually(t, "the successor's exit is noticed", func() bool { return !oldProcess.handover.SuccessorServes() })
	if status, _, _ := do(t, newRequest(t, oldProcess.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("the request got status %d, want 200", status)
	}
	newProcess := startProcess(t, cfg)
	eventually(t, "the next successor serves", oldProcess.handover.SuccessorServes)
	oldProcess.stopAndWait(t)
	http.DefaultClient.CloseIdleConnections() // the old process has just closed its end
	if status, _, _ := do(t, newRequest(t, newProcess.url, "unsafe", "2", "x")); status != http.StatusOK {
		t.Errorf("the request got status %d, want 200", status)
	}
}

// A node must start within 6 s if a killed process left its hand-over socket file behind, or if the peer at
// that socket never answers.
func TestStaleHandoverSocket(t *testing.T) {
	for name, leave := range map[string]func(*net.UnixListener){
		"left by a kill": func(ln *net.UnixListener) {
			ln.SetUnlinkOnClose(false)
			closeSocket(ln)
		},
		"silent": func(*net.UnixListener) {},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := upgradeConfig(t, newBackend(t, serveOK))
			ln, err := net.Listen("unix", cfg.handoverSocket)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			leave(ln.(*net.UnixListener))
			begin := time.Now()
			n := startProcess(t, cfg)
			if took := time.Since(begin); took > 6*time.Second {
				t.Errorf("the node started after %v, want at most 6 s", took)
			}
			if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
				t.Errorf("the request got status %d, want 200", status)
			}
		})
	}
}

// A node that cannot bind its hand-over socket still serves.
func TestNoHandoverSocket(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, serveOK))
	cfg.handoverSocket = filepath.Join(t.TempDir(), "nowhere", "x.sock")
	n := startProcess(t, cfg)
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("the request got status %d, want 200", status)
	}
}

// A drained node stays drained through an upgrade, and the new process can be returned to service.
func TestUpgradeOfDrainedNode(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, serveOK))
	oldProcess := startProcess(t, cfg)
	if status, _ := oldProcess.callAdmin(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
		t.Fatalf("PUT out-of-service got status %d, want 200", status)
	}
	newProcess := startProcess(t, cfg)
	eventually(t, "the successor serves", oldProcess.handover.SuccessorServes)
	oldProcess.stopAndWait(t)
	if status := newProcess.ready(t); status != http.StatusServiceUnavailable {
		t.Errorf("/ready got status %d after the upgrade, want 503", status)
	}
	if status, _ := newProcess.callAdmin(t, "PUT", "/control/in-service"); status != http.StatusOK {
		t.Errorf("PUT in-service got status %d, want 200", status)
	}
	eventually(t, "the node is in service", func() bool { return newProcess.ready(t) == http.StatusOK })
}

// Guards against a call that is lost in an upgrade: whichever process an operator calls after the successor serves,
// also one that has been told to end, the node is taken out of service, and a call of the new process takes it back.
func TestOperatorCallsReachBothProcesses(t *testing.T) {
	for name, tc := range map[string]struct { // short names: they are part of the path of a Unix socket
		callOld, ending bool
	}{
		"old":    {callOld: true},
		"new":    {},
		"ending": {callOld: true, ending: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := upgradeConfig(t, newBackend(t, serveOK))
			oldProcess := startProcess(t, cfg)
			newProcess := startSuccessor(t, cfg)
			eventually(t, "the processes share", func() bool {
				newProcess.loop.runTask(func() { newProcess.loop.shareID("shared") })
				var known bool
				oldProcess.loop.runTask(func() { known = oldProcess.loop.recent.contains("shared", oldProcess.loop.clock.now()) })
				return known
			})
			called := newProcess
			if tc.callOld {
				called = oldProcess
			}
			if tc.ending {
				oldProcess.stop()
				eventually(t, "the old process shuts down", func() bool {
					return oldProcess.lifecycle.Current() == lifecycle.ShuttingDown
				})
			}
			if status, _ := called.callAdmin(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
				t.Fatalf("PUT out-of-service got status %d, want 200", status)
			}
			eventually(t, "the new process is out of service", func() bool {
				return newProcess.lifecycle.Current() == lifecycle.Drained
			})
			if !tc.ending {
				eventually(t, "the old process is out of service", func() bool {
					return oldProcess.lifecycle.Current() == lifecycle.Drained
				})
				oldProcess.stopAndWait(t)
			}
			if status := newProcess.ready(t); status != http.StatusServiceUnavailable {
				t.Errorf("/ready got status %d, want 503", status)
			}
			if status, _ := newProcess.callAdmin(t, "PUT", "/control/in-service"); status != http.StatusOK {
				t.Errorf("PUT in-service got status %d, want 200", status)
			}
			eventually(t, "the node is in service", func() bool { return newProcess.ready(t) == http.StatusOK })
		})
	}
}
