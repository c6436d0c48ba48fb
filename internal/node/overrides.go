package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"keelusher/internal/membership"
	"keelusher/internal/overrides"
)

const (
	overridesTick        = 100 * time.Millisecond
	leaderReplyTimeout   = 800 * time.Millisecond // for the leader's word; the door answers within a second
	overridesQueueLength = 256
	maxOverrideBody      = 4 << 10    // bytes of a call's body
	kindEvacuate         = "evacuate" // the kind that there is: Scope names a zone that gets nothing
)

// overrides is the host of the register: it brings messages to it and from it, asks the leader on behalf of the door, and
// keeps the loop told of what is in force. Its goroutine alone uses the register. Off unless the fleet configuration has
// [orders].
type overridesHost struct {
	loop         *eventLoop
	self         string
	register     *overrides.Register
	membership   *atomic.Pointer[membership.Mesh]
	messages     chan envelope
	tasks        chan func(now time.Duration)
	ended        chan struct{}
	lastCall     uint64
	pendingCalls map[uint64]chan overrideAnswer // asked of a leader
	view         membership.View
}

// envelope is what hosts say to each other: a register's message, a call for the leader, or its reply.
type envelope struct {
	from     string
	Register *overrides.Message `json:"r,omitempty"`
	Call     *overrideCall      `json:"c,omitempty"`
	Reply    *overrideReply     `json:"a,omitempty"`
}

// overrideCall is what an operator asks at a door.
type overrideCall struct {
	Number   uint64             `json:"n"`
	ID       string             `json:"id"`
	Revoke   bool               `json:"x,omitempty"`
	Override overrides.Override `json:"is"`
	Duration time.Duration      `json:"for"`
	Replaces *overrides.Version `json:"replaces,omitempty"`
}

type overrideReply struct {
	Number uint64 `json:"n"`
	overrideAnswer
}

// overrideAnswer is an answer at the door.
type overrideAnswer struct {
	Status int             `json:"s"`
	Body   json.RawMessage `json:"b"`
}

func (n *Node) newOverrides(process uint64) *overridesHost {
	return &overridesHost{loop: n.loop, self: n.cfg.Name, register: overrides.New(n.cfg.Name, process), membership: &n.membership, messages: make(chan envelope, overridesQueueLength),
		tasks: make(chan func(time.Duration)), ended: make(chan struct{}), pendingCalls: map[uint64]chan overrideAnswer{}}
}

// deliver takes a body from the mesh; one that finds no room is lost, and asked for again.
func (o *overridesHost) deliver(from string, body []byte) {
	e := envelope{from: from}
	if json.Unmarshal(body, &e) != nil {
		return
	}
	select {
	case o.messages <- e:
	default:
	}
}

// run owns the register until ctx ends. Without it what is in force still ends in the loop.
func (o *overridesHost) run(ctx context.Context) {
	defer close(o.ended)
	tick := time.NewTicker(overridesTick)
	defer tick.Stop()
	for {
		now := o.loop.clock.now
		select {
		case e := <-o.messages:
			o.updateLeader(now())
			o.handleEnvelope(now(), e)
		case f := <-o.tasks:
			o.updateLeader(now())
			f(now())
		case <-tick.C:
			o.updateLeader(now())
		case <-ctx.Done():
			return
		}
		o.publish(now())
	}
}

// updateLeader takes over whom the mesh has for the leader: each time, since a process that slept knows of none.
func (o *overridesHost) updateLeader(now time.Duration) {
	if m := o.membership.Load(); m != nil {
		o.view = m.View()
		o.sendMessages(o.register.UpdateMembership(now, o.view.Leader, o.view.MemberList))
	}
}

func (o *overridesHost) sendMessages(out []overrides.OutboundMessage) {
	for _, m := range out {
		o.send(m.To, envelope{Register: &m.Message})
	}
}

func (o *overridesHost) send(to string, e envelope) {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values
	}
	if m := o.membership.Load(); m != nil {
		m.Send(to, text)
	}
}

func (o *overridesHost) handleEnvelope(now time.Duration, e envelope) {
	switch {
	case e.Register != nil:
		e.Register.From = e.from
		o.sendMessages(o.register.Handle(now, *e.Register))
	case e.Call != nil:
		o.send(e.from, envelope{Reply: &overrideReply{e.Call.Number, o.decideAsLeader(now, *e.Call)}})
	case e.Reply != nil:
		if c := o.pendingCalls[e.Reply.Number]; c != nil && e.from == o.view.Leader {
			delete(o.pendingCalls, e.Reply.Number)
			c <- e.Reply.overrideAnswer
		}
	}
}

// decideAsLeader answers a call as the leader.
func (o *overridesHost) decideAsLeader(now time.Duration, c overrideCall) overrideAnswer {
	if c.Revoke {
		mark, out, err := o.register.Revoke(now, c.ID)
		o.sendMessages(out)
		return newOverrideAnswer(err, map[string]any{"id": c.ID, "revoked": mark})
	}
	if c.Override.Kind != kindEvacuate {
		return newOverrideAnswer(fmt.Errorf("kind %q is none of: %s", c.Override.Kind, kindEvacuate), nil)
	}
	f, out, err := o.register.Put(now, c.ID, c.Override, c.Duration, c.Replaces)
	o.sendMessages(out)
	return newOverrideAnswer(err, f)
}

