package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"keelusher/internal/testbed"

	"github.com/spf13/cobra"
)

// meshCommand returns the command that runs the membership scenarios and prints a table with the median and the worst
// of each metric over all nodes and seeds.
func meshCommand() *cobra.Command {
	var binary, only string
	var nodes, seeds int
	var probe time.Duration
	c := &cobra.Command{
		Use:   "mesh",
		Short: "Inject faults into a fleet without requests, and measure its membership",
		Args:  cobra.NoArgs,
	}
	c.Flags().StringVar(&binary, "binary", "bin/balancer", "program of the nodes")
	c.Flags().StringVar(&only, "only", "", "run only scenarios whose name contains this text")
	c.Flags().IntVar(&nodes, "nodes", 16, "number of nodes, for scenarios that do not set it")
	c.Flags().IntVar(&seeds, "seeds", 5, "number of runs of each scenario, each with its own seed")
	c.Flags().DurationVar(&probe, "probe", 400*time.Millisecond, "time between two probes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		path, err := filepath.Abs(binary)
		if err != nil {
			return err
		}
		if nodes < 4 || nodes > 100 || seeds < 1 || seeds > 1000 {
			return usageError{errors.New("--nodes must be from 4 to 100 and --seeds from 1 to 1000")}
		}
		failed := false
		fmt.Println("| scenario | nodes | runs | metric | median | worst | count |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
		for _, sc := range testbed.Scenarios {
			if !strings.Contains(sc.Name, only) {
				continue
			}
			bad, err := meshScenario(c.Context(), sc, path, nodes, seeds, probe)
			if err != nil {
				return err
			}
			failed = failed || bad
		}
		if failed {
			return errors.New("a scenario did not complete, or two majorities were observed")
		}
		return nil
	}
	return c
}

// meshScenario runs one scenario with all seeds and prints its rows. bad reports whether a run failed or had two
// majorities.
func meshScenario(
	ctx context.Context,
	sc testbed.Scenario,
	binary string,
	nodes, seeds int,
	probe time.Duration,
) (bad bool, err error) {
	times, counts := map[string][]time.Duration{}, map[string]int{}
	if sc.Nodes > 0 {
		nodes = sc.Nodes
	}
	for seed := range seeds {
		s, err := testbed.RunScenario(ctx, sc, binary, nodes, uint64(seed+1), probe)
		if err != nil {
			return true, err
		}
		for k, v := range s.Times {
			times[k] = append(times[k], v...)
		}
		for k, v := range s.Counts {
			counts[k] += v
		}
		if s.Failure != "" {
			counts[s.Failure]++
			bad = true
		}
	}
	row := func(metric, median, worst, count string) {
		fmt.Printf("| %s | %d | %d | %s | %s | %s | %s |\n", sc.Name, nodes, seeds, metric, median, worst, count)
	}
	for _, k := range slices.Sorted(maps.Keys(times)) {
		x := slices.Sorted(slices.Values(times[k]))
		row(k, x[len(x)/2].Round(time.Millisecond).String(), x[len(x)-1].Round(time.Millisecond).String(), fmt.Sprint(len(x)))
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		row(k, "", "", fmt.Sprint(counts[k]))
	}
	if counts["two majorities"] == 0 {
		row("two majorities", "", "", "0")
	}
	return bad || counts["two majorities"] > 0, nil
}
