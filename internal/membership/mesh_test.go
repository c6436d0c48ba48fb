package membership

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// A member that is killed becomes suspect and then dead in the views of all others. After a restart it is the same
// member again, and its leave is announced to all.
func TestKillRestartAndLeaveOfAMember(t *testing.T) {
	f := newTestFleet(t, 5)
	others := f.meshes[:4]
	f.meshes[4].Close() // without an announcement
	suspected := false
	detection := eventually(t, "n4 is dead for all others", func() bool {
		for _, m := range others {
			suspected = suspected || stateOf(m, "n4") == Suspect // at least for the process that probed it
		}
		return allSee(others, "n4", Dead)
	})
	if !suspected {
		t.Error("no other member had n4 as suspect before it was dead")
	}
	eventually(t, "the others have the majority", func() bool { return f.agree(others, 4, Majority) })
	f.meshes[4] = f.start(4)
	eventually(t, "n4 is alive again and all five members agree", func() bool { return f.agree(f.meshes, 5, Complete) })
	t.Cleanup(func() { logViews(t, others, "n4") })
	from := time.Now()
	f.meshes[4].Leave()
	announced := eventually(t, "n4 has left for all others", func() bool { return allSee(others, "n4", Left) })
	t.Logf("the kill was detected after %v; Leave took %v, and all others had n4 as left %v later",
		detection, time.Since(from)-announced, announced)
	eventually(t, "the others agree on a complete fleet of four", func() bool { return f.agree(others, 4, Complete) })
}

// logViews logs the views of some processes, if the test has failed.
func logViews(t *testing.T, meshes []*Mesh, name string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, m := range meshes {
		view := m.View()
		t.Logf("%s: state of the member %v, side %v, members %+v", m.cfg.Name, stateOf(m, name), view.Side, view.Members)
	}
}

// A process that starts while its clock is far behind raises its incarnation above that of the previous process of its
// name.
func TestIncarnationRisesAfterAClockStepBack(t *testing.T) {
	f := newTestFleet(t, 3)
	incarnation := func(m *Mesh) uint64 { return m.local.load().Incarnation }
	before := incarnation(f.meshes[2])
	f.meshes[2].Close()
	m := f.start(2)
	m.local.mu.Lock()
	m.local.metadata.Incarnation = 1000 // as if the clock were in 1970
	m.local.mu.Unlock()
	eventually(t, "the incarnation is above the previous one", func() bool { return incarnation(m) > before })
	f.meshes[2] = m
	eventually(t, "all agree on the complete fleet", func() bool { return f.agree(f.meshes, 3, Complete) })
}

// If two live processes have the same name, both report the conflict. The older one steps out of the fleet, but goes on
// serving clients. It returns after the newer one has ended.
func TestOlderOfTwoProcessesOfANameStepsOut(t *testing.T) {
	f := newTestFleet(t, 3)
	address := freeAddresses(t, 1)[0]
	second := f.start(2, func(c *Config) { c.Listen = address })
	first := f.meshes[2]
	eventually(t, "both processes of n2 see the conflict", func() bool {
		return stateOf(first, "n2") == Conflict && stateOf(second, "n2") == Conflict
	})
	eventually(t, "n0 sees the conflict", func() bool { return stateOf(f.meshes[0], "n2") == Conflict })
	eventually(t, "the older process has stepped out and reports that", func() bool {
		return stateOf(first, "n2") == Conflict && first.View().Side == Isolated
	})
	f.meshes[2] = second
	eventually(t, "all agree with the newer process", func() bool { return f.agree(f.meshes, 3, Complete) })
	second.Close()
	first.do(func() { first.conflict.outsideUntil = first.now() }) // return now instead of after stepOutDuration
	f.meshes[2] = first
	eventually(t, "all agree with the older process", func() bool { return f.agree(f.meshes, 3, Complete) })
	if n := f.meshes[0].Counters().Dropped["replayed"]; n > 0 {
		t.Errorf("after the older process returned, n0 dropped %d packets as replayed, want 0", n)
	}
}

