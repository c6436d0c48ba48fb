package membership

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

func TestKillIsDetectedLeaveIsAnnouncedRejoinIsTheSameMember(t *testing.T) {
	f := newTestFleet(t, 5)
	others := f.meshes[:4]
	f.meshes[4].Close() // without an announcement
	suspected := false
	detection := eventually(t, "n4 is dead for all", func() bool {
		for _, m := range others {
			suspected = suspected || stateOf(m, "n4") == Suspect // for the one that probed it, at least
		}
		return allSee(others, "n4", Dead)
	})
	if !suspected {
		t.Error("n4 was never suspected")
	}
	eventually(t, "the others are a majority", func() bool { return f.agree(others, 4, Majority) })
	f.meshes[4] = f.start(4)
	eventually(t, "n4 is back", func() bool { return f.agree(f.meshes, 5, Complete) })
	t.Cleanup(func() { logViews(t, others, "n4") })
	from := time.Now()
	f.meshes[4].Leave()
	announced := eventually(t, "n4 has left for all", func() bool { return allSee(others, "n4", Left) })
	t.Logf("dead after %v, left after %v and seen %v later", detection, time.Since(from)-announced, announced)
	eventually(t, "the others are complete", func() bool { return f.agree(others, 4, Complete) })
}

// logViews shows what some processes see, if the test has failed.
func logViews(t *testing.T, meshes []*Mesh, name string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, m := range meshes {
		view := m.View()
		t.Logf("%s sees %v, side %v, %+v", m.cfg.Name, stateOf(m, name), view.Side, view.Members)
	}
}

// A process that starts with a clock far back gets an incarnation above those of its name's processes before it.
func TestIncarnationRisesAfterAClockStepBack(t *testing.T) {
	f := newTestFleet(t, 3)
	incarnation := func(m *Mesh) uint64 { return m.local.load().Incarnation }
	before := incarnation(f.meshes[2])
	f.meshes[2].Close()
	m := f.start(2)
	m.local.mu.Lock()
	m.local.metadata.Incarnation = 1000 // as of a clock in 1970
	m.local.mu.Unlock()
	eventually(t, "the incarnation is above the one before", func() bool { return incarnation(m) > before })
	f.meshes[2] = m
	eventually(t, "all see it", func() bool { return f.agree(f.meshes, 3, Complete) })
}

// Of two live processes with one name both see the conflict, and the older steps out and serves on.
func TestOlderOfTwoProcessesOfANameStepsOut(t *testing.T) {
	f := newTestFleet(t, 3)
	address := freeAddresses(t, 1)[0]
	second := f.start(2, func(c *Config) { c.Listen = address })
	first := f.meshes[2]
	eventually(t, "both see the conflict", func() bool {
		return stateOf(first, "n2") == Conflict && stateOf(second, "n2") == Conflict
	})
	eventually(t, "a third sees it", func() bool { return stateOf(f.meshes[0], "n2") == Conflict })
	eventually(t, "the older is out, and knows", func() bool {
		return stateOf(first, "n2") == Conflict && first.View().Side == Isolated
	})
	f.meshes[2] = second
	eventually(t, "the rest agree", func() bool { return f.agree(f.meshes, 3, Complete) })
	second.Close()
	first.do(func() { first.conflict.outsideUntil = first.now() }) // it tries again, sooner than it would
	f.meshes[2] = first
	eventually(t, "the older is back", func() bool { return f.agree(f.meshes, 3, Complete) })
	if n := f.meshes[0].Counters().Dropped["replayed"]; n > 0 {
		t.Errorf("%d packets of the one that came back were taken for replays", n)
	}
}

// Guards against a healthy member that a process takes for dead once it is back in the fleet: the failure detector that
// it has shut reports by timers that still run.
func TestReportsOfAShutDetectorAreNotRead(t *testing.T) {
	f := newTestFleet(t, 3)
	m := f.meshes[2]
	var shut *detectorReports
	var node memberlist.Node
	await(m, func() {
		shut = m.reports
		node = m.processes.byName["n0"][0].node
		m.stepOut(m.now(), m.processes.byName["n0"][0])
	})
	report := func() {
		shut.NotifyLeave(&node)
		_, _ = shut.Write([]byte("Suspect " + node.Name + " has failed, no acks received")) // never fails
	}
	eventually(t, "it is outside", func() bool { return stateOf(m, "n0") == -1 }) // the view follows within a tick
	shut.NotifyJoin(&node)
	time.Sleep(3 * tickInterval)
	if state := stateOf(m, "n0"); state != -1 {
		t.Errorf("outside the fleet it has a member that is %s", state)
	}
	m.do(func() { m.conflict.outsideUntil = m.now() })
	eventually(t, "it is back", func() bool { return f.agree(f.meshes, 3, Complete) })
	report()
	for from := time.Now(); time.Since(from) < 2*suspectTimeout; time.Sleep(5 * time.Millisecond) {
		if state := stateOf(m, "n0"); state != Alive {
			t.Fatalf("reported by a detector that was shut, a healthy member is %s", state)
		}
	}
}

// Guards against a node that ends as it sends to a member while it has stepped out: there is no failure detector then.
func TestSendOutsideTheFleetGoesNowhere(_ *testing.T) {
	m := newBareMesh("a")
	m.send("a", m.newMessage(kindUserMessage))
	m.sendTo(m.processes.byID["a"], m.newMessage(kindProbe))
}

// await runs a function on a process's goroutine, and waits for its end.
func await(m *Mesh, f func()) {
	done := make(chan struct{})
	m.do(func() {
		defer close(done)
		f()
	})
	<-done
}

// A successor waits for the address and is the same member; nobody takes the change for a death.
func TestSuccessorTakesOverTheAddress(t *testing.T) {
	f := newTestFleet(t, 3)
	second := f.start(2)
	if state := stateOf(second, "n2"); state != Joining {
		t.Errorf("while the first has the address the second is %v, want joining", state)
	}
	f.meshes[2].Close()
	f.meshes[2] = second
	eventually(t, "all agree", func() bool {
		if stateOf(f.meshes[0], "n2") == Dead {
			t.Fatal("the change was taken for a death")
		}
		return f.agree(f.meshes, 3, Complete)
	})
}

func TestSplitFleetHealsThoughItsSeedsAreOnOneSide(t *testing.T) {
	f := newTestFleet(t, 2)
	f.addresses = append(f.addresses, freeAddresses(t, 1)[0])
	third := f.start(2, func(c *Config) { c.Seeds = f.seeds[:1] })
	f.meshes = append(f.meshes, third)
	eventually(t, "all agree", func() bool { return f.agree(f.meshes, 3, Complete) })
	f.meshes[0].Close() // the only seed of the third
	f.meshes[1].Close()
	eventually(t, "it is isolated", func() bool { return third.View().Side == Isolated })
	f.meshes[1] = f.start(1, func(c *Config) { c.Seeds = f.seeds[1:] }) // knows nobody else
	eventually(t, "the third finds it", func() bool {
		return stateOf(third, "n1") == Alive && stateOf(f.meshes[1], "n2") == Alive
	})
}

func TestStartNeedsAFleetAndAName(t *testing.T) {
	for _, cfg := range []Config{{Name: "n"}, {Fleet: "f"}, {Fleet: "f", Name: "a~b"}} {
		if _, err := Start(cfg); !errors.Is(err, ErrInvalidName) {
			t.Errorf("fleet %q, name %q: %v, want %v", cfg.Fleet, cfg.Name, err, ErrInvalidName)
		}
	}
}
