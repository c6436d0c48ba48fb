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

// soakCommand runs seeds of overlapping faults.
func soakCommand() *cobra.Command {
	var binary, out string
	var from, count uint64
	var seeds []uint
	var beside int
	var keep []int
	var reduce, untraced bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a few dozen nodes through overlapping faults, by seeds",
		Args:  cobra.NoArgs,
	}
	c.Flags().StringVar(&binary, "binary", "bin/balancer", "the node program")
	c.Flags().StringVar(&out, "out", "lab-results/soak", "folder for logs and results")
	c.Flags().Uint64Var(&from, "seed", 1, "the first seed")
	c.Flags().Uint64Var(&count, "count", 1, "how many seeds")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "these seeds, in place of --seed and --count")
	c.Flags().IntVar(&beside, "beside", 2, "runs at once")
	c.Flags().IntSliceVar(&keep, "keep", nil, "numbers of the faults to inject; default all")
	c.Flags().BoolVar(&untraced, "untraced", false, "run no node under a shim: does a finding need one?")
	c.Flags().BoolVar(&reduce, "reduce", false, "cut a failing seed down to the faults that it needs")
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
			return reduceSeed(c.Context(), from, run)
		}
		for seed := from; seed < from+count && !c.Flags().Changed("seeds"); seed++ {
			seeds = append(seeds, uint(seed))
		}
		return runSeeds(c.Context(), seeds, beside, keep, run)
	}
	return c
}

type runner func(context.Context, *soak.Plan) (*soak.Result, error)

func reduceSeed(ctx context.Context, seed uint64, run runner) error {
	kept, err := soak.Reduce(ctx, seed, func(p *soak.Plan) (*soak.Result, error) { return run(ctx, p) })
	if err != nil {
		return err
	}
	fmt.Printf("seed %d needs the faults %v\n", seed, kept)
	return nil
}

func runSeeds(ctx context.Context, seeds []uint, beside int, keep []int, run runner) error {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	broken := map[testbed.Rule]int{}
	slots := make(chan struct{}, max(1, beside))
	for _, seed := range seeds {
		p := soak.NewPlan(uint64(seed))
		if keep != nil {
			if err := p.Keep(keep); err != nil {
				return usageError{err}
			}
		}
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
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
	all.Wait()
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

// shimCommand runs a program under a shim; the testbed starts it.
func shimCommand() *cobra.Command {
	c := &cobra.Command{
		Use:    "shim PROGRAM [ARGS]",
		Short:  "Run a program whose system calls fail now and then",
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
