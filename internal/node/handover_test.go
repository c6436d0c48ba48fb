package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"keelusher/internal/handover"
)

// freeAddr is an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startProcess runs a node as the program does: it finds or opens its listeners by itself.
func startProcess(t *testing.T, cfg Config) *running {
	t.Helper()
	cfg.Control = freeAddr(t)
	n, err := New(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{
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
	eventually(t, "it can serve", func() bool {
		resp, err := http.Get("http://" + r.adminAddress + "/control/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// upgradeConfig is the configuration of both processes of one node.
func upgradeConfig(t *testing.T, b *backend) Config {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.Listen = freeAddr(t)
	cfg.handoverSocket = handover.Path(t.TempDir(), cfg.Listen)
	return cfg
}

// sendUntil sends requests, each on a connection of its own, and polls readiness until done is closed. It fails the
// test at the first request that does not succeed, and at each negative answer to the front.
func (r *running) sendUntil(t *testing.T, client int, done <-chan struct{}) {
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
			t.Errorf("a client got %v %v", resp, err)
			return
		}
		if i%10 == 0 && r.ready(t) != http.StatusOK {
			t.Error("the front got a negative answer")
		}
	}
}

// stopAndWait shuts a node down and waits for its end.
func (r *running) stopAndWait(t *testing.T) {
	t.Helper()
	r.stop()
	if err := <-r.done; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// While a new process takes over and the old one shuts down, no client's connection is refused, reset or left unread,
// and the front gets no negative answer.
func TestUpgradeUnderLoad(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, ok))
	old := startProcess(t, cfg)
	done := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	stopped := sync.OnceFunc(func() { close(done) })
	defer stopped()
	for client := range 8 {
		load.Add(1)
		go func() {
			defer load.Done()
			old.sendUntil(t, client, done)
		}()
	}
	served := func(r *running) int {
		c := r.loop.metrics.Snapshot()
		return c.Succeeded.Sum()
	}
	eventually(t, "the old one serves", func() bool { return served(old) > 20 })
	young := startProcess(t, cfg)
	eventually(t, "the old one knows", old.handover.SuccessorServes)
	half := cfg.clientConnectionLimit(cfg.Sockets / 2)
	if old.inbound.limit != half || young.inbound.limit != half {
		t.Errorf("%d and %d connections, want %d each", old.inbound.limit, young.inbound.limit, half)
	}
	old.stopAndWait(t)
	before := served(young)
	eventually(t, "the new one serves alone", func() bool { return served(young) > before+20 })
	eventually(t, "it has all connections", func() bool {
		young.inbound.mu.Lock()
		defer young.inbound.mu.Unlock()
		return young.inbound.limit == cfg.clientConnectionLimit(cfg.Sockets)
	})
	third := startProcess(t, cfg) // and so on
	young.stopAndWait(t)
	if served(third) == 0 {
		eventually(t, "the third serves", func() bool { return served(third) > 0 })
	}
	stopped()
}

// A successor that exits changes nothing for the process that serves, and the next one may come.
func TestSuccessorFails(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, ok))
	old := startProcess(t, cfg)
	var before *handover.Predecessor
	eventually(t, "the file is there", func() bool {
		var err error
		before, err = handover.Connect(cfg.handoverSocket)
		return err == nil && before != nil
	})
	before.AnnounceServing()
	eventually(t, "it took over", old.handover.SuccessorServes)
	before.Listener.Close()
	before.Close()
	eventually(t, "its end is noticed", func() bool { return !old.handover.SuccessorServes() })
	if status, _, _ := do(t, newRequest(t, old.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
	young := startProcess(t, cfg)
	eventually(t, "the next one took over", old.handover.SuccessorServes)
	old.stopAndWait(t)
	http.DefaultClient.CloseIdleConnections() // that of the old one has just been closed
	if status, _, _ := do(t, newRequest(t, young.url, "unsafe", "2", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A socket file that a killed process left does not prevent a start, nor does a silent peer there.
func TestStaleHandoverSocket(t *testing.T) {
	for name, leave := range map[string]func(*net.UnixListener){
		"left by a kill": func(ln *net.UnixListener) {
			ln.SetUnlinkOnClose(false)
			closeSocket(ln)
		},
		"silent": func(*net.UnixListener) {},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := upgradeConfig(t, newBackend(t, ok))
			ln, err := net.Listen("unix", cfg.handoverSocket)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			leave(ln.(*net.UnixListener))
			begin := time.Now()
			n := startProcess(t, cfg)
			if took := time.Since(begin); took > 6*time.Second {
				t.Errorf("started after %v", took)
			}
			if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// Without a hand-over socket a node serves all the same.
func TestNoHandoverSocket(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, ok))
	cfg.handoverSocket = filepath.Join(t.TempDir(), "nowhere", "x.sock")
	n := startProcess(t, cfg)
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A node that is out of service stays so through an upgrade.
func TestUpgradeOfDrainedNode(t *testing.T) {
	cfg := upgradeConfig(t, newBackend(t, ok))
	old := startProcess(t, cfg)
	if status, _ := old.callAdmin(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
		t.Fatalf("not drained: %d", status)
	}
	young := startProcess(t, cfg)
	eventually(t, "the new one took over", old.handover.SuccessorServes)
	old.stopAndWait(t)
	if status := young.ready(t); status != http.StatusServiceUnavailable {
		t.Errorf("/ready says %d", status)
	}
	if status, _ := young.callAdmin(t, "PUT", "/control/in-service"); status != http.StatusOK {
		t.Errorf("not taken back: %d", status)
	}
	eventually(t, "it is in service", func() bool { return young.ready(t) == http.StatusOK })
}
