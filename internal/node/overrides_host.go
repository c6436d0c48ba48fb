package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"keelusher/internal/membership"
	"keelusher/internal/overrides"
)

const (
	overridesTick        = 100 * time.Millisecond
	overridesQueueLength = 256        // messages from other members
	maxPendingCalls      = 256        // calls that wait for the leader; older ones have timed out
	kindEvacuate         = "evacuate" // the only kind of override; its scope names the zone to evacuate
)

// overridesHost runs this process's register of overrides: it passes messages between the register and other members,
// forwards operators' calls to the leader, and notifies the event loop of the overrides in force. It exists only if the
// fleet configuration turns overrides on.
type overridesHost struct {
	loop       *eventLoop
	self       string
	membership *atomic.Pointer[membership.Mesh]
	messages   chan envelope                // from other members; run receives them
	tasks      chan func(now time.Duration) // run in the host's goroutine
	ended      chan struct{}                // closed by run as it returns

	// State that only the host's goroutine uses.
	register     *overrides.Register
	view         membership.View
	lastCall     uint64
	pendingCalls map[uint64]chan<- overrideAnswer // where the leader's answers go, by number of the call
}

// envelope is a message between the hosts of two members. It holds exactly one of: a message between registers, a call
// to the leader, the leader's reply.
type envelope struct {
	from     string
	Register *overrides.Message `json:"r,omitempty"`
	Call     *overrideCall      `json:"c,omitempty"`
	Reply    *overrideReply     `json:"a,omitempty"`
}

// overrideCall is an operator's request to put or revoke an override.
type overrideCall struct {
	Number   uint64             `json:"n"`
	ID       string             `json:"id"`
	Revoke   bool               `json:"x,omitempty"`
	Override overrides.Override `json:"is"`
	Duration time.Duration      `json:"for"`
	Replaces *overrides.Version `json:"replaces,omitempty"`
}

// overrideReply carries the leader's answer to the member that forwarded the call with that number.
type overrideReply struct {
	Number uint64 `json:"n"`
	overrideAnswer
}

// overrideAnswer is an HTTP answer of the admin endpoint.
type overrideAnswer struct {
	Status int             `json:"s"`
	Body   json.RawMessage `json:"b"`
}

// The bodies of answers. Their fields are in alphabetical order of the JSON keys.
type (
	overrideRevoked struct {
		ID      string            `json:"id"`
		Revoked overrides.Version `json:"revoked"`
	}
	overridePutLocal struct {
		Here bool   `json:"here"`
		ID   string `json:"id"`
	}
	overrideFailed struct {
		Error string `json:"error"`
	}
	overridesPage struct {
		StateAge              time.Duration     `json:"confirmed_ns_ago"`
		InForce               []overrides.Entry `json:"in_force"`
		UnacknowledgedMembers []string          `json:"lacking"`
		Leader                string            `json:"leader"`
		Version               overrides.Version `json:"mark"`
	}
)

func (n *Node) newOverridesHost(process uint64) *overridesHost {
	return &overridesHost{
		loop:         n.loop,
		self:         n.cfg.Name,
		register:     overrides.New(n.cfg.Name, process),
		membership:   &n.membership,
		messages:     make(chan envelope, overridesQueueLength),
		tasks:        make(chan func(time.Duration)),
		ended:        make(chan struct{}),
		pendingCalls: map[uint64]chan<- overrideAnswer{},
	}
}

// deliver queues a message that the membership has received. It drops a malformed message, and any message while the
// queue is full: the registers request lost states again.
func (o *overridesHost) deliver(from string, body []byte) {
	message := envelope{from: from}
	if json.Unmarshal(body, &message) != nil {
		return
	}
	select {
	case o.messages <- message:
	default:
	}
}

// run handles messages and tasks until ctx ends. The event loop ends overrides at their expiry, even if run is delayed
// or has returned.
func (o *overridesHost) run(ctx context.Context) {
	defer close(o.ended)
	ticker := time.NewTicker(overridesTick)
	defer ticker.Stop()
	now := o.loop.clock.now
	for {
		select {
		case message := <-o.messages:
			o.updateMembership(now())
			o.handleEnvelope(now(), message)
		case task := <-o.tasks:
			o.updateMembership(now())
			task(now())
		case <-ticker.C:
			o.updateMembership(now())
		case <-ctx.Done():
			return
		}
		o.publish(now())
	}
}

// runTask passes f to the host's goroutine and does not wait until f has returned. It returns false if the host has
// ended.
func (o *overridesHost) runTask(f func(now time.Duration)) bool {
	select {
	case o.tasks <- f:
		return true
	case <-o.ended:
		return false
	}
}

// updateMembership passes the membership's current view to the register. It is called before each message is handled,
// so that after a suspension of the process the register first learns that the view no longer has a leader.
func (o *overridesHost) updateMembership(now time.Duration) {
	if joined := o.membership.Load(); joined != nil {
		o.view = joined.View()
		o.sendMessages(o.register.UpdateMembership(now, o.view.Leader, o.view.MemberList))
	}
}

