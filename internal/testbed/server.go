package testbed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerFault is how a server fails. The zero value is a healthy one.
type ServerFault struct {
	Slow             float64 // factor by which work takes longer; 0 and 1: none
	Errors           float64 // share of requests answered with 500
	Hang             bool    // accepts requests and answers none
	CorruptResponses float64 // share of answers that are corrupted
}

// Server stands for one machine of a tier: cores that work, slots that hold requests, a queue before them. Work is time
// on a core, not processor time of this machine. It speaks HTTP/1.1 as the protocol has it.
type Server struct {
	name, zone string
	tier       int
	spec       Tier
	testbed    *Testbed
	gate       *gate
	http       *http.Server
	node       *Node   // its node for the next tier; nil in the last
	nextTier   *client // calls through it

	cores chan struct{}
	slots chan struct{}

	mu        sync.Mutex
	fault     ServerFault
	health    string // as discovery lists it
	down      bool   // no process: connections are refused
	silent    bool
	born      time.Duration // 0: long ago
	queued    int           // wait for a slot
	conns     int           // open
	waiting   int           // wait for a core
	busy      int           // hold a core
	overSince time.Duration
	idleSince time.Duration
	choked    bool
	recent    []sentWork // while in slow start
	served    int
}

type sentWork struct {
	at   time.Duration
	work time.Duration
}

func newServer(tb *Testbed, name, zone string, tier int) (*Server, error) {
	g, err := newGate(tb.serverIP() + ":0")
	if err != nil {
		return nil, err
	}
	spec := tb.world.Tiers[tier]
	s := &Server{
		name:    name,
		zone:    zone,
		tier:    tier,
		spec:    spec,
		testbed: tb,
		gate:    g,
		health:  healthInService,
		cores:   make(chan struct{}, spec.Cores),
		slots:   make(chan struct{}, spec.Slots),
	}
	s.http = &http.Server{
		Handler:     s,
		IdleTimeout: tb.world.Limits.ConnIdle,
		ErrorLog:    tb.discardLog,
		ConnState:   s.track,
	}
	tb.goOwned(func() { _ = s.http.Serve(g) }) // returns an error when the gate closes
	return s, nil
}

// track counts the open connections.
func (s *Server) track(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
}

// Name is the server's name in discovery's list.
func (s *Server) Name() string { return s.name }

// Set changes the fault of the server.
func (s *Server) Set(t ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
}

// Served is how many answers it has made.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

func sleep(ctx context.Context, d time.Duration) bool {
	return sleepUntil(time.Now().Add(d), ctx.Done())
}

// ServeHTTP handles one attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := s.testbed.now()
	id := r.Header.Get("X-Call-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Context().Err() != nil {
		return // its last byte never came
	}
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	budget := parseBudget(r.Header.Get("X-Budget"))
	verdict, from, number := s.testbed.checker.recordAttempt(arrivedAttempt{
		id:        id,
		server:    s.name,
		from:      senderOf(r),
		firstByte: first,
		budget:    budget,
	})
	s.testbed.count(from, s)
	class := s.testbed.classes[r.Header.Get("X-Call-Class")]
	switch {
	case verdict == verdictUnknown || class == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case verdict == verdictDuplicate:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if budget <= 0 {
		budget = class.Deadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), budget)
	defer cancel()
	s.handle(ctx, w, r, execution{
		id:       id,
		number:   number,
		class:    class,
		tenant:   r.Header.Get("X-Caller"),
		arrived:  first,
		deadline: first + budget,
	})
}

// execution is an attempt that a server handles.
type execution struct {
	id       string
	number   int // of the attempt
	class    *Class
	tenant   string
	arrived  time.Duration
	deadline time.Duration
}

