// Package mesh tells a process who else is in its fleet, who is gone, and on which side of a split it is itself. Failure
// detection and dissemination are SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey,
// 2017), by hashicorp/memberlist; identity, conflicts, flap control, rosters and sides are this package's.
package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Config says who this process is and where it meets others.
type Config struct {
	Fleet, Name, Zone, Region string
	Tier                      int
	Version, Digest           string
	Listen                    string
	Seeds                     []string // NAME=ADDRESS
	Dial                      map[string]string
	Probe                     time.Duration
	Log                       *slog.Logger
	Started                   time.Time                      // of the process, by its wall clock; default: now
	OnMessage                 func(from string, body []byte) // takes what another's Tell sent; must not block; may be nil
	OnViewChange              func(View)                     // is told by the mesh's goroutine whenever the view may have changed; must not block; may be nil
}

// Bounds and times.
const (
	tickInterval = 100 * time.Millisecond
	mailQueue    = 256 // messages and events that wait for the mesh's goroutine
	eventQueue   = 4096
	mostEnded    = 2048             // processes that have ended, and are remembered
	endedFor     = 10 * time.Minute // how long
	retryAddress = 200 * time.Millisecond
	joinMin      = 300 * time.Millisecond // between attempts to find lost members, jittered
	joinMost     = 2 * time.Second
	lookFor      = 2 * time.Minute // for a member that has left: most are back by then
	conflictFor  = 5 * time.Second // two processes of one name live so long before the older steps out
	stepOut      = 30 * time.Second
	leaveTimeout = 800 * time.Millisecond // for the roster to be without us
	flapHalf     = time.Minute            // half-life of a member's penalty
	flapHold     = 2.5                    // penalty from which it is held down: the third return in short order
	flapBase     = 5 * time.Second
	flapMost     = time.Minute
	logRate      = 20 // member lines a second
	pruneEvery   = time.Second
	respreads    = 3
	respreadIn   = 700 * time.Millisecond
)

// phases of a process, as its meta data has them.
const (
	phaseJoining = "j"
	phaseAlive   = "a"
	phaseLeaving = "l"
)

// Mesh is this process's part in the fleet.
type Mesh struct {
	cfg     Config
	log     *slog.Logger
	began   time.Time
	process uint64
	seq     atomic.Uint64 // of packets sent
	drops   DropCounters
	lines   *rate.Limiter
	listen  func() (wire, error)

	view     atomic.Pointer[View]
	counters atomic.Pointer[Counters]
	disagree atomic.Pointer[[]Disagreement]

	events  chan processEvent
	mail    chan message
	lores   chan lore
	missed  atomic.Bool // events were dropped
	asks    chan func()
	done    chan struct{}
	ended   chan struct{}
	closing sync.Once

	// The rest is of the mesh's goroutine, but for mine.
	ml         *memberlist.Memberlist
	wire       wire
	quorum     *quorum
	processes  map[string]*process   // by member
	named      map[string][]*process // the same by name
	suspected  map[string]bool       // members, as of the last tick
	nextPrune  time.Duration
	shown      map[string]Member // by name, as of the last view
	dirty      bool              // what the view is made of has changed
	nextView   time.Duration
	live, left map[string]bool // by name, as the council sees them
	penalties  map[string]*penalty
	highest    map[string]uint64 // incarnations of names, from others' memory
	joining    chan struct{}     // holds a token while nobody is joining
	nextJoin   time.Duration
	joinWait   time.Duration
	conflictAt time.Duration // since when an elder of our own name lives; 0: none
	respread   int           // so often a raised incarnation is told once more: one whose death was refuted meanwhile may go unheard
	nextSpread time.Duration
	outUntil   time.Duration // stepped out until then; 0: not
	differs    map[string]time.Duration
	retired    struct{ packets, bytes int64 } // of transports that were shut
	silenced   int

	evidence *evidence

	mu         sync.Mutex
	mine       meta
	answering  map[string]bool // processes that have answered a probe since the last tick
	unanswered map[string]bool // processes whose last probe by this one got no answer
}

// Start joins the fleet in the background. It fails only where the address can never be had; one that another process
// holds is waited for, as in an upgrade.
func Start(cfg Config) (*Mesh, error) {
	return start(cfg, func(m *Mesh) (wire, error) {
		t, err := listenTransport(cfg.Listen, xxhash.Sum64String(cfg.Fleet), m.process, &m.seq, cfg.Dial, &m.drops)
		if err != nil {
			return nil, err
		}
		return t, nil
	})
}

