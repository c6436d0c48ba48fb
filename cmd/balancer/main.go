// Command balancer runs one node of the load balancer: it accepts requests, sends each to the endpoint that package
// policy chooses, and returns the response. The environment variable ROUTER_CONFIG is the path of its configuration
// file. SIGHUP reloads the file, SIGTERM shuts the node down gracefully.
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
		for line := range strings.Lines(err.Error()) { // a joined error has a line for each of its errors
			fmt.Fprintf(os.Stderr, "balancer: %s\n", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

// run starts the node and serves until SIGTERM, SIGINT or an error.
func run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else, because an unhandled SIGHUP would end the program
	path := os.Getenv("ROUTER_CONFIG")
	config, err := node.RetryOnShortage(context.Background(), func() (node.Config, error) { return node.LoadConfig(path) })
	if err != nil {
		return err
	}
	limitResources(&config)
	signal.Ignore(syscall.SIGPIPE) // else a write to a log whose reader has closed it would end the program
	sink := logsink.New(os.Stderr)
	defer sink.Close()
	logger := slog.New(slog.NewTextHandler(sink, nil))
	n, err := node.New(config, logger)
	if err != nil {
		return err
	}
	return serve(n, newReloader(path, logger, n.Reconfigure), reload)
}

// serve runs the node until SIGTERM, SIGINT or an error, and reloads its configuration for each value on reload.
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

// limitResources sets the limits of the Go runtime on memory and processors from the configuration.
func limitResources(config *node.Config) {
	if config.MemoryMB > 0 {
		memoryBytes := int64(config.MemoryMB) << 20
		config.ProcessesChanged = func(processes int) {
			// A quarter is left for the kernel's socket buffers and the stacks.
			debug.SetMemoryLimit(memoryBytes * 3 / 4 / int64(processes))
		}
		config.ProcessesChanged(1)
	}
	if config.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	}
}
