package policy

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var updateStream = flag.Bool("update-stream", false, "write testdata/stream.txt from the actions of this code")

// Size of the simulated runs.
const (
	streamSeeds   = 24
	streamLength  = 40 * time.Second
	streamMaxSize = 30 // exclusive bound of the random number of endpoints, to which three are added
)

// streamRun simulates a Balancer with random settings, endpoints, requests and faults.
type streamRun struct {
	t         *testing.T
	rng       *rand.Rand
	settings  Settings
	balancer  *Balancer
	events    eventQueue
	endpoints []Endpoint
	attempts  map[string]int           // number of attempts that were sent, by request
	hangUntil map[string]time.Duration // end of its hang, by endpoint
	failUntil map[string]time.Duration // end of its failure, by endpoint
	log       io.Writer
	actions   int
}

func streamClasses(seed int) []Class {
	return []Class{
		{
			Name:               "view",
			Idempotency:        Idempotent,
			DeduplicationScope: ScopeAll,
			LatencyObjective:   400 * time.Millisecond,
			Deadline:           2 * time.Second,
			LateAnswerWeight:   0.2,
			PriorityWeight:     1,
		},
		{
			Name:                "pay",
			Idempotency:         IdempotentWithKey,
			DeduplicationScope:  DeduplicationScope(seed % 3),
			DeduplicationWindow: time.Second + time.Duration(seed%5)*300*time.Millisecond,
			LatencyObjective:    600 * time.Millisecond,
			Deadline:            3 * time.Second,
			PriorityWeight:      4,
		},
		{
			Name:               "book",
			Idempotency:        NotIdempotent,
			DeduplicationScope: ScopeAll,
			LatencyObjective:   500 * time.Millisecond,
			Deadline:           2500 * time.Millisecond,
			PriorityWeight:     2,
			SerializedByKey:    seed%2 == 0,
		},
		{
			Name:             "feed",
			Idempotency:      Idempotent,
			LatencyObjective: time.Second,
			Deadline:         5 * time.Second,
			LateAnswerWeight: 0.5,
			PriorityWeight:   0.5,
			Stream:           true,
		},
	}
}

// streamSettings returns random settings. Each rule of the policy applies under the settings of some seeds.
func streamSettings(r *rand.Rand, seed int) Settings {
	set := Settings{
		Classes:                  streamClasses(seed),
		OverQuotaWeight:          0.05,
		Replicas:                 1 + seed%4,
		ReplicaIndex:             seed % 2,
		Tiers:                    3,
		Tier:                     seed / 2 % 2,
		TotalWeight:              0.75,
		WorstClassWeight:         0.1,
		ClientsMarkRetries:       seed%3 == 0,
		MaxAttempts:              2 + seed%4,
		TimerResolution:          5 * time.Millisecond,
		MaxRetryAfter:            2 * time.Second,
		KeySettleTime:            200 * time.Millisecond,
		PollEndpoints:            seed%2 == 1,
		MaxPollInterval:          6 * time.Second,
		SlowStartInitialCapacity: 0.2 + 0.1*float64(seed%4),
		SlowStartDuration:        8 * time.Second,
		SlowStartOverloadFactor:  float64(seed % 5),
	}
	if seed%3 != 1 {
		set.Zone = "x"
	}
	if seed%4 != 3 {
		set.Tenants = []Tenant{{"a", 40 + 40*r.Float64()}, {"b", 10 + 10*r.Float64()}}
	}
	if seed%5 == 2 {
		set.Classes[0].AllowedZones = []string{"x", "y"}
	}
	if seed%5 >= 3 {
		set.Classes[1].AllowedMachineTypes = []string{"big"}
	}
	return set
}

func newStreamRun(t *testing.T, seed int, log io.Writer) *streamRun {
	r := rand.New(rand.NewPCG(uint64(seed), 11))
	run := &streamRun{
		t:         t,
		rng:       r,
		settings:  streamSettings(r, seed),
		attempts:  map[string]int{},
		log:       log,
		hangUntil: map[string]time.Duration{},
		failUntil: map[string]time.Duration{},
	}
	var err error
	if run.balancer, err = New(run.settings, uint64(seed)); err != nil {
		t.Fatal(err)
	}
	zones := []string{"x", "y", "z"}[:1+seed%3]
	for i := range 3 + r.IntN(streamMaxSize) {
		run.endpoints = append(run.endpoints, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: zones[i%len(zones)],
			MachineType: []string{"small", "big"}[i/2%2], Cell: i % 5})
	}
	run.events.add(0, EndpointUpdate{Snapshot: true, Cached: true, Endpoints: append([]Endpoint(nil), run.endpoints...)})
	run.events.add(50*time.Millisecond,
		EndpointUpdate{Snapshot: true, Endpoints: append([]Endpoint(nil), run.endpoints...)})
	run.addRequests()
	run.addListChanges(zones)
	run.addFaults(zones)
	return run
}

