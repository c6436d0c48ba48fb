// Command balancer is one load-balancing node: it accepts requests, lets package policy decide where they go, and
// answers them. ROUTER_CONFIG names its configuration file, which SIGHUP makes it read again. SIGTERM shuts it down
// gracefully.
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
		for line := range strings.Lines(err.Error()) { // a joined error has several
			fmt.Fprintf(os.Stderr, "balancer: %s\n", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

// run serves until SIGTERM or an error.
func run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: unhandled, it would end the program
	path := os.Getenv("ROUTER_CONFIG")
	config, err := node.RetryOnShortage(context.Background(), func() (node.Config, error) { return node.LoadConfig(path) })
	if err != nil {
		return err
	}
	limitResources(&config)
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has closed it would end the program
	sink := logsink.New(os.Stderr)
	defer sink.Close()
	logger := slog.New(slog.NewTextHandler(sink, nil))
	n, err := node.New(config, logger)
	if err != nil {
		return err
	}
	return serve(n, newReloader(path, logger, n.Reconfigure), reload)
}

// serve runs the node until SIGTERM or an error, and reloads its configuration at each signal on reload.
func serve(n *node.Node, r *reloader, reload <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-reload:
			r.handleSignal()
		case <-r.retry:
			r.load()
		}
	}
}

// limitResources sets the runtime's limits from the configuration.
func limitResources(config *node.Config) {
	if config.MemoryMB > 0 {
		memoryBytes := int64(config.MemoryMB) << 20
		config.ProcessesChanged = func(processes int) {
			// The rest is for the kernel's socket buffers and the stacks.
			debug.SetMemoryLimit(memoryBytes * 3 / 4 / int64(processes))
		}
		config.ProcessesChanged(1)
	}
	if config.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	}
}
