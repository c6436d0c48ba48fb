package membership

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Guards against a partition in which more than one side, or the wrong side, has a majority, and against a fleet that
// does not heal. A tie goes to the side with the lowest name; of three sides none has a majority.
func TestSplitsHaveOneMajorityAndHeal(t *testing.T) {
	for name, tt := range map[string]struct {
		groups   []int
		majority []int // indexes of the members on the majority side
	}{
		"3/5":        {[]int{3, 5}, []int{3, 4, 5, 6, 7}},
		"4/4":        {[]int{4, 4}, []int{0, 1, 2, 3}},
		"three ways": {[]int{3, 3, 2}, nil},
		"1/7":        {[]int{1, 7}, []int{1, 2, 3, 4, 5, 6, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			model := newFoundedModel(t, 8)
			var groups [][]string
			rest := model.names
			for _, size := range tt.groups {
				groups, rest = append(groups, rest[:size]), rest[size:]
			}
			model.split(groups...)
			var want []string
			for _, i := range tt.majority {
				want = append(want, model.names[i])
			}
			model.until("sides as expected", 8*time.Second, func() bool {
				return slices.Equal(model.sides()[Majority], want) && len(model.sides()[Complete]) == 0
			})
			model.advance(10 * time.Second) // shorter than deadRemovalDelay: no member is removed
			if got := model.sides()[Majority]; !slices.Equal(got, want) {
				t.Errorf("10 s later the members on the majority side are %v, want %v", got, want)
			}
			model.split(model.names)
			t.Logf("healed in %v", model.until("all agree after the split", 10*time.Second, model.agreed(8)))
		})
	}
}

// Guards against wrong sides in the smallest fleets: a single seed founds a fleet alone, and of two members only the
// one with the lowest name has a majority without the other.
func TestFleetOfOneAndTwo(t *testing.T) {
	model := newQuorumModel(t, 1, 1)
	model.until("a fleet of one is complete", time.Second, model.allOn(Complete))
	for dead, want := range map[int]PartitionSide{0: Isolated, 1: Majority} {
		model := newFoundedModel(t, 2)
		model.quorums[model.names[dead]] = nil
		model.until("the survivor of two is on the expected side", 8*time.Second, model.allOn(want))
	}
}

// Guards against a leave of most members that looks like a partition: the two that remain must be complete, although
// six of eight, the leader among them, leave at the same time.
func TestLeavingIsNotAPartition(t *testing.T) {
	model := newFoundedModel(t, 8)
	for _, name := range model.names[:6] {
		model.left[name] = true
	}
	model.until("the member list holds the two remaining members only", time.Second, func() bool {
		return len(model.quorums["n07"].list.names) == 2 && len(model.quorums["n06"].list.names) == 2
	})
	model.advance(heartbeatInterval)
	for _, name := range model.names[:6] {
		model.quorums[name] = nil
	}
	model.until("the two remaining members are complete", 6*time.Second, model.agreed(2))
}

// Guards against a second fleet: two of three seeds leave and restart without their state, in a partition from the
// fleet that goes on without them. The two must not found a second fleet.
func TestRestartedSeedsFoundNoSecondFleet(t *testing.T) {
	model := newFoundedModel(t, 5)
	model.leave("n01")
	model.leave("n02")
	model.until("two seeds have left", 2*time.Second, model.agreed(3))
	model.split([]string{"n00", "n03", "n04"}, []string{"n01", "n02"})
	model.start("n01")
	model.start("n02")
	model.advance(4 * leaseDuration) // checks at each step that there is one majority
	model.split(model.names)
	model.until("all five are complete", 10*time.Second, model.agreed(5))
}

// Guards against a leader that leaves without releasing its votes: the others would be without a majority until the
// leases of these votes end, rather than for a quarter of a lease at most.
func TestLeaderThatLeavesReleasesItsVotes(t *testing.T) {
	model := newFoundedModel(t, 8)
	model.leave("n00")
	model.until("the leader has ended", time.Second, func() bool { return model.quorums["n00"] == nil })
	if d := model.until("the others are complete without it", time.Second, model.agreed(7)); d > leaseDuration/4 {
		t.Errorf("after the leader left, the others took %v to be complete, want a quarter of a lease at most", d)
	}
	model.advance(4 * leaseDuration)
	model.until("the others are still complete", modelStep, model.agreed(7))
}

// Guards against a minority that shrinks the member list to its own members: seven of ten remove three dead members,
// but three of seven must not remove four.
func TestDeadMembersAreRemovedByAMajorityOnly(t *testing.T) {
	model := newFoundedModel(t, 10)
	for _, name := range model.names[2:5] {
		model.quorums[name] = nil
	}
	model.until("the three dead members are removed", deadRemovalDelay+10*time.Second, model.agreed(7))
	for _, name := range model.names[5:9] { // four of seven
		model.quorums[name] = nil
	}
	model.advance(2 * deadRemovalDelay)
	if sides := model.sides(); len(sides[Minority]) != 3 {
		t.Errorf("sides are %v, want three members in the minority", sides)
	}
	for _, name := range model.names[5:9] {
		model.start(name)
	}
	model.until("the four restarted members are back", 10*time.Second, model.agreed(7))
}

// Guards against two majorities at one time, and against processes that do not become complete again after random
// faults: links cut, messages lost or delayed, and processes stopped, restarted or leaving. MESH_SEEDS sets the number
// of seeds.
func TestOneMajorityUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := 100
	if n, err := strconv.Atoi(os.Getenv("MESH_SEEDS")); err == nil {
		seeds = n
	}
	worst := time.Duration(0)
	for seed := range seeds {
		model := newQuorumModel(t, uint64(seed), 2+seed%8)
		for range 25 {
			model.injectFault()
			model.advance(time.Duration(model.random.Int64N(int64(6 * time.Second))))
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		model.repair()
		worst = max(worst, model.until(fmt.Sprintf("seed %d: all are complete", seed), 30*time.Second, model.healed))
	}
	t.Logf("%d seeds, all complete %v after the last fault at the latest", seeds, worst)
}
