package membership

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

func TestSplitsHaveOneMajorityAndHeal(t *testing.T) {
	for name, tt := range map[string]struct {
		groups   []int
		majority []int // members on the majority side; ties go to the lowest name
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
			model.until("sides", 8*time.Second, func() bool {
				return slices.Equal(model.sides()[Majority], want) && len(model.sides()[Complete]) == 0
			})
			model.advance(10 * time.Second) // less than dead members stay in the list
			if got := model.sides()[Majority]; !slices.Equal(got, want) {
				t.Errorf("later the majority is %v, want %v", got, want)
			}
			model.split(model.names)
			t.Logf("healed in %v", model.until("healing", 10*time.Second, model.agreed(8)))
		})
	}
}

func TestFleetOfOneAndTwo(t *testing.T) {
	model := newQuorumModel(t, 1, 1)
	model.until("one", time.Second, model.allOn(Complete))
	for dead, want := range map[int]PartitionSide{0: Isolated, 1: Majority} {
		model := newFoundedModel(t, 2)
		model.quorums[model.names[dead]] = nil
		model.until("the other one knows", 8*time.Second, model.allOn(want))
	}
}

func TestLeavingIsNotAPartition(t *testing.T) {
	model := newFoundedModel(t, 8)
	for _, name := range model.names[:6] { // most of them at once, the leader among them
		model.left[name] = true
	}
	model.until("the member list is without them", time.Second, func() bool {
		return len(model.quorums["n07"].list.names) == 2 && len(model.quorums["n06"].list.names) == 2
	})
	model.advance(heartbeatInterval)
	for _, name := range model.names[:6] {
		model.quorums[name] = nil
	}
	model.until("the two are complete", 6*time.Second, model.agreed(2))
}

// Most of the seeds leave, and start again cut off from the fleet that has gone on: they may not found another.
func TestSeedsThatStartAgainFoundNoSecondFleet(t *testing.T) {
	model := newFoundedModel(t, 5)
	model.leave("n01")
	model.leave("n02")
	model.until("they have left", 2*time.Second, model.agreed(3))
	model.split([]string{"n00", "n03", "n04"}, []string{"n01", "n02"})
	model.start("n01")
	model.start("n02")
	model.advance(4 * leaseDuration) // with the check of each step
	model.split(model.names)
	model.until("all are complete", 10*time.Second, model.agreed(5))
}

// A leader that leaves releases its votes: the others are without a majority for some tenths of a second at most.
func TestLeaderThatLeavesReleasesItsVotes(t *testing.T) {
	model := newFoundedModel(t, 8)
	model.leave("n00")
	model.until("it has ended", time.Second, func() bool { return model.quorums["n00"] == nil })
	if d := model.until("the others are complete", time.Second, model.agreed(7)); d > leaseDuration/4 {
		t.Errorf("the others were without a majority for %v", d)
	}
	model.advance(4 * leaseDuration)
	model.until("that stays so", modelStep, model.agreed(7))
}

func TestDeadMembersAreRemovedByAMajorityOnly(t *testing.T) {
	model := newFoundedModel(t, 10)
	for _, name := range model.names[2:5] {
		model.quorums[name] = nil
	}
	model.until("three are removed", deadRemovalDelay+10*time.Second, model.agreed(7))
	for _, name := range model.names[5:9] { // four of seven
		model.quorums[name] = nil
	}
	model.advance(2 * deadRemovalDelay)
	if sides := model.sides(); len(sides[Minority]) != 3 {
		t.Errorf("sides %v, want three in the minority for ever", sides)
	}
	for _, name := range model.names[5:9] {
		model.start(name)
	}
	model.until("all are back", 10*time.Second, model.agreed(7))
}

// Whatever is cut, lost, delayed, stopped and restarted, there is never more than one majority, and after the last
// fault all agree again.
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
		worst = max(worst, model.until(fmt.Sprintf("seed %d heals", seed), 30*time.Second, model.healed))
	}
	t.Logf("%d seeds, healed after %v at the worst", seeds, worst)
}
