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
	reservedDescriptors    = 24 + adminMaxConnections // descriptors for the listeners, discovery, logs, the runtime and the door
	defaultDescriptorLimit = 1024                     // sockets where no limit is set
	frontNoticeDelay       = 450 * time.Millisecond   // the front still deals us connections so long after SIGTERM
	closingAnswersTime     = 150 * time.Millisecond   // then answers end their connections for so long
	idleCloseInterval      = 20 * time.Millisecond    // how often a look is taken at what callers sent away hold
	minConnections         = 4                        // connections on either side, however many processes share the limit
	finalAnswersMargin     = 100 * time.Millisecond   // before the kill that follows SIGTERM all answers are to be under way
	killGrace              = 700 * time.Millisecond   // and the longest deadline, or killMost where that is longer
	maxDeadlineBeforeKill  = 3 * time.Second
	firstListTimeout       = time.Second // how long to wait for fresh news before the known list must do
)

// Node is one balancer on real sockets.
type Node struct {
	cfg          Config
	log          *slog.Logger
	loop         *eventLoop
	pool         *pool
	discovery    *discovery
	lifecycle    *lifecycle
	phaseChanges chan struct{} // the phase has changed
	buffers      buffers
	inbound      *limitedListener // clients' connections; nil until it listens

	membership             atomic.Pointer[membership.Mesh] // nil: no fleet configuration asks for one
	overrides              atomic.Pointer[overridesHost]   // of the mesh; nil: no fleet configuration asks for any
	membershipPhaseChanges chan struct{}                   // holds a token after the phase has changed; for the mesh

	accepting      atomic.Bool     // callers are served here, and the process before knows
	handover       *handoverServer // nil until it listens
	sharingMutex   sync.Mutex
	otherProcesses int // processes that share the limits
}

