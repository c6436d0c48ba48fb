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

// ServerFault describes how a server fails. The zero value is a healthy server.
type ServerFault struct {
	Slow             float64 // factor by which work takes longer; 0 and 1: not at all
	Errors           float64 // share of requests answered with 500
	Hang             bool    // accepts requests and answers none
	CorruptResponses float64 // share of answers that are corrupted, see writeCorruptResponse
}

// Server emulates one machine of a tier that speaks HTTP/1.1: cores that do the work of requests, slots that limit the
// requests held at once, and a queue for a slot. Work is simulated by holding a core for a time; it uses no processor
// time of this machine.
type Server struct {
	name, zone string
	tier       int
	spec       Tier
	testbed    *Testbed
	gate       *gate
	http       *http.Server
	node       *Node   // the server's node for calls to the next tier; nil in the last tier
	nextTier   *client // sends calls through that node

	cores chan struct{}
	slots chan struct{}

	mu         sync.Mutex
	fault      ServerFault
	health     string        // as listed by discovery
	down       bool          // the process has ended: connections are refused
	silent     bool          // as if off the network: new connections time out, and open ones stall
	startedAt  time.Duration // start of its slow start; 0: long ago
	queued     int           // requests that wait for a slot
	conns      int           // open connections
	waiting    int           // requests that wait for a core
	busy       int           // requests that hold a core
	overSince  time.Duration // since when more requests wait for a core than Choke.Waiting allows; 0: not now
	idleSince  time.Duration // since when no request waits for a core or holds one; 0: not now
	choked     bool          // slowed down, see Choke
	recentWork []sentWork    // work within the last SlowStart.OverloadWindow, while in slow start
	served     int           // answers made
}

// sentWork is the work of one attempt, and when the attempt arrived.
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
		ConnState:   s.trackConn,
	}
	tb.startGoroutine(func() { _ = s.http.Serve(g) }) // returns an error when the gate closes
	return s, nil
}

// trackConn counts the open connections.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
}

// Name returns the server's name in the endpoint list.
func (s *Server) Name() string { return s.name }

// SetFault sets the fault of the server.
func (s *Server) SetFault(t ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
}

// Served returns the number of answers that the server has made.
func (s *Server) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return sleepUntil(time.Now().Add(d), ctx.Done())
}

// ServeHTTP handles one attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := s.testbed.now()
	id := r.Header.Get("X-Call-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Context().Err() != nil {
		return // the request did not arrive completely
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
	s.testbed.countAttempt(from, s)
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
		attempt:  number,
		class:    class,
		tenant:   r.Header.Get("X-Caller"),
		arrived:  first,
		deadline: first + budget,
	})
}

// execution is one attempt as a server handles it.
type execution struct {
	id       string
	attempt  int // its number among the attempts of the request
	class    *Class
	tenant   string
	arrived  time.Duration
	deadline time.Duration
}

// handle executes and answers an attempt, unless the server's fault, overload in slow start, or the limits on
// connections and slots prevent that.
func (s *Server) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, e execution) {
	work := s.testbed.requestWork(e.class, s.tier, e.id)
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
	case fault.Errors > 0 && s.testbed.seededRandom(e.id, s.name) < fault.Errors:
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
	if fault.CorruptResponses > 0 && s.testbed.seededRandom(e.id, "spoil "+s.name) < fault.CorruptResponses {
		s.writeCorruptResponse(w, e.id)
		return
	}
	_, _ = io.WriteString(w, s.testbed.checker.recordServed(e.id)) // fails if the node has closed the connection
}

// execute does the work of an attempt, waits for the class's wait time, and calls the next tier. It reports whether all
// of that succeeded in time.
func (s *Server) execute(ctx context.Context, e execution, work time.Duration) bool {
	if !s.work(ctx, work) || !sleep(ctx, e.class.Wait) {
		return false
	}
	return s.callNextTier(ctx, e)
}

// reject answers with the header that marks an attempt as rejected without running.
func (s *Server) reject(ctx context.Context, w http.ResponseWriter, id string) {
	s.testbed.checker.recordNotRun(id)
	w.Header().Set("X-Rejected", "1")
	if ctx.Err() != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// senderOf returns the contents of the sender header, which clients add for the checker.
func senderOf(r *http.Request) sender {
	node, writeNumber, _ := strings.Cut(r.Header.Get(senderHeader), " ")
	n, _ := strconv.Atoi(writeNumber)
	return sender{node, n}
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx ends first; the request is then rejected.
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

// callNextTier makes the calls of an attempt to the next tier one after another, each with the remaining budget, and
// reports whether all were served. The IDs of the calls depend on the number of the attempt, as another attempt of the
// same request may make its calls at the same time.
func (s *Server) callNextTier(ctx context.Context, e execution) bool {
	if s.nextTier == nil {
		return true
	}
	id := fmt.Sprintf("%s.%d", e.id, e.attempt)
	for i := range s.testbed.callCount(s.spec.Calls, id) {
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

// subID returns a request ID that is derived from another ID and a number.
func subID(id string, n int) string {
	return strconv.FormatUint(xxhash.Sum64String(id+"."+strconv.Itoa(n)), 16)
}

// parseBudget returns the value of an X-Budget header, or 0 if it is missing or invalid.
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

// failOverloaded crashes a server that was overloaded during slow start, and reports that as a finding. The server
// stays down until it is restarted.
func (s *Server) failOverloaded() {
	s.mu.Lock()
	wasDown := s.down
	s.mu.Unlock()
	if !wasDown {
		over := s.testbed.world.SlowStart.OverloadWindow
		s.testbed.checker.addFinding(
			SlowStartOverloaded,
			"",
			"",
			fmt.Sprintf("%s was sent more work than it can take in slow start, over %s", s.name, over),
		)
		go s.crash() // in another goroutine, as it also resets the connection that is being handled here
	}
}

// crash ends the server as if its process was killed: open connections are reset and new ones refused. Its node is
// killed too.
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

// restart starts a crashed server and its node again. The server is in slow start.
func (s *Server) restart() error {
	if s.node != nil {
		if err := s.node.Start(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.down, s.silent, s.choked, s.recentWork = false, false, false, nil
	s.startedAt, s.health = s.testbed.now(), healthInService
	s.mu.Unlock()
	s.updateReachability()
	s.testbed.intervals.end(s.name, s.testbed.now())
	return nil
}

// setSilent makes the server silent, as if its machine were off the network, or makes it reachable again.
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

// updateReachability sets the server's gate, and the links to the server, to match whether it is up, down or silent.
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
	_ = s.gate.set(mode) // fails only while the test bed closes, or if another program has taken the port
	s.testbed.setLinkModes(s.name, mode)
}
