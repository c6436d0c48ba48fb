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

// process runs a node as the program does: it finds or opens its listeners by itself.
func process(t *testing.T, cfg Config) *running {
	t.Helper()
	cfg.Control = freeAddr(t)
	n, err := New(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Node: n, url: "http://" + cfg.Listen, adminAddress: cfg.Control, stop: cancel, done: make(chan error, 1)}
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

// deployment is what both processes of one node are told.
func deployment(t *testing.T, b *backend) Config {
	t.Helper()
	cfg := testConfig(t, "pushed", inService("s", b.addr()))
	cfg.Discovery = silentDiscovery(t)
	cfg.Listen = freeAddr(t)
	cfg.handoverSocket = handoverPath(t.TempDir(), cfg.Listen)
	return cfg
}

// While a new process takes over and the old one leaves, no caller meets a refused, reset or unread connection,
// and the front hears no no.
func TestUpgradeUnderLoad(t *testing.T) {
	cfg := deployment(t, newBackend(t, ok))
	old := process(t, cfg)
	done := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	stopped := sync.OnceFunc(func() { close(done) })
	defer stopped()
	for i := range 8 {
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		load.Add(1)
		go func() {
			defer load.Done()
			for j := 0; ; j++ {
				select {
				case <-done:
					return
				default:
				}
				resp, err := fresh.Do(newRequest(t, old.url, "unsafe", fmt.Sprintf("%d-%d", i, j), "x"))
				if err == nil {
					resp.Body.Close()
				}
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("a caller met %v %v", resp, err)
					return
				}
				if j%10 == 0 && old.ready(t) != http.StatusOK {
					t.Error("the front heard a no")
				}
			}
		}()
	}
	served := func(r *running) int {
		c := r.loop.metrics.snapshot()
		return c.succeeded.sum()
	}
	eventually(t, "the old one serves", func() bool { return served(old) > 20 })
	young := process(t, cfg)
	eventually(t, "the old one knows", old.handover.successorServes.Load)
	if in := cfg.clientConnectionLimit(cfg.Sockets / 2); old.inbound.limit != in || young.inbound.limit != in {
		t.Errorf("%d and %d places, want %d each", old.inbound.limit, young.inbound.limit, in)
	}
	old.stop()
	if err := <-old.done; err != nil {
		t.Errorf("the old one ended with %v", err)
	}
	before := served(young)
	eventually(t, "the new one serves alone", func() bool { return served(young) > before+20 })
	eventually(t, "it has all places", func() bool {
		young.inbound.mu.Lock()
		defer young.inbound.mu.Unlock()
		return young.inbound.limit == cfg.clientConnectionLimit(cfg.Sockets)
	})
	third := process(t, cfg) // and so on
	young.stop()
	<-young.done
	if served(third) == 0 {
		eventually(t, "the third serves", func() bool { return served(third) > 0 })
	}
	stopped()
}

// A successor that dies changes nothing for the process that serves, and the next one may come.
func TestSuccessorFails(t *testing.T) {
	cfg := deployment(t, newBackend(t, ok))
	old := process(t, cfg)
	var before *predecessor
	eventually(t, "the file is there", func() bool {
		var err error
		before, err = connectPredecessor(cfg.handoverSocket)
		return err == nil && before != nil
	})
	before.announceServing()
	eventually(t, "it took over", old.handover.successorServes.Load)
	before.listener.Close()
	before.conn.Close()
	eventually(t, "its end is noticed", func() bool { return !old.handover.successorServes.Load() })
	if status, _, _ := do(t, newRequest(t, old.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
	young := process(t, cfg)
	eventually(t, "the next one took over", old.handover.successorServes.Load)
	old.stop()
	<-old.done
	http.DefaultClient.CloseIdleConnections() // that of the old one has just been closed
	if status, _, _ := do(t, newRequest(t, young.url, "unsafe", "2", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A file that a killed process left does not stop a start, nor does a peer there that says nothing.
func TestStaleHandoverSocket(t *testing.T) {
	for name, leave := range map[string]func(*net.UnixListener){
		"left by a kill": func(ln *net.UnixListener) { ln.SetUnlinkOnClose(false); ln.Close() },
		"mute":           func(*net.UnixListener) {},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := deployment(t, newBackend(t, ok))
			ln, err := net.Listen("unix", cfg.handoverSocket)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			leave(ln.(*net.UnixListener))
			begin := time.Now()
			n := process(t, cfg)
			if took := time.Since(begin); took > 6*time.Second {
				t.Errorf("started after %v", took)
			}
			if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// Where processes cannot meet, a node serves all the same.
func TestNoHandoverSocket(t *testing.T) {
	cfg := deployment(t, newBackend(t, ok))
	cfg.handoverSocket = filepath.Join(t.TempDir(), "nowhere", "x.sock")
	n := process(t, cfg)
	if status, _, _ := do(t, newRequest(t, n.url, "unsafe", "1", "x")); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// A node that is out of service stays so through an upgrade.
func TestUpgradeOfDrainedNode(t *testing.T) {
	cfg := deployment(t, newBackend(t, ok))
	old := process(t, cfg)
	if status, _ := old.ask(t, "PUT", "/control/out-of-service"); status != http.StatusOK {
		t.Fatalf("not drained: %d", status)
	}
	young := process(t, cfg)
	eventually(t, "the new one took over", old.handover.successorServes.Load)
	old.stop()
	<-old.done
	if status := young.ready(t); status != http.StatusServiceUnavailable {
		t.Errorf("/ready says %d", status)
	}
	if status, _ := young.ask(t, "PUT", "/control/in-service"); status != http.StatusOK {
		t.Errorf("not taken back: %d", status)
	}
	eventually(t, "it is in service", func() bool { return young.ready(t) == http.StatusOK })
}
