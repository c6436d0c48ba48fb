package membership

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const longEnough = 30 * time.Second

func eventually(t *testing.T, what string, is func() bool) time.Duration {
	t.Helper()
	from := time.Now()
	for !is() {
		if time.Since(from) > longEnough {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(from)
}

// ports finds addresses that are free for both protocols.
func addresses(t *testing.T, n int) (all []string) {
	t.Helper()
	for len(all) < n {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := tcp.Addr().String()
		udp, err := net.ListenPacket("udp4", addr)
		if err == nil {
			all = append(all, addr)
			udp.Close()
		}
		tcp.Close()
	}
	return all
}

type fleet struct {
	t     *testing.T
	addrs []string
	seeds []string
	mesh  []*Mesh
}

func (f *fleet) config(i int) Config {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("MESH_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("self", i)
	}
	return Config{Fleet: "test", Name: fmt.Sprintf("n%d", i), Zone: "z", Region: "r", Listen: f.addrs[i], Seeds: f.seeds, Probe: 400 * time.Millisecond, Log: log}
}

func (f *fleet) start(i int, change ...func(*Config)) *Mesh {
	f.t.Helper()
	c := f.config(i)
	for _, g := range change {
		g(&c)
	}
	m, err := Start(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(m.Close)
	m.AnnounceServing()
	return m
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{t: t, addrs: addresses(t, n)}
	for i := range min(n, 2) {
		f.seeds = append(f.seeds, fmt.Sprintf("n%d=%s", i, f.addrs[i]))
	}
	for i := range n {
		f.mesh = append(f.mesh, f.start(i))
	}
	eventually(t, "all agree on the whole fleet", func() bool { return f.agree(f.mesh, n, Complete) })
	return f
}

// agree says that some processes see so many living members in a roster of as many, and each other's digest.
func (f *fleet) agree(of []*Mesh, n int, side PartitionSide) bool {
	for _, m := range of {
		v := m.View()
		live := 0
		for _, one := range v.Members {
			if one.State == Alive {
				live++
			}
		}
		if live != n || v.Side != side || v.Digest != of[0].View().Digest || side == Complete && v.MemberListSize != n {
			return false
		}
	}
	return true
}

func state(m *Mesh, name string) State {
	for _, one := range m.View().Members {
		if one.Name == name {
			return one.State
		}
	}
	return -1
}

func TestKillIsFoundLeaveIsToldRejoinIsTheSameMember(t *testing.T) {
	f := newFleet(t, 5)
	f.mesh[4].Close() // without a word
	suspected := false
	d := eventually(t, "n4 is gone for all", func() bool {
		gone := true
		for _, m := range f.mesh[:4] {
			s := state(m, "n4")
			suspected = suspected || s == Suspect // for the one that probed it, at least
			gone = gone && s == Dead
		}
		return gone
	})
	if !suspected {
		t.Error("n4 was never suspected")
	}
	eventually(t, "the others are a majority", func() bool { return f.agree(f.mesh[:4], 4, Majority) })
	f.mesh[4] = f.start(4)
	eventually(t, "n4 is back", func() bool { return f.agree(f.mesh, 5, Complete) })
	from := time.Now()
	defer func() {
		if t.Failed() {
			for _, m := range f.mesh[:4] {
				v := m.View()
				t.Logf("%s sees %v, side %v, %+v", m.cfg.Name, state(m, "n4"), v.Side, v.Members)
			}
		}
	}()
	f.mesh[4].Leave()
	left := eventually(t, "n4 has left for all", func() bool {
		for _, m := range f.mesh[:4] {
			if state(m, "n4") != Left {
				return false
			}
		}
		return true
	})
	t.Logf("gone after %v, left after %v and seen %v later", d, time.Since(from)-left, left)
	eventually(t, "the others are whole", func() bool { return f.agree(f.mesh[:4], 4, Complete) })
}

// A process that starts with a clock far back gets an incarnation above those of its name's processes before it.
func TestIncarnationRisesAfterAClockStepBack(t *testing.T) {
	f := newFleet(t, 3)
	inc := func(m *Mesh) uint64 { m.mu.Lock(); defer m.mu.Unlock(); return m.mine.Incarnation }
	before := inc(f.mesh[2])
	f.mesh[2].Close()
	m := f.start(2)
	m.mu.Lock()
	m.mine.Incarnation = 1000 // as of a clock in 1970
	m.mu.Unlock()
	eventually(t, "the incarnation is above the one before", func() bool { return inc(m) > before })
	f.mesh[2] = m
	eventually(t, "all see it", func() bool { return f.agree(f.mesh, 3, Complete) })
}

// Of two live processes with one name both see the conflict, and the older steps out and serves on.
func TestOlderOfTwoProcessesOfANameStepsOut(t *testing.T) {
	f := newFleet(t, 3)
	other := addresses(t, 1)[0]
	second := f.start(2, func(c *Config) { c.Listen = other })
	first := f.mesh[2]
	eventually(t, "both see the conflict", func() bool { return state(first, "n2") == Conflict && state(second, "n2") == Conflict })
	eventually(t, "a third sees it", func() bool { return state(f.mesh[0], "n2") == Conflict })
	eventually(t, "the older is out, and knows", func() bool { return state(first, "n2") == Conflict && first.View().Side == Isolated })
	f.mesh[2] = second
	eventually(t, "the rest agree", func() bool { return f.agree(f.mesh, 3, Complete) })
	second.Close()
	first.ask(func() { first.outUntil = first.now() }) // it tries again, sooner than it would
	f.mesh[2] = first
	eventually(t, "the older is back", func() bool { return f.agree(f.mesh, 3, Complete) })
	if n := f.mesh[0].Counters().Dropped["replayed"]; n > 0 {
		t.Errorf("%d packets of the one that came back were taken for replays", n)
	}
}

// A successor waits for the address and is the same member; nobody takes the change for a loss.
func TestSuccessorTakesThePlaceOver(t *testing.T) {
	f := newFleet(t, 3)
	second := f.start(2)
	if s := state(second, "n2"); s != Joining {
		t.Errorf("while the first holds the address the second is %v, want joining", s)
	}
	f.mesh[2].Close()
	f.mesh[2] = second
	eventually(t, "all agree", func() bool {
		if s := state(f.mesh[0], "n2"); s == Dead {
			t.Fatal("the change was taken for a loss")
		}
		return f.agree(f.mesh, 3, Complete)
	})
}

// What is not of this fleet and protocol is dropped and counted by its reason, and the fleet stays as it is.
func TestStrangePacketsAreDroppedAndCounted(t *testing.T) {
	f := newFleet(t, 2)
	to, err := net.Dial("udp4", f.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	tr := f.mesh[0].wire.(*transport)
	good := frame{kind: framePacket, fleet: tr.fleet, process: 77, seq: 5, payload: []byte("x")}
	foreign := good
	foreign.fleet++
	newer := good.append(nil)
	newer[2]++
	broken := good.append(nil)
	broken[len(broken)-1]++
	big := good
	big.payload = make([]byte, mostPacket+1)
	for reason, b := range map[string][]byte{"malformed": broken, "version": newer, "foreign": foreign.append(nil), "oversized": big.append(nil)} {
		to.Write(b)
		eventually(t, reason+" is counted", func() bool { return f.mesh[0].Counters().Dropped[reason] > 0 })
	}
	to.Write(good.append(nil))
	to.Write(good.append(nil))
	eventually(t, "a replay is counted", func() bool { return f.mesh[0].Counters().Dropped["replayed"] == 1 })
	if !f.agree(f.mesh, 2, Complete) {
		t.Error("the fleet has changed")
	}
}

// A flood of packets is dropped unread beyond the rate, and the members stay alive for each other.
func TestFloodIsDropped(t *testing.T) {
	f := newFleet(t, 3)
	to, err := net.Dial("udp4", f.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	junk := make([]byte, 200)
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		to.Write(junk)
	}
	eventually(t, "it is counted", func() bool { return f.mesh[1].Counters().Dropped["flood"] > 100 })
	eventually(t, "all agree", func() bool { return f.agree(f.mesh, 3, Complete) })
}

func TestSplitFleetHealsThoughItsSeedsAreOnOneSide(t *testing.T) {
	f := newFleet(t, 2)
	third := addresses(t, 1)[0]
	f.addrs = append(f.addrs, third)
	m := f.start(2, func(c *Config) { c.Seeds = f.seeds[:1] })
	f.mesh = append(f.mesh, m)
	eventually(t, "all agree", func() bool { return f.agree(f.mesh, 3, Complete) })
	f.mesh[0].Close() // the only seed of the third
	f.mesh[1].Close()
	eventually(t, "it is alone", func() bool { return m.View().Side == Isolated })
	f.mesh[1] = f.start(1, func(c *Config) { c.Seeds = f.seeds[1:] }) // knows nobody else
	eventually(t, "the third finds it", func() bool { return state(m, "n1") == Alive && state(f.mesh[1], "n2") == Alive })
}

func TestWindowTakesEachNumberOnce(t *testing.T) {
	var w window
	for _, x := range []struct {
		seq  uint64
		want bool
	}{{0, false}, {5, true}, {5, false}, {4, true}, {70, true}, {5, false}, {6, false}, {7, true}, {7, false}, {1000, true}, {936, false}, {937, true}} {
		if got := w.take(x.seq); got != x.want {
			t.Errorf("take(%d) = %v, want %v", x.seq, got, x.want)
		}
	}
}

func TestHoldDownGrowsAndDecays(t *testing.T) {
	m := &Mesh{began: time.Now(), penalties: map[string]*penalty{}}
	var holds []time.Duration
	for range 8 {
		m.flap("x")
		holds = append(holds, max(0, m.penalties["x"].until-m.now()).Round(time.Second))
	}
	if got, want := fmt.Sprint(holds), "[0s 0s 5s 10s 20s 40s 1m0s 1m0s]"; got != want {
		t.Errorf("held down %s, want %s", got, want)
	}
	p := m.penalties["x"]
	if w := p.now(p.at + 2*flapHalf); w < 1.9 || w > 2.1 {
		t.Errorf("after two half-lives 8 points weigh %.2f", w)
	}
}

func FuzzFrame(f *testing.F) {
	good := frame{kind: framePacket, fleet: 1, process: 2, seq: 3, payload: []byte("payload")}
	f.Add(good.append(nil))
	f.Add([]byte("qm"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := parseFrame(b, 1)
		if err != nil {
			return
		}
		if again := x.append(nil); string(again) != string(b) || binary.BigEndian.Uint64(b[4:]) != 1 {
			t.Errorf("%x was read as %+v, written as %x", b, x, again)
		}
	})
}

func FuzzMessage(f *testing.F) {
	f.Add(`{"f":"n1","e":{"number":1,"leader":"n1"},"r":["n1","n2"],"k":1,"q":5}`)
	f.Add(`{"f":"n1","r":[""],"e":{"number":18446744073709551615}}`)
	f.Fuzz(func(t *testing.T, text string) {
		m := &Mesh{mail: make(chan message, 1)}
		(*delegate)(m).NotifyMsg([]byte(text))
		c := newQuorum("n0", 1, []string{"n0", "n1"}, 0)
		c.updateLiveness(time.Second, map[string]bool{"n0": true, "n1": true}, nil)
		select {
		case msg := <-m.mail:
			c.handle(2*time.Second, msg, 1)
			c.tick(3*time.Second, 1)
			if len(c.list.names) == 0 || strings.Join(c.list.names, "") == "" && len(c.list.names) > 1 {
				t.Errorf("%q made the roster %q", text, c.list.names)
			}
		default:
		}
	})
}
