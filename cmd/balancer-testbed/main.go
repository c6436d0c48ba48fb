// Command balancer-testbed runs experiments with several real nodes on loopback and reports on them.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"keelusher/internal/testbed"
	"keelusher/internal/testbed/experiment"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitBroken = 1 // a rule was broken, or something failed
	exitUsage  = 2 // the call or a file is wrong
)

// usageError is a mistake in the invocation.
type usageError struct{ error }

func main() {
	if code := execute(); code != 0 {
		os.Exit(code)
	}
}

// execute runs the command line and returns the exit code.
func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(os.Stderr, "balancer-testbed: %s\n", line)
	}
	if errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitBroken
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "balancer-testbed",
		Short:         "Run experiments with several real nodes and faults between them",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("no command; see --help")}
			}
			return usageError{fmt.Errorf("unknown command %q; see --help", args[0])}
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		runCommand(),
		checkCommand(),
		listCommand(),
		reportCommand(),
		dayCommand(),
		capacityCommand(),
		stubCommand(),
		meshCommand(),
		soakCommand(),
		shimCommand(),
	)
	for _, c := range root.Commands() {
		if check := c.Args; check != nil {
			c.Args = func(c *cobra.Command, args []string) error {
				if err := check(c, args); err != nil {
					return usageError{err}
				}
				return nil
			}
		}
	}
	return root
}

// load reads an experiment; what is wrong with the file is a mistake in the invocation.
func load(path string) (*experiment.File, error) {
	f, err := experiment.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	return f, nil
}

func runCommand() *cobra.Command {
	var binary, out string
	var seeds []uint
	c := &cobra.Command{Use: "run FILE", Short: "Run an experiment and report on it", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&binary, "binary", "bin/balancer", "the node program, for variants that name none")
	c.Flags().StringVar(&out, "out", "", "folder for results and report (default lab-results/NAME)")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds in place of the file's")
	c.RunE = func(c *cobra.Command, args []string) (err error) {
		f, err := load(args[0])
		if err != nil {
			return err
		}
		if len(seeds) > 0 {
			f.Seeds = nil
			for _, s := range seeds {
				f.Seeds = append(f.Seeds, uint64(s))
			}
		}
		if out == "" {
			out = filepath.Join("lab-results", f.Name)
		}
		return run(c.Context(), f, binary, out)
	}
	return c
}

// run runs an experiment into a folder, and reports on what there is, interrupted or not.
func run(ctx context.Context, f *experiment.File, binary, out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	results, err := os.Create(filepath.Join(out, experiment.ResultsFile))
	if err != nil {
		return err
	}
	defer results.Close()
	show, end := progress()
	rules := map[testbed.Rule]int{}
	r := &experiment.Runner{File: f, Binary: binary, Out: results, Progress: show}
	r.Done = func(k experiment.Key, s *experiment.Summary) {
		end()
		a := s.Account
		fmt.Printf("%s seed %d: served %.4f, worst window %.3f, p99 %.0f ms; ", k.Variant, k.Seed, s.Served, s.Worst, s.P99)
		fmt.Printf("taken %d = answered %d + left %d + cut off %d + lost %d; ",
			a.Taken, a.Answered, a.Left, a.CutOff, a.Lost)
		fmt.Printf("%d void windows; broken: %v\n", s.VoidWindows, s.Broken)
		for _, x := range s.Found {
			fmt.Println("  ", x)
		}
		for rule, n := range s.Broken {
			rules[rule] += n
		}
	}
	failed := r.Run(ctx)
	end()
	if err := results.Sync(); err != nil {
		return err
	}
	if err := experiment.Report(out); err != nil {
		return errors.Join(failed, err)
	}
	fmt.Println("report:", filepath.Join(out, "report.md"))
	if failed != nil {
		return failed
	}
	if len(rules) > 0 {
		return fmt.Errorf("rules were broken: %v", rules)
	}
	return nil
}

// progress writes over one line on a terminal, and nothing elsewhere.
func progress() (show func(string), end func()) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil, func() {}
	}
	w := bufio.NewWriter(os.Stderr)
	show = func(s string) {
		_, _ = fmt.Fprintf(w, "\r\x1b[K%.120s", s)
		_ = w.Flush() // progress that cannot be shown is no failure
	}
	return show, func() { show("") }
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Say what is wrong with experiments", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []error
			for _, path := range args {
				if _, err := load(path); err != nil {
					all = append(all, err)
				}
			}
			return errors.Join(all...)
		}}
}

func listCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "list", Short: "List the experiments of a folder", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return usageError{err}
			}
			var all []error
			for _, path := range files {
				f, err := load(path)
				if err != nil {
					all = append(all, err)
					continue
				}
				fmt.Printf("%-34s %4d runs of %-6s %s\n", path, f.Runs(), f.Length, f.About)
			}
			return errors.Join(all...)
		}}
	c.Flags().StringVar(&dir, "dir", "experiments", "the folder")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write report.md and plots from a folder's results",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return experiment.Report(args[0]) },
	}
}

func dayCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use:   "day FILE",
		Short: "Print the drawn day of a seed: arrivals and steps",
		Args:  cobra.ExactArgs(1),
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	c.RunE = func(_ *cobra.Command, args []string) error {
		f, err := load(args[0])
		if err != nil {
			return err
		}
		steps, err := testbed.Schedule(&f.World, f.Faults, seed)
		if err != nil {
			return err
		}
		w := bufio.NewWriter(os.Stdout)
		if err := testbed.WriteArrivals(w, testbed.Draw(&f.World, &f.Load, f.Length, seed), steps); err != nil {
			return err
		}
		return w.Flush()
	}
	return c
}
