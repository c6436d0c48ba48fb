package node

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"keelusher/policy"
	"keelusher/policy/guard"
)

// Guards against a request that runs twice because its retry arrives after the deduplication window of its class: the
// policy decides on the retry within the window, but the connection is established only after it.
func TestNoRetryAfterDeduplicationWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	fails := func(_ int, c net.Conn, _ *http.Request) bool { return respond(c, "500 Internal Server Error", "") }
	var hosts []listedEndpoint
	var backends []*backend
	for i := range 2 {
		b := newBackend(t, fails)
		backends = append(backends, b)
		hosts = append(hosts, inService(fmt.Sprintf("s-%d", i), b.addr()))
	}
	cfg := testConfig(t, "pushed", hosts...)
	cfg.Discovery = silentDiscovery(t)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].DeduplicationWindow, cfg.Settings.Classes[i].DeduplicationScope = window, policy.ScopeAll
	}
	var dials atomic.Int64
	n := start(t, cfg, func(n *Node) {
		n.pool.dialer.Control = func(string, string, syscall.RawConn) error {
			if dials.Add(1) == 2 {
				time.Sleep(window + 100*time.Millisecond) // delays the retry by at least this time
			}
			return nil
		}
	})
	status, _, _ := do(t, newRequest(t, n.url, "keyed", "1", ""))
	if dials.Load() != 2 {
		t.Fatalf("%d connections dialed, want 2: one for the first attempt and one for the retry", dials.Load())
	}
	if got := backends[0].requests() + backends[1].requests(); got != 1 {
		t.Errorf("servers got the request %d times, want once: the deduplication window was over", got)
	}
	if status == http.StatusOK {
		t.Errorf("status %d, want an error", status)
	}
}

// An attempt that was sent although it was not allowed is counted as a violation under the name of its verdict. This
// happens if the process is suspended between the check by the guard and the write.
func TestViolationsAreCounted(t *testing.T) {
	for want, delay := range map[guard.Verdict]func(now time.Duration, att *attempt){
		guard.Allowed: func(time.Duration, *attempt) {},
		guard.DeduplicationWindowOver: func(now time.Duration, att *attempt) {
			att.retryBefore = now
		},
		guard.ClientDisconnected: func(now time.Duration, att *attempt) {
			att.request.disconnectedAt.set(now - time.Second)
		},
		guard.EndpointRemoved: func(now time.Duration, att *attempt) {
			att.endpoint.removedAt.set(now - 4*time.Second)
		},
		guard.TimeoutTooLong: func(now time.Duration, att *attempt) {
			att.request.deadline = now + time.Second
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			p := testPool(t)
			att := testAttempt(p, newBackend(t, serveOK).addr(), time.Minute)
			att.request.deadline = att.deadline
			if why := p.checkSend(att); why != guard.Allowed {
				t.Fatalf("verdict %v before the attempt, want allowed", why)
			}
			c, err := p.acquire(att)
			if err != nil {
				t.Fatal(err)
			}
			delay(p.clock.now(), att)
			if r, err := p.roundTrip(c, att); err != nil || r.err != nil {
				t.Fatal(err, r.err)
			}
			got := p.decisions.Violations()
			if want == guard.Allowed && len(got) > 0 || want != guard.Allowed && (got[want.String()] != 1 || len(got) > 1) {
				t.Errorf("violations %v, want one of this verdict unless it is allowed", got)
			}
		})
	}
}
