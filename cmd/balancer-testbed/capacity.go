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

// capacityCommand returns the command that measures the test bed itself: the load that it can generate and check with
// stubs that respond at once, and the latency that its proxies add.
func capacityCommand() *cobra.Command {
	var rate float64
	var cores int
	var length time.Duration
	var proxied bool
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the test bed itself with stubs that respond at once",
		Args:  cobra.NoArgs,
	}
	c.Flags().Float64Var(&rate, "rate", 5000, "requests per second")
	c.Flags().IntVar(&cores, "cores", 4, "processor cores for this process")
	c.Flags().DurationVar(&length, "length", 10*time.Second, "duration of the load")
	c.Flags().BoolVar(&proxied, "links", false, "send the requests through a proxy for each link")
	c.RunE = func(c *cobra.Command, _ []string) error {
		runtime.GOMAXPROCS(cores)
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return capacity(c.Context(), self, rate, length, cores, proxied)
	}
	return c
}

// capacity sends a load to stubs and prints the rate, the latency and the processor time of the test bed.
func capacity(ctx context.Context, self string, rate float64, length time.Duration, cores int, proxied bool) error {
	w := stubWorld(self)
	if proxied {
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
		proxied, float64(m.served.Load())/m.elapsed.Seconds(), m.served.Load(), len(arrivals), m.elapsed.Seconds())
	m.print(cores)
	a := tb.Checker().Account()
	_, broken := tb.Findings()
	fmt.Printf("checker: taken %d = answered %d + left %d + cut off %d + lost %d; broken %v\n",
		a.Taken, a.Answered, a.Left, a.CutOff, a.Lost, broken)
	return ctx.Err()
}

// stubWorld returns a test-bed world whose nodes are stubs, with one class of requests.
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

const maxMicroseconds = int64(time.Minute / time.Microsecond)

// measurement collects the results of a load.
type measurement struct {
	latency   *hdrhistogram.Histogram // of the served requests, in microseconds
	lateness  *hdrhistogram.Histogram // of the test bed in sending requests, in microseconds
	served    atomic.Int64
	results   chan testbed.ArrivalResult
	recorded  chan struct{} // closed when all results have been recorded
	startedAt time.Time
	cpu       time.Duration // processor time of this process during the load; until stop is called, its value at the start
	elapsed   time.Duration
}

func (m *measurement) start() {
	m.latency = hdrhistogram.New(1, maxMicroseconds, 3)
	m.lateness = hdrhistogram.New(1, maxMicroseconds, 3)
	m.results = make(chan testbed.ArrivalResult, 1024)
	m.recorded = make(chan struct{})
	go m.record()
	m.cpu = ownCPU()
	m.startedAt = time.Now()
}

// record adds the results to the histograms until the channel is closed.
func (m *measurement) record() {
	defer close(m.recorded)
	for s := range m.results {
		if s.End == testbed.EndServed {
			_ = m.latency.RecordValue(min(max(1, s.Latency.Microseconds()), maxMicroseconds)) // fails only out of range
		}
		_ = m.lateness.RecordValue(min(max(1, s.Late.Microseconds()), maxMicroseconds)) // fails only out of range
	}
}

// add adds the result of one arrival. It is safe for concurrent use.
func (m *measurement) add(s testbed.ArrivalResult) {
	if s.End == testbed.EndServed {
		m.served.Add(1)
	}
	m.results <- s
}

func (m *measurement) stop() {
	m.elapsed = time.Since(m.startedAt)
	m.cpu = ownCPU() - m.cpu
	close(m.results)
	<-m.recorded
}

func (m *measurement) print(cores int) {
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("latency from the drawn arrival: p50=%.3f ms p99=%.3f ms; ", millis(m.latency, 50), millis(m.latency, 99))
	fmt.Printf("lateness of the testbed: p50=%.3f ms p99=%.3f ms p99.9=%.3f ms\n",
		millis(m.lateness, 50), millis(m.lateness, 99), millis(m.lateness, 99.9))
	used := m.cpu.Seconds() / m.elapsed.Seconds()
	fmt.Printf("processor time of the testbed: %.2f cores, %.0f%% of %d\n", used, 100*used/float64(cores), cores)
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for the calling process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stubCommand returns the command that runs a stub: a node that responds to every request at once without a server.
func stubCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "stub",
		Short:  "Run a node that responds at once (for capacity)",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(c *cobra.Command, _ []string) error { return serveStub(c.Context()) },
	}
}

// serveStub responds to each request with its id until ctx ends.
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
		_, _ = io.Copy(io.Discard, r.Body)                  // fails if the body ends early, and then the connection ends too
		_, _ = io.WriteString(w, r.Header.Get("X-Call-Id")) // fails if the client has disconnected
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close() // errors do not matter, since the process ends
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
