package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"keelusher/internal/testbed/testbedtest"

	"gonum.org/v1/plot"
)

var binary string

func TestMain(m *testing.M) { os.Exit(testbedtest.Main(m, &binary)) }

const minimalExperiment = `name = "tiny"
length = "2s"
window = "500ms"
seeds = [3, 4]

[world]
zones = ["a", "b"]

[[world.tier]]
name = "front"
nodes = 2
servers = 2

[[world.class]]
name = "view"
effect = "read_like"
share = 1.0
work = ["5ms"]
aim = "1s"
deadline = "2s"

[load]
rate = 40.0

[[fault]]
kind = "slow"
target = "front-1"
at = "500ms"
for = "500ms"
factor = 3.0

[[variant]]
name = "off"
[[variant]]
name = "on"
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadNamesLineAndKeyOfEachProblem(t *testing.T) {
	for change, want := range map[[2]string]string{
		{`length = "2s"`, `length = "0s"`}: "x.toml:2: length: ",
		{`nodes = 2`, `nodes = 0`}:         "x.toml:11: world.tier[0].nodes: ",
		{`work = ["5ms"]`, `work = []`}:    "x.toml:18: world.class[0].work: ",
		{`rate = 40.0`, `rate = -1.0`}:     "x.toml:23: load.rate: ",
		{`kind = "slow"`, `kind = "slwo"`}: `x.toml:26: fault[0].kind: "slwo" is none of cra`,
		{
			`"front-1"`,
			`"front-9"`,
		}: `x.toml:27: fault[0].target: "front-9" matches nothing; there are front-1 front-2`,
		{`name = "on"`, `name = "off"`}:              "x.toml:35: variant[1].name: ",
		{`factor = 3.0`, `facto = 3.0`}:              "x.toml:30: fault.facto: unknown key",
		{`rate = 40.0`, "rate = 40.0\nretries = 11"}: "x.toml:24: load.retries: ",
	} {
		_, err := Load(write(t, strings.Replace(minimalExperiment, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("file with %q: error %v, want one with %q", change[1], err, want)
		}
	}
	f, err := Load(write(t, minimalExperiment))
	if err != nil || f.Runs() != 4 {
		t.Errorf("unchanged file: %d runs, error %v, want 4 runs", f.Runs(), err)
	}
}

// Guards against variants that get different arrivals for the same seed, windows missing from the results, and a report
// without the results.
func TestRunPairsVariantsAndReports(t *testing.T) {
	f, err := Load(write(t, minimalExperiment))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var out bytes.Buffer
	if err := (&Runner{File: f, Binary: binary, Out: &out}).Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	out.WriteString(`{"kind":"wind`) // a partial last line, as a crash leaves it
	if err := os.WriteFile(filepath.Join(dir, ResultsFile), out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := Read(filepath.Join(dir, ResultsFile))
	if err != nil {
		t.Fatal(err)
	}
	checkSummaries(t, r.Summaries)
	if len(r.Windows) != 4*4 {
		t.Errorf("read %d windows, want 4 for each of 4 runs", len(r.Windows))
	}
	checkReport(t, dir)
}

// checkSummaries checks the account of each run, and that variants have the same number of arrivals for a seed and a
// different number for another.
func checkSummaries(t *testing.T, summaries []Summary) {
	t.Helper()
	arrived := map[uint64]map[string]int{3: {}, 4: {}}
	for _, s := range summaries {
		arrived[s.Seed][s.Variant] = s.Arrived
		a := s.Account
		if a.Taken == 0 || a.Taken != a.Answered+a.Left+a.CutOff+a.Lost || len(s.Steps) != 2 || s.Binary == "" {
			t.Errorf("seed %d %s: account %+v, steps %v, binary %q, want a balanced account, 2 steps, a binary",
				s.Seed, s.Variant, a, s.Steps, s.Binary)
		}
	}
	a, b := arrived[3], arrived[4]
	if a["off"] == 0 || a["off"] != a["on"] || b["off"] != b["on"] || a["on"] == b["on"] {
		t.Errorf("arrivals by seed and variant: %v, want equal numbers for a seed only", arrived)
	}
}

// checkReport writes the report of a folder of results, and checks that it has the expected texts and plots.
func checkReport(t *testing.T, dir string) {
	t.Helper()
	if err := Report(dir); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"# tiny",
		"Difference to `off`",
		"| served in time, share of the worth | on | 2 |",
		"slow front-1",
		"| kept |",
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the report lacks %q:\n%s", want, text)
		}
	}
	for _, plot := range []string{"ends-off.svg", "ends-on.svg", "latency-off.svg", "latency-on.svg"} {
		if svg, err := os.ReadFile(filepath.Join(dir, plot)); err != nil || !bytes.Contains(svg, []byte("<svg")) {
			t.Errorf("plot %s: error %v, want an SVG file", plot, err)
		}
	}
}

