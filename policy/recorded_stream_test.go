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

var updateStream = flag.Bool("update-stream", false, "record testdata/stream.txt anew from this code")

// Shape of the drawn days.
const (
	streamSeeds   = 24
	streamLength  = 40 * time.Second
	streamMaxSize = 30 // endpoints besides the first three
)

// streamDay plays one drawn day against a Balancer: its settings, its endpoints, its faults.
type streamDay struct {
	t         *testing.T
	rng       *rand.Rand
	settings  Settings
	balancer  *Balancer
	events    eventQueue
	endpoints []Endpoint
	attempts  map[string]int           // of each request
	hung      map[string]time.Duration // endpoints that answer nothing before that time
	failing   map[string]time.Duration
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

// streamSettings draws settings; over the seeds each rule of the policy is in force in some of them.
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

func newStreamDay(t *testing.T, seed int, log io.Writer) *streamDay {
	r := rand.New(rand.NewPCG(uint64(seed), 11))
	d := &streamDay{
		t:        t,
		rng:      r,
		settings: streamSettings(r, seed),
		attempts: map[string]int{},
		log:      log,
		hung:     map[string]time.Duration{},
		failing:  map[string]time.Duration{},
	}
	var err error
	if d.balancer, err = New(d.settings, uint64(seed)); err != nil {
		t.Fatal(err)
	}
	zones := []string{"x", "y", "z"}[:1+seed%3]
	for i := range 3 + r.IntN(streamMaxSize) {
		d.endpoints = append(d.endpoints, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: zones[i%len(zones)],
			MachineType: []string{"small", "big"}[i/2%2], Cell: i % 5})
	}
	d.events.add(0, EndpointUpdate{Snapshot: true, Cached: true, Endpoints: append([]Endpoint(nil), d.endpoints...)})
	d.events.add(50*time.Millisecond, EndpointUpdate{Snapshot: true, Endpoints: append([]Endpoint(nil), d.endpoints...)})
	d.requests()
	d.listChanges(zones)
	d.faults(zones)
	return d
}

// requests draws the day's traffic: thin at first, with a burst in the middle.
func (d *streamDay) requests() {
	mean := 4 * time.Millisecond
	for at := 20 * time.Millisecond; at < streamLength; at += time.Duration(d.rng.ExpFloat64() * float64(mean)) {
		mean = 6 * time.Millisecond
		if at > 18*time.Second && at < 24*time.Second {
			mean = 2 * time.Millisecond
		}
		c := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
		name, wait := c.Name, c.Deadline
		if d.rng.IntN(200) == 0 {
			name, wait = "unheard", time.Second
		}
		isRetry := d.rng.IntN(12) == 0
		if isRetry {
			wait = wait * 2 / 3
		}
		id := fmt.Sprintf("r%d", d.events.added)
		d.events.add(at, Request{
			ID:             id,
			Class:          name,
			Tenant:         []string{"a", "a", "b", "c"}[d.rng.IntN(4)],
			Deadline:       at + wait,
			IsRetry:        isRetry,
			Key:            uint64(d.rng.IntN(40)),
			HasKey:         d.rng.IntN(3) > 0,
			BodyIncomplete: d.rng.IntN(25) == 0,
		})
		switch d.rng.IntN(60) {
		case 0:
			d.events.add(at+time.Duration(d.rng.IntN(600))*time.Millisecond, ClientDisconnected{ID: id})
		case 1:
			d.events.add(at+time.Duration(d.rng.IntN(900))*time.Millisecond, ShutdownDeadline{ID: id})
		}
	}
}

// listChanges draws endpoints that drain, are removed, come back with a new start, or are added.
func (d *streamDay) listChanges(zones []string) {
	for i, s := range d.endpoints {
		at := time.Duration(5+d.rng.IntN(30)) * time.Second
		switch d.rng.IntN(5) {
		case 0:
			s.State = Draining
			d.events.add(at, EndpointUpdate{Endpoints: []Endpoint{s}})
			s.State = Removed
			d.events.add(at+3*time.Second, EndpointUpdate{Endpoints: []Endpoint{s}})
			s.State, s.StartedAt = Ready, at+4*time.Second
			d.events.add(at+5*time.Second, EndpointUpdate{Endpoints: []Endpoint{s}})
		case 1:
			s.StartedAt = at - 2*time.Second
			d.events.add(at, EndpointUpdate{Endpoints: []Endpoint{s}})
		}
		if i%7 == 3 {
			added := Endpoint{
				ID:          fmt.Sprintf("t%02d", i),
				Zone:        zones[d.rng.IntN(len(zones))],
				MachineType: "big",
				StartedAt:   at - time.Second,
			}
			d.events.add(at, EndpointUpdate{Endpoints: []Endpoint{added}})
		}
	}
	remaining := append([]Endpoint(nil), d.endpoints[:len(d.endpoints)*2/3+1]...)
	d.events.add(33*time.Second, EndpointUpdate{Snapshot: true, Endpoints: remaining})
	for i := range 6 {
		d.events.add(time.Duration(3+6*i)*time.Second, DiscoveryFailed{})
	}
}