// New wires a node. It opens nothing yet.
func New(cfg Config, logger *slog.Logger) (*Node, error) {
	bal, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultDescriptorLimit
	}
	n := &Node{cfg: cfg, log: logger}
	ck := newClock()
	n.loop = newEventLoop(ck, logger, bal, newMetrics(cfg.Settings.Classes))
	n.phaseChanges, n.membershipPhaseChanges = make(chan struct{}, 1), make(chan struct{}, 1)
	n.lifecycle = &lifecycle{onTransition: func(from, to phase) {
		logger.Info("phase", "from", from.String(), "to", to.String())
		for _, c := range []chan struct{}{n.phaseChanges, n.membershipPhaseChanges} {
			select {
			case c <- struct{}{}:
			default:
			}
		}
	}}
	in := n.cfg.clientConnectionLimit(cfg.Sockets)
	n.buffers = newBuffers(cfg.MemoryMB, in)
	n.pool = newPool(cfg, cfg.Sockets-cfg.reservedDescriptors()-in, n.loop, n.buffers)
	n.loop.sender = n.pool
	n.discovery = newDiscovery(cfg, logger, func(ctx context.Context, w watchEvent) error {
		select {
		case n.loop.endpointUpdates <- w:
			n.lifecycle.transition(eventListReceived)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	n.loop.watchEndpoints, n.loop.staleness, n.pool.staleness = n.discovery.requestWatch, n.discovery.staleness, n.discovery.staleness
	return n, nil
}

// clientConnectionLimit is how many connections callers may hold at once.
func (c *Config) clientConnectionLimit(sockets int) int {
	return (sockets - c.reservedDescriptors()) * 5 / 8
}

// Run serves until ctx ends, then drains: it takes what still comes while the front notices, answers
// what it holds and returns nil.
func (n *Node) Run(ctx context.Context) error {
	door, err := Patiently(ctx, func() (net.Listener, error) { return listenAdmin(n.cfg.Control) })
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if n.cfg.hasMembership() {
		m, err := Patiently(ctx, n.joinMembership)
		if err != nil {
			return fmt.Errorf("%w (mesh.listen of the fleet configuration)", err)
		}
		n.membership.Store(m)
		defer m.Close()
	}
	before, err := Patiently(ctx, func() (*predecessor, error) { return connectPredecessor(n.cfg.handoverSocket) })
	if err != nil {
		n.log.Warn("nothing was handed over", "err", err)
	}
	if before != nil {
		return n.serve(ctx, before.listener, door, before)
	}
	ln, err := Patiently(ctx, func() (net.Listener, error) { return listenShared(n.cfg.Listen) })
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return n.serve(ctx, ln, door, nil)
}

// Reconfigure takes over what may change while a node runs: the address of discovery.
func (n *Node) Reconfigure(cfg Config) {
	n.log.Info("reconfigured", "discovery", cfg.Discovery)
	n.discovery.moveTo(cfg.Discovery)
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
	n.loop.endpointUpdates <- watchEvent{list: n.cfg.KnownEndpoints.asSnapshot(), cached: true}
	watching, stopWatching := context.WithCancel(context.Background())
	suspension := newSuspensionDetector()
	own(func() { suspension.run(watching) })
	own(func() { n.discovery.run(watching) })
	grace := time.AfterFunc(firstListTimeout, func() { n.lifecycle.transition(eventListReceived) })
	defer grace.Stop()

	n.inbound = newLimitedListener(ln, n.cfg.clientConnectionLimit(n.cfg.Sockets), n.loop.metrics, n.loop.decisions)
	server := &http.Server{
		Handler: &callers{clock: n.loop.clock, arrivals: n.loop.requests,
			gone: n.loop.disconnects, stopped: n.loop.stop, stats: n.loop.metrics, decisions: n.loop.decisions, buffers: n.buffers,
			suspension: suspension, methods: methods(n.cfg.Settings.Classes), ready: n.ready, closing: n.closing},
		ReadHeaderTimeout: headTime,
		IdleTimeout:       idleTime,
		ConnState:         n.inbound.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		MaxHeaderBytes: maxHead,
		ErrorLog:       slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	n.handover = &handoverServer{path: n.cfg.handoverSocket, log: n.log, listener: ln.(syscall.Conn), phase: n.lifecycle.current, changeProcesses: n.changeProcesses, changed: make(chan struct{}, 1)}
	begun := make(chan struct{})                             // callers are accepted here
	known, alone := make(chan struct{}), make(chan struct{}) // to the process before; there is none any more
	if before == nil {
		close(begun)
	} else {
		n.changeProcesses(+1)
		if before.phase == phaseDrained {
			n.lifecycle.transition(eventDrain)
		}
		defer before.conn.Close()
		go func() { // ends with the connection
			before.awaitEnd(sync.OnceFunc(func() { close(known) }))
			close(alone)
			n.changeProcesses(-1)
		}()
		own(func() {
			defer close(begun)
			n.awaitReadiness(ctx, alone)
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
			before.announceServing()
			select {
			case <-known:
			case <-alone:
			case <-time.After(handoverTimeout):
				n.log.Warn("the process before does not answer")
			case <-meeting.Done():
			}
		}
		n.accepting.Store(true)
		if n.handover.path != "" {
			n.handover.serve(meeting)
		}
	})
	own(func() { n.closeIdleWhileDrained(meeting) })
	part, stopPart := context.WithCancel(ctx)
	defer stopPart()
	if m := n.membership.Load(); m != nil {
		own(func() { n.runMembership(part, m) })
	}
	var operators *http.Server
	if doorAt != nil {
		operators = newAdminServer(&adminEndpoint{membersPage: n.membersPage, overrides: &n.overrides, lifecycle: n.lifecycle, loop: n.loop,
			canServe: func() bool { return n.accepting.Load() && n.loop.hasReadyEndpoint.Load() }}, n.log)
		own(func() {
			endpoint := newLimitedListener(doorAt, adminMaxConnections, newMetrics(nil), n.loop.decisions)
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
		n.shutDown(accepting)
	}
	stopPart()
	stopMeeting()
	n.inbound.cut.Store(true)
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
	phase := n.lifecycle.current()
	why := guard.TakeClients{
		Serving:         phase == phaseServing,
		Leaving:         phase == phaseShuttingDown,
		SuccessorServes: n.handover.successorServes.Load(),
		ServerKnown:     n.loop.hasReadyEndpoint.Load(),
	}.Verdict()
	if why != guard.Allowed {
		n.loop.decisions.readinessRefused.add(why)
	}
	return why == guard.Allowed
}

// closing says that every answer ends its connection.
func (n *Node) closing() bool {
	return n.lifecycle.drainedFor() >= frontNoticeDelay || n.lifecycle.current() == phaseShuttingDown && n.handover.successorServes.Load()
}

// awaitReadiness returns when this process can serve, or has to because the one before is gone.
func (n *Node) awaitReadiness(ctx context.Context, alone <-chan struct{}) {
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for !(n.lifecycle.canServe() && n.loop.hasReadyEndpoint.Load()) {
		select {
		case <-look.C:
		case <-alone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// changeProcesses changes how many more processes the limits are for.
func (n *Node) changeProcesses(more int) {
	n.sharingMutex.Lock()
	defer n.sharingMutex.Unlock()
	was := 1 + n.otherProcesses
	n.otherProcesses += more
	n.buffers.requests.rescale(was, 1+n.otherProcesses)
	n.buffers.responses.rescale(was, 1+n.otherProcesses)
	sockets := n.cfg.Sockets / (1 + n.otherProcesses)
	in := max(minConnections, n.cfg.clientConnectionLimit(sockets))
	n.inbound.resize(in)
	n.pool.setLimit(max(minConnections, sockets-n.cfg.reservedDescriptors()-in))
	if n.cfg.ProcessesChanged != nil {
		n.cfg.ProcessesChanged(1 + n.otherProcesses)
	}
}

// closeIdleWhileDrained closes callers' connections without a request while they are sent away. An old one has had the time to
// get its last answer; a young one may have a request on its way.
func (n *Node) closeIdleWhileDrained(ctx context.Context) {
	look := time.NewTicker(idleCloseInterval)
	defer look.Stop()
	for {
		if n.lifecycle.drainedFor() == 0 {
			look.Stop()
		} else {
			look.Reset(idleCloseInterval)
		}
		select {
		case <-n.phaseChanges:
		case <-look.C:
			if n.lifecycle.drainedFor() >= frontNoticeDelay+closingAnswersTime {
				n.inbound.closeWaiting(closingAnswersTime)
			}
		case <-ctx.Done():
			return
		}
	}
}

// shutDown stops serving without losing a request. A listener closed at once would reset the connections that the
// front still deals out, and idle ones closed at once would cross requests. Server.Shutdown will not do: it ends a
// connection without an answer when its request is read after the call.
func (n *Node) shutDown(accepting <-chan error) {
	n.lifecycle.transition(eventShutdown)
	began, longest := time.Now(), longestDeadline(n.cfg.Settings)
	last := began.Add(min(longest, maxDeadlineBeforeKill) + killGrace - finalAnswersMargin)
	end := began.Add(frontNoticeDelay + closingAnswersTime + longest + 20*time.Millisecond)
	if n.handover.successorServes.Load() {
		n.inbound.Close() // the successor has the queue
	}
	time.Sleep(frontNoticeDelay + closingAnswersTime)
	n.inbound.Close()
	<-accepting
	for left := n.inbound.open(); left > 0; left = n.inbound.open() {
		switch now := time.Now(); {
		case now.After(end):
			n.log.Warn("connections left open", "n", left) // none of them is owed an answer any more
			return
		case now.After(last): // also what comes in whole only now; long answers that have begun may still end
			n.loop.runTask(n.loop.failOpenCalls)
		}
		time.Sleep(idleCloseInterval / 4)
	}
}

// asSnapshot marks the list that a node starts with as complete.
func (l endpointList) asSnapshot() endpointList {
	l.Snapshot = true
	return l
}
