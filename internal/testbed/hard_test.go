package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestStoppedNodeComesBackToOldRequests(t *testing.T) {
	w := small(2, 2)
	w.Zones = []string{"a"}
	tb := Start(t, w)
	load, day := draw(t, &tb.world, Load{Rate: 60, Retries: 1}, 4*time.Second)
	go func() {
		n := tb.Node("n1")
		Until(t, "n1 has requests", func() bool { return tb.Checker().Account().Taken > 20 })
		n.Stop()
		Until(t, "a client gave up", func() bool { return tb.Checker().Account().CutOff > 0 })
		n.Continue()
	}()
	var got tally
	tb.Drive(context.Background(), &load, day, got.add)
	checkNoFindings(t, tb)
	if a := tb.Checker().Account(); a.CutOff == 0 {
		t.Errorf("nothing was cut off: %+v", a)
	}
	Until(t, "n1 serves again", func() bool { return tb.Node("n1").Ready(context.Background()) })
}

func TestKilledNodeRestartsUnderItsName(t *testing.T) {
	tb := Start(t, small(2, 2))
	n := tb.Node("n1")
	before, cpu := n.process.cmd.Process.Pid, n.Usage()
	n.Kill()
	if u := n.Usage(); u.RSS != 0 || u.CPU < cpu.CPU {
		t.Errorf("a killed process takes %+v, before its end %+v", u, cpu)
	}
	if err := n.restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if u := n.Usage(); u.RSS < 1<<20 || u.Files < 5 || n.process.cmd.Process.Pid == before {
		t.Errorf("restarted as process %d, before %d, with %+v", n.process.cmd.Process.Pid, before, u)
	}
	if n.Terminate() {
		t.Error("SIGKILL was needed after SIGTERM")
	}
	checkNoFindings(t, tb)
}

func TestCrashIsAFindingWithTheLastLogLines(t *testing.T) {
	tb := Start(t, healthyStubs(1))
	tb.Node("n1").process.cmd.Process.Signal(syscall.SIGQUIT) // not through the testbed: its end is unexpected
	Until(t, "the end is found", func() bool { _, c := tb.Findings(); return c[Crash] == 1 })
	found, _ := tb.Findings()
	if found[0].Node != "n1" || !strings.Contains(found[0].Detail, "exit") || len(found[0].Detail) < 60 {
		t.Errorf("found %v, want n1, its exit and its last words", found[0])
	}
}

func TestPortTakenByAnotherProcess(t *testing.T) {
	tb := Start(t, healthyStubs(1))
	n := tb.Node("n1")
	n.Kill()
	other, err := net.Listen("tcp", n.Listen())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := n.Start(); err == nil || !strings.Contains(err.Error(), "the address of n1 is taken") {
		t.Errorf("started with %v, want its address taken", err)
	}
	checkNoFindings(t, tb)
}

func TestNodeThatNeverBecomesReady(t *testing.T) {
	w := healthyStubs(1)
	w.Env, w.Ready = []string{"TESTBED_TEST_AS=mute"}, 300*time.Millisecond
	_, err := Open(context.Background(), w)
	if err == nil || !strings.Contains(err.Error(), "n1 never became ready") || !strings.Contains(err.Error(), "mute as planted") {
		t.Errorf("opened with %v, want the node's name and what it said", err)
	}
}

func TestNoChildOutlivesTheTestbed(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "TESTBED_TEST_AS=testbed")
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	var folders []string
	for len(folders) < 2 && lines.Scan() {
		folders = append(folders, "/proc/"+lines.Text()+"/stat")
	}
	alive := func(stat string) bool { // a zombie is dead
		text, err := os.ReadFile(stat)
		return err == nil && !strings.Contains(string(text), ") Z ")
	}
	if len(folders) != 2 || !alive(folders[0]) || !alive(folders[1]) {
		t.Fatalf("the other testbed did not start: %v", folders)
	}
	c.Process.Kill()
	c.Wait()
	for _, f := range folders {
		Until(t, f+" ends", func() bool { return !alive(f) })
	}
}

