package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"keelusher/policy/guard"
)

const msec = time.Millisecond

// testSettings has one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Idempotency: Idempotent, DeduplicationScope: ScopeAll, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 1},
			{Name: "post", Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 900 * msec, LatencyObjective: 500 * msec,
				Deadline: 1500 * msec, PriorityWeight: 2},
			{Name: "pay", Idempotency: NotIdempotent, LatencyObjective: 500 * msec, Deadline: 1500 * msec, PriorityWeight: 3},
		},
		Replicas: 2, Tier: 0, TotalWeight: 0.6, WorstClassWeight: 0.3,
		MaxAttempts: 5, TimerResolution: 2 * msec,
		MaxPollInterval: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		SlowStartInitialCapacity: 0.2, SlowStartDuration: 10 * time.Second, SlowStartOverloadFactor: 3,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// wide makes a copy draw from the whole list for some hundred calls, as a busy one does.
func wide(b *Balancer) { b.subsets[0].peakInFlight = 1e9 }

func servers(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []SendAttempt {
	var l []SendAttempt
	for _, a := range acts {
		if s, ok := a.(SendAttempt); ok {
			l = append(l, s)
		}
	}
	return l
}

func TestPickFollowsTheDesign(t *testing.T) {
	mk := func(calls ...int) []*endpoint {
		var l []*endpoint
		for i, c := range calls {
			l = append(l, &endpoint{Endpoint: Endpoint{ID: fmt.Sprint(i, c)}, inFlight: c})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*endpoint) float64 {
		got := 0
		for range n {
			s := b.pick(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*endpoint
		want        float64
	}{
		{"fewer left", mk(1), mk(2), 1},
		{"fewer right", mk(2), mk(1), 0},
		{"zero beats one", mk(1), mk(0), 0},
		{"nonzero tie goes left", mk(3), mk(3), 1},
		{"zero tie by shares", mk(0, 0, 0), mk(0), 0.75},
		{"left empty", nil, mk(1), 0},
		{"right empty", mk(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*endpoint]int{}
	for range n {
		count[b.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

func TestCopiesShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, EndpointUpdate{Endpoints: l[i : i+1]})
	}
	for i := range l {
		if a.subsets[0].ready[i].ID != b.subsets[0].ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.subsets[0].ready[i].ID, b.subsets[0].ready[i].ID)
		}
	}
}

// A host rounds times; a timer that comes a fraction early must still lead to an answer in time.
func TestHeldRequestIsAnsweredThoughTimersComeEarly(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next SetTimer
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, TimerFired{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// settle answers the single attempt of a request.
func settle(b *Balancer, now time.Duration, id string, s SendAttempt, e AttemptResult) []Action {
	return b.Handle(now, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: e, Answered: e == Success})
}

// traffic sends n requests one after another; fate decides how attempts at a server end. It
// returns how many first tries each server got in the second half.
func traffic(b *Balancer, n int, class string, fate func(server string) AttemptResult) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Endpoint]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Endpoint)
				now += 10 * msec
				again := sends(b.Handle(now, AttemptEnded{ID: id, Attempt: k, Endpoint: s.Endpoint, Result: e, Answered: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":  func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":   func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1] (post)": func(s *Settings) { s.Classes[1].DeduplicationWindow = -1 },
		"ColdFrom":          func(s *Settings) { s.SlowStartInitialCapacity = 1.5 },
		"WarmAfter":         func(s *Settings) { s.SlowStartDuration = -1 },
		"Tenants[0] (big)":  func(s *Settings) { s.Tenants = []Tenant{{Name: "big", Quota: -1}} },
		"OverWorth":         func(s *Settings) { s.OverQuotaWeight = 2 },
		"LateShare":         func(s *Settings) { s.Classes[0].LateAnswerWeight = 2 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// An unmarked repeat shows by a deadline shorter than other tries have.
func TestShortDeadlineTellsARepeat(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 1200*msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The repeat's aim of 500 ms began 300 ms before it came: without a server it is still held.
	r := b.requests["again"]
	if r == nil || !r.isRetry || r.arrived != 5*time.Second-300*msec {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// An answer after the aim that is worth nothing is not waited for: the attempt ends with the aim, and what is
// left of the client's time buys no further one. The tiers below know no aim, only the time they are given.
func TestNothingIsWaitedForAfterItsWorth(t *testing.T) {
	for _, c := range []struct {
		tier      int
		lateShare float64
		want      time.Duration
	}{{0, 0, 500 * msec}, {0, 0.5, 1500 * msec}, {1, 0, 1500 * msec}} {
		b := newBalancer(t, func(s *Settings) { s.Tier, s.Classes[0].LateAnswerWeight = c.tier, c.lateShare })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(4)})
		got := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1500 * msec}))
		if len(got) != 1 || got[0].Timeout != c.want {
			t.Fatalf("tier %d, late share %v: sent %v, want a time-out of %v", c.tier, c.lateShare, got, c.want)
		}
		acts := settle(b, c.want, "a", got[0], TimedOut)
		if len(acts) != 1 || acts[0] != Action(Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.NoTimeForAnswer}) {
			t.Errorf("tier %d, late share %v: after the time-out %v, want a refusal", c.tier, c.lateShare, acts)
		}
	}
}

// Where clients mark repeats, a first try with less time than a last one has is still a first try.
func TestMarksOutrankShortDeadlines(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.ClientsMarkRetries = true })
	b.Handle(0, Request{ID: "last", Class: "get", Deadline: 1400 * msec, IsRetry: true})
	b.Handle(time.Second, Request{ID: "first", Class: "get", Deadline: 2100 * msec})
	if r := b.requests["first"]; r == nil || r.isRetry || r.arrived != time.Second {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 6400 * msec, IsRetry: true})
	if r := b.requests["again"]; r == nil || !r.isRetry || r.arrived != 4900*msec {
		t.Errorf("the marked repeat was not dated back: %+v", r)
	}
}

