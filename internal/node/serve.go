// Startup and shutdown of a node on its listeners: what serve starts and stops, and in which order.

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

	"keelusher/internal/admin"
	"keelusher/internal/handover"
	"keelusher/internal/inbound"
	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
)

// readinessPollInterval is the interval between checks whether this process, as a successor, can serve.
const readinessPollInterval = 5 * time.Millisecond

// serveEnded holds the error with which the HTTP server for clients has ended.
type serveEnded struct{ err error }

// session is the state of one call of serve.
type session struct {
	node              *Node
	tasks             sync.WaitGroup // goroutines that serve waits for
	clients           *http.Server
	admin             *http.Server          // nil: there is no admin endpoint
	predecessor       *handover.Predecessor // nil: no process served this address before
	clientServerEnded chan serveEnded       // receives one value when the HTTP server for clients has ended

	// Each is closed once, by a goroutine that takeOver starts.
	acceptClients           chan struct{} // this process may accept clients; closed by serve if there is no predecessor
	predecessorAcknowledged chan struct{} // the predecessor has acknowledged that this process accepts clients
	predecessorExited       chan struct{}
}

// serve runs the node on its listeners until ctx ends. Without an admin endpoint adminListener is nil, and without a
// predecessor previous is nil.
func (n *Node) serve(ctx context.Context, listener, adminListener net.Listener, previous *handover.Predecessor) error {
	s := &session{
		node:                    n,
		predecessor:             previous,
		clientServerEnded:       make(chan serveEnded, 1),
		acceptClients:           make(chan struct{}),
		predecessorAcknowledged: make(chan struct{}),
		predecessorExited:       make(chan struct{}),
	}
	watchContext, stopWatching := context.WithCancel(context.Background())
	suspension := s.startLoop(watchContext)
	firstList := time.AfterFunc(firstListTimeout, func() { n.lifecycle.Transition(lifecycle.ListReceived) })
	defer firstList.Stop()

	n.inbound = newLimitedListener(listener, n.cfg.connectionLimits(1).clients, n.loop.metrics, n.loop.decisions)
	n.inbound.heads = n.buffers.heads
	n.handover = n.newHandoverServer(listener.(syscall.Conn))
	n.shareWithProcesses(previous)
	s.clients = n.newClientServer(suspension)
	if previous == nil {
		close(s.acceptClients)
	} else {
		defer previous.Close()
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
	case ended := <-s.clientServerEnded:
		err = fmt.Errorf("serve: %w", ended.err)
	case <-ctx.Done():
		n.shutDown(s.clientServerEnded)
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

// run starts f in a goroutine that serve waits for before it returns.
func (s *session) run(f func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		f()
	}()
}

// startLoop starts the event loop with the endpoint list from the configuration, the watch of the endpoint list and the
// suspension detector. The loop ends when its channel stop is closed, the other two when ctx ends.
func (s *session) startLoop(ctx context.Context) *lifecycle.SuspensionDetector {
	n := s.node
	s.run(n.loop.run)
	n.loop.endpointUpdates <- watchEvent{list: n.cfg.KnownEndpoints.asSnapshot(), cached: true}
	suspension := lifecycle.NewSuspensionDetector()
	s.run(func() { suspension.Run(ctx) })
	s.run(func() { n.discovery.run(ctx) })
	return suspension
}

// newClientServer returns the HTTP server for clients. The field n.inbound must be set before the call.
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
		// Otherwise the library answers "OPTIONS *" with 200, as though a server had run it.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
}

func (n *Node) newHandoverServer(listener syscall.Conn) *handover.Server {
	return handover.NewServer(handover.Config{
		Path:                 n.cfg.handoverSocket,
		Log:                  n.log,
		Listener:             listener,
		Phase:                n.lifecycle.Current,
		Shared:               n.shared(),
		OnProcessCountChange: n.adjustProcessCount,
	})
}

// takeOver monitors the predecessor in the background until the predecessor exits. It closes acceptClients once this
// process can serve. If the predecessor is drained, this process starts drained too.
func (s *session) takeOver(ctx context.Context) {
	n := s.node
	n.adjustProcessCount(+1)
	if s.predecessor.Phase == lifecycle.Drained {
		n.lifecycle.Transition(lifecycle.Drain)
	}
	go func() { // ends with the connection to the predecessor, which serve closes
		s.predecessor.Follow(sync.OnceFunc(func() { close(s.predecessorAcknowledged) }), *n.shared())
		close(s.predecessorExited)
		n.adjustProcessCount(-1)
	}()
	s.run(func() {
		defer close(s.acceptClients)
		n.awaitReadiness(ctx, s.predecessorExited)
	})
}

// awaitReadiness returns when this process can serve, when the predecessor has exited, or when ctx ends. Once the
// predecessor has exited, this process has to accept clients even if it cannot serve yet.
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

// startAccepting starts a goroutine that accepts clients once acceptClients is closed. It ends when the listener is
// closed.
func (s *session) startAccepting() {
	go func() {
		<-s.acceptClients
		s.clientServerEnded <- serveEnded{err: s.clients.Serve(s.node.inbound)}
	}()
}

// handOver waits until this process accepts clients and announces that to the predecessor, if there is one. It then
// serves successors until ctx ends.
func (s *session) handOver(ctx context.Context) {
	n := s.node
	<-s.acceptClients
	if s.predecessor != nil {
		s.predecessor.AnnounceServing()
		select {
		case <-s.predecessorAcknowledged:
		case <-s.predecessorExited:
		case <-time.After(handover.Timeout):
			n.log.Warn("the predecessor does not acknowledge")
		case <-ctx.Done():
		}
	}
	n.accepting.Store(true)
	n.handover.Serve(ctx)
}

// startAdmin starts the admin endpoint, which runs until its server is closed.
func (s *session) startAdmin(listener net.Listener) {
	n := s.node
	s.admin = admin.NewServer(adminBackend{n}, n.log)
	s.run(func() {
		limited := newLimitedListener(listener, admin.MaxConnections, metrics.NewRecorder(nil), n.loop.decisions)
		limited.maxHead = admin.MaxHead
		if err := s.admin.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("admin endpoint failed; clients are still served", "err", err)
		}
	})
}

// closeServers closes the clients' connections, then the admin endpoint, which answers during the shutdown.
// Errors are ignored because the process is about to end.
func (s *session) closeServers() {
	s.node.inbound.aborting.Store(true)
	_ = s.clients.Close()
	if s.admin != nil {
		_ = s.admin.Close()
	}
}