// handle executes an attempt as far as the server's faults and capacity allow.
func (s *Server) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, e execution) {
	work := s.testbed.workOf(e.class, s.tier, e.id)
	if !s.withinCapacity(e.arrived, work) {
		s.failOverloaded()
		return
	}
	s.mu.Lock()
	fault, overConnLimit := s.fault, s.conns > s.spec.Conns
	s.mu.Unlock()
	switch {
	case fault.Hang:
		<-r.Context().Done()
		return
	case fault.Errors > 0 && s.testbed.drawn(e.id, s.name) < fault.Errors:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if overConnLimit {
		w.Header().Set("Connection", "close")
	}
	if overConnLimit || !s.acquireSlot(ctx) {
		s.reject(ctx, w, e.id)
		return
	}
	defer func() { <-s.slots }()
	if !s.execute(ctx, e, work) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	if fault.CorruptResponses > 0 && s.testbed.drawn(e.id, "spoil "+s.name) < fault.CorruptResponses {
		s.writeCorruptResponse(w, e.id)
		return
	}
	_, _ = io.WriteString(w, s.testbed.checker.recordServed(e.id)) // fails where the node has closed the connection
}

// execute does the work of an attempt, waits, and calls the next tier.
func (s *Server) execute(ctx context.Context, e execution, work time.Duration) bool {
	if !s.work(ctx, work) || !sleep(ctx, e.class.Wait) {
		return false
	}
	return s.callNextTier(ctx, e)
}

// reject answers that an attempt never ran.
func (s *Server) reject(ctx context.Context, w http.ResponseWriter, id string) {
	s.testbed.checker.recordNotRun(id)
	w.Header().Set("X-Rejected", "1")
	if ctx.Err() != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// senderOf reads the header that a client has added for the checker.
func senderOf(r *http.Request) sender {
	node, writing, _ := strings.Cut(r.Header.Get(senderHeader), " ")
	n, _ := strconv.Atoi(writing)
	return sender{node, n}
}

// acquireSlot waits for a slot; it returns false when the request is rejected.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.queued >= s.spec.Queue {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// callNextTier makes the calls of an attempt on the next tier, one after another, each with the time that is left and
// an id of its own: another attempt of the same request may make its calls at the same time.
func (s *Server) callNextTier(ctx context.Context, e execution) bool {
	if s.nextTier == nil {
		return true
	}
	id := fmt.Sprintf("%s.%d", e.id, e.number)
	for i := range s.testbed.callsOf(s.spec.Calls, id) {
		resp := s.nextTier.do(ctx, clientRequest{
			id:       subID(id, i),
			class:    e.class,
			tenant:   e.tenant,
			deadline: e.deadline,
		})
		if resp.end != outcomeServed {
			return false
		}
	}
	return true
}

// subID is the id of a request's call number n, drawn from its own.
func subID(id string, n int) string {
	return strconv.FormatUint(xxhash.Sum64String(id+"."+strconv.Itoa(n)), 16)
}

// parseBudget reads an X-Budget; 0: there is none.
func parseBudget(text string) time.Duration {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0
		}
		unit = time.Microsecond
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(n * float64(unit))
}

// failOverloaded takes a server in slow start down that was sent more than it can take. It stays down.
func (s *Server) failOverloaded() {
	s.mu.Lock()
	was := s.down
	s.mu.Unlock()
	if !was {
		over := s.testbed.world.SlowStart.OverloadWindow
		s.testbed.checker.addFinding(
			SlowStartOverloaded,
			"",
			"",
			fmt.Sprintf("%s was sent more than it can take over %s", s.name, over),
		)
		go s.crash() // not from here: it ends this connection too
	}
}

// crash ends the server as a killed process ends: its connections are reset and new ones refused. Its node dies with
// it.
func (s *Server) crash() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.testbed.intervals.begin(s.name, s.testbed.now())
	s.updateReachability()
	s.gate.reset()
	if s.node != nil {
		s.node.Kill()
	}
}

// restart starts a crashed server again, in slow start, with its node.
func (s *Server) restart() error {
	if s.node != nil {
		if err := s.node.Start(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.down, s.silent, s.choked, s.recent = false, false, false, nil
	s.born, s.health = s.testbed.now(), healthInService
	s.mu.Unlock()
	s.updateReachability()
	s.testbed.intervals.end(s.name, s.testbed.now())
	return nil
}

// setSilent makes the server silent, as a vanished machine, or ends that.
func (s *Server) setSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	if on {
		s.testbed.intervals.begin(s.name, s.testbed.now())
	} else {
		s.testbed.intervals.end(s.name, s.testbed.now())
	}
	s.updateReachability()
}

// updateReachability sets the gate, and the links to it, to the state of the server.
func (s *Server) updateReachability() {
	s.mu.Lock()
	mode := gateOpen
	switch {
	case s.silent:
		mode = gateSilent
	case s.down:
		mode = gateRefuse
	}
	s.mu.Unlock()
	_ = s.gate.set(mode) // fails only at the end of the testbed, or where the port is taken
	s.testbed.linksTo(s.name, mode)
}
