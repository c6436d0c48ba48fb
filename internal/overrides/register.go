package overrides

import (
	"slices"
	"time"
)

const (
	refreshInterval = time.Second            // between a member's requests to the leader
	retryInterval   = 200 * time.Millisecond // while a response, or a majority of promises, is missing

	// maxTermAdvance is the most by which one message may raise the term, so that invalid messages cannot exhaust the
	// terms.
	maxTermAdvance = 1 << 20
)

// Register is one process's copy of the fleet's register. It is not safe for concurrent use. Times are readings of the
// process's monotonic clock and never decrease.
type Register struct {
	self        string
	incarnation uint64

	state replicatedState
	local entrySet // overrides that apply to this process only, never sent

	members       []string // of the fleet, including this process
	leader        string   // the leader that has a quorum, empty if none is known
	role          role
	promised      termPromise
	promises      promiseSet       // while preparing
	acknowledged  acknowledgements // while leading
	nextRequestAt time.Duration    // earliest time of the next requests
}

// New returns an empty register. The incarnation must be unique: no other process of the fleet, and no earlier process
// of the same name, may have used it.
func New(self string, incarnation uint64) *Register {
	return &Register{
		self:         self,
		incarnation:  incarnation,
		state:        replicatedState{entries: entrySet{}},
		local:        entrySet{},
		acknowledged: acknowledgements{},
	}
}

// UpdateMembership sets the leader that has a quorum (empty if none is known) and the members of the fleet, and returns
// the requests that are due.
func (r *Register) UpdateMembership(now time.Duration, leader string, members []string) []OutboundMessage {
	r.members = members
	if leader != r.leader {
		r.leader = leader
		r.nextRequestAt = now
	}
	leads := leader == r.self
	switch {
	case leads && r.role == roleFollower:
		r.prepare(max(r.promised.term, r.state.version.Term) + 1)
	case !leads && r.role != roleFollower:
		r.role = roleFollower
		r.promises = nil
	}
	return r.Tick(now)
}

// prepare starts to collect the members' promises of a term to this process.
func (r *Register) prepare(term uint64) {
	r.role = rolePreparing
	r.promised = termPromise{term: term, incarnation: r.incarnation}
	r.promises = promiseSet{r.self: r.state.known()}
	r.acknowledged = acknowledgements{}
	r.leadIfPromised()
}

// leadIfPromised makes this process lead once enough members have promised the term.
func (r *Register) leadIfPromised() {
	if !r.promises.complete(r.members) {
		return
	}
	r.role = roleLeading
	r.promises = nil
	r.state.version = Version{Term: r.promised.term, Leader: r.self}
}

// Tick removes expired overrides, and returns the requests that are due.
func (r *Register) Tick(now time.Duration) []OutboundMessage {
	r.state.entries.removeExpired(now)
	r.local.removeExpired(now)
	if now < r.nextRequestAt || r.leader == "" {
		return nil
	}
	switch r.role {
	case rolePreparing:
		r.nextRequestAt = now + retryInterval
		return r.prepareRequests(now)
	case roleLeading:
		r.nextRequestAt = now + refreshInterval
		return nil
	default:
		r.nextRequestAt = now + retryInterval
		return []OutboundMessage{r.message(r.leader, KindStateRequest, now)}
	}
}

// Handle processes a message from another member, and returns the messages to send as a result.
func (r *Register) Handle(now time.Duration, m Message) []OutboundMessage {
	if !r.isPlausible(m) {
		return nil
	}
	switch m.Kind {
	case KindStateRequest:
		return r.handleStateRequest(now, m)
	case KindStateResponse:
		r.handleStateResponse(now, m)
	case KindChangeNotice:
		return r.handleChangeNotice(now, m)
	case KindPrepare:
		return r.handlePrepare(now, m)
	case KindPromise:
		return r.handlePromise(now, m)
	}
	return nil
}

// isPlausible reports whether a message comes from another member, holds no more entries than allowed and does not
// raise the term by more than maxTermAdvance.
func (r *Register) isPlausible(m Message) bool {
	return len(m.Entries) <= MaxEntries &&
		m.From != r.self &&
		max(m.Term, m.Version.Term) <= r.promised.term+maxTermAdvance
}

// answersThisProcess reports whether a message responds to a request of this process, not of an earlier process of the
// same name.
func (r *Register) answersThisProcess(now time.Duration, m Message) bool {
	return m.Requester == r.incarnation && m.RequestedAt <= now
}

// handleStateRequest records the member's acknowledgement, and responds with the state. If the member's state is newer
// than the leader's, the leader prepares a higher term instead.
func (r *Register) handleStateRequest(now time.Duration, m Message) []OutboundMessage {
	if r.role != roleLeading {
		return nil
	}
	if m.Version.Compare(r.state.version) > 0 { // the member has a state from before most of the fleet restarted
		r.prepare(max(m.Version.Term, r.promised.term) + 1)
		return nil
	}
	r.acknowledged[m.From] = m.Version
	return r.response(now, KindStateResponse, m)
}

// handleStateResponse adopts the leader's state unless this process has a newer state or one that it requested later.
func (r *Register) handleStateResponse(now time.Duration, m Message) {
	if !r.answersThisProcess(now, m) || m.From != r.leader || r.role != roleFollower {
		return
	}
	if m.Version.Compare(r.state.version) < 0 || m.RequestedAt < r.state.requestedAt {
		return
	}
	r.state.adopt(m)
	r.nextRequestAt = now + refreshInterval
}

// handleChangeNotice returns an immediate request for the leader's state if this process has another version.
func (r *Register) handleChangeNotice(now time.Duration, m Message) []OutboundMessage {
	if m.From != r.leader || r.role != roleFollower || m.Version == r.state.version {
		return nil
	}
	r.nextRequestAt = now
	return r.Tick(now)
}

// handlePrepare promises the requested term if it is higher than every term that this process has promised, and
// responds with the promise in effect and the state.
func (r *Register) handlePrepare(now time.Duration, m Message) []OutboundMessage {
	if m.From != r.leader || r.role != roleFollower {
		return nil
	}
	if m.Term > r.promised.term {
		r.promised = termPromise{term: m.Term, incarnation: m.Requester}
	}
	return r.response(now, KindPromise, m)
}

// handlePromise counts a promise of the current term and adopts the member's state if it is newer. If the member has
// promised a higher term, or this term to another process, this process prepares a higher term.
func (r *Register) handlePromise(now time.Duration, m Message) []OutboundMessage {
	if !r.answersThisProcess(now, m) || r.role != rolePreparing || !slices.Contains(r.members, m.From) {
		return nil
	}
	promisedElsewhere := m.Term == r.promised.term && m.PromisedTo != r.incarnation
	switch {
	case m.Term > r.promised.term || promisedElsewhere:
		r.prepare(m.Term + 1)
		return nil
	case m.Term < r.promised.term: // a response to an earlier request
		return nil
	}
	if m.Version.Compare(r.state.version) > 0 {
		r.state.adopt(m)
	}
	r.promises[m.From] = m.Version.Term > 0
	r.leadIfPromised()
	if r.role != roleLeading {
		return nil
	}
	return r.changeNotices(now)
}