// addRequests adds random requests, with a burst between 18 s and 24 s.
func (run *streamRun) addRequests() {
	mean := 4 * time.Millisecond
	for at := 20 * time.Millisecond; at < streamLength; at += time.Duration(run.rng.ExpFloat64() * float64(mean)) {
		mean = 6 * time.Millisecond
		if at > 18*time.Second && at < 24*time.Second {
			mean = 2 * time.Millisecond
		}
		c := run.settings.Classes[run.rng.IntN(len(run.settings.Classes))]
		name, wait := c.Name, c.Deadline
		if run.rng.IntN(200) == 0 {
			name, wait = "unheard", time.Second
		}
		isRetry := run.rng.IntN(12) == 0
		if isRetry {
			wait = wait * 2 / 3
		}
		id := fmt.Sprintf("r%d", run.events.added)
		run.events.add(at, Request{
			ID:             id,
			Class:          name,
			Tenant:         []string{"a", "a", "b", "c"}[run.rng.IntN(4)],
			Deadline:       at + wait,
			IsRetry:        isRetry,
			Key:            uint64(run.rng.IntN(40)),
			HasKey:         run.rng.IntN(3) > 0,
			BodyIncomplete: run.rng.IntN(25) == 0,
		})
		switch run.rng.IntN(60) {
		case 0:
			run.events.add(at+time.Duration(run.rng.IntN(600))*time.Millisecond, ClientDisconnected{ID: id})
		case 1:
			run.events.add(at+time.Duration(run.rng.IntN(900))*time.Millisecond, ShutdownDeadline{ID: id})
		}
	}
}

// addListChanges adds changes of the list: random endpoints drain, are removed, restart, or are added.
func (run *streamRun) addListChanges(zones []string) {
	for i, s := range run.endpoints {
		at := time.Duration(5+run.rng.IntN(30)) * time.Second
		switch run.rng.IntN(5) {
		case 0:
			s.State = Draining
			run.events.add(at, EndpointUpdate{Endpoints: []Endpoint{s}})
			s.State = Removed
			run.events.add(at+3*time.Second, EndpointUpdate{Endpoints: []Endpoint{s}})
			s.State, s.StartedAt = Ready, at+4*time.Second
			run.events.add(at+5*time.Second, EndpointUpdate{Endpoints: []Endpoint{s}})
		case 1:
			s.StartedAt = at - 2*time.Second
			run.events.add(at, EndpointUpdate{Endpoints: []Endpoint{s}})
		}
		if i%7 == 3 {
			added := Endpoint{
				ID:          fmt.Sprintf("t%02d", i),
				Zone:        zones[run.rng.IntN(len(zones))],
				MachineType: "big",
				StartedAt:   at - time.Second,
			}
			run.events.add(at, EndpointUpdate{Endpoints: []Endpoint{added}})
		}
	}
	remaining := append([]Endpoint(nil), run.endpoints[:len(run.endpoints)*2/3+1]...)
	run.events.add(33*time.Second, EndpointUpdate{Snapshot: true, Endpoints: remaining})
	for i := range 6 {
		run.events.add(time.Duration(3+6*i)*time.Second, DiscoveryFailed{})
	}
}

// addFaults selects random endpoints that hang or fail, and adds an evacuation of a zone and counts of replicas. The
// unresponsive zone and the suspension of the process are not events: see zoneUnresponsive and handleAll.
func (run *streamRun) addFaults(zones []string) {
	for _, s := range run.endpoints {
		switch run.rng.IntN(10) {
		case 0:
			run.hangUntil[s.ID] = time.Duration(8+run.rng.IntN(20)) * time.Second
		case 1, 2:
			run.failUntil[s.ID] = time.Duration(8+run.rng.IntN(20)) * time.Second
		}
	}
	last := zones[len(zones)-1]
	run.events.add(26*time.Second, ZoneEvacuation{Zone: last, Evacuate: true})
	run.events.add(29*time.Second, ZoneEvacuation{Zone: last})
	run.events.add(9*time.Second, ReplicaCounts{ByZone: map[string]int{"x": 2, "y": 1 + run.rng.IntN(4)}})
	run.events.add(19*time.Second, ReplicaCounts{ByZone: map[string]int{"x": 1}})
	run.events.add(31*time.Second, ReplicaCounts{})
}

// handleAll handles all events in order. Between 36 s and 37.5 s the process is suspended: events of that time are
// handled at its end.
func (run *streamRun) handleAll() {
	nextState := time.Second
	for !run.events.empty() {
		x := run.events.next()
		now := x.at
		if now > 36*time.Second && now < 37500*time.Millisecond {
			now = 37500 * time.Millisecond
		}
		for _, a := range run.balancer.Handle(now, x.event) {
			run.record(now, a)
			run.respond(now, a)
		}
		if now >= nextState {
			nextState += time.Second
			run.recordState(now)
		}
	}
}

// record writes one action in a form that contains no name of the code, so that a rename does not change it.
func (run *streamRun) record(now time.Duration, a Action) {
	run.actions++
	switch a := a.(type) {
	case SendAttempt:
		run.writeLine(int64(now), "send", a.ID, a.Endpoint, int64(a.Timeout), int64(a.RetryBefore))
	case Reject:
		run.writeLine(int64(now), "reject", a.ID, int64(a.RetryAfter), int(a.Reason))
	case Fail:
		run.writeLine(int64(now), "fail", a.ID, int(a.Reason))
	case SetTimer:
		run.writeLine(int64(now), "timer", a.Token, int64(a.At))
	case WatchEndpoints:
		run.writeLine(int64(now), "watch")
	default:
		run.t.Fatalf("action of the unknown type %T", a)
	}
}