// The next of a key goes when the one before is over and rested; a hot key turns away who would wait in
// vain and holds up no other key.
func TestKeyKeepsItsOrder(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Classes[2].SerializedByKey, s.KeySettleTime = true, 50*msec })
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(6)})
	pay := func(at time.Duration, id string, key uint64) []Action {
		return b.Handle(at, Request{ID: id, Class: "pay", Deadline: 1500 * msec, Key: key, HasKey: true})
	}
	first := sends(pay(0, "a", 1))
	if len(first) != 1 || len(sends(pay(msec, "b", 1))) != 0 || len(sends(pay(msec, "c", 2))) != 1 {
		t.Fatal("want a and c sent, and b held behind a")
	}
	acts := b.Handle(20*msec, AttemptEnded{ID: "a", Endpoint: first[0].Endpoint, Result: ConnectionLost})
	if len(sends(acts)) != 0 {
		t.Fatal("b was sent while a may still run")
	}
	if got := sends(b.Handle(70*msec, TimerFired{Token: "k:1"})); len(got) != 1 || got[0].ID != "b" {
		t.Fatalf("after the rest %v was sent, want b", got)
	}
	refused := 0
	for i := range 50 {
		for _, a := range pay(80*msec, fmt.Sprint("hot", i), 1) {
			if _, ok := a.(Reject); ok {
				refused++
			}
		}
	}
	if refused < 40 {
		t.Errorf("%d of 50 were turned away behind a hot key, want most", refused)
	}
}

// A request that comes in piece by piece has its time from its last byte on, and its server is neither silent nor
// slow for what its caller took.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
	got := sends(b.Handle(0, Request{ID: "long", Class: "get", Deadline: 2 * time.Second, BodyIncomplete: true}))
	if len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	for i := range 20 { // others are answered meanwhile
		id, now := fmt.Sprint(i), time.Duration(i)*50*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
			settle(b, now+10*msec, id, s, Success)
		}
	}
	s := b.endpoints[got[0].Endpoint]
	if b.unresponsive(s) {
		t.Error("its server counts as silent while its body comes")
	}
	mean := b.classes["get"].meanLatency
	b.Handle(10*time.Second, RequestSent{ID: "long", Deadline: 12 * time.Second})
	r := b.requests["long"]
	if r.deadline != 12*time.Second || r.arrived != 10*time.Second || r.attempts[0].sentAt != 10*time.Second {
		t.Errorf("arrived %v, deadline %v, sent %v", r.arrived, r.deadline, r.attempts[0].sentAt)
	}
	b.Handle(10*time.Second+10*msec, ResponseStarted{ID: "long"})
	if b.unresponsive(s) {
		t.Error("its server counts as silent while its answer passes through")
	}
	b.Handle(time.Minute, AttemptEnded{ID: "long", Endpoint: s.ID, Result: Success, Answered: true})
	if now := b.classes["get"].meanLatency; now > mean {
		t.Errorf("the mean latency rose from %v to %v ns", mean, now)
	}
}

// A request whose body is gone is never sent again. It is refused at once where no attempt ran.
func TestSpentRequestIsNotSentAgain(t *testing.T) {
	for ending, want := range map[AttemptResult]Action{
		ConnectFailed:  Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.BodyConsumed},
		NotSent:        Reject{ID: "a", RetryAfter: 2 * msec, Reason: guard.BodyConsumed},
		ConnectionLost: Fail{ID: "a", Reason: guard.BodyConsumed}} {
		b := newBalancer(t, nil)
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
		got := sends(b.Handle(0, Request{ID: "a", Class: "post", Deadline: time.Second, BodyIncomplete: true}))
		if len(got) != 1 {
			t.Fatalf("sent %v", got)
		}
		acts := b.Handle(msec, AttemptEnded{ID: "a", Endpoint: got[0].Endpoint, Result: ending, BodyConsumed: true})
		if len(acts) != 1 || acts[0] != want {
			t.Errorf("ending %d: %v, want %v", ending, acts, want)
		}
	}
}

// When the host can wait no longer, what never ran is refused and what may have run fails, at once; then nothing more
// is sent for it.
func TestTimeUpIsAnsweredAtOnce(t *testing.T) {
	b := newBalancer(t, nil)
	if acts := sends(b.Handle(0, Request{ID: "held", Class: "pay", Deadline: time.Second})); len(acts) > 0 {
		t.Fatalf("sent %v without a server", acts)
	}
	if acts := b.Handle(msec, ShutdownDeadline{ID: "held"}); len(acts) != 1 || acts[0] != (Reject{ID: "held", RetryAfter: 2 * msec, Reason: guard.ProcessEnds}) {
		t.Errorf("what waits: %v, want a refusal", acts)
	}
	b.Handle(2*msec, EndpointUpdate{Snapshot: true, Endpoints: servers(10)})
	got := sends(b.Handle(2*msec, Request{ID: "out", Class: "pay", Deadline: time.Second}))
	if len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	if acts := b.Handle(3*msec, ShutdownDeadline{ID: "out"}); len(acts) != 1 || acts[0] != (Fail{ID: "out", Reason: guard.ProcessEnds}) {
		t.Errorf("what was sent: %v, want a failure", acts)
	}
	if acts := b.Handle(4*msec, AttemptEnded{ID: "out", Endpoint: got[0].Endpoint, Result: Overloaded, Answered: true}); len(acts) > 0 {
		t.Errorf("after its answer: %v", acts)
	}
}
