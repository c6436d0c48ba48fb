package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"keelusher/internal/admin"
	"keelusher/internal/handover"
	"keelusher/internal/lifecycle"
	"keelusher/internal/membership"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// firstListTimeout is how long a starting node waits for a list from discovery before it serves with the endpoint list
// from its configuration.
const firstListTimeout = time.Second

// Node is one process of the load balancer.
type Node struct {
	cfg       Config
	log       *slog.Logger
	loop      *eventLoop
	pool      *pool
	discovery *discovery
	lifecycle *lifecycle.Machine
	buffers   buffers
	inbound   *limitedListener // client connections; nil until serve
	handover  *handover.Server // nil until serve

	// Each of these channels holds a token after the phase has changed, and has one receiver.
	phaseChanges           chan struct{} // for closeIdleWhileDrained
	membershipPhaseChanges chan struct{} // for runMembership

	membership atomic.Pointer[membership.Mesh] // nil: not yet joined, or not configured
	overrides  atomic.Pointer[overridesHost]   // nil: not yet started, or not configured
	accepting  atomic.Bool                     // this process accepts clients, and the predecessor, if any, knows that

	otherProcessesMutex sync.Mutex
	others              []otherProcess // what an operator calls for is passed to them

	sharingMutex   sync.Mutex
	otherProcesses int // processes besides this one (predecessor, successors) that share its limits
}

// New returns a node with its parts connected. It opens no sockets.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultDescriptorLimit
	}
	connections := cfg.connectionLimits(1)
	n := &Node{
		cfg:                    cfg,
		log:                    logger,
		loop:                   newEventLoop(newClock(), logger, balancer, metrics.NewRecorder(cfg.Settings.Classes)),
		buffers:                newBuffers(cfg.MemoryMB, connections.clients),
		phaseChanges:           make(chan struct{}, 1),
		membershipPhaseChanges: make(chan struct{}, 1),
	}
	n.lifecycle = lifecycle.New(n.phaseChanged)
	n.pool = newPool(cfg, connections.servers, n.loop, n.buffers)
	n.discovery = newDiscovery(cfg, n.loop.clock, logger, n.deliverWatchEvent)
	n.loop.sender = n.pool
	n.loop.watchEndpoints = n.discovery.requestWatch
	n.loop.staleness = n.discovery.staleness
	n.loop.recent = newRecentRequests(cfg.Settings, cfg.MemoryMB)
	n.pool.staleness = n.discovery.staleness
	return n, nil
}

// phaseChanged logs a transition and notifies the goroutines that wait for one.
func (n *Node) phaseChanged(from, to lifecycle.Phase) {
	n.log.Info("phase", "from", from.String(), "to", to.String())
	for _, changes := range []chan struct{}{n.phaseChanges, n.membershipPhaseChanges} {
		select {
		case changes <- struct{}{}:
		default: // the channel already holds a token
		}
	}
}

// deliverWatchEvent passes an event from discovery to the event loop. It fails only if ctx ends.
func (n *Node) deliverWatchEvent(ctx context.Context, event watchEvent) error {
	select {
	case n.loop.endpointUpdates <- event:
		n.lifecycle.Transition(lifecycle.ListReceived)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run serves until ctx ends, then shuts down gracefully: it accepts connections until the front-end load balancer has
// stopped sending them, answers the open requests and returns nil.
func (n *Node) Run(ctx context.Context) error {
	adminListener, err := RetryOnShortage(ctx, func() (net.Listener, error) { return admin.Listen(n.cfg.Control) })
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if n.cfg.hasMembership() {
		joined, err := RetryOnShortage(ctx, n.joinMembership)
		if err != nil {
			return fmt.Errorf("%w (mesh.listen of the fleet configuration)", err)
		}
		n.membership.Store(joined)
		defer joined.Close()
	}
	predecessor, err := RetryOnShortage(ctx, func() (*handover.Predecessor, error) {
		return handover.Connect(n.cfg.handoverSocket)
	})
	if err != nil {
		n.log.Warn("nothing was handed over", "err", err)
	}
	if predecessor != nil {
		return n.serve(ctx, predecessor.Listener, adminListener, predecessor)
	}
	listener, err := RetryOnShortage(ctx, func() (net.Listener, error) { return handover.Listen(n.cfg.Listen) })
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return n.serve(ctx, listener, adminListener, nil)
}

// Reconfigure applies the one setting that may change while a node runs: the address of discovery.
func (n *Node) Reconfigure(cfg Config) {
	n.log.Info("reconfigured", "discovery", cfg.Discovery)
	n.discovery.moveTo(cfg.Discovery)
}
