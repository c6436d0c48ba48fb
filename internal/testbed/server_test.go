package testbed

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A server in slow start takes 0.9 of the load at which it crashes, and does not take 1.1 of it.
func TestServerFailsWhenOverloadedInSlowStart(t *testing.T) {
	tb := Start(t, healthyStub())
	s := tb.Server("front-1")
	c := tb.world.SlowStart
	for _, loadFactor := range []float64{0.9, 1.1} { // relative to the most that the server can take
		s.startedAt, s.recentWork = time.Second, nil
		accepted := true
		meanShare := (s.capacityShare(time.Second+c.OverloadWindow/2) + s.capacityShare(time.Second+3*c.OverloadWindow/2)) / 2
		capacity := c.OverloadFactor * float64(s.spec.Cores) * meanShare
		for at := time.Second + c.OverloadWindow/2; at < time.Second+3*c.OverloadWindow/2; at += 50 * time.Millisecond {
			accepted = s.withinCapacity(at, time.Duration(loadFactor*capacity*float64(50*time.Millisecond))) && accepted
		}
		if accepted != (loadFactor < 1) {
			t.Errorf("%.1f of what the server can take: accepted %v, want the opposite", loadFactor, accepted)
		}
	}
}

// A server that holds more connections than its limit rejects requests, and marks them as not run.
func TestServerRejectsRequestsBeyondConnectionLimit(t *testing.T) {
	w := healthyStub()
	w.Tiers[0].Conns = 2
	tb := Start(t, w)
	s := tb.Server("front-1")
	var last net.Conn
	for i := range 3 {
		last = dial(t, s.gate.addr)
		Until(t, "the server counts the connection", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == i+1 })
	}
	tb.checker.begin("x", "view", tb.now()+time.Second)
	writeText(t, last, "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: x\r\nX-Call-Class: view\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(last), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Rejected") != "1" {
		t.Errorf("got status %s, X-Rejected %q, want 503 and 1", resp.Status, resp.Header.Get("X-Rejected"))
	}
	Until(t, "the closed connection is not counted", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == 2 })
	checkNoFindings(t, tb)
}

// Servers of a lost zone accept no connections and are dropped by discovery after a delay. At the end of the fault they
// are listed again, accept connections, and are in slow start.
func TestLostZoneReturnsInSlowStart(t *testing.T) {
	w := small(2, 4)
	w.Discovery.NotificationDelay = 10 * time.Millisecond
	tb := Start(t, w)
	step := Step{Fault: Fault{Kind: "zone", Target: "b", Late: 50 * time.Millisecond}, Target: "b"}
	if err := tb.Apply(context.Background(), step); err != nil {
		t.Fatal(err)
	}
	n, s := tb.Node("n1"), tb.Server("front-3")
	if s.zone != "b" {
		t.Fatalf("front-3 is in zone %s, want b", s.zone)
	}
	if c, err := net.DialTimeout("tcp", s.gate.addr, 50*time.Millisecond); err == nil {
		c.Close()
		t.Error("connected to a server of the lost zone")
	}
	Until(t, "discovery drops the zone", func() bool { return len(tb.discovery.fullList(n).Hosts) == 2 })
	step.Ends = true
	if err := tb.Apply(context.Background(), step); err != nil {
		t.Fatal(err)
	}
	Until(t, "discovery lists the zone", func() bool { return len(tb.discovery.fullList(n).Hosts) == 4 })
	s.mu.Lock()
	share := s.capacityShare(tb.now())
	s.mu.Unlock()
	if share > 0.6 {
		t.Errorf("the server came back with %.2f of its capacity, want at most 0.6", share)
	}
	dial(t, s.gate.addr)
}
