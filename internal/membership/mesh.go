// Package membership tells a process which other processes are in its fleet, which of them are dead, and on which side
// of a partition the process itself is. Failure detection and dissemination use SWIM (Das, Gupta and Motivala, 2002)
// with Lifeguard (Dadgar, Phillips and Currey, 2017), as implemented by hashicorp/memberlist. Identity, name conflicts,
// flap damping, the member list and the sides of a partition are implemented here.
//
// A Mesh combines the failure detector (detector.go, delegate.go), this process's own probes (probing.go,
// reachability.go), the quorum (quorum.go and the files of its parts), and the view that it publishes (view.go).
package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
)

// Intervals and bounds of the mesh's goroutine.
const (
	tickInterval         = 100 * time.Millisecond
	pruneInterval        = time.Second
	addressRetryInterval = 200 * time.Millisecond
	metadataTimeout      = time.Second
	inboxSize            = 256 // messages queued for the mesh's goroutine
	eventQueueSize       = 4096
	fullStateQueueSize   = 16
)

// Mesh is the participation of this process in the fleet. Its methods are safe for concurrent use.
type Mesh struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	process   uint64        // this process's number
	sequence  atomic.Uint64 // sequence number of the last frame sent
	drops     DropCounters
	listen    func() (packetNetwork, error)
	local     localMetadata

	view                   atomic.Pointer[View]
	counters               atomic.Pointer[Counters]
	publishedDisagreements atomic.Pointer[[]Disagreement]

	// Input of the mesh's goroutine. Memberlist's goroutines send on the first two and never block.
	inbox      chan message
	fullStates chan fullState
	requests   chan func()

	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	// Only the mesh's goroutine uses the fields below.
	detector      *memberlist.Memberlist // nil while not listening, or while stepped out of the fleet
	reports       *detectorReports       // what the detector reports; nil without a detector
	network       packetNetwork          // what the detector sends over; nil without a detector
	closedTraffic traffic                // sent over networks that are closed by now
	processes     *processTable
	suspected     map[string]bool // by process ID: suspects because a probe of the detector got no answer
	reachability  *reachability
	quorum        *quorum
	incarnations  incarnations
	conflict      nameConflict
	flaps         flapDamping
	joiner        joiner
	departure     departure
	disagreements disagreements
	memberLog     memberLog
	members       map[string]Member // by name, as of the last view
	viewStale     bool              // the state that the view is built from has changed
	nextRefresh   time.Duration     // when the view and the counters are refreshed next
	nextPrune     time.Duration
	nextOpen      time.Duration // when listening is tried again
}

// Start joins the fleet in the background. It returns an error if the configuration is invalid or if it can't listen at
// the address. If the address is in use, it keeps trying in the background instead, because during an upgrade the
// predecessor still holds the address.
func Start(cfg Config) (*Mesh, error) {
	return start(cfg, func(m *Mesh) (packetNetwork, error) {
		t, err := listenTransport(transportConfig{
			address:  cfg.Listen,
			fleet:    xxhash.Sum64String(cfg.Fleet),
			process:  m.process,
			sequence: &m.sequence,
			dial:     cfg.Dial,
			drops:    &m.drops,
		})
		if err != nil {
			return nil, err
		}
		return t, nil
	})
}

// start implements Start, over the network that listen opens.
func start(cfg Config, listen func(*Mesh) (packetNetwork, error)) (*Mesh, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := newMesh(cfg)
	m.listen = func() (packetNetwork, error) { return listen(m) }
	m.publish()
	err := m.startDetector()
	if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("membership: starting on %s: %w", cfg.Listen, err)
	}
	if err != nil {
		m.log.Info("membership: waiting for the listen address", "address", cfg.Listen)
	}
	go m.run() // returns after Close
	return m, nil
}

