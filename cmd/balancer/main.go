// Command balancer is one load-balancer node: it takes requests, lets package policy decide where
// they go, and answers them. ROUTER_CONFIG names its configuration file.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"keelusher/internal/logsink"
	"keelusher/internal/node"
)

func main() {
	if err := run(); err != nil {
		for line := range strings.Lines(err.Error()) { // one for each thing that is wrong
			fmt.Fprintf(os.Stderr, "balancer: %s\n", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

func run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all: untaken, it would end the program
	path := os.Getenv("ROUTER_CONFIG")
	cfg, err := node.RetryOnShortage(context.Background(), func() (node.Config, error) { return node.LoadConfig(path) })
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		cfg.ProcessesChanged = func(processes int) {
			debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4 / int64(processes)) // the rest is for stacks of the kernel and sockets
		}
		cfg.ProcessesChanged(1)
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	signal.Ignore(syscall.SIGPIPE) // else a log whose reader has gone would end the program
	sink := logsink.New(os.Stderr)
	defer sink.Close()
	logger := slog.New(slog.NewTextHandler(sink, nil))
	n, err := node.New(cfg, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	r := &reloader{path: path, log: logger, apply: n.Reconfigure}
	for {
		select {
		case err := <-ended:
			return err
		case <-reload:
			r.signalled()
		case <-r.again:
			r.try()
		}
	}
}
