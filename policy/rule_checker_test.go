package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker follows the events given to one Balancer and its actions, and notes every broken rule. It shares no code
// with the package.
type checker struct {
	settings   Settings
	slack      time.Duration
	endpoints  map[string]Endpoint
	requests   map[string]*checkedRequest
	serialized []*checkedRequest // in the order of arrival
	broken     []string
}

type checkedRequest struct {
	id        string
	class     Class
	deadline  time.Duration
	key       uint64
	answered  bool
	settledAt time.Duration // an attempt may run on: no other request of the key may be sent before
	attempts  []*checkedAttempt
}

type checkedAttempt struct {
	endpoint string
	sentAt   time.Duration
	ended    bool
	result   AttemptResult
}

func newChecker(settings Settings) *checker {
	return &checker{
		settings:  settings,
		slack:     20 * msec,
		endpoints: map[string]Endpoint{},
		requests:  map[string]*checkedRequest{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (a *checkedAttempt) mayHaveRun() bool {
	return !a.ended || (a.result != Overloaded && a.result != ConnectFailed && a.result != NotSent)
}

func (r *checkedRequest) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *checkedAttempt) bool { return !a.ended })
}

// event takes an event before the Balancer gets it.
func (c *checker) event(now time.Duration, e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		c.updateEndpoints(e)
	case Request:
		c.addRequest(e)
	case AttemptEnded:
		c.endAttempt(now, e)
	case ClientDisconnected:
		if r := c.requests[e.ID]; r != nil {
			r.answered = true
		}
	case ShutdownDeadline:
		if r := c.requests[e.ID]; r != nil { // the answer is among the actions, before anything else happens
			r.deadline = min(r.deadline, now-c.slack)
		}
	}
	for id, r := range c.requests {
		if !r.answered && now > r.deadline+c.slack {
			c.fault("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.answered = true
		}
	}
}

func (c *checker) updateEndpoints(e EndpointUpdate) {
	if e.Snapshot {
		for id, ep := range c.endpoints {
			ep.State = Removed
			c.endpoints[id] = ep
		}
	}
	for _, ep := range e.Endpoints {
		c.endpoints[ep.ID] = ep
	}
}

func (c *checker) addRequest(e Request) {
	if c.requests[e.ID] != nil {
		return
	}
	class := Class{Idempotency: NotIdempotent}
	for _, known := range c.settings.Classes {
		if known.Name == e.Class {
			class = known
		}
	}
	r := &checkedRequest{class: class, deadline: e.Deadline, id: e.ID, key: e.Key}
	c.requests[e.ID] = r
	if class.SerializedByKey && e.HasKey {
		c.serialized = append(c.serialized, r)
	}
}

func (c *checker) endAttempt(now time.Duration, e AttemptEnded) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	if a.ended {
		return
	}
	a.ended, a.result = true, e.Result
	if e.Result == TimedOut || e.Result == ConnectionLost || e.Result == Canceled {
		r.settledAt = now + c.settings.KeySettleTime
	}
	r.answered = r.answered || e.Answered
}

// actions takes what the Balancer returned for the last event.
func (c *checker) actions(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			c.send(now, a)
		case Reject:
			c.reject(a)
		case Fail:
			c.answer(a.ID)
		}
	}
}

func (c *checker) reject(a Reject) {
	r := c.answer(a.ID)
	if r == nil {
		return
	}
	harmless := r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun() && !harmless {
			c.fault("rule 2: %s rejected though it may have run", a.ID)
		}
	}
}

// answer notes the final answer of a request; nil: it must have none.
func (c *checker) answer(id string) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered {
		c.fault("rule 1: final answer for %s, which is over or unknown", id)
		return nil
	}
	r.answered = true
	return r
}