// newOverrideAnswer words an answer; the body says what is wrong.
func newOverrideAnswer(err error, body any) overrideAnswer {
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.Is(err, overrides.ErrNoQuorum), errors.Is(err, overrides.ErrLeaderNotReady):
		status = http.StatusServiceUnavailable
	case errors.Is(err, overrides.ErrIDInUse), errors.Is(err, overrides.ErrRegisterFull):
		status = http.StatusConflict
	case errors.Is(err, overrides.ErrNotFound):
		status = http.StatusNotFound
	default:
		status = http.StatusBadRequest
	}
	if err != nil {
		body = map[string]string{"error": err.Error()}
	}
	text, _ := json.Marshal(body) // plain values
	return overrideAnswer{status, text}
}

// publish gives the loop what is in force; only the newest word counts.
func (o *overridesHost) publish(now time.Duration) {
	until := map[string]time.Duration{}
	for _, f := range o.register.InForce(now) {
		if f.Override.Kind == kindEvacuate {
			until[f.Override.Scope] = max(until[f.Override.Scope], now+f.Remaining)
		}
	}
	select {
	case <-o.loop.overrideUpdates: // an older word
	default:
	}
	o.loop.overrideUpdates <- until // has room: only this goroutine sends
}

// runTask runs f in the host's goroutine; false: it has ended.
func (o *overridesHost) runTask(f func(now time.Duration)) bool {
	select {
	case o.tasks <- f:
		return true
	case <-o.ended:
		return false
	}
}

// ServeHTTP answers /control/overrides and /control/overrides/ID.
func (o *overridesHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.Trim(strings.TrimPrefix(r.URL.Path, "/control/overrides"), "/")
	got := make(chan overrideAnswer, 1)
	var do func(now time.Duration)
	switch {
	case r.Method == http.MethodGet && id == "":
		do = func(now time.Duration) { got <- newOverrideAnswer(nil, o.page(now)) }
	case (r.Method == http.MethodPut || r.Method == http.MethodDelete) && id != "":
		c, here, err := readOverrideCall(r, id)
		if err != nil {
			got <- newOverrideAnswer(err, nil)
			do = func(time.Duration) {}
			break
		}
		do = func(now time.Duration) { o.handleCall(now, c, here, got) }
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	a := overrideAnswer{http.StatusServiceUnavailable, json.RawMessage(`{"error":"the leader does not answer; ask again, the id makes it safe"}`)}
	if o.runTask(do) {
		select {
		case a = <-got:
		case <-time.After(leaderReplyTimeout):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	w.Write(append(a.Body, '\n')) // fails only as the caller leaves
}

// readOverrideCall reads what an operator asks; for is a length of time such as 10m.
func readOverrideCall(r *http.Request, id string) (c overrideCall, here bool, err error) {
	c = overrideCall{ID: id, Revoke: r.Method == http.MethodDelete}
	if c.Revoke {
		return c, false, nil
	}
	var body struct {
		overrides.Override
		For      string             `json:"for"`
		Replaces *overrides.Version `json:"replaces"`
	}
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxOverrideBody))
	d.DisallowUnknownFields()
	if err = d.Decode(&body); err != nil {
		return c, false, fmt.Errorf("body: %w", err)
	}
	c.Override, c.Replaces = body.Override, body.Replaces
	if c.Duration, err = time.ParseDuration(body.For); err != nil {
		return c, false, fmt.Errorf("for: %w", err)
	}
	return c, r.URL.Query().Get("here") == "yes", nil
}

// handleCall decides here, as the leader or for this process alone, or asks the leader.
func (o *overridesHost) handleCall(now time.Duration, c overrideCall, here bool, got chan overrideAnswer) {
	switch {
	case here:
		got <- newOverrideAnswer(o.register.PutLocal(now, c.ID, c.Override, c.Duration), map[string]any{"id": c.ID, "here": true})
	case o.view.Leader == o.self:
		got <- o.decideAsLeader(now, c)
	case o.view.Leader == "":
		got <- newOverrideAnswer(overrides.ErrNoQuorum, nil)
	default:
		o.lastCall++
		c.Number = o.lastCall
		o.pendingCalls[c.Number] = got
		delete(o.pendingCalls, c.Number-overridesQueueLength) // nobody waits for one so old
		o.send(o.view.Leader, envelope{Call: &c})
	}
}

// page is what the door shows.
func (o *overridesHost) page(now time.Duration) any {
	return map[string]any{"leader": o.view.Leader, "mark": o.register.Version(), "confirmed_ns_ago": o.register.StateAge(now), "lacking": o.register.UnacknowledgedMembers(o.register.Version()),
		"in_force": append([]overrides.Entry{}, o.register.InForce(now)...)}
}
