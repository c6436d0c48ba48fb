package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a leave that some members take for a failure: the announcement goes by gossip, which may be lost, and
// the failure detector does not tell a leave from a death.
func TestLeaveIsKnownToAllUnderLoss(t *testing.T) {
	const size = 6
	for _, loss := range []float64{0, 0.2, 0.4} {
		for _, leaver := range []int{0, size - 1} { // the first is the leader
			t.Run(fmt.Sprintf("%d leaves, %.0f%% lost", leaver, 100*loss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playLeave(t, size, leaver, loss) })
			})
		}
	}
}

func playLeave(t *testing.T, size, leaver int, loss float64) {
	f := newVirtualFleet(t, size)
	f.until("all agree", f.agreed)
	time.Sleep(5 * time.Second) // until the joins have gone round
	f.network.setLoss(loss)
	from := time.Now()
	f.meshes[leaver].Leave()
	took := time.Since(from)
	f.meshes[leaver] = nil
	known := f.until("all know", func() bool { return f.countState(leaver, Left) == size-1 })
	const bound = leaveTimeout + leaveTimeout/4 + tickInterval
	if took > bound {
		t.Errorf("the leave took %v, want %v at most", took, bound)
	}
	t.Logf("left after %v, known to all %v later", took, known)
}

// A member that was cut off as another one left takes it for dead, and the word of those that know for a leave.
func TestLeaveIsLearnedAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 5
		f := newVirtualFleet(t, size)
		f.until("all agree", f.agreed)
		time.Sleep(5 * time.Second) // until the joins have gone round
		f.endpoints[1].down.Store(true)
		f.meshes[4].Leave()
		f.meshes[4] = nil
		isDead := func() bool { return f.meshes[1].newestState(virtualName(4)) == Dead }
		f.until("it is dead for the one that is cut off", isDead)
		f.endpoints[1].down.Store(false)
		f.until("it has left for all", func() bool { return f.countState(4, Left) == size-1 })
	})
}

// A process that is known to leave has left once it ends, whatever its last metadata was, and does not come back.
func TestLeaveIsNeverTakenBack(t *testing.T) {
	m := newBareMesh("a", "b")
	p := m.processes.byID["a"]
	m.setState(p, Dead)
	m.noteDeparted([]string{"a", "unknown"})
	if p.state != Left {
		t.Errorf("taken for dead, and known to have left: %s", p.state)
	}
	p.updateMetadata([]byte(`{"p":"a"}`))
	if p.metadata.Phase != phaseLeaving || p.endState() != Left {
		t.Errorf("after older metadata its phase is %q and its end %s", p.metadata.Phase, p.endState())
	}
	if ids := m.departedIDs(); len(ids) != 1 || ids[0] != "a" {
		t.Errorf("known to have left: %v", ids)
	}
}
