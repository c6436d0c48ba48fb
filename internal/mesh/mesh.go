// Package mesh tells a process who else is in its fleet, who is gone, and on which side of a split it is itself. Failure
// detection and dissemination are SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey,
// 2017), by hashicorp/memberlist; identity, conflicts, flap control, rosters and sides are this package's.
package mesh

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"regexp"
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

// State is what a member is to the others.
type State int

// States of a member.
const (
	Joining  State = iota // its process runs and does not serve yet
	Alive                 // serves
	Suspect               // has not answered this process's probe, and can still refute that
	Gone                  // did not refute it in time
	Left                  // said that it leaves
	Conflict              // two live processes claim its name
)

func (s State) String() string {
	return [...]string{"joining", "alive", "suspect", "gone", "left", "conflict"}[s]
}

// MarshalText makes a state readable in JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// MarshalText makes a side readable in JSON.
func (s Side) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is one member as this process sees it.
type Member struct {
	Name        string        `json:"name"`
	State       State         `json:"state"`
	Zone        string        `json:"zone"`
	Region      string        `json:"region"`
	Tier        int           `json:"tier"`
	Incarnation uint64        `json:"incarnation"`
	Version     string        `json:"version,omitempty"`
	Config      string        `json:"config,omitempty"` // digest of its configuration
	Address     string        `json:"address"`
	Age         time.Duration `json:"age_ns"`         // of the state, when the view was taken
	Held        bool          `json:"held,omitempty"` // comes and goes too often: not counted on for now

	since time.Duration
}

// Lives says that a process of the member takes part.
func (m Member) Lives() bool { return m.State != Gone && m.State != Left }

// View is what a process believes of its fleet at one moment. Members are sorted by name. Digest is the same in all
// processes that see the same living members in the same epoch.
type View struct {
	Epoch   Epoch
	Side    Side
	Under   uint64 // the leading process that has proved a majority
	Members []Member
	Digest  uint64
	Roster  int      // members that the side is computed against
	Settled bool     // no change of the roster is under way
	Leader  string   // the name of Under; "": none is proved
	Names   []string // of the roster, sorted; not to be changed

	until time.Duration // of the side's proof, by the mesh's clock
}

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
	Deliver                   func(from string, body []byte) // takes what another's Tell sent; must not block; may be nil
	Changed                   func(View)                     // is told by the mesh's goroutine whenever the view may have changed; must not block; may be nil
}