// While the node stands still arrivals go on at their drawn times, and a request's time counts from then.
func TestArrivalsStayOpenLoopWhileTheSystemStalls(t *testing.T) {
	w := healthyStubs(1)
	tb := Start(t, w)
	load, day := draw(t, &tb.world, Load{Rate: 100}, 2*time.Second)
	const stall, until = 500 * time.Millisecond, 1300 * time.Millisecond
	n, began := tb.Node("n1"), tb.now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sleepUntil(tb.began.Add(began+stall), tb.done)
		n.Stop()
		sleepUntil(tb.began.Add(began+until), tb.done)
		n.Continue()
	}()
	var got tally
	tb.Drive(context.Background(), &load, day, got.add)
	<-done
	stalled, inTime := 0, 0
	for _, s := range got.all {
		if s.Arrival.At < stall+200*time.Millisecond || s.Arrival.At > until-200*time.Millisecond {
			continue
		}
		stalled++
		if s.End == "served" && s.Latency < until-s.Arrival.At {
			t.Errorf("an arrival at %v took %v, but nothing was served before %v", s.Arrival.At, s.Latency, until)
		}
		if s.Late <= voidLateness {
			inTime++
		}
	}
	if len(got.all) != len(day) || stalled < 20 || inTime < stalled/2 {
		t.Errorf("%d arrivals of %d, %d in the stall, %d of them sent in time", len(got.all), len(day), stalled, inTime)
	}
	const late = 300 * time.Millisecond // of the testbed itself
	if s := tb.runClient(context.Background(), &load, tb.now()-late, Arrival{
		ID:       "late",
		Patience: 1,
		Tenant:   -1,
	}); s.Latency < late || s.Late < late {
		t.Errorf("sent %v late it took %v and was %v late", late, s.Latency, s.Late)
	}
}

func TestSlowMachineVoidsFindings(t *testing.T) {
	tb := Start(t, healthyStubs(1))
	Until(
		t,
		"a second in time",
		func() bool { return tb.now() > 3*time.Second && !tb.Void(tb.now()-2*time.Second, tb.now()) },
	)
	tb.checker.addFinding(Lost, "x", "n1", "planted")
	if _, counts := tb.Findings(); counts[Lost] != 1 {
		t.Errorf("in time: %v, want it counted", counts)
	}
	tb.lateness.note(tb.now(), 2*voidLateness)
	found, counts := tb.Findings()
	if len(counts) != 0 || !found[0].Void {
		t.Errorf("too late: %v and %v, want it void", counts, found)
	}
}

// echo is a far side that gives back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func newLink(t *testing.T) (l *tcpLink, there, back *direction) {
	t.Helper()
	there, back = newDirection(), newDirection()
	l, err := newTCPLink("127.0.0.1:0", echo(t), there, back)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return l, there, back
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestLinkResetInMidBody(t *testing.T) {
	l, _, back := newLink(t)
	c := dial(t, l.gate.addr)
	back.set(LinkCondition{Rate: 100_000})
	c.Write(make([]byte, 100_000)) // taken at once; a second at that rate comes back
	if _, err := io.ReadFull(c, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	l.gate.reset()
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the reader got %v, want a reset", err)
	}
	back.set(LinkCondition{})
	c = dial(t, l.gate.addr)
	fmt.Fprint(c, "hello")
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		t.Errorf("after the reset: %v", err)
	}
}

// A cut one way holds back what goes that way only, new connections do not come up, and all goes on after it.
func TestLinkCutOneWay(t *testing.T) {
	l, _, back := newLink(t)
	c := dial(t, l.gate.addr)
	back.set(LinkCondition{Cut: true})
	l.conditionsChanged()
	fmt.Fprint(c, "hello")
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 5)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes and %v came through the cut", n, err)
	}
	if c, err := net.DialTimeout("tcp", l.gate.addr, 100*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up through the cut")
	}
	back.set(LinkCondition{})
	l.conditionsChanged()
	c.SetReadDeadline(time.Now().Add(longEnough))
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Errorf("after the cut: %q, %v", got, err)
	}
	dial(t, l.gate.addr)
}