func (o *overridesHost) sendMessages(messages []overrides.OutboundMessage) {
	for _, message := range messages {
		o.send(message.To, envelope{Register: &message.Message})
	}
}

func (o *overridesHost) send(to string, message envelope) {
	text := mustMarshal(message)
	if joined := o.membership.Load(); joined != nil {
		joined.Send(to, text)
	}
}

// mustMarshal marshals a value whose type cannot cause an error.
func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func (o *overridesHost) handleEnvelope(now time.Duration, message envelope) {
	switch {
	case message.Register != nil:
		message.Register.From = message.from
		o.sendMessages(o.register.Handle(now, *message.Register))
	case message.Call != nil:
		o.handleCall(now, message.from, *message.Call)
	case message.Reply != nil:
		o.handleReply(message.from, *message.Reply)
	}
}

// handleCall answers a call from a member that regards this process as the leader.
func (o *overridesHost) handleCall(now time.Duration, from string, call overrideCall) {
	answer := o.decideAsLeader(now, call)
	o.send(from, envelope{Reply: &overrideReply{Number: call.Number, overrideAnswer: answer}})
}

// handleReply passes the leader's answer on to the operator's request that waits for it.
func (o *overridesHost) handleReply(from string, reply overrideReply) {
	pending := o.pendingCalls[reply.Number]
	if pending == nil || from != o.view.Leader {
		return
	}
	delete(o.pendingCalls, reply.Number)
	pending <- reply.overrideAnswer // does not block: the channel has space for the one answer
}

// decideAsLeader applies a call to the register and returns the answer. The register rejects the call if this process
// does not lead.
func (o *overridesHost) decideAsLeader(now time.Duration, call overrideCall) overrideAnswer {
	if call.Revoke {
		version, messages, err := o.register.Revoke(now, call.ID)
		o.sendMessages(messages)
		return newOverrideAnswer(err, overrideRevoked{ID: call.ID, Revoked: version})
	}
	if call.Override.Kind != kindEvacuate {
		return newOverrideAnswer(fmt.Errorf("kind %q is none of: %s", call.Override.Kind, kindEvacuate), nil)
	}
	entry, messages, err := o.register.Put(now, call.ID, call.Override, call.Duration, call.Replaces)
	o.sendMessages(messages)
	return newOverrideAnswer(err, entry)
}

// newOverrideAnswer returns an answer with the body, or with the error if there is one.
func newOverrideAnswer(err error, body any) overrideAnswer {
	if err != nil {
		return overrideAnswer{Status: overrideErrorStatus(err), Body: mustMarshal(overrideFailed{Error: err.Error()})}
	}
	return overrideAnswer{Status: http.StatusOK, Body: mustMarshal(body)}
}

func overrideErrorStatus(err error) int {
	switch {
	case errors.Is(err, overrides.ErrNoQuorum), errors.Is(err, overrides.ErrLeaderNotReady):
		return http.StatusServiceUnavailable
	case errors.Is(err, overrides.ErrIDInUse), errors.Is(err, overrides.ErrRegisterFull):
		return http.StatusConflict
	case errors.Is(err, overrides.ErrNotFound):
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// publish sends the overrides in force to the event loop. They replace those that the loop has not received yet.
func (o *overridesHost) publish(now time.Duration) {
	expiries := zoneExpiries{}
	for _, entry := range o.register.InForce(now) {
		if entry.Override.Kind == kindEvacuate {
			zone := entry.Override.Scope
			expiries[zone] = max(expiries[zone], now+entry.Remaining)
		}
	}
	select {
	case <-o.loop.overrideUpdates: // discard the outdated ones
	default:
	}
	o.loop.overrideUpdates <- expiries // does not block: only this goroutine sends
}

// startCall carries out a call in this process if local is set or if this process leads. Otherwise it forwards the call
// to the leader. The answer is sent to the channel answers, which must have space for it.
func (o *overridesHost) startCall(now time.Duration, call overrideCall, local bool, answers chan<- overrideAnswer) {
	switch {
	case local:
		err := o.register.PutLocal(now, call.ID, call.Override, call.Duration)
		answers <- newOverrideAnswer(err, overridePutLocal{Here: true, ID: call.ID})
	case o.view.Leader == o.self:
		answers <- o.decideAsLeader(now, call)
	case o.view.Leader == "":
		answers <- newOverrideAnswer(overrides.ErrNoQuorum, nil)
	default:
		o.lastCall++
		call.Number = o.lastCall
		o.pendingCalls[call.Number] = answers
		delete(o.pendingCalls, call.Number-maxPendingCalls)
		o.send(o.view.Leader, envelope{Call: &call})
	}
}

// page returns the state of the register that operators read.
func (o *overridesHost) page(now time.Duration) overridesPage {
	version := o.register.Version()
	return overridesPage{
		StateAge:              o.register.StateAge(now),
		InForce:               append([]overrides.Entry{}, o.register.InForce(now)...),
		UnacknowledgedMembers: o.register.UnacknowledgedMembers(version),
		Leader:                o.view.Leader,
		Version:               version,
	}
}
