package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"keelusher/internal/testbed"
	"keelusher/internal/testbed/soak"

	"github.com/spf13/cobra"
)

// soakCommand returns the command that runs soaks: random overlapping faults, generated from seeds.
func soakCommand() *cobra.Command {
	var binary, out string
	var firstSeed, count uint64
	var seeds []uint
	var parallel int
	var keptFaults []int
	var reduce, untraced bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a few dozen nodes with overlapping faults, generated from seeds",
		Args:  cobra.NoArgs,
	}
	c.Flags().StringVar(&binary, "binary", "bin/balancer", "program of the nodes")
	c.Flags().StringVar(&out, "out", "lab-results/soak", "directory for logs and results")
	c.Flags().Uint64Var(&firstSeed, "seed", 1, "first seed; with --reduce the only one")
	c.Flags().Uint64Var(&count, "count", 1, "number of consecutive seeds")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds to run instead of --seed and --count")
	c.Flags().IntVar(&parallel, "beside", 2, "number of seeds that run at the same time")
	c.Flags().IntSliceVar(&keptFaults, "keep", nil, "numbers of the faults to inject (default all)")
	c.Flags().BoolVar(&untraced, "untraced", false, "run all nodes without a shim, to see whether a finding depends on it")
	c.Flags().BoolVar(&reduce, "reduce", false, "find out which faults of a failing seed are needed for the failure")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		if binary, err = filepath.Abs(binary); err != nil {
			return err
		}
		if out, err = filepath.Abs(out); err != nil {
			return err
		}
		run := func(ctx context.Context, p *soak.Plan) (*soak.Result, error) {
			if untraced {
				p.World.Shims = nil
			}
			return soak.Run(ctx, p, binary, []string{self, "shim"}, out)
		}
		if reduce {
			return reduceSeed(c.Context(), firstSeed, run)
		}
		for seed := firstSeed; seed < firstSeed+count && !c.Flags().Changed("seeds"); seed++ {
			seeds = append(seeds, uint(seed))
		}
		return runSeeds(c.Context(), seeds, parallel, keptFaults, run)
	}
	return c
}

type runFunc func(context.Context, *soak.Plan) (*soak.Result, error)

func reduceSeed(ctx context.Context, seed uint64, run runFunc) error {
	needed, err := soak.Reduce(ctx, seed, func(p *soak.Plan) (*soak.Result, error) { return run(ctx, p) })
	if err != nil {
		return err
	}
	fmt.Printf("seed %d needs the faults %v\n", seed, needed)
	return nil
}

func runSeeds(ctx context.Context, seeds []uint, parallel int, keptFaults []int, run runFunc) error {
	var mu sync.Mutex
	var running sync.WaitGroup
	var failed error
	broken := map[testbed.Rule]int{}
	slots := make(chan struct{}, max(1, parallel))
	for _, seed := range seeds {
		p := soak.NewPlan(uint64(seed))
		if keptFaults != nil {
			if err := p.Keep(keptFaults); err != nil {
				return usageError{err}
			}
		}
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			r, err := run(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			printResult(r)
			for rule, n := range r.Broken {
				broken[rule] += n
			}
		}()
	}
	running.Wait()
	if failed != nil {
		return failed
	}
	if len(broken) > 0 {
		return fmt.Errorf("rules were broken: %v", broken)
	}
	return nil
}

func printResult(r *soak.Result) {
	a := r.Account
	fmt.Printf("seed %d: taken %d = answered %d + left %d + cut off %d + lost %d; ",
		r.Seed, a.Taken, a.Answered, a.Left, a.CutOff, a.Lost)
	fmt.Printf("ends %v; testbed late %v; own violations %v; ", r.Ends, r.Lateness, r.Violations)
	if r.Membership {
		fmt.Printf("membership on, overrides issued %d, refused %d; ", r.OverridesIssued, r.OverridesRefused)
	}
	fmt.Printf("broken: %v\n", r.Broken)
	for i, f := range r.Faults {
		fmt.Printf("   fault %d: %s\n", i, f)
	}
	for _, x := range r.Found[:min(len(r.Found), 12)] {
		fmt.Printf("   %s (void: %t)\n", x, x.Void)
	}
}

// shimCommand returns the command that runs a program under a shim. The test bed starts nodes with it.
func shimCommand() *cobra.Command {
	c := &cobra.Command{
		Use:    "shim PROGRAM [ARGS]",
		Short:  "Run a program and let some of its system calls fail",
		Hidden: true,
		Args:   cobra.MinimumNArgs(1),
	}
	c.RunE = func(_ *cobra.Command, args []string) error {
		code, err := testbed.RunShim(args[0], args[1:])
		if err != nil {
			return err
		}
		os.Exit(code)
		return nil
	}
	return c
}
