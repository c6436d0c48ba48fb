package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"deckrelay"
)

const (
	reserved    = 24 + doorPlaces        // descriptors for the listeners, discovery, logs, the runtime and the door
	anyLimit    = 1024                   // sockets where no limit is set
	frontNotice = 450 * time.Millisecond // the front still deals us connections so long after SIGTERM
	lastCalls   = 150 * time.Millisecond // then answers end their connections for so long
	firstList   = time.Second            // how long to wait for fresh news before the known list must do
)

// Node is one balancer on real sockets.
type Node struct {
	cfg     Config
	log     *slog.Logger
	loop    *loop
	pool    *pool
	disc    *discovery
	life    *lifecycle
	inbound *bounded // callers' connections; nil until it listens
}

// New wires a node. It opens nothing yet.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	bal, err := deckrelay.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = anyLimit
	}
	n := &Node{cfg: cfg, log: logger}
	ck := newClock()
	n.loop = newLoop(ck, logger, bal, newStats(cfg.Settings.Classes))
	n.life = &lifecycle{notice: frontNotice, moved: n.moved}
	n.pool = newPool(ck, cfg, cfg.Sockets-reserved-inboundPlaces(cfg.Sockets), n.loop.results, n.loop.stats)
	n.loop.sender = n.pool
	n.disc = newDiscovery(cfg, logger, func(ctx context.Context, w news) error {
		select {
		case n.loop.lists <- w:
			n.life.take(heard)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	n.loop.subscribe = n.disc.subscribe
	return n, nil
}

// inboundPlaces is how many connections callers may hold at once.
func inboundPlaces(sockets int) int { return (sockets - reserved) * 5 / 8 }

// Run serves until ctx ends, then drains: it takes what still comes while the front notices, answers
// what it holds and returns nil.
func (n *Node) Run(ctx context.Context) error {
	door, err := listenDoor(n.cfg.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return n.serve(ctx, ln, door)
}

// Reconfigure takes over what may change while a node runs: the address of discovery.
func (n *Node) Reconfigure(cfg Config) {
	n.log.Info("reconfigured", "discovery", cfg.Discovery)
	n.disc.move(cfg.Discovery)
}

// serve runs on its listeners until ctx ends; door may be nil.
func (n *Node) serve(ctx context.Context, ln, doorAt net.Listener) error {
	var owned sync.WaitGroup
	own := func(f func()) {
		owned.Add(1)
		go func() {
			defer owned.Done()
			f()
		}()
	}
	own(n.loop.run)
	n.loop.lists <- news{list: n.cfg.Known.whole(), cached: true}
	watching, stopWatching := context.WithCancel(context.Background())
	own(func() { n.disc.run(watching) })
	grace := time.AfterFunc(firstList, func() { n.life.take(heard) })
	defer grace.Stop()

	n.inbound = bound(ln, inboundPlaces(n.cfg.Sockets), func() { n.loop.stats.count(func(c *counts) { c.accepted++ }) })
	server := &http.Server{
		Handler: &callers{clock: n.loop.clock, arrivals: n.loop.arrivals,
			gone: n.loop.gone, stopped: n.loop.stop, stats: n.loop.stats,
			methods: methods(n.cfg.Settings.Classes), ready: n.ready, closing: n.life.sendsAway},
		ReadTimeout:    readTime, // of header and body together
		IdleTimeout:    idleTime,
		ConnState:      n.inbound.track,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, placedKey{}, c) },
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(n.inbound) }()
	opened := 1
	var operators *http.Server
	if doorAt != nil {
		opened++
		operators = newDoor(&door{life: n.life, usable: n.loop.usable.Load, asks: n.loop.asks, stopped: n.loop.stop}, n.log)
		go func() { failed <- operators.Serve(bound(doorAt, doorPlaces, func() {})) }()
	}
	n.log.Info("serving", "name", n.cfg.Name, "listen", ln.Addr().String(), "control", n.cfg.Control,
		"tier", n.cfg.Settings.Tier)

	var err error
	select {
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
		opened--
	case <-ctx.Done():
		n.drain(server)
	}
	server.Close()
	if doorAt != nil { // the last to go: it answers while callers are sent away
		operators.Close()
	}
	for range opened {
		if serveErr := <-failed; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
			err = fmt.Errorf("serve: %w", serveErr)
		}
	}
	stopWatching()
	n.pool.shut()
	close(n.loop.stop)
	owned.Wait()
	n.log.Info("stopped")
	return err
}

// ready says that callers may come: the node knows a server in service, from discovery itself if that answers.
func (n *Node) ready() bool { return n.life.now() == serving && n.loop.usable.Load() }

// moved follows the lifecycle. Out of service, what callers hold without a request is closed once they have had
// time to notice; the answers to all others end their connections.
func (n *Node) moved(from, to phase) {
	n.log.Info("phase", "from", from.String(), "to", to.String())
	if to == drained {
		time.AfterFunc(frontNotice+lastCalls, func() {
			if n.life.sendsAway() {
				n.inbound.closeWaiting()
			}
		})
	}
}

// drain stops serving without losing a request. A listener closed at once would reset the
// connections that the front still deals out, and idle ones closed at once would cross requests.
func (n *Node) drain(server *http.Server) {
	n.life.take(leave)
	time.Sleep(frontNotice + lastCalls)
	longest := longestDeadline(n.cfg.Settings)
	ctx, cancel := context.WithTimeout(context.Background(), longest+20*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("connections left open", "err", err) // none of them is owed an answer any more
	}
}

// whole marks the list that a node starts with as complete.
func (l roster) whole() roster {
	l.Whole = true
	return l
}
