// A node from its listeners to its shutdown: what serve starts, in which order, and how it ends.

package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"keelusher/internal/handover"
	"keelusher/internal/inbound"
	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
)

// readinessPollInterval is between two looks at whether a successor can serve.
const readinessPollInterval = 5 * time.Millisecond

// serveEnded is the end of the clients' server.
type serveEnded struct{ err error }

// session is one run of a node on its listeners.
type session struct {
	node        *Node
	tasks       sync.WaitGroup // goroutines that serve waits for
	clients     *http.Server
	admin       *http.Server          // nil: there is no admin endpoint
	predecessor *handover.Predecessor // nil: there is none
	serveEnded  chan serveEnded       // holds one, once the clients' server has ended

	// Closed once, by the goroutines that takeOver starts.
	acceptClients     chan struct{} // clients are to be accepted here
	predecessorKnows  chan struct{} // the predecessor has acknowledged that
	predecessorExited chan struct{}
}

// serve runs on its listeners until ctx ends; adminListener and before may be nil.
func (n *Node) serve(ctx context.Context, listener, adminListener net.Listener, before *handover.Predecessor) error {
	s := &session{
		node:              n,
		predecessor:       before,
		serveEnded:        make(chan serveEnded, 1),
		acceptClients:     make(chan struct{}),
		predecessorKnows:  make(chan struct{}),
		predecessorExited: make(chan struct{}),
	}
	watchContext, stopWatching := context.WithCancel(context.Background())
	suspension := s.startLoop(watchContext)
	firstList := time.AfterFunc(firstListTimeout, func() { n.lifecycle.Transition(lifecycle.ListReceived) })
	defer firstList.Stop()

	n.inbound = newLimitedListener(listener, n.cfg.clientConnectionLimit(n.cfg.Sockets), n.loop.metrics, n.loop.decisions)
	n.handover = n.newHandoverServer(listener.(syscall.Conn))
	s.clients = n.newClientServer(suspension)
	if before == nil {
		close(s.acceptClients)
	} else {
		defer before.Close()
		s.takeOver(ctx)
	}
	s.startAccepting()
	handoverContext, stopHandover := context.WithCancel(context.Background())
	s.run(func() { s.handOver(handoverContext) })
	s.run(func() { n.closeIdleWhileDrained(handoverContext) })
	membershipContext, stopMembership := context.WithCancel(ctx)
	defer stopMembership()
	if joined := n.membership.Load(); joined != nil {
		s.run(func() { n.runMembership(membershipContext, joined) })
	}
	if adminListener != nil {
		s.startAdmin(adminListener)
	}
	n.log.Info("serving", "name", n.cfg.Name, "listen", listener.Addr().String(), "control", n.cfg.Control,
		"tier", n.cfg.Settings.Tier)

	var err error
	select {
	case ended := <-s.serveEnded:
		err = fmt.Errorf("serve: %w", ended.err)
	case <-ctx.Done():
		n.shutDown(s.serveEnded)
	}
	stopMembership()
	stopHandover()
	s.closeServers()
	stopWatching()
	n.pool.shutdown()
	close(n.loop.stop)
	s.tasks.Wait()
	n.log.Info("stopped")
	return err
}

// run runs f in a goroutine that serve waits for.
func (s *session) run(f func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		f()
	}()
}

// startLoop starts the event loop with the known list, and what watches the endpoint list and the process. The loop
// ends when its channel stop is closed, the others with ctx.
func (s *session) startLoop(ctx context.Context) *lifecycle.SuspensionDetector {
	n := s.node
	s.run(n.loop.run)
	n.loop.endpointUpdates <- watchEvent{list: n.cfg.KnownEndpoints.asSnapshot(), cached: true}
	suspension := lifecycle.NewSuspensionDetector()
	s.run(func() { suspension.Run(ctx) })
	s.run(func() { n.discovery.run(ctx) })
	return suspension
}

