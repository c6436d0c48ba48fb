// Package membership lets a process know who else is in its fleet, who is dead, and on which side of a partition it is
// itself. Failure detection and dissemination are SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips
// and Currey, 2017), by hashicorp/memberlist; identity, name conflicts, flap damping, the member list and the sides of
// a partition are this package's.
//
// A Mesh joins the pieces: the failure detector (detector.go, delegate.go), this process's own probes (probing.go,
// reachability.go), the quorum (quorum.go and the files of its subjects), and the view that it publishes (view.go).
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

// Times and bounds of the mesh's goroutine.
const (
	tickInterval         = 100 * time.Millisecond
	pruneInterval        = time.Second
	addressRetryInterval = 200 * time.Millisecond
	metadataTimeout      = time.Second
	inboxSize            = 256 // messages that wait for the mesh's goroutine
	eventQueueSize       = 4096
	fullStateQueueSize   = 16
)

// Mesh is this process's part in the fleet. Its methods are safe for concurrent use.
type Mesh struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	process   uint64        // this process's number
	sequence  atomic.Uint64 // of frames sent
	drops     DropCounters
	listen    func() (packetNetwork, error)
	local     localMetadata

	view                   atomic.Pointer[View]
	counters               atomic.Pointer[Counters]
	publishedDisagreements atomic.Pointer[[]Disagreement]

	// To the mesh's goroutine; memberlist's goroutines send on the first two and never wait.
	inbox      chan message
	fullStates chan fullState
	requests   chan func()

	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	// The rest is of the mesh's goroutine.
	detector      *memberlist.Memberlist // nil: without an address, or stepped out
	reports       *detectorReports       // of the detector
	network       packetNetwork          // of the detector
	closedTraffic traffic                // of networks that were shut
	processes     *processTable
	suspected     map[string]bool // by process ID: a probe of the detector got no answer, as of the last tick
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
	viewStale     bool              // what the view is made of has changed
	nextRefresh   time.Duration     // of the view and the counters
	nextPrune     time.Duration
	nextOpen      time.Duration // attempt to have the address
}

// Start joins the fleet in the background. It fails only where the address can never be had; one that another process
// holds is waited for, as in an upgrade.
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

// start is Start over any network.
func start(cfg Config, listen func(*Mesh) (packetNetwork, error)) (*Mesh, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := newMesh(cfg)
	m.listen = func() (packetNetwork, error) { return listen(m) }
	m.publish()
	err := m.open()
	if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("membership: starting on %s: %w", cfg.Listen, err)
	}
	if err != nil {
		m.log.Info("membership: waiting for the listen address", "address", cfg.Listen)
	}
	go m.run() // ends with Close
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

// now is the time since the mesh's start, by the monotonic clock.
func (m *Mesh) now() time.Duration { return time.Since(m.startedAt) }

// id is this process's name within memberlist.
func (m *Mesh) id() string { return processID(m.cfg.Name, m.process) }

// ProcessID is this process's number, which no other has.
func (m *Mesh) ProcessID() uint64 { return m.process }

// AnnounceServing lets the fleet know that this process serves.
func (m *Mesh) AnnounceServing() { m.announcePhase(phaseAlive) }

// do runs f on the mesh's goroutine; false: the mesh has ended.
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

// broadcastMetadata sends this process's changed metadata to the others.
func (m *Mesh) broadcastMetadata() {
	m.viewStale = true
	detector := m.detector
	if detector == nil {
		return
	}
	go func() { // ends within the timeout
		_ = detector.UpdateNode(metadataTimeout) // an error means that nobody else is there
	}()
}

// Close ends the mesh without an announcement, as for a successor that takes the address over.
func (m *Mesh) Close() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.stopped
}

// run owns the state until Close.
func (m *Mesh) run() {
	defer close(m.stopped)
	defer m.shut()
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

// reopen tries to have the address, where another process holds it or this one has stepped out.
func (m *Mesh) reopen() {
	if m.detector != nil || m.now() < max(m.nextOpen, m.conflict.outsideUntil) {
		return
	}
	m.nextOpen = m.now() + addressRetryInterval
	if m.open() != nil {
		return // the next attempt follows
	}
	m.conflict.outsideUntil = 0
	m.viewStale = true
	m.log.Info("membership: listening", "address", m.cfg.Listen)
}

// tick looks at suspects, lets the quorum send, and publishes the view.
func (m *Mesh) tick() {
	if m.detector != nil {
		m.takeProbeResults()
		m.verify()
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
	m.publish() // the quorum may have changed the side
	m.join()
}

func (m *Mesh) sendAll(out map[string]message) {
	for to, msg := range out {
		m.send(to, msg)
	}
}
