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
	orderTick  = 100 * time.Millisecond
	orderWait  = 800 * time.Millisecond // for the leader's word; the door answers within a second
	orderMails = 256
	mostOrder  = 4 << 10    // bytes of a call's body
	evacuate   = "evacuate" // the kind that there is: Scope names a zone that gets nothing
)

// overrides is the host of the register: it brings messages to it and from it, asks the leader on behalf of the door, and
// keeps the loop told of what is in force. Its goroutine alone uses the register. Off unless the fleet configuration has
// [orders].
type overridesHost struct {
	loop  *loop
	self  string
	reg   *overrides.Register
	mesh  *atomic.Pointer[membership.Mesh]
	mail  chan envelope
	asks  chan func(now time.Duration)
	ended chan struct{}
	n     uint64
	calls map[uint64]chan answered // asked of a leader
	view  membership.View
}

// envelope is what hosts say to each other: a register's message, a call for the leader, or its reply.
type envelope struct {
	from     string
	Register *overrides.Message `json:"r,omitempty"`
	Call     *orderCall         `json:"c,omitempty"`
	Reply    *orderReply        `json:"a,omitempty"`
}

// orderCall is what an operator asks at a door.
type orderCall struct {
	N        uint64             `json:"n"`
	ID       string             `json:"id"`
	Revoke   bool               `json:"x,omitempty"`
	Is       overrides.Override `json:"is"`
	For      time.Duration      `json:"for"`
	Replaces *overrides.Version `json:"replaces,omitempty"`
}

type orderReply struct {
	N uint64 `json:"n"`
	answered
}

// answered is an answer at the door.
type answered struct {
	Status int             `json:"s"`
	Body   json.RawMessage `json:"b"`
}

func (n *Node) newOverrides(process uint64) *overridesHost {
	return &overridesHost{loop: n.loop, self: n.cfg.Name, reg: overrides.New(n.cfg.Name, process), mesh: &n.mesh, mail: make(chan envelope, orderMails),
		asks: make(chan func(time.Duration)), ended: make(chan struct{}), calls: map[uint64]chan answered{}}
}

// deliver takes a body from the mesh; one that finds no room is lost, and asked for again.
func (o *overridesHost) deliver(from string, body []byte) {
	e := envelope{from: from}
	if json.Unmarshal(body, &e) != nil {
		return
	}
	select {
	case o.mail <- e:
	default:
	}
}

// run owns the register until ctx ends. Without it what is in force still ends in the loop.
func (o *overridesHost) run(ctx context.Context) {
	defer close(o.ended)
	tick := time.NewTicker(orderTick)
	defer tick.Stop()
	for {
		now := o.loop.clock.now
		select {
		case e := <-o.mail:
			o.look(now())
			o.hear(now(), e)
		case f := <-o.asks:
			o.look(now())
			f(now())
		case <-tick.C:
			o.look(now())
		case <-ctx.Done():
			return
		}
		o.show(now())
	}
}

// look takes over whom the mesh has for the leader: each time, since a process that slept knows of none.
func (o *overridesHost) look(now time.Duration) {
	if m := o.mesh.Load(); m != nil {
		o.view = m.View()
		o.say(o.reg.UpdateMembership(now, o.view.Leader, o.view.MemberList))
	}
}

func (o *overridesHost) say(out []overrides.OutboundMessage) {
	for _, m := range out {
		o.tell(m.To, envelope{Register: &m.Message})
	}
}

func (o *overridesHost) tell(to string, e envelope) {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values
	}
	if m := o.mesh.Load(); m != nil {
		m.Send(to, text)
	}
}

func (o *overridesHost) hear(now time.Duration, e envelope) {
	switch {
	case e.Register != nil:
		e.Register.From = e.from
		o.say(o.reg.Handle(now, *e.Register))
	case e.Call != nil:
		o.tell(e.from, envelope{Reply: &orderReply{e.Call.N, o.decide(now, *e.Call)}})
	case e.Reply != nil:
		if c := o.calls[e.Reply.N]; c != nil && e.from == o.view.Leader {
			delete(o.calls, e.Reply.N)
			c <- e.Reply.answered
		}
	}
}