// Bounds and times.
const (
	tickEvery    = 100 * time.Millisecond
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
	leaveWithin  = 800 * time.Millisecond // for the roster to be without us
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

// meta is what a process tells of itself.
type meta struct {
	Incarnation uint64 `json:"i"`
	Phase       string `json:"p"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	Tier        int    `json:"t"`
	Version     string `json:"v"`
	Digest      string `json:"d"`
}

// process is one process of a member.
type process struct {
	member, name string // with and without the process
	meta         meta
	addr         string
	node         memberlist.Node
	state        State // Alive, Suspect, Gone or Left
	since        time.Duration
}

// Mesh is this process's part in the fleet.
type Mesh struct {
	cfg     Config
	log     *slog.Logger
	began   time.Time
	process uint64
	seq     atomic.Uint64 // of packets sent
	drops   Drops
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
	council    *council
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

type processEvent struct {
	node memberlist.Node
	live bool
}

type penalty struct {
	points float64
	at     time.Duration
	until  time.Duration
}

// Counters are the mesh's figures since its start.
type Counters struct {
	States     map[string]int   `json:"states"`
	PacketsOut int64            `json:"packets_out"`
	BytesOut   int64            `json:"bytes_out"`
	Dropped    map[string]int64 `json:"dropped"`
	Health     int              `json:"health"` // Lifeguard's score of this process; 0 is well
}

// Disagreement is a member whose view has another digest than ours.
type Disagreement struct {
	With  string        `json:"with"`
	About []string      `json:"about"` // members that one of us misses, as far as both have said
	For   time.Duration `json:"for_ns"`
}

// wire is what packets and streams go over.
type wire interface {
	memberlist.NodeAwareTransport
	addr() string // at which peers find this process
	sent() (packets, bytes int64)
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
	m.council = newCouncil(cfg.Name, m.process, seeds, 0)
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

// open listens and starts the failure detector.
func (m *Mesh) open() error {
	t, err := m.listen()
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = m.member()
	c.Transport = t
	c.ProbeInterval, c.ProbeTimeout = m.cfg.Probe, m.cfg.Probe/2
	// Suspicion is short, and Lifeguard's patience with a process's own health small: evidence.go has the last word.
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = 2, 2, 2
	c.GossipInterval, c.GossipNodes = m.cfg.Probe/4, 3
	c.PushPullInterval = 25 * m.cfg.Probe
	c.TCPTimeout = streamTime
	c.EnableCompression = false
	c.UDPBufferSize = mostPacket - frameHead
	c.HandoffQueueDepth = packetQueue
	c.Delegate, c.Events, c.Ping = (*delegate)(m), (*delegate)(m), (*delegate)(m)
	c.Logger = log.New(logWriter{m}, "", 0)
	ml, err := memberlist.Create(c)
	if err != nil {
		t.Shutdown()
		return err
	}
	m.wire, m.ml = t, ml
	m.missed.Store(true) // events of an earlier one may be under way
	return nil
}

func (m *Mesh) shut() {
	if m.ml == nil {
		return
	}
	m.ml.Shutdown() // the transport, too
	m.wire.Shutdown()
	packets, bytes := m.wire.sent()
	m.retired.packets += packets
	m.retired.bytes += bytes
	m.ml, m.wire = nil, nil
}

// member is this process's name within memberlist.
func (m *Mesh) member() string { return fmt.Sprintf("%s%s%016x", m.cfg.Name, nameSeparator, m.process) }

// logWriter passes the library's own lines on at the debug level. The library tells of a probe without an answer in no
// other way; a test holds it to its words.
type logWriter struct{ m *Mesh }

var unanswered = regexp.MustCompile(`Suspect (\S+) has failed, no acks received`)

func (w logWriter) Write(p []byte) (int, error) {
	if s := unanswered.FindSubmatch(p); s != nil {
		w.m.suspect(string(s[1]), true)
	}
	w.m.log.Debug("memberlist", "said", strings.TrimSpace(string(p)))
	return len(p), nil
}

// suspect notes that a probe of a process by this one got an answer or none.
func (m *Mesh) suspect(member string, is bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if is {
		m.unanswered[member] = true // memberlist probes members only: there are no more names than these
	} else {
		delete(m.unanswered, member)
		m.answering[member] = true
	}
}

// View returns the newest view. Its side is checked against the time: a process that stood still claims nothing on the
// strength of what was proved before.
func (m *Mesh) View() View {
	v, now := *m.view.Load(), m.now()
	if v.Side >= Majority && now >= v.until {
		v.Side, v.Under, v.Leader = Minority, 0, ""
	}
	v.Members = slices.Clone(v.Members)
	for i := range v.Members {
		v.Members[i].Age = now - v.Members[i].since
	}
	return v
}

// Counters returns the figures, as old as the mesh's tick at most.
func (m *Mesh) Counters() Counters { return *m.counters.Load() }

// Disagreements returns whose view differs from ours. The leader of a roster knows of all members, others of the leader.
func (m *Mesh) Disagreements() []Disagreement { return *m.disagree.Load() }

// Serving tells the fleet that this process serves.
func (m *Mesh) Serving() { m.phase(phaseAlive) }

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
	look := time.NewTicker(tickEvery / 4)
	defer look.Stop()
	for end := time.Now().Add(leaveWithin); time.Now().Before(end); <-look.C {
		out := make(chan bool, 1)
		if !m.ask(func() {
			if _, in := slices.BinarySearch(m.council.roster, m.cfg.Name); in || m.council.prev != nil {
				out <- len(m.council.live) == 1
				return
			}
			say, done := m.council.resign(m.now(), m.view.Load().Digest)
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
			m.ml.Leave(leaveWithin / 4) // an error means that the word did not get round in time
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
	tick := time.NewTicker(tickEvery)
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

// event takes a change in the failure detector.
func (m *Mesh) event(e processEvent) {
	if e.node.Name == m.member() {
		return
	}
	p := m.processes[e.node.Name]
	if p == nil {
		p = &process{member: e.node.Name, name: nameOf(e.node.Name), state: Gone, since: m.now()}
		m.processes[e.node.Name] = p
		m.named[p.name] = append(m.named[p.name], p)
	}
	m.dirty = true
	p.node, p.addr = e.node, e.node.Address()
	if len(e.node.Meta) > 0 {
		json.Unmarshal(e.node.Meta, &p.meta) // one that can't be read says nothing of itself
	}
	state := Gone
	switch {
	case e.live:
		state = Alive
	case e.node.State == memberlist.StateLeft || p.meta.Phase == phaseLeaving:
		state = Left
	}
	if state == Gone && p.lives() {
		m.accuse(p) // it may answer yet
		return
	}
	delete(m.evidence.accused, p.member)
	delete(m.evidence.buried, p.member)
	if state != p.state {
		p.state, p.since = state, m.now()
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
	m.council.mute = m.unheard()
	for to, msg := range m.council.tick(m.now(), m.view.Load().Digest) {
		m.send(to, msg)
	}
	m.publish() // the council may have changed its mind
	m.join()
}

// suspects takes over who is suspected. It costs as much as there are suspects, however large the fleet.
func (m *Mesh) suspects() {
	m.mu.Lock()
	for member := range m.answering {
		if p := m.processes[member]; p != nil {
			m.answered(p)
		}
		delete(m.answering, member)
	}
	for member := range m.unanswered {
		switch p := m.processes[member]; {
		case p == nil || !p.lives():
			delete(m.unanswered, member)
		case p.state == Alive:
			p.state, p.since, m.dirty = Suspect, m.now(), true
			m.suspected[member] = true
		}
	}
	for member := range m.suspected {
		if m.unanswered[member] {
			continue
		}
		if p := m.processes[member]; p != nil && p.state == Suspect && m.evidence.accused[member] == 0 {
			p.state, p.since, m.dirty = Alive, m.now(), true
		}
		delete(m.suspected, member)
	}
	m.mu.Unlock()
}

// compare takes over all that dropped events would have told. What came since is told once more by its event.
func (m *Mesh) compare() {
	live := map[string]bool{}
	for _, n := range m.ml.Members() {
		live[n.Name] = true
		if p := m.processes[n.Name]; p == nil || !p.lives() || !bytes.Equal(p.node.Meta, n.Meta) {
			m.event(processEvent{node: *n, live: true})
		}
	}
	for _, p := range m.processes {
		if !live[p.member] && p.lives() {
			m.accuse(p)
		}
	}
}

// lives says that the failure detector has it among the living.
func (p *process) lives() bool { return p.state == Alive || p.state == Suspect }

// prune forgets processes that ended long ago, and penalties that have decayed.
func (m *Mesh) prune() {
	now := m.now()
	var over []*process
	for _, p := range m.processes {
		if p.state == Gone || p.state == Left {
			if now-p.since > endedFor {
				m.drop(p)
				continue
			}
			over = append(over, p)
		}
	}
	if extra := len(over) - mostEnded; extra > 0 {
		slices.SortFunc(over, func(a, b *process) int { return int(a.since - b.since) })
		for _, p := range over[:extra] {
			m.drop(p)
		}
	}
	for name, p := range m.penalties {
		if now > p.until && p.now(now) < 0.1 {
			delete(m.penalties, name)
		}
	}
}

// drop forgets a process, but for its incarnation.
func (m *Mesh) drop(p *process) {
	delete(m.processes, p.member)
	m.evidence.forget(p.member)
	if m.named[p.name] = slices.DeleteFunc(m.named[p.name], func(o *process) bool { return o == p }); len(m.named[p.name]) == 0 {
		delete(m.named, p.name)
	}
	m.dirty = true
	if p.meta.Incarnation > m.highest[p.name] && len(m.highest) < mostRost {
		m.highest[p.name] = p.meta.Incarnation
	}
}

// merge takes the roster and the incarnations that another process remembers.
func (m *Mesh) merge(l lore) {
	m.council.adopt(message{Epoch: l.Epoch, Roster: l.Roster, Prev: l.Prev})
	for name, i := range l.Highest {
		if i > m.highest[name] && (len(m.highest) < mostRost || m.highest[name] > 0 || name == m.cfg.Name) {
			m.highest[name] = i
		}
	}
}

// identity keeps this process's incarnation above those of all that have had its name, also after its clock went back,
// and finds another live process of the name. The older one steps out.
func (m *Mesh) identity() {
	now := m.now()
	above := m.highest[m.cfg.Name]
	var rival *process
	for _, p := range m.named[m.cfg.Name] {
		live := p.lives() && p.meta.Phase != phaseLeaving
		if live && m.wire != nil && p.addr == m.wire.addr() {
			live = false // we hold its address: it has ended, the others do not know yet
		}
		if !live {
			above = max(above, p.meta.Incarnation)
		} else if p.state == Alive && (rival == nil || p.elder(rival)) {
			rival = p
		}
	}
	m.mu.Lock()
	bumped := above >= m.mine.Incarnation
	if bumped {
		m.mine.Incarnation = above + 1
	}
	mine := m.mine.Incarnation
	m.mu.Unlock()
	if bumped {
		m.log.Info("mesh incarnation raised", "to", mine)
		m.respread = respreads
	}
	if m.respread > 0 && now >= m.nextSpread {
		m.respread, m.nextSpread = m.respread-1, now+respreadIn
		m.spread()
	}
	if rival == nil {
		m.dirty = m.dirty || m.conflictAt != 0
		m.conflictAt = 0
		return
	}
	if m.conflictAt == 0 {
		m.conflictAt, m.dirty = now, true
		m.log.Warn("another process has this one's name", "address", rival.addr, "incarnation", rival.meta.Incarnation, "mine", mine)
	}
	older := rival.meta.Incarnation > mine || rival.meta.Incarnation == mine && rival.member > m.member()
	if older && now-m.conflictAt >= conflictFor {
		m.log.Error("this process steps out of the mesh: a newer one has its name; clients are served as ever", "address", rival.addr)
		m.ml.Leave(tickEvery) // where the word is late the others find out
		m.shut()
		m.processes, m.named, m.suspected, m.evidence = map[string]*process{}, map[string][]*process{}, map[string]bool{}, newEvidence()
		m.conflictAt, m.outUntil, m.dirty = 0, now+stepOut/2+rand.N(stepOut), true
	}
}

// elder says that p is to be taken for the newer process.
func (p *process) elder(o *process) bool {
	return p.meta.Incarnation > o.meta.Incarnation || p.meta.Incarnation == o.meta.Incarnation && p.member > o.member
}

// now is the penalty's weight after its decay.
func (p *penalty) now(at time.Duration) float64 {
	half := float64(at-p.at) / float64(flapHalf)
	w := p.points
	for ; half >= 1; half-- {
		w /= 2
	}
	return w * (1 - half/2)
}

// flap adds to a member's penalty when it comes back from being gone.
func (m *Mesh) flap(name string) {
	now := m.now()
	p := m.penalties[name]
	if p == nil {
		p = &penalty{}
		m.penalties[name] = p
	}
	p.points, p.at = min(p.now(now)+1, 10), now
	if over := p.points - flapHold; over >= 0 {
		hold := flapBase
		for ; over >= 1 && hold < flapMost; over-- {
			hold *= 2
		}
		p.until = now + min(hold, flapMost)
	}
}