// Guards against a process that has stepped out and returned, and then declares a healthy member dead: timers of the
// failure detector that was shut down still ran and reported the member dead.
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
	// The view is updated within a tick.
	eventually(t, "n2 has stepped out and its view does not have n0", func() bool { return stateOf(m, "n0") == -1 })
	shut.NotifyJoin(&node)
	time.Sleep(3 * tickInterval)
	if state := stateOf(m, "n0"); state != -1 {
		t.Errorf("n2 is outside the fleet, but has n0 as %s", state)
	}
	m.do(func() { m.conflict.outsideUntil = m.now() })
	eventually(t, "n2 has returned", func() bool { return f.agree(f.meshes, 3, Complete) })
	report()
	for from := time.Now(); time.Since(from) < 2*suspectTimeout; time.Sleep(5 * time.Millisecond) {
		if state := stateOf(m, "n0"); state != Alive {
			t.Fatalf("after reports of a detector that was shut down, healthy n0 is %s, want alive", state)
		}
	}
}

// Guards against a crash of a node that sends to a member while the node itself has stepped out of the fleet and has no
// failure detector.
func TestSendOutsideTheFleetIsDiscarded(_ *testing.T) {
	m := newBareMesh("a")
	m.send("a", m.newMessage(kindUserMessage))
	m.sendTo(m.processes.byID["a"], m.newMessage(kindProbe))
}

// await runs a function on the goroutine of a mesh, and waits until it returns.
func await(m *Mesh, f func()) {
	done := make(chan struct{})
	m.do(func() {
		defer close(done)
		f()
	})
	<-done
}

// A successor waits for the address and is the same member as its predecessor. The member does not become dead for n0
// meanwhile.
func TestSuccessorTakesOverTheAddress(t *testing.T) {
	f := newTestFleet(t, 3)
	second := f.start(2)
	if state := stateOf(second, "n2"); state != Joining {
		t.Errorf("while the first process has the address the second is %v, want joining", state)
	}
	f.meshes[2].Close()
	f.meshes[2] = second
	eventually(t, "all agree on the complete fleet", func() bool {
		if stateOf(f.meshes[0], "n2") == Dead {
			t.Fatal("n0 has n2 as dead while the successor takes over the address")
		}
		return f.agree(f.meshes, 3, Complete)
	})
}

// Guards against a fleet that stays split: a process whose only seed has ended must still find a member that has
// restarted with itself as its only seed.
func TestSplitFleetHealsThoughItsSeedsAreOnOneSide(t *testing.T) {
	f := newTestFleet(t, 2)
	f.addresses = append(f.addresses, freeAddresses(t, 1)[0])
	third := f.start(2, func(c *Config) { c.Seeds = f.seeds[:1] })
	f.meshes = append(f.meshes, third)
	eventually(t, "all agree on the complete fleet", func() bool { return f.agree(f.meshes, 3, Complete) })
	f.meshes[0].Close() // the only seed of the third process
	f.meshes[1].Close()
	eventually(t, "n2 is isolated", func() bool { return third.View().Side == Isolated })
	f.meshes[1] = f.start(1, func(c *Config) { c.Seeds = f.seeds[1:] }) // its only seed is itself
	eventually(t, "n1 and n2 have each other as alive", func() bool {
		return stateOf(third, "n1") == Alive && stateOf(f.meshes[1], "n2") == Alive
	})
}

func TestStartNeedsAFleetAndAName(t *testing.T) {
	for _, cfg := range []Config{{Name: "n"}, {Fleet: "f"}, {Fleet: "f", Name: "a~b"}} {
		if _, err := Start(cfg); !errors.Is(err, ErrInvalidName) {
			t.Errorf("Start with fleet %q, name %q: error %v, want %v", cfg.Fleet, cfg.Name, err, ErrInvalidName)
		}
	}
}