// start is Start over any wire.
func start(cfg Config, listen func(*Mesh) (wire, error)) (*Mesh, error) {
	if cfg.Name == "" || cfg.Fleet == "" || strings.Contains(cfg.Name, nameSeparator) {
		return nil, fmt.Errorf("mesh: a fleet and a name without %q are needed", nameSeparator)
	}
	now := time.Now()
	m := &Mesh{cfg: cfg, log: cfg.Log, began: now, process: rand.Uint64() | 1, lines: rate.NewLimiter(logRate, 2*logRate),
		events: make(chan processEvent, eventQueue), mail: make(chan message, mailQueue), lores: make(chan lore, 16),
		asks: make(chan func()), done: make(chan struct{}), ended: make(chan struct{}), processes: map[string]*process{},
		named: map[string][]*process{}, suspected: map[string]bool{},
		shown: map[string]Member{}, penalties: map[string]*penalty{}, highest: map[string]uint64{},
		joining: make(chan struct{}, 1), joinWait: joinMin, differs: map[string]time.Duration{}, unanswered: map[string]bool{},
		answering: map[string]bool{}, evidence: newEvidence()}
	m.listen = func() (wire, error) { return listen(m) }
	if cfg.Started.IsZero() {
		cfg.Started = now
	}
	m.mine = meta{Incarnation: uint64(max(1, cfg.Started.UnixMilli())), Phase: phaseJoining, Zone: cfg.Zone, Region: cfg.Region, Tier: cfg.Tier,
		Version: cfg.Version, Digest: cfg.Digest}
	if m.cfg.Probe == 0 {
		m.cfg.Probe = 400 * time.Millisecond
	}
	m.joining <- struct{}{}
	var seeds []string
	for _, s := range cfg.Seeds {
		name, _, _ := strings.Cut(s, "=")
		seeds = append(seeds, name)
	}
	m.quorum = newQuorum(cfg.Name, m.process, seeds, 0)
	m.dirty = true
	m.publish()
	if err := m.open(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("mesh: %w", err)
	} else if err != nil {
		m.log.Info("mesh waits for its address", "address", cfg.Listen)
	}
	go m.run()
	return m, nil
}

func (m *Mesh) now() time.Duration { return time.Since(m.began) }

// member is this process's name within memberlist.
func (m *Mesh) member() string { return fmt.Sprintf("%s%s%016x", m.cfg.Name, nameSeparator, m.process) }

// AnnounceServing tells the fleet that this process serves.
func (m *Mesh) AnnounceServing() { m.phase(phaseAlive) }

// ask runs f on the mesh's goroutine; false: the mesh has ended.
func (m *Mesh) ask(f func()) bool {
	select {
	case m.asks <- f:
		return true
	case <-m.ended:
		return false
	}
}

func (m *Mesh) phase(p string) {
	m.ask(func() {
		m.mu.Lock()
		m.mine.Phase = p
		m.mu.Unlock()
		m.spread()
	})
}

// spread lets the others know of a change of our meta data.
func (m *Mesh) spread() {
	m.dirty = true
	if ml := m.ml; ml != nil {
		go ml.UpdateNode(time.Second) // ends by then; an error means that nobody else is there
	}
}

// Leave tells the fleet that this process goes, waits up to 0.8 s for the roster to be without it, and for the others to
// know that it leads no more, and ends the mesh.
func (m *Mesh) Leave() {
	m.phase(phaseLeaving)
	look := time.NewTicker(tickInterval / 4)
	defer look.Stop()
	for end := time.Now().Add(leaveTimeout); time.Now().Before(end); <-look.C {
		out := make(chan bool, 1)
		if !m.ask(func() {
			if _, in := slices.BinarySearch(m.quorum.list.names, m.cfg.Name); in || m.quorum.list.previous != nil {
				out <- len(m.quorum.liveness.liveSince) == 1
				return
			}
			say, done := m.quorum.giveUpLead(m.now(), m.view.Load().Digest)
			for to, msg := range say {
				m.send(to, msg)
			}
			out <- done
		}) || <-out {
			break
		}
	}
	m.ask(func() {
		if m.ml != nil {
			m.ml.Leave(leaveTimeout / 4) // an error means that the word did not get round in time
		}
	})
	m.Close()
}

// Close ends the mesh without a word, as for a successor that takes the address over.
func (m *Mesh) Close() {
	m.closing.Do(func() { close(m.done) })
	<-m.ended
}

// run owns the state until Close.
func (m *Mesh) run() {
	defer close(m.ended)
	defer m.shut()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	retry := time.Duration(0)
	for {
		select {
		case e := <-m.events:
			m.event(e)
		case msg := <-m.mail:
			m.hear(msg)
		case l := <-m.lores:
			m.merge(l)
		case f := <-m.asks:
			f()
		case <-tick.C:
			if m.ml == nil && m.now() >= max(retry, m.outUntil) {
				retry = m.now() + retryAddress
				if err := m.open(); err == nil {
					m.outUntil, m.dirty = 0, true
					m.log.Info("mesh has its address", "address", m.cfg.Listen)
				}
			}
			m.tick()
		case <-m.done:
			return
		}
	}
}

// tick looks at suspects, lets the council speak, and publishes the view.
func (m *Mesh) tick() {
	if m.ml != nil {
		m.suspects()
		m.judge()
		if m.missed.Swap(false) {
			m.compare()
		}
	}
	if now := m.now(); now >= m.nextPrune {
		m.nextPrune = now + pruneEvery
		m.prune()
	}
	m.identity()
	m.publish()
	if m.ml == nil {
		return
	}
	m.quorum.sendFailure = m.unheard()
	for to, msg := range m.quorum.tick(m.now(), m.view.Load().Digest) {
		m.send(to, msg)
	}
	m.publish() // the council may have changed its mind
	m.join()
}