func TestGateRefusesAndComesBackAtItsAddress(t *testing.T) {
	g, err := newGate("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	for range 3 {
		for mode, want := range map[gateMode]error{gateRefuse: syscall.ECONNREFUSED, gateSilent: os.ErrDeadlineExceeded} {
			if err := g.set(mode); err != nil {
				t.Fatal(err)
			}
			c, err := net.DialTimeout("tcp", g.addr, 100*time.Millisecond)
			if err == nil {
				c.Close()
			}
			var late net.Error
			if want == syscall.ECONNREFUSED && !errors.Is(err, want) || want != syscall.ECONNREFUSED && !(errors.As(err, &late) && late.Timeout()) {
				t.Errorf("mode %d: %v, want %v", mode, err, want)
			}
		}
		if err := g.set(gateOpen); err != nil {
			t.Fatal(err)
		}
		client := dial(t, g.addr)
		server, err := g.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if server.RemoteAddr().String() != client.LocalAddr().String() {
			t.Errorf("accepted %v, want %v", server.RemoteAddr(), client.LocalAddr())
		}
	}
}

// Of 4,000 datagrams as many are lost, doubled and out of order as the condition says, within five deviations.
func TestUDPLinkLosesDoublesAndReorders(t *testing.T) {
	const n, loss, dup, reorder = 4000, 0.2, 0.1, 0.1
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	there := newDirection()
	l, err := newUDPLink("127.0.0.1:0", server.LocalAddr().String(), there, newDirection())
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	client, err := net.Dial("udp", l.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	buf := make([]byte, 100)
	fmt.Fprint(client, "ping") // plain, and back
	server.SetReadDeadline(time.Now().Add(longEnough))
	_, from, err := server.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	server.WriteToUDP([]byte("pong"), from)
	client.SetReadDeadline(time.Now().Add(longEnough))
	if k, err := client.Read(buf); err != nil || string(buf[:k]) != "pong" {
		t.Fatalf("back came %q, %v", buf[:k], err)
	}
	there.set(LinkCondition{Loss: loss, Dup: dup, Reorder: reorder})
	seen, twice, disorder, last := map[int]int{}, 0, 0, -1
	for i := range n {
		fmt.Fprintf(client, "%d", i)
		if i%20 != 19 {
			continue
		}
		for server.SetReadDeadline(time.Now().Add(2 * time.Millisecond)); ; {
			k, err := server.Read(buf)
			if err != nil {
				break
			}
			var x int
			fmt.Sscan(string(buf[:k]), &x)
			if seen[x]++; seen[x] > 1 {
				twice++
			}
			if x < last {
				disorder++
			}
			last = max(last, x)
		}
	}
	checkShare := func(what string, got int, p float64) {
		if d := 5 * math.Sqrt(n*p*(1-p)); math.Abs(float64(got)-n*p) > d {
			t.Errorf("%s: %d of %d, want %.0f within %.0f", what, got, n, n*p, d)
		}
	}
	checkShare("lost", n-len(seen), loss)
	checkShare("doubled", twice, dup*(1-loss)*(1-reorder/2)) // a held one is not doubled
	if float64(disorder) < n*reorder*(1-loss)/3 {
		t.Errorf("%d out of order", disorder)
	}
}

func TestServerFailsWhenOverloadedInSlowStart(t *testing.T) {
	tb := Start(t, healthyStubs(1))
	s := tb.Server("front-1")
	c := tb.world.SlowStart
	for _, times := range []float64{0.9, 1.1} { // of what it bears
		s.born, s.recent = time.Second, nil
		bore := true
		can := c.OverloadFactor * float64(
			s.spec.Cores,
		) * (s.capacityShare(time.Second+c.OverloadWindow/2) + s.capacityShare(time.Second+3*c.OverloadWindow/2)) / 2
		for at := time.Second + c.OverloadWindow/2; at < time.Second+3*c.OverloadWindow/2; at += 50 * time.Millisecond {
			bore = s.withinCapacity(at, time.Duration(times*can*float64(50*time.Millisecond))) && bore
		}
		if bore != (times < 1) {
			t.Errorf("%.1f of what it bears: bore %v", times, bore)
		}
	}
}

// A server with too many connections turns requests away, and says that they never ran.
func TestServerHoldsSoManyConnections(t *testing.T) {
	w := healthyStubs(1)
	w.Tiers[0].Conns = 2
	tb := Start(t, w)
	s := tb.Server("front-1")
	var last net.Conn
	for i := range 3 {
		last = dial(t, s.gate.addr)
		Until(t, "it is counted", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == i+1 })
	}
	tb.checker.begin("x", "view", tb.now()+time.Second)
	fmt.Fprint(last, "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: x\r\nX-Call-Class: view\r\n\r\n")
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

// Servers of a lost zone say nothing and come back in slow start; discovery drops them late.
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
