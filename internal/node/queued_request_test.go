package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"keelusher/internal/inbound"
)

// Guards against a budget for the server that is longer than the client's: a request may wait for its connection to be
// accepted, at the limit on connections or on a busy machine, and this time counts against the client's budget.
func TestBudgetExcludesTimeBeforeAccept(t *testing.T) {
	const queued = 600 * time.Millisecond
	for name, tt := range map[string]struct {
		budget time.Duration
		status int
	}{
		"enough time left": {2 * time.Second, http.StatusOK},
		"no time left":     {queued / 2, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, serveOK)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			request := newRequest(t, "http://"+listener.Addr().String(), "keyed", "1", "x")
			request.Header.Set("X-Budget", fmt.Sprintf("%dm", tt.budget.Milliseconds()))
			if err := request.Write(client); err != nil {
				t.Fatal(err)
			}
			time.Sleep(queued)
			cfg := testConfig(t, "pushed", inService("s-0", server.addr()))
			cfg.Discovery = silentDiscovery(t)
			startOn(t, listener, cfg)
			response, err := http.ReadResponse(bufio.NewReader(client), request)
			if err != nil || response.StatusCode != tt.status {
				t.Fatalf("response %v, error %v, want status %d", response, err, tt.status)
			}
			if tt.status != http.StatusOK {
				return
			}
			given, err := inbound.ParseBudget(server.seen[0].Header.Get("X-Budget"))
			if left := tt.budget - queued; err != nil || given > left {
				t.Errorf("the server got the budget %v, error %v, want at most the client's remaining %v", given, err, left)
			}
		})
	}
}
