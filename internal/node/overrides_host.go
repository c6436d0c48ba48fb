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
	overridesQueueLength = 256        // messages of other hosts
	maxPendingCalls      = 256        // to the leader; older ones have timed out
	kindEvacuate         = "evacuate" // the only kind; its scope names a zone that gets nothing
)

// overridesHost is the host of the register of overrides: it brings messages to it and from it, asks the leader on
// behalf of the admin endpoint, and keeps the event loop notified of the overrides in force. It exists only if the
// fleet configuration asks for overrides.
type overridesHost struct {
	loop       *eventLoop
	self       string
	membership *atomic.Pointer[membership.Mesh]
	messages   chan envelope                // from other hosts; run receives them
	tasks      chan func(now time.Duration) // run in the host's goroutine
	ended      chan struct{}                // closed by run as it returns

	// State that only the host's goroutine uses.
	register     *overrides.Register
	view         membership.View
	lastCall     uint64
	pendingCalls map[uint64]chan<- overrideAnswer // calls to the leader, by number
}

// envelope is a message between hosts. It holds one of: a message of the registers, a call to the leader, its reply.
type envelope struct {
	from     string
	Register *overrides.Message `json:"r,omitempty"`
	Call     *overrideCall      `json:"c,omitempty"`
	Reply    *overrideReply     `json:"a,omitempty"`
}

// overrideCall is what an operator asks at an admin endpoint.
type overrideCall struct {
	Number   uint64             `json:"n"`
	ID       string             `json:"id"`
	Revoke   bool               `json:"x,omitempty"`
	Override overrides.Override `json:"is"`
	Duration time.Duration      `json:"for"`
	Replaces *overrides.Version `json:"replaces,omitempty"`
}

// overrideReply is the leader's answer to a call.
type overrideReply struct {
	Number uint64 `json:"n"`
	overrideAnswer
}

// overrideAnswer is an answer of the admin endpoint.
type overrideAnswer struct {
	Status int             `json:"s"`
	Body   json.RawMessage `json:"b"`
}

// The bodies of answers. Their fields are in the order of their keys.
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

// deliver takes a message from the membership. A malformed one is dropped; so is one for which the queue has no space,
// which is asked for again.
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

// run handles messages and tasks until ctx ends. Without it the overrides in force still expire in the event loop.
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

// runTask runs f in the host's goroutine. It returns false if the host has ended.
func (o *overridesHost) runTask(f func(now time.Duration)) bool {
	select {
	case o.tasks <- f:
		return true
	case <-o.ended:
		return false
	}
}

// updateMembership takes over the view of the membership before each message: after a suspension of the process it has
// no leader.
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

// mustMarshal marshals a value that cannot fail to.
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

// handleCall answers another host that takes this one for the leader.
func (o *overridesHost) handleCall(now time.Duration, from string, call overrideCall) {
	answer := o.decideAsLeader(now, call)
	o.send(from, envelope{Reply: &overrideReply{Number: call.Number, overrideAnswer: answer}})
}

// handleReply passes the leader's answer to the operator who waits for it.
func (o *overridesHost) handleReply(from string, reply overrideReply) {
	pending := o.pendingCalls[reply.Number]
	if pending == nil || from != o.view.Leader {
		return
	}
	delete(o.pendingCalls, reply.Number)
	pending <- reply.overrideAnswer // has space for the one answer
}

// decideAsLeader answers a call as the leader.
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

// newOverrideAnswer makes an answer of a body, or of the error in its place.
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

// publish gives the event loop the overrides in force, in place of what it has not received yet.
func (o *overridesHost) publish(now time.Duration) {
	expiries := zoneExpiries{}
	for _, entry := range o.register.InForce(now) {
		if entry.Override.Kind == kindEvacuate {
			zone := entry.Override.Scope
			expiries[zone] = max(expiries[zone], now+entry.Remaining)
		}
	}
	select {
	case <-o.loop.overrideUpdates: // outdated
	default:
	}
	o.loop.overrideUpdates <- expiries // has space: only this goroutine sends
}

// startCall decides here, as the leader or for this process alone, or asks the leader. The answer goes to answers,
// which must have space for it.
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

// page is the state of the register that operators read.
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
