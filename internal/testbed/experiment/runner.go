package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"keelusher/internal/testbed"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Key identifies the run that a line of the results belongs to.
type Key struct {
	Experiment string `json:"experiment"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	Repeat     int    `json:"repeat"`
	Binary     string `json:"binary"` // first 12 digits of its SHA-256
}

// Window holds the outcome of the arrivals that were drawn in one window, and the resources that the nodes used in it.
type Window struct {
	Kind string `json:"kind"` // "window"
	Key
	From           float64        `json:"from"` // seconds since the start of the load
	To             float64        `json:"to"`
	Void           bool           `json:"void,omitempty"` // the test bed was too late: the window proves nothing
	Lateness       float64        `json:"lateness_ms"`
	Arrived        int            `json:"arrived"`
	Ends           map[string]int `json:"ends"`
	PriorityWeight float64        `json:"worth"`  // total weight of the requests
	ServedWeight   float64        `json:"earned"` // weight of the requests served within the latency objective
	P50            float64        `json:"p50_ms"` // latency of served requests, from the drawn time of arrival
	P99            float64        `json:"p99_ms"`
	Attempts       int64          `json:"attempts"` // that reached servers, at all tiers
	CrossZone      int64          `json:"crossed"`  // attempts that went to another zone
	CPU            float64        `json:"cpu"`      // cores used by all nodes together
	MaxCPU         float64        `json:"most_cpu"` // cores used by the busiest node
	MaxRSS         float64        `json:"most_rss_mb"`
	MaxFiles       int            `json:"most_files"`
}

// Summary holds the results of a whole run.
type Summary struct {
	Kind string `json:"kind"` // "summary"
	Key
	Seconds     float64              `json:"seconds"`
	Interrupted bool                 `json:"interrupted,omitempty"`
	VoidWindows int                  `json:"void_windows"`
	Arrived     int                  `json:"arrived"`
	Ends        map[string]int       `json:"ends"`
	Served      float64              `json:"served"` // share of the weight that was served in time, outside void windows
	Worst       float64              `json:"worst"`  // the same share in the worst window
	P50         float64              `json:"p50_ms"`
	P90         float64              `json:"p90_ms"`
	P99         float64              `json:"p99_ms"`
	P999        float64              `json:"p999_ms"`
	Attempts    int64                `json:"attempts"`
	CrossZone   int64                `json:"crossed"`
	Imbalance   float64              `json:"uneven"` // answers of the busiest server of the first tier over the mean
	CPU         float64              `json:"cpu"`
	MaxRSS      float64              `json:"most_rss_mb"`
	MaxFiles    int                  `json:"most_files"`
	Account     testbed.Account      `json:"account"`
	Broken      map[testbed.Rule]int `json:"broken"`
	Steps       []ExecutedStep       `json:"marks"`
	Found       []testbed.Finding    `json:"found,omitempty"` // the first maxFindings
}

// ExecutedStep is a step of the fault schedule with the time at which it was carried out.
type ExecutedStep struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

const (
	maxFindings      = 20
	maxSteps         = 500
	maxLatencyMillis = 120_000
)

// Runner runs an experiment.
type Runner struct {
	File     *File
	Binary   string
	Out      io.Writer           // receives the results as JSON lines
	Progress func(string)        // called frequently with a text about the progress of the run
	Done     func(Key, *Summary) // called with the summary of each run that ended

	mu sync.Mutex
}

// Run runs all variants with all seeds. If ctx ends, it writes the results of the interrupted run so far and returns
// an error that wraps the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	runs := 0
	for _, seed := range r.File.Seeds {
		for repeat := range r.File.Repeat {
			for i := range r.File.Variants {
				v := r.File.Variants[(i+repeat+runs)%len(r.File.Variants)] // rotated, so that none always runs first
				s, err := r.runOnce(ctx, v, seed, repeat)
				if s != nil && r.Done != nil {
					r.Done(s.Key, s)
				}
				if err != nil {
					return fmt.Errorf("variant %s, seed %d: %w", v.Name, seed, err)
				}
			}
			runs++
		}
	}
	return nil
}

func (r *Runner) write(line any) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.Out.Write(append(text, '\n'))
	return err
}

// fileDigest returns the first 12 digits of a file's SHA-256.
func fileDigest(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil))[:12], nil
}

// runRecord collects the results of a run.
type runRecord struct {
	key     Key
	began   time.Duration // on the test bed's clock
	mu      sync.Mutex
	windows []Window
	hists   []*hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
	steps   []ExecutedStep
	ended   int
}

func newRunRecord(f *File, key Key) *runRecord {
	b := &runRecord{key: key, total: hdrhistogram.New(1, maxLatencyMillis*1000, 3)}
	for at := time.Duration(0); at < f.Length; at += f.Window {
		b.windows = append(b.windows, Window{
			Kind: "window",
			Key:  key,
			From: at.Seconds(),
			To:   min(at+f.Window, f.Length).Seconds(),
			Ends: map[string]int{},
		})
		b.hists = append(b.hists, hdrhistogram.New(1, maxLatencyMillis*1000, 3))
	}
	return b
}

// add records the outcome of an arrival in the window of its drawn time.
func (b *runRecord) add(f *File, s testbed.ArrivalResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := min(int(s.Arrival.At/f.Window), len(b.windows)-1)
	w := &b.windows[i]
	w.Arrived++
	w.Ends[s.End]++
	w.PriorityWeight += s.PriorityWeight
	w.Lateness = max(w.Lateness, float64(s.Late)/1e6)
	b.ended++
	if s.End == testbed.EndServed {
		w.ServedWeight += s.PriorityWeight
	}
	if s.End == testbed.EndServed || s.End == testbed.EndLate {
		us := min(max(s.Latency.Microseconds(), 1), maxLatencyMillis*1000)
		_ = b.hists[i].RecordValue(us) // in range
		_ = b.total.RecordValue(us)
	}
	if s.End == testbed.EndUnsent {
		w.Void = true
	}
}

func (b *runRecord) recordStep(at time.Duration, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.steps) < maxSteps {
		b.steps = append(b.steps, ExecutedStep{at.Seconds(), what})
	}
}

// runOnce runs one variant with one seed once, and writes the results.
func (r *Runner) runOnce(ctx context.Context, v Variant, seed uint64, repeat int) (*Summary, error) {
	f := r.File
	w, err := r.worldOf(v, seed)
	if err != nil {
		return nil, err
	}
	hash, err := fileDigest(w.Binary)
	if err != nil {
		return nil, err
	}
	key := Key{Experiment: f.Name, Variant: v.Name, Seed: seed, Repeat: repeat, Binary: hash}
	steps, err := testbed.Schedule(&w, f.Faults, seed)
	if err != nil {
		return nil, err
	}
	arrivals := testbed.Draw(&w, &f.Load, f.Length, seed)
	r.progress("%s seed %d: starting", v.Name, seed)
	tb, err := testbed.Open(ctx, w)
	if err != nil {
		return nil, err
	}
	defer tb.Close()
	b := newRunRecord(f, key)
	b.began = tb.Now()
	took := r.drive(ctx, tb, b, steps, arrivals)
	s := b.summary(tb)
	s.Seconds = took.Seconds()
	s.Interrupted = ctx.Err() != nil
	for _, w := range b.windows {
		if err := r.write(w); err != nil {
			return nil, err
		}
	}
	if err := r.write(s); err != nil {
		return nil, err
	}
	return s, ctx.Err()
}

// worldOf returns the world of a variant with a seed.
func (r *Runner) worldOf(v Variant, seed uint64) (testbed.World, error) {
	w := r.File.World
	w.Seed, w.Args, w.Env = seed, v.Args, v.Env
	if v.Fleet != nil {
		w.Fleet = v.Fleet
	}
	binary := r.Binary
	if v.Binary != "" {
		binary = v.Binary
	}
	var err error
	w.Binary, err = filepath.Abs(binary) // absolute, as nodes run in folders of their own
	return w, err
}

// drive runs the load, the faults and the sampling concurrently, and returns how long the load took.
func (r *Runner) drive(
	ctx context.Context,
	tb *testbed.Testbed,
	b *runRecord,
	steps []testbed.Step,
	arrivals []testbed.Arrival,
) time.Duration {
	running, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Add(2)
	go func() {
		defer background.Done()
		tb.RunSchedule(running, steps, b.recordStep)
	}()
	go func() {
		defer background.Done()
		r.sample(running, tb, b)
	}()
	tb.Drive(ctx, &r.File.Load, arrivals, func(s testbed.ArrivalResult) { b.add(r.File, s) })
	took := tb.Now() - b.began
	stop()
	background.Wait()
	return took
}

func (r *Runner) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// sample records at the end of each window which resources the nodes used in it.
func (r *Runner) sample(ctx context.Context, tb *testbed.Testbed, b *runRecord) {
	variant := b.key.Variant
	tick := time.NewTicker(r.File.Window)
	defer tick.Stop()
	before := map[*testbed.Node]testbed.Usage{}
	for _, n := range tb.Nodes() {
		before[n] = n.Usage()
	}
	attempts, crossZone := tb.Attempts()
	for i := 0; i < len(b.windows); i++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var all, busiest time.Duration
		var rss int64
		files := 0
		for _, n := range tb.Nodes() {
			u := n.Usage()
			used := u.CPU - before[n].CPU
			before[n] = u
			all += used
			busiest, rss, files = max(busiest, used), max(rss, u.RSS), max(files, u.Files)
		}
		a, c := tb.Attempts()
		b.mu.Lock()
		w := &b.windows[i]
		w.CPU, w.MaxCPU = all.Seconds()/r.File.Window.Seconds(), busiest.Seconds()/r.File.Window.Seconds()
		w.MaxRSS, w.MaxFiles = float64(rss)/(1<<20), files
		w.Attempts, w.CrossZone = a-attempts, c-crossZone
		attempts, crossZone = a, c
		ended, served := b.ended, w.Ends[testbed.EndServed]
		b.mu.Unlock()
		r.progress("%s: %3.0f of %.0f s, %d ended, %d served in the last window", variant, (tb.Now() - b.began).Seconds(),
			r.File.Length.Seconds(), ended, served)
	}
	<-ctx.Done()
}

// summary completes the windows, and returns the summary of the run.
func (b *runRecord) summary(tb *testbed.Testbed) *Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Summary{
		Kind:    "summary",
		Key:     b.key,
		Ends:    map[string]int{},
		Worst:   1,
		Account: tb.Checker().Account(),
		Steps:   b.steps,
	}
	var weight, earned float64
	for i := range b.windows {
		w := &b.windows[i]
		from, to := b.began+time.Duration(w.From*1e9), b.began+time.Duration(w.To*1e9)
		w.Lateness = max(w.Lateness, float64(tb.Lateness(from, to))/1e6)
		w.Void = w.Void || tb.Void(from, to)
		w.P50, w.P99 = quantile(b.hists[i], 50), quantile(b.hists[i], 99)
		s.Arrived += w.Arrived
		for end, n := range w.Ends {
			s.Ends[end] += n
		}
		s.Attempts += w.Attempts
		s.CrossZone += w.CrossZone
		s.CPU += w.CPU / float64(len(b.windows))
		s.MaxRSS, s.MaxFiles = max(s.MaxRSS, w.MaxRSS), max(s.MaxFiles, w.MaxFiles)
		if w.Void {
			s.VoidWindows++
			continue
		}
		weight += w.PriorityWeight
		earned += w.ServedWeight
		if w.PriorityWeight > 0 {
			s.Worst = min(s.Worst, w.ServedWeight/w.PriorityWeight)
		}
	}
	if weight > 0 {
		s.Served = earned / weight
	}
	s.P50 = quantile(b.total, 50)
	s.P90 = quantile(b.total, 90)
	s.P99 = quantile(b.total, 99)
	s.P999 = quantile(b.total, 99.9)
	s.Imbalance = tb.Imbalance()
	s.Found, s.Broken = tb.Findings()
	s.Found = slices.Clip(s.Found[:min(maxFindings, len(s.Found))])
	return s
}

// quantile returns a percentile, in milliseconds, of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
