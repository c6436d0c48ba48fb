package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"keelusher/internal/membership"
	"keelusher/policy"
	"keelusher/policy/guard"
)

const (
	reserved    = 24 + doorPlaces        // descriptors for the listeners, discovery, logs, the runtime and the door
	anyLimit    = 1024                   // sockets where no limit is set
	frontNotice = 450 * time.Millisecond // the front still deals us connections so long after SIGTERM
	lastCalls   = 150 * time.Millisecond // then answers end their connections for so long
	tendEvery   = 20 * time.Millisecond  // how often a look is taken at what callers sent away hold
	leastPlaces = 4                      // connections on either side, however many processes share the limit
	lastAnswers = 100 * time.Millisecond // before the kill that follows SIGTERM all answers are to be under way
	killAfter   = 700 * time.Millisecond // and the longest deadline, or killMost where that is longer
	killMost    = 3 * time.Second
	firstList   = time.Second // how long to wait for fresh news before the known list must do
)

// Node is one balancer on real sockets.
type Node struct {
	cfg     Config
	log     *slog.Logger
	loop    *loop
	pool    *pool
	disc    *discovery
	life    *lifecycle
	moves   chan struct{} // the phase has changed
	buffers buffers
	inbound *limitedListener // clients' connections; nil until it listens

	mesh   atomic.Pointer[membership.Mesh] // nil: no fleet configuration asks for one
	orders atomic.Pointer[overridesHost]   // of the mesh; nil: no fleet configuration asks for any
	served chan struct{}                   // holds a token after the phase has changed; for the mesh

	open     atomic.Bool // callers are served here, and the process before knows
	handover *handover   // nil until it listens
	sharing  sync.Mutex
	others   int // processes that share the limits
}