func newMesh(cfg Config) *Mesh {
	now := time.Now()
	cfg.setDefaults(now)
	m := &Mesh{
		cfg:           cfg,
		log:           cfg.Log,
		startedAt:     now,
		process:       rand.Uint64() | 1,
		local:         localMetadata{metadata: cfg.localMetadata()},
		inbox:         make(chan message, inboxSize),
		fullStates:    make(chan fullState, fullStateQueueSize),
		requests:      make(chan func()),
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
		processes:     newProcessTable(),
		suspected:     map[string]bool{},
		reachability:  newReachability(),
		incarnations:  newIncarnations(),
		flaps:         newFlapDamping(),
		joiner:        newJoiner(),
		departure:     newDeparture(),
		disagreements: newDisagreements(),
		memberLog:     newMemberLog(cfg.Log),
		members:       map[string]Member{},
		viewStale:     true,
	}
	m.quorum = newQuorum(cfg.Name, m.process, cfg.seedNames(), 0)
	return m
}

// now returns the time since the mesh was started, by the monotonic clock.
func (m *Mesh) now() time.Duration { return time.Since(m.startedAt) }

// id returns this process's ID, which is its node name in memberlist.
func (m *Mesh) id() string { return processID(m.cfg.Name, m.process) }

// ProcessID returns the number of this process, which is drawn at random at its start and distinguishes it from all
// other processes.
func (m *Mesh) ProcessID() uint64 { return m.process }

// AnnounceServing announces to the fleet that this process serves.
func (m *Mesh) AnnounceServing() { m.announcePhase(phaseAlive) }

// do runs f on the mesh's goroutine. It returns false, without running f, if the mesh has ended.
func (m *Mesh) do(f func()) bool {
	select {
	case m.requests <- f:
		return true
	case <-m.stopped:
		return false
	}
}

func (m *Mesh) announcePhase(phase string) {
	m.do(func() {
		m.local.setPhase(phase)
		m.broadcastMetadata()
	})
}

// broadcastMetadata sends the changed metadata of this process to the other processes, in the background.
func (m *Mesh) broadcastMetadata() {
	m.viewStale = true
	detector := m.detector
	if detector == nil {
		return
	}
	go func() { // returns within the timeout
		_ = detector.UpdateNode(metadataTimeout) // fails only if the timeout ends first; the broadcast stays queued
	}()
}

// Close ends the mesh without announcing a leave, for example when a successor takes over the address.
func (m *Mesh) Close() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.stopped
}

// run is the loop of the mesh's goroutine, which owns the mesh's state. It returns after Close.
func (m *Mesh) run() {
	defer close(m.stopped)
	defer m.stopDetector()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-m.reportedEvents():
			m.handleEvent(event)
		case msg := <-m.inbox:
			m.handleMessage(msg)
		case state := <-m.fullStates:
			m.handleFullState(state)
		case request := <-m.requests:
			request()
		case <-ticker.C:
			m.reopen()
			m.tick()
		case <-m.stop:
			return
		}
	}
}

// reopen tries to listen again if there is no failure detector: another process may have released the address, or this
// process has stepped out of the fleet and its time outside is over.
func (m *Mesh) reopen() {
	if m.detector != nil || m.now() < max(m.nextOpen, m.conflict.outsideUntil) {
		return
	}
	m.nextOpen = m.now() + addressRetryInterval
	if m.startDetector() != nil {
		return // a later tick tries again
	}
	m.conflict.outsideUntil = 0
	m.viewStale = true
	m.log.Info("membership: listening", "address", m.cfg.Listen)
}

// tick does the periodic work: it applies the failure detector's results, probes suspects, sends the quorum's messages,
// publishes the view and looks for lost members.
func (m *Mesh) tick() {
	if m.detector != nil {
		m.applyProbeResults()
		m.advanceInquiries()
		if m.reports.dropped.Swap(false) {
			m.compareMembers()
		}
	}
	if now := m.now(); now >= m.nextPrune {
		m.nextPrune = now + pruneInterval
		m.prune()
	}
	m.checkIdentity()
	m.publish()
	if m.detector == nil {
		return
	}
	m.quorum.sendFailure = m.hasSendFailure()
	m.sendAll(m.quorum.tick(m.now(), m.view.Load().Digest))
	m.publish() // again, since the quorum's tick may have changed the side
	m.join()
}

func (m *Mesh) sendAll(out map[string]message) {
	for to, msg := range out {
		m.send(to, msg)
	}
}