// faults draws hanging and failing endpoints, a lost zone, an evacuation, counts of replicas and a suspended process.
func (d *streamDay) faults(zones []string) {
	for _, s := range d.endpoints {
		switch d.rng.IntN(10) {
		case 0:
			d.hung[s.ID] = time.Duration(8+d.rng.IntN(20)) * time.Second
		case 1, 2:
			d.failing[s.ID] = time.Duration(8+d.rng.IntN(20)) * time.Second
		}
	}
	last := zones[len(zones)-1]
	d.events.add(26*time.Second, ZoneEvacuation{Zone: last, Evacuate: true})
	d.events.add(29*time.Second, ZoneEvacuation{Zone: last})
	d.events.add(9*time.Second, ReplicaCounts{ByZone: map[string]int{"x": 2, "y": 1 + d.rng.IntN(4)}})
	d.events.add(19*time.Second, ReplicaCounts{ByZone: map[string]int{"x": 1}})
	d.events.add(31*time.Second, ReplicaCounts{})
}

// play handles all events in order. Between 36 s and 37.5 s the process is suspended: what comes due then is late.
func (d *streamDay) play() {
	nextLook := time.Second
	for !d.events.empty() {
		x := d.events.next()
		now := x.at
		if now > 36*time.Second && now < 37500*time.Millisecond {
			now = 37500 * time.Millisecond
		}
		for _, a := range d.balancer.Handle(now, x.event) {
			d.record(now, a)
			d.follow(now, a)
		}
		if now >= nextLook {
			nextLook += time.Second
			d.look(now)
		}
	}
}

// record writes one action in a form that no name in the code has part in.
func (d *streamDay) record(now time.Duration, a Action) {
	d.actions++
	switch a := a.(type) {
	case SendAttempt:
		d.writeLine(int64(now), "send", a.ID, a.Endpoint, int64(a.Timeout), int64(a.RetryBefore))
	case Reject:
		d.writeLine(int64(now), "reject", a.ID, int64(a.RetryAfter), int(a.Reason))
	case Fail:
		d.writeLine(int64(now), "fail", a.ID, int(a.Reason))
	case SetTimer:
		d.writeLine(int64(now), "timer", a.Token, int64(a.At))
	case WatchEndpoints:
		d.writeLine(int64(now), "watch")
	default:
		d.t.Fatalf("an action of an unknown type: %T", a)
	}
}

// writeLine writes one line of the stream.
func (d *streamDay) writeLine(values ...any) {
	if _, err := fmt.Fprintln(d.log, values...); err != nil {
		d.t.Fatal(err)
	}
}

// look records what the Balancer shows of itself.
func (d *streamDay) look(now time.Duration) {
	listed, avoided := d.balancer.EndpointCounts(now)
	d.writeLine(int64(now), "shown", listed, avoided, d.balancer.ZoneTransitions())
	for _, z := range d.balancer.Zones() {
		d.writeLine("zone", z.Name, int(z.State), z.EvacuatedByOperator, z.Share, int64(z.Since), z.Endpoints,
			z.Unresponsive, z.InFlight)
	}
}

// follow plays the world's answer to an action.
func (d *streamDay) follow(now time.Duration, a Action) {
	switch a := a.(type) {
	case SetTimer:
		d.events.add(max(a.At, now), TimerFired{Token: a.Token})
	case WatchEndpoints:
		if d.rng.IntN(4) == 0 {
			d.events.add(now+100*time.Millisecond, DiscoveryFailed{})
		}
	case SendAttempt:
		n := d.attempts[a.ID]
		d.attempts[a.ID]++
		d.attempt(now, a, n)
	}
}

// attempt draws how one attempt ends.
func (d *streamDay) attempt(now time.Duration, a SendAttempt, n int) {
	latency, result := time.Duration((0.5+d.rng.Float64())*float64(180*time.Millisecond)), Success
	switch draw := d.rng.IntN(200); {
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
	if until := d.failing[a.Endpoint]; now < until && now > 4*time.Second && d.rng.IntN(10) < 7 {
		result, latency = ServerError, 3*time.Millisecond
	}
	hangs := now < d.hung[a.Endpoint] && now > 6*time.Second
	if hangs || d.lostZone(now, a.Endpoint) || latency >= a.Timeout {
		result, latency = TimedOut, a.Timeout
	}
	if n == 0 {
		d.events.add(now+10*time.Millisecond, RequestSent{ID: a.ID, Attempt: n, Deadline: now + 2*time.Second})
	}
	if result == Success && latency > 50*time.Millisecond && d.rng.IntN(20) == 0 {
		d.events.add(now+latency/2, ResponseStarted{ID: a.ID, Attempt: n})
	}
	d.events.add(now+latency, AttemptEnded{
		ID:           a.ID,
		Attempt:      n,
		Endpoint:     a.Endpoint,
		Result:       result,
		Latency:      latency,
		Answered:     result == Success || d.rng.IntN(30) == 0,
		BodyConsumed: d.rng.IntN(40) == 0,
		Load:         &Load{Busy: 1, Service: latency},
	})
}

// lostZone says that the zone of an endpoint gives no answers just now.
func (d *streamDay) lostZone(now time.Duration, id string) bool {
	if now < 12*time.Second || now > 17*time.Second {
		return false
	}
	for _, s := range d.endpoints {
		if s.ID == id {
			return s.Zone == "y"
		}
	}
	return false
}

// TestActionsAreAsInTheRecordedStream compares the actions with those that the policy gave before it was cut into
// subjects. With KEELUSHER_STREAM_DIR set, it writes each day's actions there, to compare two versions line by line.
func TestActionsAreAsInTheRecordedStream(t *testing.T) {
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
		d := newStreamDay(t, seed, log)
		d.play()
		lines = append(lines, fmt.Sprintf("day %d: %d actions, fnv64a %016x", seed, d.actions, sum.Sum64()))
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