// writeLine writes one line of the stream.
func (run *streamRun) writeLine(values ...any) {
	if _, err := fmt.Fprintln(run.log, values...); err != nil {
		run.t.Fatal(err)
	}
}

// recordState writes the endpoint counts and the zone states of the Balancer.
func (run *streamRun) recordState(now time.Duration) {
	listed, avoided := run.balancer.EndpointCounts(now)
	run.writeLine(int64(now), "shown", listed, avoided, run.balancer.ZoneTransitions())
	for _, z := range run.balancer.Zones() {
		run.writeLine("zone", z.Name, int(z.State), z.EvacuatedByOperator, z.Share, int64(z.Since), z.Endpoints,
			z.Unresponsive, z.InFlight)
	}
}

// respond adds the events that an action causes.
func (run *streamRun) respond(now time.Duration, a Action) {
	switch a := a.(type) {
	case SetTimer:
		run.events.add(max(a.At, now), TimerFired{Token: a.Token})
	case WatchEndpoints:
		if run.rng.IntN(4) == 0 {
			run.events.add(now+100*time.Millisecond, DiscoveryFailed{})
		}
	case SendAttempt:
		n := run.attempts[a.ID]
		run.attempts[a.ID]++
		run.addOutcome(now, a, n)
	}
}

// addOutcome adds the events of attempt n of a request, which ends with a random result.
func (run *streamRun) addOutcome(now time.Duration, a SendAttempt, n int) {
	latency, result := time.Duration((0.5+run.rng.Float64())*float64(180*time.Millisecond)), Success
	switch draw := run.rng.IntN(200); {
	case draw < 2:
		result = ConnectionLost
	case draw < 4:
		result, latency = ConnectFailed, 2*time.Millisecond
	case draw < 6:
		result, latency = Overloaded, time.Millisecond
	case draw == 6:
		result, latency = NotSent, time.Millisecond
	case draw == 7:
		result, latency = Canceled, 50*time.Millisecond
	}
	if until := run.failUntil[a.Endpoint]; now < until && now > 4*time.Second && run.rng.IntN(10) < 7 {
		result, latency = ServerError, 3*time.Millisecond
	}
	hanging := now < run.hangUntil[a.Endpoint] && now > 6*time.Second
	if hanging || run.zoneUnresponsive(now, a.Endpoint) || latency >= a.Timeout {
		result, latency = TimedOut, a.Timeout
	}
	if n == 0 {
		run.events.add(now+10*time.Millisecond, RequestSent{ID: a.ID, Attempt: n, Deadline: now + 2*time.Second})
	}
	if result == Success && latency > 50*time.Millisecond && run.rng.IntN(20) == 0 {
		run.events.add(now+latency/2, ResponseStarted{ID: a.ID, Attempt: n})
	}
	run.events.add(now+latency, AttemptEnded{
		ID:           a.ID,
		Attempt:      n,
		Endpoint:     a.Endpoint,
		Result:       result,
		Latency:      latency,
		Answered:     result == Success || run.rng.IntN(30) == 0,
		BodyConsumed: run.rng.IntN(40) == 0,
		Load:         &Load{BusyRequests: 1, ServiceTime: latency},
	})
}

// zoneUnresponsive reports whether the zone of an endpoint does not answer now, as zone y does from 12 s to 17 s.
func (run *streamRun) zoneUnresponsive(now time.Duration, id string) bool {
	if now < 12*time.Second || now > 17*time.Second {
		return false
	}
	for _, s := range run.endpoints {
		if s.ID == id {
			return s.Zone == "y"
		}
	}
	return false
}

// TestActionsMatchTheRecordedStream fails if a change of the code changes actions. The recorded ones are those of the
// policy before it was split into files by subject. With KEELUSHER_STREAM_DIR set, it writes the actions of each run
// there, so that two versions can be compared line by line.
func TestActionsMatchTheRecordedStream(t *testing.T) {
	path := filepath.Join("testdata", "stream.txt")
	var lines []string
	for seed := range streamSeeds {
		sum := fnv.New64a()
		var log io.Writer = sum
		if dir := os.Getenv("KEELUSHER_STREAM_DIR"); dir != "" {
			f, err := os.Create(filepath.Join(dir, fmt.Sprintf("day%02d.txt", seed)))
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			log = io.MultiWriter(sum, f)
		}
		run := newStreamRun(t, seed, log)
		run.handleAll()
		lines = append(lines, fmt.Sprintf("day %d: %d actions, fnv64a %016x", seed, run.actions, sum.Sum64()))
	}
	got := strings.Join(lines, "\n") + "\n"
	if *updateStream {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the actions differ from the recorded ones\ngot:\n%swant:\n%s", got, want)
	}
}
