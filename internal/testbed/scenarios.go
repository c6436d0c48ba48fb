package testbed

import (
	"context"
	"time"
)

// Scenario is a sequence of faults in a fleet whose nodes run membership and get no load.
type Scenario struct {
	Name  string
	Nodes int // number of nodes; 0: as many as RunScenario is given
	run   func(*scenarioRun, context.Context) error
	Bare  bool // without links, as a link belongs to a node's name and cannot be shared by two processes of one name
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "kill one", run: func(s *scenarioRun, ctx context.Context) error { return s.killLast(ctx, 1) }},
	{Name: "kill one of 8", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error { return s.killLast(ctx, 1) }},
	{Name: "kill 7 of 10", Nodes: 10, run: func(s *scenarioRun, ctx context.Context) error { return s.killLast(ctx, 7) }},
	{Name: "leave", run: (*scenarioRun).terminateLast},
	{Name: "leader leaves", run: (*scenarioRun).leaderLeaves},
	{Name: "stop 1 s", run: func(s *scenarioRun, ctx context.Context) error { return s.stopLast(ctx, time.Second) }},
	{Name: "stop 4 s", run: func(s *scenarioRun, ctx context.Context) error { return s.stopLast(ctx, 4*time.Second) }},
	{
		Name:  "stop 15 s",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.stopLast(ctx, 15*time.Second) },
	},
	{Name: "one-way cut", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n8", "n3", LinkCondition{Cut: true}, 20*time.Second)
	}},
	{Name: "20% loss, 50 ms jitter", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n*", "n*", LinkCondition{Loss: 0.2, Jitter: 50 * time.Millisecond}, 30*time.Second)
	}},
	{Name: "30% loss, 50 ms jitter", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n*", "n*", LinkCondition{Loss: 0.3, Jitter: 50 * time.Millisecond}, 30*time.Second)
	}},
	{Name: "20% loss, long", run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n*", "n*", LinkCondition{Loss: 0.2, Jitter: 50 * time.Millisecond}, 10*time.Minute)
	}},
	{Name: "loss in bursts", Nodes: 8, run: (*scenarioRun).burstsOfLoss},
	{Name: "link of 800 ms", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n7", "n8", LinkCondition{Delay: 800 * time.Millisecond}, 20*time.Second)
	}},
	{
		Name:  "deaf leader",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.leaderLinkFailure(ctx, true) },
	},
	{
		Name:  "mute leader",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.leaderLinkFailure(ctx, false) },
	},
	{Name: "deaf leader, links back one by one", Nodes: 8, run: (*scenarioRun).leaderReturnsSlowly},
	{Name: "deaf member", Nodes: 8, run: (*scenarioRun).memberReceiveFailure},
	{Name: "ring of one-way cuts", Nodes: 8, run: (*scenarioRun).ringOfOneWayCuts},
	{Name: "half stopped 4 s", Nodes: 8, run: (*scenarioRun).halfStopped},
	{
		Name:  "leader stopped 1 s",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.leaderStopped(ctx, time.Second) },
	},
	{
		Name:  "leader stopped 2.5 s",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.leaderStopped(ctx, 2500*time.Millisecond) },
	},
	{
		Name:  "leader stopped 10 s",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.leaderStopped(ctx, 10*time.Second) },
	},
	{Name: "a tenth of a processor in turn", Nodes: 8, run: (*scenarioRun).slowOneByOne},
	{Name: "joined by one", Nodes: 8, run: (*scenarioRun).splitWithBridge},
	{Name: "killed as it accuses", Nodes: 8, run: (*scenarioRun).killWhileSuspecting},
	{Name: "10% loss", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.holdCondition(ctx, "n*", "n*", LinkCondition{Loss: 0.1}, 2*time.Minute)
	}},
	{
		Name:  "split 3/5",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.split(ctx, false, 3, 5) },
	},
	{
		Name:  "split 4/4",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.split(ctx, false, 4, 4) },
	},
	{
		Name:  "split 3/3/2",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.split(ctx, false, 3, 3, 2) },
	},
	{
		Name:  "split in a rolling restart",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.split(ctx, true, 3, 5) },
	},
	{Name: "restart at once", run: (*scenarioRun).restartLast},
	{Name: "all restart at once", run: (*scenarioRun).restartAll},
	{Name: "seeds dead at start", Nodes: 8, run: (*scenarioRun).startWithoutSeeds},
	{
		Name:  "overrides",
		Nodes: 8,
		run:   func(s *scenarioRun, ctx context.Context) error { return s.overrides(ctx, LinkCondition{}) },
	},
	{Name: "overrides, 20% loss", Nodes: 8, run: func(s *scenarioRun, ctx context.Context) error {
		return s.overrides(ctx, LinkCondition{Loss: 0.2, Jitter: 50 * time.Millisecond})
	}},
	{Name: "leader killed under an override", Nodes: 8, run: (*scenarioRun).overrideThroughLeaderKill},
	{Name: "flood", Nodes: 8, run: (*scenarioRun).floodMesh},
	{Name: "half a processor", Nodes: 8, run: (*scenarioRun).halfProcessorTime},
	{Name: "two of one name", Nodes: 8, run: (*scenarioRun).duplicateName, Bare: true},
}
