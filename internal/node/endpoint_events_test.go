package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A draining server gets no new requests, a server whose address changes gets new requests only at its new address, and
// a server that is missing from a snapshot is removed.
func TestEndpointListChangesApply(t *testing.T) {
	a, addr := newFakeDiscovery(t)
	first, second := newBackend(t, serveOK), newBackend(t, serveOK)
	cfg := testConfig(t, "pushed", inService("s-1", first.addr()), inService("s-2", second.addr()))
	cfg.Discovery = addr
	events := make(chan struct{}, 10)
	n := start(t, cfg, func(n *Node) {
		deliver := n.discovery.deliver
		n.discovery.deliver = func(ctx context.Context, w watchEvent) error {
			err := deliver(ctx, w)
			events <- struct{}{}
			return err
		}
	})
	id := 0
	send := func() {
		t.Helper()
		for range 10 {
			id++
			if status, _, _ := do(t, newRequest(t, n.url, "keyed", fmt.Sprint(id), "x")); status != http.StatusOK {
				t.Fatalf("request %d got status %d, want 200", id, status)
			}
		}
	}
	// update sends a list to the node and waits until the event loop has handled it.
	update := func(line string) {
		t.Helper()
		a.lines <- line
		<-events
		n.loop.endpointUpdates <- watchEvent{} // received only after the previous event has been handled
	}
	entry := func(host, dial, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","health":%q,"born_ms":0}`, host, dial, health)
	}
	send()
	if first.requests() == 0 || second.requests() == 0 {
		t.Fatalf("the servers got %d and %d requests, want some on each", first.requests(), second.requests())
	}
	update(`{"seq":2,"hosts":[` + entry("s-2", second.addr(), "terminating") + `]}`)
	before := second.requests()
	send()
	if got := second.requests(); got != before {
		t.Errorf("the draining server got %d new requests, want none", got-before)
	}
	moved := newBackend(t, serveOK)
	update(`{"seq":3,"hosts":[` + entry("s-1", moved.addr(), "in_service") + `]}`)
	before = first.requests()
	send()
	if first.requests() != before || moved.requests() != 10 {
		t.Errorf("after the move the old address got %d requests, the new one %d; want 0 and 10",
			first.requests()-before, moved.requests())
	}
	third := newBackend(t, serveOK)
	update(`{"seq":4,"whole":true,"hosts":[` + entry("s-3", third.addr(), "in_service") + `]}`)
	send()
	if moved.requests() != 10 || third.requests() != 10 {
		t.Errorf("after the snapshot the missing server got %d requests, the listed one %d; want 0 and 10",
			moved.requests()-10, third.requests())
	}
}

// Guards against unusual lists that stop the node: unknown states, duplicate entries, entries without a name or with a
// huge one, invalid numbers, and 10,000 entries. The node uses the valid entries, continues to serve requests, and
// accepts the next list.
func TestUnusualLists(t *testing.T) {
	b := newBackend(t, serveOK)
	entry := func(id, addr, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","health":%q}`, id, addr, health)
	}
	many := make([]string, 10000)
	for i := range many {
		many[i] = entry(fmt.Sprintf("s-%05d", i), "127.0.0.1:1", "terminating")
	}
	good := entry("s-1", b.addr(), "in_service")
	for name, hosts := range map[string]string{
		"an unknown state": entry("s-2", "127.0.0.1:1", "resting") + "," + good,
		"a server twice":   entry("s-1", "127.0.0.1:1", "terminating") + "," + good,
		"an empty entry":   "{}," + good,
		"a huge name":      entry(strings.Repeat("x", 1<<20), "127.0.0.1:1", "terminating") + "," + good,
		"ten thousand":     strings.Join(many, ",") + "," + good,
		"nonsensical numbers": `{"host":"s-3","dial":":::","site":"z","health":"terminating",` +
			`"block":-7,"born_ms":-1e300},` + good,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other, next := newBackend(t, serveOK), make(chan struct{})
			cfg := testConfig(t, "pushed", inService("s-0", "127.0.0.1:1"))
			cfg.Discovery = newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) { // the same list on each watch
				writeFlushed(w, `{"seq":5,"whole":true,"hosts":[`+hosts+`]}`+"\n")
				select {
				case <-next:
					writeFlushed(w, `{"seq":6,"whole":true,"hosts":[`+entry("s-9", other.addr(), "in_service")+`]}`+"\n")
					<-r.Context().Done()
				case <-r.Context().Done():
				}
			})
			n := start(t, cfg)
			attempts := 0
			ask := func() bool {
				attempts++
				r := newRequest(t, n.url, "unsafe", fmt.Sprint(len(name), ".", attempts), "x")
				status, _, _ := do(t, r)
				return status == http.StatusOK
			}
			eventually(t, "a request is served by the listed server", ask)
			for range 3 {
				if !ask() {
					t.Error("a later request was not served")
				}
			}
			close(next)
			eventually(t, "the server of the next list is used", func() bool { return ask() && other.requests() > 0 })
		})
	}
}