// Guards against the loss of a run's results when it is interrupted.
func TestInterruptedRunWritesWhatItHas(t *testing.T) {
	f, err := Load(write(t, strings.Replace(minimalExperiment, `length = "2s"`, `length = "60s"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	r := &Runner{File: f, Binary: binary, Out: &out, Progress: func(s string) {
		if strings.Contains(s, " ended, ") && !strings.Contains(s, " 0 ended") {
			cancel()
		}
	}}
	if err := r.Run(ctx); err == nil || ctx.Err() == nil {
		t.Fatalf("Run returned %v, want an error after the interruption", err)
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var s Summary
	if err := json.Unmarshal(lines[len(lines)-1], &s); err != nil {
		t.Fatal(err)
	}
	if !s.Interrupted || s.Arrived == 0 || s.Seconds > 30 || len(s.Broken) > 0 {
		t.Errorf("Interrupted is %v after %.1f s with %d arrivals, broken %v; want true within 30 s, arrivals, none broken",
			s.Interrupted, s.Seconds, s.Arrived, s.Broken)
	}
}

// Guards against a report that fails because the machine was so busy that all windows of a variant are void: the line
// of a step was drawn up to the largest value of a plot without values.
func TestPlotWithoutValidWindows(t *testing.T) {
	r := Results{Windows: []Window{{Key: Key{Variant: "on"}, To: 1, Void: true, P50: 1, P99: 1}}}
	steps := []ExecutedStep{{At: 0.5, What: "slow front-1"}}
	for name, draw := range map[string]func(*plot.Plot, string) error{"ends": r.plotEnds, "latency": r.plotLatency} {
		if err := r.save(filepath.Join(t.TempDir(), "plot.svg"), "on", steps, draw); err != nil {
			t.Errorf("plot of %s without valid windows: %v, want no error", name, err)
		}
	}
}

func TestReportWithoutResults(t *testing.T) {
	dir := t.TempDir()
	if err := Report(dir); err == nil || !strings.Contains(err.Error(), "holds no results") {
		t.Errorf("report of an empty folder: error %v, want one about missing results", err)
	}
	for text, want := range map[string]string{"": "no run has ended", "{\n{}\n": ResultsFile + ":1"} {
		if err := os.WriteFile(filepath.Join(dir, ResultsFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Report(dir); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("results %q: error %v, want one with %q", text, err, want)
		}
	}
}

// Guards against a bootstrap interval that covers a known mean much less or more often than 95% of the time, and
// against a sign test that does not return its textbook values.
func TestCompare(t *testing.T) {
	d := compare([]float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6})
	if d.Mean != 1 || d.Low != 1 || d.High != 1 || math.Abs(d.SignTestP-0.0625) > 1e-9 {
		t.Errorf("all differences are 1: got %+v, want mean, low and high 1 and p 0.0625", d)
	}
	if d := compare([]float64{1, 2}, []float64{1, 2}); d.Mean != 0 || d.SignTestP != 1 {
		t.Errorf("no differences: got %+v, want mean 0 and p 1", d)
	}
	r := rand.New(rand.NewPCG(1, 1))
	covered := 0
	const trials = 100
	for range trials {
		a, b := make([]float64, 20), make([]float64, 20)
		for i := range a {
			b[i] = 0.5 + r.NormFloat64()
		}
		if d := compare(a, b); d.Low <= 0.5 && 0.5 <= d.High {
			covered++
		}
	}
	if covered < 85 || covered > 99 {
		t.Errorf("the interval covered the mean in %d of %d trials, want 85 to 99", covered, trials)
	}
}

func TestMedianWorst(t *testing.T) {
	if m, w := medianAndWorst([]float64{4, 1, 3, 2}, true); m != 2.5 || w != 1 {
		t.Errorf("median %v, worst %v, want 2.5 and 1", m, w)
	}
	if m, w := medianAndWorst([]float64{4, 1, 3}, false); m != 3 || w != 4 {
		t.Errorf("median %v, worst %v, want 3 and 4", m, w)
	}
}