// New wires a node. It opens nothing yet.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	bal, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = anyLimit
	}
	n := &Node{cfg: cfg, log: logger}
	ck := newClock()
	n.loop = newLoop(ck, logger, bal, newMetrics(cfg.Settings.Classes))
	n.moves, n.served = make(chan struct{}, 1), make(chan struct{}, 1)
	n.life = &lifecycle{onTransition: func(from, to phase) {
		logger.Info("phase", "from", from.String(), "to", to.String())
		for _, c := range []chan struct{}{n.moves, n.served} {
			select {
			case c <- struct{}{}:
			default:
			}
		}
	}}
	in := n.cfg.inboundPlaces(cfg.Sockets)
	n.buffers = newBuffers(cfg.MemoryMB, in)
	n.pool = newPool(cfg, cfg.Sockets-cfg.reserved()-in, n.loop, n.buffers)
	n.loop.sender = n.pool
	n.disc = newDiscovery(cfg, logger, func(ctx context.Context, w news) error {
		select {
		case n.loop.lists <- w:
			n.life.transition(eventListReceived)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	n.loop.subscribe, n.loop.staleness, n.pool.staleness = n.disc.subscribe, n.disc.staleness, n.disc.staleness
	return n, nil
}

// inboundPlaces is how many connections callers may hold at once.
func (c *Config) inboundPlaces(sockets int) int { return (sockets - c.reserved()) * 5 / 8 }

// Run serves until ctx ends, then drains: it takes what still comes while the front notices, answers
// what it holds and returns nil.
func (n *Node) Run(ctx context.Context) error {
	door, err := RetryOnShortage(ctx, func() (net.Listener, error) { return listenDoor(n.cfg.Control) })
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if n.cfg.meshed() {
		m, err := RetryOnShortage(ctx, n.startMesh)
		if err != nil {
			return fmt.Errorf("%w (mesh.listen of the fleet configuration)", err)
		}
		n.mesh.Store(m)
		defer m.Close()
	}
	before, err := RetryOnShortage(ctx, func() (*predecessor, error) { return succeed(n.cfg.handover) })
	if err != nil {
		n.log.Warn("nothing was handed over", "err", err)
	}
	if before != nil {
		return n.serve(ctx, before.ln, door, before)
	}
	ln, err := RetryOnShortage(ctx, func() (net.Listener, error) { return listenShared(n.cfg.Listen) })
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return n.serve(ctx, ln, door, nil)
}

// Reconfigure takes over what may change while a node runs: the address of discovery.
func (n *Node) Reconfigure(cfg Config) {
	n.log.Info("reconfigured", "discovery", cfg.Discovery)
	n.disc.move(cfg.Discovery)
}

// serve runs on its listeners until ctx ends; doorAt and before may be nil.
func (n *Node) serve(ctx context.Context, ln, doorAt net.Listener, before *predecessor) error {
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
	suspension := newSuspensionDetector()
	own(func() { suspension.run(watching) })
	own(func() { n.disc.run(watching) })
	grace := time.AfterFunc(firstList, func() { n.life.transition(eventListReceived) })
	defer grace.Stop()

	n.inbound = newLimitedListener(ln, n.cfg.inboundPlaces(n.cfg.Sockets), n.loop.stats, n.loop.decisions)
	server := &http.Server{
		Handler: &clientHandler{clock: n.loop.clock, arrivals: n.loop.arrivals,
			disconnects: n.loop.gone, stopped: n.loop.stop, metrics: n.loop.stats, decisions: n.loop.decisions, buffers: n.buffers,
			suspension: suspension, methods: methodsByClass(n.cfg.Settings.Classes), ready: n.ready, closeConnections: n.closing},
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       clientIdleTimeout,
		ConnState:         n.inbound.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		MaxHeaderBytes: maxRequestHead,
		ErrorLog:       slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	n.handover = &handover{path: n.cfg.handover, log: n.log, ln: ln.(syscall.Conn), phase: n.life.current, share: n.share, moved: make(chan struct{}, 1)}
	begun := make(chan struct{})                             // callers are accepted here
	known, alone := make(chan struct{}), make(chan struct{}) // to the process before; there is none any more
	if before == nil {
		close(begun)
	} else {
		n.share(+1)
		if before.phase == phaseDrained {
			n.life.transition(eventDrain)
		}
		defer before.conn.Close()
		go func() { // ends with the connection
			before.follow(sync.OnceFunc(func() { close(known) }))
			close(alone)
			n.share(-1)
		}()
		own(func() {
			defer close(begun)
			n.await(ctx, alone)
		})
	}
	accepting := make(chan error, 1)
	go func() {
		<-begun
		accepting <- server.Serve(n.inbound)
	}()
	meeting, stopMeeting := context.WithCancel(context.Background())
	own(func() {
		<-begun
		if before != nil {
			before.serves()
			select {
			case <-known:
			case <-alone:
			case <-time.After(handTime):
				n.log.Warn("the process before does not answer")
			case <-meeting.Done():
			}
		}
		n.open.Store(true)
		if n.handover.path != "" {
			n.handover.serve(meeting)
		}
	})
	own(func() { n.tend(meeting) })
	part, stopPart := context.WithCancel(ctx)
	defer stopPart()
	if m := n.mesh.Load(); m != nil {
		own(func() { n.takePart(part, m) })
	}
	var operators *http.Server
	if doorAt != nil {
		operators = newDoor(&door{members: n.members, orders: &n.orders, life: n.life, loop: n.loop,
			usable: func() bool { return n.open.Load() && n.loop.usable.Load() }}, n.log)
		own(func() {
			endpoint := newLimitedListener(doorAt, doorPlaces, newMetrics(nil), n.loop.decisions)
			if err := operators.Serve(endpoint); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("the operators' endpoint has ended; clients are served as ever", "err", err)
			}
		})
	}
	n.log.Info("serving", "name", n.cfg.Name, "listen", ln.Addr().String(), "control", n.cfg.Control,
		"tier", n.cfg.Settings.Tier)

	var err error
	select {
	case err = <-accepting:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		n.drain(accepting)
	}
	stopPart()
	stopMeeting()
	n.inbound.aborting.Store(true)
	server.Close()
	if operators != nil { // the last to go: it answers while callers are sent away
		operators.Close()
	}
	stopWatching()
	n.pool.shutdown()
	close(n.loop.stop)
	owned.Wait()
	n.log.Info("stopped")
	return err
}

// ready says that callers may come: the node knows a server in service, from discovery itself if that answers.
// To callers two processes are one node: while this one leaves, its successor has them.
func (n *Node) ready() bool {
	phase := n.life.current()
	why := guard.TakeClients{
		Serving:         phase == phaseServing,
		Leaving:         phase == phaseShuttingDown,
		SuccessorServes: n.handover.passed.Load(),
		ServerKnown:     n.loop.usable.Load(),
	}.Verdict()
	if why != guard.Allowed {
		n.loop.decisions.readinessRefused.add(why)
	}
	return why == guard.Allowed
}

// closing says that every answer ends its connection.
func (n *Node) closing() bool {
	return n.life.drainedFor() >= frontNotice || n.life.current() == phaseShuttingDown && n.handover.passed.Load()
}

// await returns when this process can serve, or has to because the one before is gone.
func (n *Node) await(ctx context.Context, alone <-chan struct{}) {
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for !(n.life.canServe() && n.loop.usable.Load()) {
		select {
		case <-look.C:
		case <-alone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// share changes how many more processes the limits are for.
func (n *Node) share(more int) {
	n.sharing.Lock()
	defer n.sharing.Unlock()
	was := 1 + n.others
	n.others += more
	n.buffers.requests.rescale(was, 1+n.others)
	n.buffers.responses.rescale(was, 1+n.others)
	sockets := n.cfg.Sockets / (1 + n.others)
	in := max(leastPlaces, n.cfg.inboundPlaces(sockets))
	n.inbound.setLimit(in)
	n.pool.setLimit(max(leastPlaces, sockets-n.cfg.reserved()-in))
	if n.cfg.Shared != nil {
		n.cfg.Shared(1 + n.others)
	}
}

// tend closes callers' connections without a request while they are sent away. An old one has had the time to
// get its last answer; a young one may have a request on its way.
func (n *Node) tend(ctx context.Context) {
	look := time.NewTicker(tendEvery)
	defer look.Stop()
	for {
		if n.life.drainedFor() == 0 {
			look.Stop()
		} else {
			look.Reset(tendEvery)
		}
		select {
		case <-n.moves:
		case <-look.C:
			if n.life.drainedFor() >= frontNotice+lastCalls {
				n.inbound.closeIdle(lastCalls)
			}
		case <-ctx.Done():
			return
		}
	}
}

// drain stops serving without losing a request. A listener closed at once would reset the connections that the
// front still deals out, and idle ones closed at once would cross requests. Server.Shutdown will not do: it ends a
// connection without an answer when its request is read after the call.
func (n *Node) drain(accepting <-chan error) {
	n.life.transition(eventShutdown)
	began, longest := time.Now(), longestDeadline(n.cfg.Settings)
	last := began.Add(min(longest, killMost) + killAfter - lastAnswers)
	end := began.Add(frontNotice + lastCalls + longest + 20*time.Millisecond)
	if n.handover.passed.Load() {
		n.inbound.Close() // the successor has the queue
	}
	time.Sleep(frontNotice + lastCalls)
	n.inbound.Close()
	<-accepting
	for left := n.inbound.openConnections(); left > 0; left = n.inbound.openConnections() {
		switch now := time.Now(); {
		case now.After(end):
			n.log.Warn("connections left open", "n", left) // none of them is owed an answer any more
			return
		case now.After(last): // also what comes in whole only now; long answers that have begun may still end
			n.loop.ask(n.loop.giveUp)
		}
		time.Sleep(tendEvery / 4)
	}
}

// whole marks the list that a node starts with as complete.
func (l roster) whole() roster {
	l.Whole = true
	return l
}
