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

func capacity(ctx context.Context, self string, rate float64, length time.Duration, cores int, linked bool) error {
	w := testbed.World{Binary: self, Args: []string{"stub"}, TrustNodes: true, Seed: 1,
		Tiers: []testbed.Tier{{Name: "front", Nodes: 4, Servers: 1}},
		Classes: []testbed.Class{{
			Name:             "view",
			Effect:           "read_like",
			Share:            1,
			Work:             make([]time.Duration, 1),
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
		}}}
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
	day := testbed.Draw(&w, &load, length, 1)
	const maxMicros = int64(time.Minute / time.Microsecond)
	latency, late := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	ended := make(chan testbed.ArrivalResult, 1024)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for s := range ended {
			if s.End == "served" {
				latency.RecordValue(min(max(1, s.Latency.Microseconds()), maxMicros))
			}
			late.RecordValue(min(max(1, s.Late.Microseconds()), maxMicros))
		}
	}()
	cpu, began := ownCPU(), time.Now()
	var served atomic.Int64
	tb.Drive(ctx, &load, day, func(s testbed.ArrivalResult) {
		if s.End == "served" {
			served.Add(1)
		}
		ended <- s
	})
	took := time.Since(began)
	used := ownCPU() - cpu
	close(ended)
	<-recorded
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf(
		"links=%t rate=%.0f/s served=%d of %d in %.2f s\n",
		linked,
		float64(served.Load())/took.Seconds(),
		served.Load(),
		len(day),
		took.Seconds(),
	)
	fmt.Printf("latency from the drawn arrival: p50=%.3f ms p99=%.3f ms; lateness of the testbed: p50=%.3f ms p99=%.3f ms p99.9=%.3f ms\n",
		at(latency, 50), at(latency, 99), at(late, 50), at(late, 99), at(late, 99.9))
	fmt.Printf(
		"processor time of the testbed: %.2f cores, %.0f%% of %d\n",
		used.Seconds()/took.Seconds(),
		100*used.Seconds()/took.Seconds()/float64(cores),
		cores,
	)
	a := tb.Checker().Account()
	_, broken := tb.Findings()
	fmt.Printf(
		"checker: taken %d = answered %d + left %d + cut off %d + lost %d; broken %v\n",
		a.Taken,
		a.Answered,
		a.Left,
		a.CutOff,
		a.Lost,
		broken,
	)
	return ctx.Err()
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u) // of this process it does not fail
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stubCommand is a node that answers every request at once by itself.
func stubCommand() *cobra.Command {
	return &cobra.Command{Use: "stub", Short: "Serve as a node that answers at once (for capacity)", Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var cfg struct{ Listen string }
			text, err := os.ReadFile(filepath.Clean(os.Getenv("ROUTER_CONFIG")))
			if err != nil {
				return usageError{err}
			}
			if err := json.Unmarshal(text, &cfg); err != nil {
				return usageError{err}
			}
			ln, err := net.Listen("tcp", cfg.Listen)
			if err != nil {
				return err
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, r.Header.Get("X-Call-Id"))
			})}
			go func() {
				<-c.Context().Done()
				server.Close()
			}()
			if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}}
}