func (c *checker) send(now time.Duration, a SendAttempt) {
	r := c.requests[a.ID]
	if r == nil || r.answered {
		c.fault("rule 1: sent %s, which is over or unknown", a.ID)
		return
	}
	target, known := c.endpoints[a.Endpoint]
	if !known || target.State != Ready {
		c.fault("rule 3: sent to %s, which is draining, removed or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.fault("more than %d attempts", c.settings.MaxAttempts)
	}
	c.checkOrder(now, r)
	c.checkPlacement(r, target)
	for _, earlier := range r.attempts {
		c.checkRetry(now, r, earlier, target)
	}
	r.attempts = append(r.attempts, &checkedAttempt{endpoint: a.Endpoint, sentAt: now})
}

// checkOrder finds requests of the same key that came first and are not over.
func (c *checker) checkOrder(now time.Duration, r *checkedRequest) {
	if !slices.Contains(c.serialized, r) {
		return
	}
	for _, earlier := range c.serialized[:slices.Index(c.serialized, r)] {
		if earlier.key == r.key && (!earlier.answered || earlier.inFlight() || now < earlier.settledAt) {
			c.fault("rule 5: %s sent before %s, which has its key, was over", r.id, earlier.id)
		}
	}
}

func (c *checker) checkPlacement(r *checkedRequest, target Endpoint) {
	if zones := r.class.AllowedZones; zones != nil && !slices.Contains(zones, target.Zone) {
		c.fault("rule 6: %s sent to zone %s", r.id, target.Zone)
	}
	if types := r.class.AllowedMachineTypes; types != nil && !slices.Contains(types, target.MachineType) {
		c.fault("rule 6: %s sent to machine type %s", r.id, target.MachineType)
	}
}

func (c *checker) checkRetry(now time.Duration, r *checkedRequest, earlier *checkedAttempt, target Endpoint) {
	if !earlier.ended {
		c.fault("two attempts at once of %s", r.id)
	}
	if !earlier.mayHaveRun() {
		return
	}
	switch r.class.Idempotency {
	case NotIdempotent:
		c.fault("rule 2: %s, which is not idempotent, sent again", r.id)
	case IdempotentWithKey:
		if now > earlier.sentAt+r.class.DeduplicationWindow {
			c.fault("rule 2: %s sent again outside its window", r.id)
		}
		first := c.endpoints[earlier.endpoint]
		if r.class.DeduplicationScope != ScopeAll && first.Zone != target.Zone ||
			r.class.DeduplicationScope == ScopeCell && first.Cell != target.Cell {
			c.fault("rule 2: %s sent again outside its scope", r.id)
		}
	}
}

// ruleSettings adds classes that are serialized by key or restricted to some endpoints.
func ruleSettings() Settings {
	set := testSettings()
	set.KeySettleTime = 30 * msec
	for _, c := range []Class{
		{
			Name:                "seq",
			Idempotency:         IdempotentWithKey,
			DeduplicationScope:  ScopeCell,
			DeduplicationWindow: 900 * msec,
			SerializedByKey:     true,
			AllowedZones:        []string{"z"},
		},
		{Name: "seq2", Idempotency: NotIdempotent, SerializedByKey: true},
		{Name: "kin", Idempotency: Idempotent, AllowedMachineTypes: []string{"k1", "k2"}},
		{
			Name:                "both",
			Idempotency:         IdempotentWithKey,
			DeduplicationScope:  ScopeZone,
			DeduplicationWindow: 300 * msec,
			AllowedMachineTypes: []string{"k1"},
			AllowedZones:        []string{"y"},
		},
		{Name: "none", Idempotency: Idempotent, AllowedMachineTypes: []string{"k9"}},
	} {
		c.LatencyObjective, c.Deadline, c.PriorityWeight = 500*msec, 1500*msec, 1
		set.Classes = append(set.Classes, c)
	}
	return set
}

// TestCheckerCanFail gives the checker a trace that breaks each rule.
func TestCheckerCanFail(t *testing.T) {
	list := EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{{ID: "a", Cell: 0, Zone: "z"},
		{ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	request := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Result: TimedOut}
	serialized := func(id string) Request {
		return Request{ID: id, Class: "seq", Deadline: 1000 * msec, Key: 4, HasKey: true}
	}
	ends := func(id string, result AttemptResult) AttemptEnded {
		return AttemptEnded{ID: id, Result: result, Answered: true}
	}
	send := func(id, endpoint string) SendAttempt { return SendAttempt{ID: id, Endpoint: endpoint} }
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 5: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s2", "a")}},
		{"rule 5: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s1", "a"),
			ClientDisconnected{ID: "s1"}, send("s2", "a")}},
		{"rule 5: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s1", "a"),
			ends("s1", ConnectionLost), 29 * msec, send("s2", "a")}},
		{"rule 6: r sent to zone", []any{list, request("seq"), send("r", "b")}},
		{"rule 6: r sent to machine type", []any{list, request("kin"), send("r", "b")}},
		{"rule 1: r has no answer", []any{list, request("get"), 2 * time.Second, TimerFired{}}},
		{"rule 1: final answer", []any{list, request("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, request("get"), Fail{ID: "r"}, send("r", "a")}},
		{"rule 2: r, which is not idempotent", []any{list, request("pay"), send("r", "a"), timedOut, send("r", "a")}},
		{"rule 2: r rejected", []any{list, request("pay"), send("r", "a"), timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{list, request("post"), send("r", "a"), 950 * msec, timedOut, send("r", "a")}},
		{"outside its scope", []any{list, request("post"), send("r", "a"), timedOut, send("r", "b")}},
		{"rule 3", []any{list, request("get"), send("r", "c")}},
		{"two attempts at once", []any{list, request("get"), send("r", "a"), send("r", "b")}},
	} {
		c := newChecker(ruleSettings())
		var now time.Duration
		for _, step := range tc.steps {
			switch step := step.(type) {
			case time.Duration:
				now = step
			case Event:
				c.event(now, step)
			case Action:
				c.actions(now, []Action{step})
			}
		}
		if !strings.Contains(strings.Join(c.broken, "\n"), tc.want) {
			t.Errorf("want %q among %q", tc.want, c.broken)
		}
	}
}