// newClientServer is the HTTP server of the clients.
func (n *Node) newClientServer(suspension *lifecycle.SuspensionDetector) *http.Server {
	return &http.Server{
		Handler: &clientHandler{
			clock:            n.loop.clock,
			arrivals:         n.loop.requests,
			disconnects:      n.loop.disconnects,
			stopped:          n.loop.stop,
			metrics:          n.loop.metrics,
			decisions:        n.loop.decisions,
			buffers:          n.buffers,
			suspension:       suspension,
			methods:          methodsByClass(n.cfg.Settings.Classes),
			ready:            n.ready,
			closeConnections: n.closing,
		},
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       clientIdleTimeout,
		ConnState:         n.inbound.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		MaxHeaderBytes: inbound.MaxHead,
		ErrorLog:       slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
}

func (n *Node) newHandoverServer(listener syscall.Conn) *handover.Server {
	return handover.NewServer(handover.Config{
		Path:            n.cfg.handoverSocket,
		Log:             n.log,
		Listener:        listener,
		Phase:           n.lifecycle.Current,
		ChangeProcesses: n.changeProcesses,
	})
}

// takeOver follows the predecessor until it exits, and lets clients be accepted once this process can serve.
func (s *session) takeOver(ctx context.Context) {
	n := s.node
	n.changeProcesses(+1)
	if s.predecessor.Phase == lifecycle.Drained {
		n.lifecycle.Transition(lifecycle.Drain)
	}
	go func() { // ends with the connection, which serve closes
		s.predecessor.AwaitEnd(sync.OnceFunc(func() { close(s.predecessorKnows) }))
		close(s.predecessorExited)
		n.changeProcesses(-1)
	}()
	s.run(func() {
		defer close(s.acceptClients)
		n.awaitReadiness(ctx, s.predecessorExited)
	})
}

// awaitReadiness returns when this process can serve, or has to because the predecessor has exited.
func (n *Node) awaitReadiness(ctx context.Context, predecessorExited <-chan struct{}) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for !n.lifecycle.CanServe() || !n.loop.hasReadyEndpoint.Load() {
		select {
		case <-ticker.C:
		case <-predecessorExited:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startAccepting accepts clients once they are to be accepted here. Its goroutine ends when the listener is closed.
func (s *session) startAccepting() {
	go func() {
		<-s.acceptClients
		s.serveEnded <- serveEnded{err: s.clients.Serve(s.node.inbound)}
	}()
}

// handOver announces to the predecessor that clients are accepted here, then waits for successors until ctx ends.
func (s *session) handOver(ctx context.Context) {
	n := s.node
	<-s.acceptClients
	if s.predecessor != nil {
		s.predecessor.AnnounceServing()
		select {
		case <-s.predecessorKnows:
		case <-s.predecessorExited:
		case <-time.After(handover.Timeout):
			n.log.Warn("the predecessor does not acknowledge")
		case <-ctx.Done():
		}
	}
	n.accepting.Store(true)
	n.handover.Serve(ctx)
}

// startAdmin serves operators until the server is closed.
func (s *session) startAdmin(listener net.Listener) {
	n := s.node
	s.admin = newAdminServer(&adminEndpoint{
		membersPage: n.membersPage,
		overrides:   &n.overrides,
		lifecycle:   n.lifecycle,
		loop:        n.loop,
		canServe:    func() bool { return n.accepting.Load() && n.loop.hasReadyEndpoint.Load() },
	}, n.log)
	s.run(func() {
		limited := newLimitedListener(listener, adminMaxConnections, metrics.NewRecorder(nil), n.loop.decisions)
		if err := s.admin.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("admin endpoint failed; clients are still served", "err", err)
		}
	})
}

// closeServers closes the clients' connections, then the admin endpoint, which answers during the shutdown. That
// closing a listener or a connection fails changes nothing, for the process ends.
func (s *session) closeServers() {
	s.node.inbound.aborting.Store(true)
	_ = s.clients.Close()
	if s.admin != nil {
		_ = s.admin.Close()
	}
}
