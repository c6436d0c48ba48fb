package testbed

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestServerFailsWhenOverloadedInSlowStart(t *testing.T) {
	tb := Start(t, healthyStub())
	s := tb.Server("front-1")
	c := tb.world.SlowStart
	for _, times := range []float64{0.9, 1.1} { // of what it can take
		s.born, s.recent = time.Second, nil
		bore := true
		meanShare := (s.capacityShare(time.Second+c.OverloadWindow/2) + s.capacityShare(time.Second+3*c.OverloadWindow/2)) / 2
		can := c.OverloadFactor * float64(s.spec.Cores) * meanShare
		for at := time.Second + c.OverloadWindow/2; at < time.Second+3*c.OverloadWindow/2; at += 50 * time.Millisecond {
			bore = s.withinCapacity(at, time.Duration(times*can*float64(50*time.Millisecond))) && bore
		}
		if bore != (times < 1) {
			t.Errorf("%.1f of what it bears: bore %v", times, bore)
		}
	}
}

// A server with too many connections rejects requests, and reports that they never ran.
func TestServerHoldsSoManyConnections(t *testing.T) {
	w := healthyStub()
	w.Tiers[0].Conns = 2
	tb := Start(t, w)
	s := tb.Server("front-1")
	var last net.Conn
	for i := range 3 {
		last = dial(t, s.gate.addr)
		Until(t, "it is counted", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == i+1 })
	}
	tb.checker.begin("x", "view", tb.now()+time.Second)
	writeText(t, last, "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: x\r\nX-Call-Class: view\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(last), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Rejected") != "1" {
		t.Errorf("answered %s, X-Rejected %q", resp.Status, resp.Header.Get("X-Rejected"))
	}
	Until(t, "its end makes room", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == 2 })
	checkNoFindings(t, tb)
}

// Servers of a lost zone are silent and come back in slow start; discovery drops them late.
func TestZoneLostAndBack(t *testing.T) {
	w := small(2, 4)
	w.Discovery.Late = 10 * time.Millisecond
	tb := Start(t, w)
	step := Step{Fault: Fault{Kind: "zone", Target: "b", Late: 50 * time.Millisecond}, Target: "b"}
	if err := tb.Apply(context.Background(), step); err != nil {
		t.Fatal(err)
	}
	n, s := tb.Node("n1"), tb.Server("front-3")
	if s.zone != "b" {
		t.Fatalf("front-3 is in %s", s.zone)
	}
	if c, err := net.DialTimeout("tcp", s.gate.addr, 50*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection to the lost zone came up")
	}
	Until(t, "discovery drops the zone", func() bool { return len(tb.disc.known(n).Hosts) == 2 })
	step.Ends = true
	if err := tb.Apply(context.Background(), step); err != nil {
		t.Fatal(err)
	}
	Until(t, "discovery lists the zone", func() bool { return len(tb.disc.known(n).Hosts) == 4 })
	s.mu.Lock()
	share := s.capacityShare(tb.now())
	s.mu.Unlock()
	if share > 0.6 {
		t.Errorf("it came back with %.2f of its capacity", share)
	}
	dial(t, s.gate.addr)
}
