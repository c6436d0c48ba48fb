package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"keelusher/internal/testbed"
)

// runTimeout bounds a run. The planned phases of a run add up to less than half of it.
const runTimeout = 3 * time.Minute

var errRunTimeout = errors.New("the run exceeded its time limit")

// Result is the outcome of a run.
type Result struct {
	Seed       uint64               `json:"seed"`
	Faults     []string             `json:"faults"`
	Events     []string             `json:"story"`
	Ends       map[string]int       `json:"ends"` // number of requests, by how they ended
	Account    testbed.Account      `json:"account"`
	Broken     map[testbed.Rule]int `json:"broken"`
	Found      []testbed.Finding    `json:"found"`
	Violations map[string]int64     `json:"violations"` // counted by the nodes themselves
	NotSent    map[string]int64     `json:"attempts_not_sent"`
	Rejected   map[string]int64     `json:"requests_turned_away"`
	Lateness   time.Duration        `json:"lateness"` // greatest lateness of the test bed itself

	Membership       bool `json:"membership"` // whether the nodes had membership
	OverridesIssued  int  `json:"overrides_issued"`
	OverridesRefused int  `json:"overrides_refused"` // accepted by no node in time, for lack of a majority
}

// Run carries out a plan with a node binary. It leaves the nodes' logs and the result in a folder of the seed under
// dir.
func Run(ctx context.Context, p *Plan, binary string, shim []string, dir string) (*Result, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, runTimeout, errRunTimeout)
	defer cancel()
	w := p.World
	w.Binary, w.Shim, w.Dir = binary, shim, filepath.Join(dir, fmt.Sprint("seed-", p.Seed))
	w.Links = testbed.LinksOfFaults(p.Faults)
	if err := os.RemoveAll(w.Dir); err != nil {
		return nil, err
	}
	if err := w.Fill(); err != nil {
		return nil, err
	}
	if err := p.Load.Fill(&w); err != nil {
		return nil, err
	}
	steps, err := testbed.Schedule(&w, p.Faults, p.Seed)
	if err != nil {
		return nil, err
	}
	tb, err := testbed.Open(ctx, w)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer tb.Close()
	r := &Result{
		Seed:       p.Seed,
		Ends:       map[string]int{},
		Violations: map[string]int64{},
		NotSent:    map[string]int64{},
		Rejected:   map[string]int64{},
	}
	for _, f := range p.Faults {
		r.Faults = append(r.Faults, describe(f))
	}
	r.drive(ctx, tb, p, steps, testbed.Draw(&w, &p.Load, loadDuration, p.Seed))
	if !sleepUntil(ctx, time.Now().Add(quietAfter)) {
		return nil, fmt.Errorf("seed %d: %w", p.Seed, context.Cause(ctx))
	}
	for _, n := range tb.Nodes() {
		if n.Running() { // the node of a removed server does not run
			r.compareCounters(ctx, tb, n)
		}
	}
	if r.Membership = p.World.Fleet != nil; r.Membership {
		checkMembers(ctx, tb)
	}
	r.Found, r.Broken = tb.Findings()
	r.Account = tb.Checker().Account()
	r.Lateness = tb.Lateness(0, tb.Now())
	return r, r.write(w.Dir)
}

// describe returns the text of a fault for the result.
func describe(f testbed.Fault) string {
	text := fmt.Sprintf("%s %s%s->%s at %v for %v", f.Kind, f.Target, f.From, f.To, f.At.Round(time.Millisecond), f.For)
	if len(f.Signals) > 0 {
		text += fmt.Sprintf(" %v, %v apart", f.Signals, f.Gap.Round(time.Millisecond))
	}
	return text
}

// drive runs the load, the faults and the overrides concurrently.
func (r *Result) drive(
	ctx context.Context,
	tb *testbed.Testbed,
	p *Plan,
	steps []testbed.Step,
	arrivals []testbed.Arrival,
) {
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Add(2)
	go func() {
		defer all.Done()
		r.runOverrides(ctx, tb, p)
	}()
	go func() {
		defer all.Done()
		tb.RunSchedule(ctx, steps, func(at time.Duration, what string) {
			mu.Lock()
			defer mu.Unlock()
			r.Events = append(r.Events, fmt.Sprintf("%.3f %s", at.Seconds(), what))
		})
	}()
	tb.Drive(ctx, &p.Load, arrivals, func(s testbed.ArrivalResult) {
		mu.Lock()
		defer mu.Unlock()
		r.Ends[s.End]++
	})
	all.Wait()
}

var adminClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

const maxRequests = 5 // attempts to read one path

// getJSON decodes the response of a node's admin endpoint. It retries, because a shim may make some connections fail.
func getJSON(ctx context.Context, n *testbed.Node, path string, into any) (err error) {
	for range maxRequests {
		if err = getJSONOnce(ctx, n, path, into); err == nil {
			return nil
		}
	}
	return err
}

func getJSONOnce(ctx context.Context, n *testbed.Node, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddr()+path, nil)
	if err != nil {
		return err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// compareCounters checks a node's own counters against what the test bed observed of the node. A violation that the
// node itself counted is a finding, unless the test bed has paused the process: the pause may have come between the
// node's write and its check after the write.
func (r *Result) compareCounters(ctx context.Context, tb *testbed.Testbed, n *testbed.Node) {
	var counters struct {
		Written  int64 `json:"backend_calls"`
		Inflight int64 `json:"inflight"`
	}
	var decisions struct {
		NotSent    map[string]int64 `json:"attempts_not_sent"`
		Rejected   map[string]int64 `json:"requests_turned_away"`
		Violations map[string]int64 `json:"violations"`
	}
	if err := getJSON(ctx, n, "/control/counters", &counters); err != nil {
		tb.Checker().Report(testbed.CountersDiffer, n.Name(), fmt.Sprintf("admin endpoint does not answer: %v", err))
		return
	}
	if err := getJSON(ctx, n, "/control/decisions", &decisions); err != nil {
		tb.Checker().Report(testbed.CountersDiffer, n.Name(), fmt.Sprintf("admin endpoint does not answer: %v", err))
		return
	}
	addCounts(r.NotSent, decisions.NotSent)
	addCounts(r.Rejected, decisions.Rejected)
	addCounts(r.Violations, decisions.Violations)
	if len(decisions.Violations) > 0 && !n.Paused() {
		tb.Checker().Report(testbed.SelfReportedViolation, n.Name(), fmt.Sprint(decisions.Violations))
	}
	if counters.Inflight != 0 {
		tb.Checker().Report(
			testbed.CountersDiffer,
			n.Name(),
			fmt.Sprintf("counts %d requests in flight after all requests have ended", counters.Inflight),
		)
	}
	if arrived := tb.AttemptsOf(n.Name()); n.Starts() == 1 && arrived > counters.Written {
		tb.Checker().Report(
			testbed.CountersDiffer,
			n.Name(),
			fmt.Sprintf("servers received %d attempts from the node, which counted %d", arrived, counters.Written),
		)
	}
}

func addCounts(to, from map[string]int64) {
	for k, n := range from {
		to[k] += n
	}
}

// write writes the result to a file beside the nodes' logs.
func (r *Result) write(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o600)
}

// Reduce runs a seed's plan again and again, each time with one fault less, and leaves a fault out for good if the run
// without it still breaks a rule that the first run broke. It returns the indexes of the faults that remain.
func Reduce(ctx context.Context, seed uint64, run func(*Plan) (*Result, error)) ([]int, error) {
	first, err := run(NewPlan(seed))
	if err != nil || len(first.Broken) == 0 {
		return nil, err
	}
	kept := make([]int, len(NewPlan(seed).Faults))
	for i := range kept {
		kept[i] = i
	}
	for i := 0; i < len(kept) && ctx.Err() == nil; {
		less := slices.Delete(slices.Clone(kept), i, i+1)
		p := NewPlan(seed)
		if err := p.Keep(less); err != nil {
			return nil, err
		}
		r, err := run(p)
		if err != nil {
			return nil, err
		}
		if breaksSameRule(first, r) {
			kept = less
			continue
		}
		i++
	}
	return kept, ctx.Err()
}

// breaksSameRule reports whether the runs have at least one broken rule in common.
func breaksSameRule(first, other *Result) bool {
	for rule := range first.Broken {
		if other.Broken[rule] > 0 {
			return true
		}
	}
	return false
}
