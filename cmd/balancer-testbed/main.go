// Command balancer-testbed runs experiments with several real nodes on the loopback interface, injects faults, and
// reports the results.
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
	exitBroken = 1 // a rule was broken, or the run failed
	exitUsage  = 2 // the command line or a file is invalid
)

// usageError is an error in the command line or in a file that it names.
type usageError struct{ error }

func main() {
	if code := execute(); code != 0 {
		os.Exit(code)
	}
}

// execute runs the command that the command line names and returns the exit code.
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
		Short:         "Run experiments with several real nodes and injected faults",
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

// loadExperiment reads an experiment. Errors are of type usageError.
func loadExperiment(path string) (*experiment.File, error) {
	f, err := experiment.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	return f, nil
}

func runCommand() *cobra.Command {
	var binary, out string
	var seeds []uint
	c := &cobra.Command{Use: "run FILE", Short: "Run an experiment and write its report", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&binary, "binary", "bin/balancer", "program of the nodes, for variants that name none")
	c.Flags().StringVar(&out, "out", "", "directory for results and report (default lab-results/NAME)")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds to run instead of those in the file")
	c.RunE = func(c *cobra.Command, args []string) (err error) {
		f, err := loadExperiment(args[0])
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

// run runs an experiment, writes its results to a directory, and reports on them even if the run was interrupted.
func run(ctx context.Context, f *experiment.File, binary, out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	results, err := os.Create(filepath.Join(out, experiment.ResultsFile))
	if err != nil {
		return err
	}
	defer results.Close()
	showStatus, eraseStatus := progress()
	brokenRules := map[testbed.Rule]int{}
	r := &experiment.Runner{File: f, Binary: binary, Out: results, Progress: showStatus}
	r.Done = func(k experiment.Key, s *experiment.Summary) {
		eraseStatus()
		a := s.Account
		fmt.Printf("%s seed %d: served %.4f, worst window %.3f, p99 %.0f ms; ", k.Variant, k.Seed, s.Served, s.Worst, s.P99)
		fmt.Printf("taken %d = answered %d + left %d + cut off %d + lost %d; ",
			a.Taken, a.Answered, a.Left, a.CutOff, a.Lost)
		fmt.Printf("%d void windows; broken: %v\n", s.VoidWindows, s.Broken)
		for _, x := range s.Found {
			fmt.Println("  ", x)
		}
		for rule, n := range s.Broken {
			brokenRules[rule] += n
		}
	}
	failed := r.Run(ctx)
	eraseStatus()
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
	if len(brokenRules) > 0 {
		return fmt.Errorf("rules were broken: %v", brokenRules)
	}
	return nil
}

// progress returns functions that show and erase a status line on standard error. They do nothing if it is not a
// terminal.
func progress() (show func(string), erase func()) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil, func() {}
	}
	w := bufio.NewWriter(os.Stderr)
	show = func(s string) {
		_, _ = fmt.Fprintf(w, "\r\x1b[K%.120s", s)
		_ = w.Flush() // errors do not matter for a status line
	}
	return show, func() { show("") }
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check experiment files for errors", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var errs []error
			for _, path := range args {
				if _, err := loadExperiment(path); err != nil {
					errs = append(errs, err)
				}
			}
			return errors.Join(errs...)
		}}
}

func listCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "list", Short: "List the experiments in a directory", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return usageError{err}
			}
			var errs []error
			for _, path := range files {
				f, err := loadExperiment(path)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Printf("%-34s %4d runs of %-6s %s\n", path, f.Runs(), f.Length, f.About)
			}
			return errors.Join(errs...)
		}}
	c.Flags().StringVar(&dir, "dir", "experiments", "directory of the experiments")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write report.md and plots from the results in a directory",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return experiment.Report(args[0]) },
	}
}

func dayCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use:   "day FILE",
		Short: "Print the arrivals and fault steps that a seed generates",
		Args:  cobra.ExactArgs(1),
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	c.RunE = func(_ *cobra.Command, args []string) error {
		f, err := loadExperiment(args[0])
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
