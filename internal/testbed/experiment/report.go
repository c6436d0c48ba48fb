package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"keelusher/internal/testbed"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ResultsFile is the name of the results file within an experiment's folder of results.
const ResultsFile = "results.jsonl"

// Results holds the lines of one results file by their kind.
type Results struct {
	Windows   []Window
	Summaries []Summary
}

const maxLineSize = 4 << 20

// Read reads a results file. It ignores an invalid last line, which a crash during a write leaves; the error for any
// other invalid line contains the line's number.
func Read(path string) (*Results, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &Results{}
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineSize)
	var failed error
	for n := 1; in.Scan(); n++ {
		if failed != nil {
			return nil, failed
		}
		var kind struct{ Kind string }
		if err := json.Unmarshal(in.Bytes(), &kind); err != nil {
			failed = fmt.Errorf("%s:%d: %w", path, n, err)
			continue
		}
		switch kind.Kind {
		case "window":
			var w Window
			failed = json.Unmarshal(in.Bytes(), &w)
			r.Windows = append(r.Windows, w)
		case "summary":
			var s Summary
			failed = json.Unmarshal(in.Bytes(), &s)
			r.Summaries = append(r.Summaries, s)
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(r.Summaries) == 0 {
		return nil, fmt.Errorf("%s: no run has ended", path)
	}
	return r, nil
}

// metric is a row of the report's tables, computed from the summary of a run.
type metric struct {
	name          string
	format        string
	lowestIsWorst bool // else the highest value is the worst
	value         func(*Summary) float64
}

// share returns the share of a run's arrivals that ended in a given way.
func share(s *Summary, end string) float64 {
	if s.Arrived == 0 {
		return 0
	}
	return float64(s.Ends[end]) / float64(s.Arrived)
}

var metrics = []metric{
	{"served in time, share of the worth", "%.4f", true, func(s *Summary) float64 { return s.Served }},
	{"the same in the worst window", "%.3f", true, func(s *Summary) float64 { return s.Worst }},
	{"late", "%.4f", false, func(s *Summary) float64 { return share(s, testbed.EndLate) }},
	{"refused", "%.4f", false, func(s *Summary) float64 { return share(s, testbed.EndRejected) }},
	{"failed", "%.4f", false, func(s *Summary) float64 {
		return share(s, testbed.EndFailed) + share(s, testbed.EndUnreached)
	}},
	{"median latency, ms", "%.1f", false, func(s *Summary) float64 { return s.P50 }},
	{"99th percentile, ms", "%.0f", false, func(s *Summary) float64 { return s.P99 }},
	{"99.9th percentile, ms", "%.0f", false, func(s *Summary) float64 { return s.P999 }},
	{
		"attempts for each arrival",
		"%.3f",
		false,
		func(s *Summary) float64 { return float64(s.Attempts) / float64(max(1, s.Arrived)) },
	},
	{
		"of them between zones",
		"%.4f",
		false,
		func(s *Summary) float64 { return float64(s.CrossZone) / float64(max(1, s.Attempts)) },
	},
	{"calls a server, most over mean", "%.2f", false, func(s *Summary) float64 { return s.Imbalance }},
	{"processor, all nodes, cores", "%.3f", false, func(s *Summary) float64 { return s.CPU }},
	{"memory, largest node, MB", "%.1f", false, func(s *Summary) float64 { return s.MaxRSS }},
	{"descriptors, most of a node", "%.0f", false, func(s *Summary) float64 { return float64(s.MaxFiles) }},
}

// variants returns the names of the variants in order of appearance, and their summaries by name.
func (r *Results) variants() (names []string, by map[string][]*Summary) {
	by = map[string][]*Summary{}
	for i := range r.Summaries {
		s := &r.Summaries[i]
		if by[s.Variant] == nil {
			names = append(names, s.Variant)
		}
		by[s.Variant] = append(by[s.Variant], s)
	}
	return names, by
}

// Report writes report.md and its plots into the folder that holds the results.
func Report(dir string) error {
	r, err := Read(filepath.Join(dir, ResultsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s holds no results: %w", dir, err)
	}
	if err != nil {
		return err
	}
	names, by := r.variants()
	sortVariants(names)
	var b strings.Builder
	r.writeHeader(&b, names, by)
	writeRules(&b, names, by)
	writeMetrics(&b, names, by)
	if len(names) > 1 {
		writeDifferences(&b, names, by)
	}
	for _, n := range names {
		if err := r.writeTimeline(&b, dir, n, by[n][0]); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644)
}

// sortVariants sorts the variants by name, and then moves the baseline, with which the others are compared, to the
// front by swapping it with the first.
func sortVariants(names []string) {
	sort.Strings(names)
	for i, n := range names {
		if n == "off" || n == "base" || n == "before" {
			names[0], names[i] = names[i], names[0]
		}
	}
}

func (r *Results) writeHeader(b *strings.Builder, names []string, by map[string][]*Summary) {
	fmt.Fprintf(b, "# %s\n\n", r.Summaries[0].Experiment)
	for _, n := range names {
		var seeds []string
		for _, s := range by[n] {
			seeds = append(seeds, fmt.Sprint(s.Seed))
		}
		fmt.Fprintf(b, "- `%s`: binary %s, seeds %s\n", n, by[n][0].Binary, strings.Join(seeds, " "))
	}
}

func writeRules(b *strings.Builder, names []string, by map[string][]*Summary) {
	b.WriteString("\n## Rules and accounts\n\n")
	head := []string{
		"variant", "seed", "arrived", "taken", "answered", "left", "cut off", "lost", "void windows", "rules",
	}
	writeTable(b, head, func(row func(...any)) {
		for _, n := range names {
			for _, s := range by[n] {
				a := s.Account
				row(n, s.Seed, s.Arrived, a.Taken, a.Answered, a.Left, a.CutOff, a.Lost, s.VoidWindows, brokenRules(s))
			}
		}
	})
}

func writeMetrics(b *strings.Builder, names []string, by map[string][]*Summary) {
	b.WriteString("\n## Metrics, median and worst over runs\n\n")
	writeTable(b, append([]string{"metric"}, names...), func(row func(...any)) {
		for _, m := range metrics {
			cells := []any{m.name}
			for _, n := range names {
				median, worst := medianAndWorst(values(by[n], m), m.lowestIsWorst)
				cells = append(cells, fmt.Sprintf(m.format+" / "+m.format, median, worst))
			}
			row(cells...)
		}
	})
}

func writeDifferences(b *strings.Builder, names []string, by map[string][]*Summary) {
	fmt.Fprintf(b, "\n## Difference to `%s`, paired by seed\n\n", names[0])
	b.WriteString("Mean of the differences with its 95% bootstrap interval, and the sign test's p.\n\n")
	head := []string{"metric", "variant", "pairs", "difference", "from", "to", "p"}
	writeTable(b, head, func(row func(...any)) {
		for _, m := range metrics {
			for _, n := range names[1:] {
				d := compare(paired(by[names[0]], by[n], m))
				format := func(v float64) string { return fmt.Sprintf(m.format, v) }
				row(m.name, n, d.Pairs, format(d.Mean), format(d.Low), format(d.High), fmt.Sprintf("%.3f", d.SignTestP))
			}
		}
	})
}

// writeTimeline saves the plots of a variant to files, and writes references to them and the steps of the variant's
// first run into the report.
func (r *Results) writeTimeline(b *strings.Builder, dir, variant string, first *Summary) error {
	fmt.Fprintf(b, "\n## `%s` over time\n\n", variant)
	b.WriteString("Means over the runs; grey lines are the steps of the first run's schedule.\n\n")
	for what, draw := range map[string]func(*plot.Plot, string) error{"ends": r.plotEnds, "latency": r.plotLatency} {
		path := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", what, variant))
		if err := r.save(path, variant, first.Steps, draw); err != nil {
			return err
		}
	}
	fmt.Fprintf(b, "![ends over time](ends-%s.svg)\n\n![latency over time](latency-%s.svg)\n\n", variant, variant)
	writeTable(b, []string{"at", "step"}, func(row func(...any)) {
		for _, step := range first.Steps {
			row(fmt.Sprintf("%.2f s", step.At), step.What)
		}
	})
	return nil
}

// brokenRules returns the rules that a run broke, with counts, or "kept".
func brokenRules(s *Summary) string {
	if len(s.Broken) == 0 {
		return "kept"
	}
	var all []string
	for rule, n := range s.Broken {
		all = append(all, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

// writeTable writes a Markdown table with the header head. rows must call its argument once for each row of the table.
func writeTable(b *strings.Builder, head []string, rows func(row func(...any))) {
	fmt.Fprintf(b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	rows(func(cells ...any) {
		for _, c := range cells {
			fmt.Fprintf(b, "| %s ", strings.ReplaceAll(fmt.Sprint(c), "|", "\\|"))
		}
		b.WriteString("|\n")
	})
}

func values(s []*Summary, f metric) (x []float64) {
	for _, one := range s {
		x = append(x, f.value(one))
	}
	return x
}

// paired returns the values of a metric in two variants' runs with the same seed and repeat; x[i] and y[i] are a pair.
func paired(a, b []*Summary, f metric) (x, y []float64) {
	type runKey struct {
		seed   uint64
		repeat int
	}
	first := map[runKey]*Summary{}
	for _, s := range a {
		first[runKey{s.Seed, s.Repeat}] = s
	}
	for _, s := range b {
		if p := first[runKey{s.Seed, s.Repeat}]; p != nil {
			x, y = append(x, f.value(p)), append(y, f.value(s))
		}
	}
	return x, y
}

var colours = []color.Color{
	color.RGBA{0x2c, 0x7f, 0x4a, 255},
	color.RGBA{0xd9, 0x8b, 0x1f, 255},
	color.RGBA{0xc0, 0x39, 0x2b, 255},
	color.RGBA{0x5b, 0x5b, 0x9e, 255},
	color.RGBA{0x7a, 0x7a, 0x7a, 255},
}

// line adds a line to a plot: the value that of returns for a variant's windows over time, as the mean over the runs.
// Void windows and those for which of returns false are left out.
func (r *Results) line(p *plot.Plot, variant, name string, n int, of func(Window) (v float64, ok bool)) error {
	sums, counts := map[float64]float64{}, map[float64]int{}
	for _, w := range r.Windows {
		if v, ok := of(w); ok && w.Variant == variant && !w.Void {
			sums[w.From] += v
			counts[w.From]++
		}
	}
	var xy plotter.XYs
	for at, sum := range sums {
		xy = append(xy, plotter.XY{X: at, Y: sum / float64(counts[at])})
	}
	if len(xy) == 0 {
		return nil
	}
	sort.Slice(xy, func(i, j int) bool { return xy[i].X < xy[j].X })
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[n%len(colours)], vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func (r *Results) plotEnds(p *plot.Plot, variant string) error {
	p.Y.Label.Text = "arrivals a second"
	for i, ends := range [][]string{
		{testbed.EndServed},
		{testbed.EndRejected},
		{testbed.EndFailed, testbed.EndUnreached},
		{testbed.EndLate},
		{testbed.EndDisconnected, testbed.EndUnsent},
	} {
		if err := r.line(p, variant, ends[0], i, func(w Window) (v float64, ok bool) {
			for _, e := range ends {
				v += float64(w.Ends[e])
			}
			return v / (w.To - w.From), true
		}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Results) plotLatency(p *plot.Plot, variant string) error {
	p.Y.Label.Text = "latency, ms"
	if err := r.line(p, variant, "median", 0, func(w Window) (float64, bool) { return w.P50, w.P50 > 0 }); err != nil {
		return err
	}
	return r.line(p, variant, "99th percentile", 2, func(w Window) (float64, bool) { return w.P99, w.P99 > 0 })
}

func (r *Results) save(path, variant string, steps []ExecutedStep, draw func(*plot.Plot, string) error) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	if err := draw(p, variant); err != nil {
		return err
	}
	if math.IsInf(p.Y.Max, -1) { // no window is valid
		p.Y.Max = 1
	}
	p.Y.Max *= 1.05
	p.X.Max *= 1.15 // room for the legend
	for _, m := range steps {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		l.Color, l.Width = color.Gray{0xb0}, vg.Points(0.6)
		p.Add(l)
	}
	return p.Save(24*vg.Centimeter, 9*vg.Centimeter, path)
}
