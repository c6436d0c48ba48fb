package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a leave that some members take for a failure: gossip that announces it may be lost, and the failure
// detector does not distinguish a process that has left from a dead one.
func TestLeaveIsKnownToAllUnderLoss(t *testing.T) {
	const size = 6
	for _, loss := range []float64{0, 0.2, 0.4} {
		for _, leaver := range []int{0, size - 1} { // the first member leads
			t.Run(fmt.Sprintf("%d leaves, %.0f%% lost", leaver, 100*loss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkLeave(t, size, leaver, loss) })
			})
		}
	}
}

// checkLeave lets one member of a fleet leave under packet loss, and checks how long Leave takes and that all others
// see the member as left.
func checkLeave(t *testing.T, size, leaver int, loss float64) {
	f := newVirtualFleet(t, size)
	f.until("all agree", f.agreed)
	time.Sleep(5 * time.Second) // until gossip about the joins has ended
	f.network.setLoss(loss)
	from := time.Now()
	f.meshes[leaver].Leave()
	took := time.Since(from)
	f.meshes[leaver] = nil
	known := f.until("all see the leave", func() bool { return f.countState(leaver, Left) == size-1 })
	const bound = leaveTimeout + leaveTimeout/4 + tickInterval
	if took > bound {
		t.Errorf("Leave took %v, want %v at most", took, bound)
	}
	t.Logf("Leave took %v; all others saw the member as left %v later", took, known)
}

// Guards against a member that has left but stays dead in the view of another one: a member that was partitioned during
// the leave confirms the first one dead, and must change its state to left once the others report that it has left.
func TestLeaveIsLearnedAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 5
		f := newVirtualFleet(t, size)
		f.until("all agree", f.agreed)
		time.Sleep(5 * time.Second) // until gossip about the joins has ended
		f.endpoints[1].down.Store(true)
		f.meshes[4].Leave()
		f.meshes[4] = nil
		isDead := func() bool { return f.meshes[1].newestState(virtualName(4)) == Dead }
		f.until("the partitioned member sees it as dead", isDead)
		f.endpoints[1].down.Store(false)
		f.until("all see it as left", func() bool { return f.countState(4, Left) == size-1 })
	})
}

// Guards against a leave that is undone: once a process is known to have left, older metadata that arrives late must
// not change its phase, and its end must not count as a failure.
func TestLeaveIsNeverUndone(t *testing.T) {
	m := newBareMesh("a", "b")
	p := m.processes.byID["a"]
	m.setState(p, Dead)
	m.mergeDeparted([]string{"a", "unknown"})
	if p.state != Left {
		t.Errorf("state of a dead process that is reported as departed is %s, want left", p.state)
	}
	p.updateMetadata([]byte(`{"p":"a"}`)) // phaseAlive
	if p.metadata.Phase != phaseLeaving || p.endState() != Left {
		t.Errorf("after older metadata the phase is %q and the end state is %s, want \"l\" and left",
			p.metadata.Phase, p.endState())
	}
	if ids := m.departedIDs(); len(ids) != 1 || ids[0] != "a" {
		t.Errorf("IDs of departed processes are %v, want [a]", ids)
	}
}