// decide answers a call as the leader.
func (o *overridesHost) decide(now time.Duration, c orderCall) answered {
	if c.Revoke {
		mark, out, err := o.reg.Revoke(now, c.ID)
		o.say(out)
		return answerOf(err, map[string]any{"id": c.ID, "revoked": mark})
	}
	if c.Is.Kind != evacuate {
		return answerOf(fmt.Errorf("kind %q is none of: %s", c.Is.Kind, evacuate), nil)
	}
	f, out, err := o.reg.Put(now, c.ID, c.Is, c.For, c.Replaces)
	o.say(out)
	return answerOf(err, f)
}

// answerOf words an answer; the body says what is wrong.
func answerOf(err error, body any) answered {
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
	return answered{status, text}
}

// show gives the loop what is in force; only the newest word counts.
func (o *overridesHost) show(now time.Duration) {
	until := map[string]time.Duration{}
	for _, f := range o.reg.InForce(now) {
		if f.Override.Kind == evacuate {
			until[f.Override.Scope] = max(until[f.Override.Scope], now+f.Remaining)
		}
	}
	select {
	case <-o.loop.ordered: // an older word
	default:
	}
	o.loop.ordered <- until // has room: only this goroutine sends
}

// ask runs f in the host's goroutine; false: it has ended.
func (o *overridesHost) ask(f func(now time.Duration)) bool {
	select {
	case o.asks <- f:
		return true
	case <-o.ended:
		return false
	}
}

// ServeHTTP answers /control/overrides and /control/overrides/ID.
func (o *overridesHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.Trim(strings.TrimPrefix(r.URL.Path, "/control/overrides"), "/")
	got := make(chan answered, 1)
	var do func(now time.Duration)
	switch {
	case r.Method == http.MethodGet && id == "":
		do = func(now time.Duration) { got <- answerOf(nil, o.figures(now)) }
	case (r.Method == http.MethodPut || r.Method == http.MethodDelete) && id != "":
		c, here, err := readCall(r, id)
		if err != nil {
			got <- answerOf(err, nil)
			do = func(time.Duration) {}
			break
		}
		do = func(now time.Duration) { o.call(now, c, here, got) }
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	a := answered{http.StatusServiceUnavailable, json.RawMessage(`{"error":"the leader does not answer; ask again, the id makes it safe"}`)}
	if o.ask(do) {
		select {
		case a = <-got:
		case <-time.After(orderWait):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	w.Write(append(a.Body, '\n')) // fails only as the caller leaves
}

// readCall reads what an operator asks; for is a length of time such as 10m.
func readCall(r *http.Request, id string) (c orderCall, here bool, err error) {
	c = orderCall{ID: id, Revoke: r.Method == http.MethodDelete}
	if c.Revoke {
		return c, false, nil
	}
	var body struct {
		overrides.Override
		For      string             `json:"for"`
		Replaces *overrides.Version `json:"replaces"`
	}
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, mostOrder))
	d.DisallowUnknownFields()
	if err = d.Decode(&body); err != nil {
		return c, false, fmt.Errorf("body: %w", err)
	}
	c.Is, c.Replaces = body.Override, body.Replaces
	if c.For, err = time.ParseDuration(body.For); err != nil {
		return c, false, fmt.Errorf("for: %w", err)
	}
	return c, r.URL.Query().Get("here") == "yes", nil
}

// call decides here, as the leader or for this process alone, or asks the leader.
func (o *overridesHost) call(now time.Duration, c orderCall, here bool, got chan answered) {
	switch {
	case here:
		got <- answerOf(o.reg.PutLocal(now, c.ID, c.Is, c.For), map[string]any{"id": c.ID, "here": true})
	case o.view.Leader == o.self:
		got <- o.decide(now, c)
	case o.view.Leader == "":
		got <- answerOf(overrides.ErrNoQuorum, nil)
	default:
		o.n++
		c.N = o.n
		o.calls[c.N] = got
		delete(o.calls, c.N-orderMails) // nobody waits for one so old
		o.tell(o.view.Leader, envelope{Call: &c})
	}
}

// figures is what the door shows.
func (o *overridesHost) figures(now time.Duration) any {
	return map[string]any{"leader": o.view.Leader, "mark": o.reg.Version(), "confirmed_ns_ago": o.reg.StateAge(now), "lacking": o.reg.UnacknowledgedMembers(o.reg.Version()),
		"in_force": append([]overrides.Entry{}, o.reg.InForce(now)...)}
}
