package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker is given the events of one Balancer and its actions, and records every violation of a rule:
//   - final answer: each request gets one by its deadline, and no attempt after it
//   - unsafe retry: a request that may have run is sent again, or rejected, only if a second run does no harm
//   - unavailable endpoint: attempts go to ready endpoints only
//   - key order: requests of one key that are serialized run one at a time, in the order of arrival
//   - placement: attempts go to zones and machine types that the class may use
//   - attempts: a request has one at a time, and no more than the settings allow
//
// It shares no code with the package.
type checker struct {
	settings   Settings
	slack      time.Duration // time after its deadline in which a request may be answered
	endpoints  map[string]Endpoint
	requests   map[string]*checkedRequest
	serialized []*checkedRequest // in the order of arrival
	violations []string
}

type checkedRequest struct {
	id        string
	class     Class
	deadline  time.Duration
	key       uint64
	answered  bool
	settledAt time.Duration // no other request of the key may be sent before this, since an attempt may still run
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

func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (a *checkedAttempt) mayHaveRun() bool {
	return !a.ended || (a.result != Overloaded && a.result != ConnectFailed && a.result != NotSent)
}

func (r *checkedRequest) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *checkedAttempt) bool { return !a.ended })
}

// event takes an event before the Balancer handles it.
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
		if r := c.requests[e.ID]; r != nil { // the answer must be among the actions for this event
			r.deadline = min(r.deadline, now-c.slack)
		}
	}
	for id, r := range c.requests {
		if !r.answered && now > r.deadline+c.slack {
			c.report("final answer: %s has none %v after its deadline", id, now-r.deadline)
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

// actions takes the actions that the Balancer returned for the last event.
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
			c.report("unsafe retry: %s rejected though it may have run", a.ID)
		}
	}
}

// answer records the final answer of a request. It returns nil if the request must not get one.
func (c *checker) answer(id string) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered {
		c.report("final answer: given to %s, which is answered or unknown", id)
		return nil
	}
	r.answered = true
	return r
}

func (c *checker) send(now time.Duration, a SendAttempt) {
	r := c.requests[a.ID]
	if r == nil || r.answered {
		c.report("final answer: attempt sent for %s, which is answered or unknown", a.ID)
		return
	}
	target, known := c.endpoints[a.Endpoint]
	if !known || target.State != Ready {
		c.report("unavailable endpoint: attempt sent to %s, which is draining, removed or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.report("attempts: more than %d of one request", c.settings.MaxAttempts)
	}
	c.checkOrder(now, r)
	c.checkPlacement(r, target)
	for _, earlier := range r.attempts {
		c.checkRetry(now, r, earlier, target)
	}
	r.attempts = append(r.attempts, &checkedAttempt{endpoint: a.Endpoint, sentAt: now})
}

// checkOrder reports requests of the same key that arrived earlier and are not over.
func (c *checker) checkOrder(now time.Duration, r *checkedRequest) {
	if !slices.Contains(c.serialized, r) {
		return
	}
	for _, earlier := range c.serialized[:slices.Index(c.serialized, r)] {
		if earlier.key == r.key && (!earlier.answered || earlier.inFlight() || now < earlier.settledAt) {
			c.report("key order: %s sent before %s, which has the same key, was over", r.id, earlier.id)
		}
	}
}

func (c *checker) checkPlacement(r *checkedRequest, target Endpoint) {
	if zones := r.class.AllowedZones; zones != nil && !slices.Contains(zones, target.Zone) {
		c.report("placement: %s sent to zone %s", r.id, target.Zone)
	}
	if types := r.class.AllowedMachineTypes; types != nil && !slices.Contains(types, target.MachineType) {
		c.report("placement: %s sent to machine type %s", r.id, target.MachineType)
	}
}

func (c *checker) checkRetry(now time.Duration, r *checkedRequest, earlier *checkedAttempt, target Endpoint) {
	if !earlier.ended {
		c.report("attempts: two at once of %s", r.id)
	}
	if !earlier.mayHaveRun() {
		return
	}
	switch r.class.Idempotency {
	case NotIdempotent:
		c.report("unsafe retry: %s, which is not idempotent, sent again", r.id)
	case IdempotentWithKey:
		if now > earlier.sentAt+r.class.DeduplicationWindow {
			c.report("unsafe retry: %s sent again outside its deduplication window", r.id)
		}
		first := c.endpoints[earlier.endpoint]
		if r.class.DeduplicationScope != ScopeAll && first.Zone != target.Zone ||
			r.class.DeduplicationScope == ScopeCell && first.Cell != target.Cell {
			c.report("unsafe retry: %s sent again outside its deduplication scope", r.id)
		}
	}
}

// ruleSettings returns the test settings and more classes, which are serialized by key or limited to some endpoints.
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

// The checker must detect each violation in a trace that has it.
func TestCheckerDetectsViolations(t *testing.T) {
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
		{"key order: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s2", "a")}},
		{"key order: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s1", "a"),
			ClientDisconnected{ID: "s1"}, send("s2", "a")}},
		{"key order: s2 sent before s1", []any{list, serialized("s1"), serialized("s2"), send("s1", "a"),
			ends("s1", ConnectionLost), 29 * msec, send("s2", "a")}},
		{"placement: r sent to zone", []any{list, request("seq"), send("r", "b")}},
		{"placement: r sent to machine type", []any{list, request("kin"), send("r", "b")}},
		{"final answer: r has none", []any{list, request("get"), 2 * time.Second, TimerFired{}}},
		{"final answer: given to r,", []any{list, request("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"final answer: attempt sent for r, which is answered", []any{list, request("get"), Fail{ID: "r"}, send("r", "a")}},
		{"unsafe retry: r, which is not idempotent", []any{list, request("pay"), send("r", "a"), timedOut, send("r", "a")}},
		{"unsafe retry: r rejected", []any{list, request("pay"), send("r", "a"), timedOut, Reject{ID: "r"}}},
		{"outside its deduplication window", []any{list, request("post"), send("r", "a"), 950 * msec, timedOut,
			send("r", "a")}},
		{"outside its deduplication scope", []any{list, request("post"), send("r", "a"), timedOut, send("r", "b")}},
		{"unavailable endpoint: attempt sent to c", []any{list, request("get"), send("r", "c")}},
		{"attempts: two at once of r", []any{list, request("get"), send("r", "a"), send("r", "b")}},
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
		if !strings.Contains(strings.Join(c.violations, "\n"), tc.want) {
			t.Errorf("the checker did not report %q, got %q", tc.want, c.violations)
		}
	}
}
