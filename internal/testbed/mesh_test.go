package testbed

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// meshed is a world of front nodes that know of each other, with a link between any two.
func meshWorld(nodes int) World {
	w := small(nodes, 1)
	w.Fleet = Tables{"mesh": map[string]any{"probe": "200ms"}}
	w.Links = []string{"n*->n*"}
	return w
}

func sides(nodes []*Node) (all []string) {
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

func untilAgreed(t *testing.T, nodes []*Node, side string) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Log(sides(nodes))
		}
	}()
	Until(
		t,
		fmt.Sprintf("%d nodes agree on %s", len(nodes), side),
		func() bool { return Agree(context.Background(), nodes, side) },
	)
}

func untilSeen(t *testing.T, nodes []*Node, name, state string) {
	t.Helper()
	for _, n := range nodes {
		Until(t, n.name+" sees "+name+" as "+state, func() bool {
			v, err := n.Fleet(context.Background())
			return err == nil && v.State(name) == state
		})
	}
}

// Real processes detect a killed one, readmit a stopped one after they declared it dead, handle a planned leave, and
// recognize a restarted one as the same member; clients are served all the time.
func TestMeshOfProcesses(t *testing.T) {
	t.Parallel()
	tb := Start(t, meshWorld(5))
	nodes := tb.Nodes()
	untilAgreed(t, nodes, "whole")
	load, arrivals := draw(t, &tb.world, Load{Rate: 50, Retries: 1}, 12*time.Second)
	driven := make(chan struct{})
	var got tally
	go func() {
		defer close(driven)
		tb.Drive(context.Background(), &load, arrivals, got.add)
	}()
	nodes[4].Kill()
	untilSeen(t, nodes[:4], "n5", "gone")
	untilAgreed(t, nodes[:4], "majority")
	if err := nodes[4].restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	untilAgreed(t, nodes, "whole")
	check(t, nodes[2].Stop())
	untilSeen(t, append(nodes[:2:2], nodes[3:]...), "n3", "gone")
	check(t, nodes[2].Continue())
	untilAgreed(t, nodes, "whole")
	nodes[3].Terminate()
	untilSeen(t, append(nodes[:3:3], nodes[4]), "n4", "left")
	untilAgreed(t, append(nodes[:3:3], nodes[4]), "whole")
	<-driven
	checkNoFindings(t, tb)
}

// A split leaves one majority; the others know that they have none, and all find each other when it ends.
func TestMeshSplitAndHealed(t *testing.T) {
	t.Parallel()
	tb := Start(t, meshWorld(5))
	nodes := tb.Nodes()
	untilAgreed(t, nodes, "whole")
	for _, from := range []string{"n1", "n2"} {
		for _, to := range []string{"n3", "n4", "n5"} {
			tb.SetLink(from, to, LinkCondition{Cut: true})
			tb.SetLink(to, from, LinkCondition{Cut: true})
		}
	}
	untilAgreed(t, nodes[2:], "majority")
	untilAgreed(t, nodes[:2], "minority")
	tb.SetLink("n*", "n*", LinkCondition{})
	untilAgreed(t, nodes, "whole")
}

// A node that one other cannot hear from stays a member for all: its messages get there through the others.
func TestMeshOneWayCutKeepsTheFleet(t *testing.T) {
	t.Parallel()
	w := meshWorld(4)
	w.Fleet = Tables{"mesh": map[string]any{"probe": "500ms"}} // a busy machine must not pass for a loss
	tb := Start(t, w)
	nodes := tb.Nodes()
	untilAgreed(t, nodes, "whole")
	tb.SetLink("n4", "n3", LinkCondition{Cut: true})
	from := tb.Now()
	Until(t, "some time has passed", func() bool {
		for _, n := range nodes {
			v, err := n.Fleet(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range v.Members {
				if m.State == "gone" {
					t.Fatalf("%s takes %s for gone", n.name, m.Name)
				}
			}
		}
		return tb.Now()-from > 5*time.Second
	})
}

// Without a fleet configuration the admin endpoint knows of no members.
func TestNoMeshWithoutAFleetConfiguration(t *testing.T) {
	w := meshWorld(1)
	w.Fleet = nil
	tb := Start(t, w)
	if v, err := tb.Nodes()[0].Fleet(context.Background()); err == nil {
		t.Errorf("the admin endpoint says %+v", v)
	}
}

// A leader that receives nothing is replaced; its suspicions, which all receive, remove no member, in its own view
// either.
func TestDeafLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	checkNobodyIsRemoved(t, "deaf leader")
}

// Guards against a leader that, deaf for a while, takes those for dead that it hears a little later than the first.
func TestDeafLeaderReturnsSlowly(t *testing.T) {
	t.Parallel()
	checkNobodyIsRemoved(t, "deaf leader, links back one by one")
}

// checkNobodyIsRemoved plays a scenario under which no member is removed.
func checkNobodyIsRemoved(t *testing.T, scenario string) {
	t.Helper()
	for _, sc := range Scenarios {
		if sc.Name != scenario {
			continue
		}
		got, err := RunScenario(context.Background(), sc, binary, sc.Nodes, 1, 400*time.Millisecond)
		if err != nil || got.Failure != "" || got.Counts["wrongly gone"] > 0 || got.Counts["two majorities"] > 0 {
			t.Errorf("%v %s: %v", err, got.Failure, got.Counts)
		}
		return
	}
	t.Fatalf("there is no scenario %q", scenario)
}

// Beside a program that has one of its addresses a testbed takes another block.
func TestTestbedTakesAnotherBlock(t *testing.T) {
	first := Start(t, healthyStub())
	n := first.Node("n1")
	n.Kill()
	other, err := net.Listen("tcp", n.Listen())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	first.blockLock.Close() // the next testbed may take the same block, beside the other program
	tb, err := openFrom(context.Background(), healthyStub(), first.block-firstBlock)
	if err != nil {
		t.Fatal(err)
	}
	defer tb.Close()
	if tb.block == first.block {
		t.Error("the block is the taken one")
	}
}
