package testbed

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// meshWorld returns a world whose front nodes form a mesh, with a link between any two.
func meshWorld(nodes int) World {
	w := small(nodes, 1)
	w.Fleet = Tables{"mesh": map[string]any{"probe": "200ms"}}
	w.Links = []string{"n*->n*"}
	return w
}

// describeSides describes each node's partition side, epoch and digest, or its error, for the log of a failed test.
func describeSides(nodes []*Node) (all []string) {
	for _, n := range nodes {
		v, err := n.Fleet(context.Background())
		if err != nil {
			all = append(all, err.Error())
			continue
		}
		all = append(all, fmt.Sprintf("%s:%s/%d/%s", n.name, v.Side, v.Epoch.Number, v.Digest[:4]))
	}
	return all
}

// waitUntilAgreed waits until the nodes agree on a partition side, and logs their views if the test fails.
func waitUntilAgreed(t *testing.T, nodes []*Node, side string) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Log(describeSides(nodes))
		}
	}()
	Until(
		t,
		fmt.Sprintf("%d nodes agree on %s", len(nodes), side),
		func() bool { return Agree(context.Background(), nodes, side) },
	)
}

// waitUntilSeen waits until each of the nodes sees a member in a state.
func waitUntilSeen(t *testing.T, nodes []*Node, name, state string) {
	t.Helper()
	for _, n := range nodes {
		Until(t, n.name+" sees "+name+" as "+state, func() bool {
			v, err := n.Fleet(context.Background())
			return err == nil && v.State(name) == state
		})
	}
}

// Guards membership of real processes: a killed node is detected and after its restart recognized as the same member, a
// stopped one is readmitted after the others declared it dead, and one that leaves as planned is not declared dead.
// Clients are served all the time.
func TestMeshOfProcesses(t *testing.T) {
	t.Parallel()
	tb := Start(t, meshWorld(5))
	nodes := tb.Nodes()
	waitUntilAgreed(t, nodes, "whole")
	load, arrivals := draw(t, &tb.world, Load{Rate: 50, Retries: 1}, 12*time.Second)
	driven := make(chan struct{})
	var got tally
	go func() {
		defer close(driven)
		tb.Drive(context.Background(), &load, arrivals, got.add)
	}()
	nodes[4].Kill()
	waitUntilSeen(t, nodes[:4], "n5", "gone")
	waitUntilAgreed(t, nodes[:4], "majority")
	if err := nodes[4].restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitUntilAgreed(t, nodes, "whole")
	check(t, nodes[2].Stop())
	waitUntilSeen(t, append(nodes[:2:2], nodes[3:]...), "n3", "gone")
	check(t, nodes[2].Continue())
	waitUntilAgreed(t, nodes, "whole")
	nodes[3].Terminate()
	waitUntilSeen(t, append(nodes[:3:3], nodes[4]), "n4", "left")
	waitUntilAgreed(t, append(nodes[:3:3], nodes[4]), "whole")
	<-driven
	checkNoFindings(t, tb)
}

// Guards against a partition without exactly one majority, and against nodes that do not find each other after it.
func TestMeshPartitionAndRecovery(t *testing.T) {
	t.Parallel()
	tb := Start(t, meshWorld(5))
	nodes := tb.Nodes()
	waitUntilAgreed(t, nodes, "whole")
	for _, from := range []string{"n1", "n2"} {
		for _, to := range []string{"n3", "n4", "n5"} {
			tb.SetLink(from, to, LinkCondition{Cut: true})
			tb.SetLink(to, from, LinkCondition{Cut: true})
		}
	}
	waitUntilAgreed(t, nodes[2:], "majority")
	waitUntilAgreed(t, nodes[:2], "minority")
	tb.SetLink("n*", "n*", LinkCondition{})
	waitUntilAgreed(t, nodes, "whole")
}

// Guards against the removal of a member from which one other node receives nothing: its messages must reach that node
// through the others.
func TestMeshOneWayCutRemovesNoMember(t *testing.T) {
	t.Parallel()
	w := meshWorld(4)
	w.Fleet = Tables{"mesh": map[string]any{"probe": "500ms"}} // long, so that a busy machine does not cause failed probes
	tb := Start(t, w)
	nodes := tb.Nodes()
	waitUntilAgreed(t, nodes, "whole")
	tb.SetLink("n4", "n3", LinkCondition{Cut: true})
	from := tb.Now()
	Until(t, "5 s have passed", func() bool {
		for _, n := range nodes {
			v, err := n.Fleet(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range v.Members {
				if m.State == "gone" {
					t.Fatalf("node %s declared member %s dead, want all members alive", n.name, m.Name)
				}
			}
		}
		return tb.Now()-from > 5*time.Second
	})
}

// Guards against an admin endpoint that reports members though the node has no fleet configuration.
func TestNoMeshWithoutAFleetConfiguration(t *testing.T) {
	w := meshWorld(1)
	w.Fleet = nil
	tb := Start(t, w)
	if v, err := tb.Nodes()[0].Fleet(context.Background()); err == nil {
		t.Errorf("the admin endpoint reported %+v, want an error", v)
	}
}

// Guards against the removal of members, in any node's view, by a leader that receives nothing: all nodes receive its
// suspicions until it is replaced.
func TestLeaderThatReceivesNothingIsReplaced(t *testing.T) {
	t.Parallel()
	checkNoMemberIsRemoved(t, "deaf leader")
}

// Guards against a leader that receives nothing for a while and then, as its links return one by one, declares those
// members dead whose messages reach it a little later than those of the first member.
func TestLeaderWhoseLinksReturnSlowlyRemovesNoMember(t *testing.T) {
	t.Parallel()
	checkNoMemberIsRemoved(t, "deaf leader, links back one by one")
}

// checkNoMemberIsRemoved runs a scenario and fails if a member was wrongly removed or two majorities were seen.
func checkNoMemberIsRemoved(t *testing.T, scenario string) {
	t.Helper()
	for _, sc := range Scenarios {
		if sc.Name != scenario {
			continue
		}
		got, err := RunScenario(context.Background(), sc, binary, sc.Nodes, 1, 400*time.Millisecond)
		if err != nil || got.Failure != "" || got.Counts["wrongly gone"] > 0 || got.Counts["two majorities"] > 0 {
			t.Errorf("error %v, failure %q, counts %v, want no removal, one majority", err, got.Failure, got.Counts)
		}
		return
	}
	t.Fatalf("there is no scenario %q", scenario)
}

// Guards against a test bed that uses a block of addresses although another program listens on one of them.
func TestTestbedTakesAnotherBlock(t *testing.T) {
	first := Start(t, healthyStub())
	n := first.Node("n1")
	n.Kill()
	other, err := net.Listen("tcp", n.ListenAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	first.blockLock.Close() // unlocks the block, so that the next test bed tries it first
	tb, err := openFrom(context.Background(), healthyStub(), first.block-firstBlock)
	if err != nil {
		t.Fatal(err)
	}
	defer tb.Close()
	if tb.block == first.block {
		t.Error("the test bed uses the block that has an address in use")
	}
}
