package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"keelusher/internal/testbed"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
)

// capacityCommand measures the testbed itself: what it can drive and check against stubs that answer at once, and
// what a proxy adds.
func capacityCommand() *cobra.Command {
	var rate float64
	var cores int
	var length time.Duration
	var linked bool
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the testbed itself against stubs that answer at once",
		Args:  cobra.NoArgs,
	}
	c.Flags().Float64Var(&rate, "rate", 5000, "requests a second")
	c.Flags().IntVar(&cores, "cores", 4, "cores of this process")
	c.Flags().DurationVar(&length, "length", 10*time.Second, "how long")
	c.Flags().BoolVar(&linked, "links", false, "through a proxy for each link")
	c.RunE = func(c *cobra.Command, _ []string) error {
		runtime.GOMAXPROCS(cores)
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return capacity(c.Context(), self, rate, length, cores, linked)
	}
	return c
}

// capacity drives a load against stubs and prints what the testbed could do.
func capacity(ctx context.Context, self string, rate float64, length time.Duration, cores int, linked bool) error {
	w := stubWorld(self)
	if linked {
		w.Links = []string{"clients-*->n*"}
	}
	load := testbed.Load{Rate: rate}
	if err := errors.Join(w.Fill(), load.Fill(&w)); err != nil {
		return usageError{err}
	}
	tb, err := testbed.Open(ctx, w)
	if err != nil {
		return err
	}
	defer tb.Close()
	arrivals := testbed.Draw(&w, &load, length, 1)
	var m measurement
	m.start()
	tb.Drive(ctx, &load, arrivals, m.add)
	m.stop()
	fmt.Printf("links=%t rate=%.0f/s served=%d of %d in %.2f s\n",
		linked, float64(m.served.Load())/m.took.Seconds(), m.served.Load(), len(arrivals), m.took.Seconds())
	m.print(cores)
	a := tb.Checker().Account()
	_, broken := tb.Findings()
	fmt.Printf("checker: taken %d = answered %d + left %d + cut off %d + lost %d; broken %v\n",
		a.Taken, a.Answered, a.Left, a.CutOff, a.Lost, broken)
	return ctx.Err()
}

// stubWorld is a world of stubs with one class of requests.
func stubWorld(self string) testbed.World {
	return testbed.World{
		Binary:     self,
		Args:       []string{"stub"},
		TrustNodes: true,
		Seed:       1,
		Tiers:      []testbed.Tier{{Name: "front", Nodes: 4, Servers: 1}},
		Classes: []testbed.Class{{
			Name:             "view",
			Effect:           testbed.Idempotent,
			Share:            1,
			Work:             make([]time.Duration, 1),
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
		}},
	}
}

const maxMicros = int64(time.Minute / time.Microsecond)

// measurement gathers what came of a load.
type measurement struct {
	latency  *hdrhistogram.Histogram // microseconds
	lateness *hdrhistogram.Histogram // microseconds
	served   atomic.Int64
	ended    chan testbed.ArrivalResult
	recorded chan struct{} // closed when all results are in the histograms
	began    time.Time
	cpu      time.Duration // of this process; until stop: at the start
	took     time.Duration
}

func (m *measurement) start() {
	m.latency = hdrhistogram.New(1, maxMicros, 3)
	m.lateness = hdrhistogram.New(1, maxMicros, 3)
	m.ended = make(chan testbed.ArrivalResult, 1024)
	m.recorded = make(chan struct{})
	go m.record()
	m.cpu = ownCPU()
	m.began = time.Now()
}

// record puts results into the histograms until there are no more.
func (m *measurement) record() {
	defer close(m.recorded)
	for s := range m.ended {
		if s.End == testbed.EndServed {
			_ = m.latency.RecordValue(min(max(1, s.Latency.Microseconds()), maxMicros)) // in range
		}
		_ = m.lateness.RecordValue(min(max(1, s.Late.Microseconds()), maxMicros)) // in range
	}
}

// add takes the result of one arrival; it is safe for concurrent use.
func (m *measurement) add(s testbed.ArrivalResult) {
	if s.End == testbed.EndServed {
		m.served.Add(1)
	}
	m.ended <- s
}

func (m *measurement) stop() {
	m.took = time.Since(m.began)
	m.cpu = ownCPU() - m.cpu
	close(m.ended)
	<-m.recorded
}

func (m *measurement) print(cores int) {
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("latency from the drawn arrival: p50=%.3f ms p99=%.3f ms; ", millis(m.latency, 50), millis(m.latency, 99))
	fmt.Printf("lateness of the testbed: p50=%.3f ms p99=%.3f ms p99.9=%.3f ms\n",
		millis(m.lateness, 50), millis(m.lateness, 99), millis(m.lateness, 99.9))
	used := m.cpu.Seconds() / m.took.Seconds()
	fmt.Printf("processor time of the testbed: %.2f cores, %.0f%% of %d\n", used, 100*used/float64(cores), cores)
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // does not fail for this process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stubCommand is a node that answers every request at once by itself.
func stubCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "stub",
		Short:  "Serve as a node that answers at once (for capacity)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(c *cobra.Command, _ []string) error { return serveStub(c.Context()) },
	}
}

// serveStub answers each request with its id until ctx ends.
func serveStub(ctx context.Context) error {
	var cfg struct{ Listen string }
	text, err := os.ReadFile(filepath.Clean(os.Getenv("ROUTER_CONFIG")))
	if err != nil {
		return usageError{err}
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		return usageError{err}
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)                  // a body that breaks off ends the connection
		_, _ = io.WriteString(w, r.Header.Get("X-Call-Id")) // fails where the client has left
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the process ends next
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
