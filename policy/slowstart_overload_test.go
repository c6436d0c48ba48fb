package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// overloadSpan is how long an overload lasts before an endpoint fails.
const overloadSpan = 2 * time.Second

// overloadFault names the first span in which an endpoint that started at a time was sent more than
// SlowStartOverloadFactor times its capacity. capacity is in requests a second when it has warmed up.
func overloadFault(set Settings, startedAt time.Duration, capacity float64, sent []time.Duration) string {
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at < from+overloadSpan {
				count++
			}
		}
		middle := from - startedAt + overloadSpan/2
		warmedUp := min(1, float64(middle)/float64(set.SlowStartDuration))
		share := set.SlowStartInitialCapacity + (1-set.SlowStartInitialCapacity)*warmedUp
		limit := set.SlowStartOverloadFactor * capacity * share * overloadSpan.Seconds()
		if float64(count) > limit {
			return fmt.Sprintf("rule 4: %d attempts in %v from %v, limit %.0f", count, overloadSpan, from, limit)
		}
	}
	return ""
}

func TestOverloadFaultCanFail(t *testing.T) {
	set := testSettings() // 3 times 50 a second times 0.28, on average, for two seconds: 84
	var burst []time.Duration
	for i := range 85 {
		burst = append(burst, time.Second+time.Duration(i)*msec)
	}
	if got := overloadFault(set, time.Second, 50, burst); !strings.HasPrefix(got, "rule 4") {
		t.Errorf("a burst of 85 is over the limit, got %q", got)
	}
	if got := overloadFault(set, time.Second, 50, burst[:84]); got != "" {
		t.Errorf("84 are within the limit, got %q", got)
	}
}

// slowStartSimulation has replicas that send to endpoints of which one has just started, and do not see each other.
type slowStartSimulation struct {
	replicas  int
	endpoints int
	burst     float64 // times the usual rate, for the first two seconds
	withKey   bool    // requests with an idempotency key
	uneven    bool    // a few replicas get most
}

// runningAttempt is an attempt in flight.
type runningAttempt struct {
	balancer *Balancer
	endsAt   time.Duration
	ended    AttemptEnded
}

const (
	simulatedCapacity = 50.0 // requests a second of an endpoint that has warmed up
	simulatedStart    = time.Second
)

func (s slowStartSimulation) settings() Settings {
	set := testSettings()
	set.Tier, set.Replicas = 1, s.replicas
	return set
}

// start makes the replicas. The third endpoint is the one that has just started.
func (s slowStartSimulation) start(t *testing.T) (balancers []*Balancer, started string) {
	t.Helper()
	list := testEndpoints(s.endpoints)
	list[2].StartedAt = simulatedStart
	set := s.settings()
	for i := range s.replicas {
		set.ReplicaIndex = i
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		balancers = append(balancers, b)
	}
	return balancers, list[2].ID
}

// run returns when attempts were sent to the started endpoint.
func (s slowStartSimulation) run(t *testing.T) []time.Duration {
	t.Helper()
	balancers, started := s.start(t)
	class := "get"
	if s.withKey {
		class = "post"
	}
	var inFlight []runningAttempt
	var sent []time.Duration
	rng := rand.New(rand.NewPCG(3, 3))
	now := simulatedStart
	for i := 0; now < simulatedStart+12*time.Second; i++ {
		rate := 0.75 * float64(s.endpoints) * simulatedCapacity
		if now < simulatedStart+2*time.Second {
			rate *= s.burst
		}
		now += time.Duration(float64(time.Second) / rate)
		for len(inFlight) > 0 && inFlight[0].endsAt <= now {
			inFlight[0].balancer.Handle(inFlight[0].endsAt, inFlight[0].ended)
			inFlight = inFlight[1:]
		}
		replica := rng.IntN(s.replicas)
		if s.uneven {
			replica = int(float64(s.replicas) * rng.Float64() * rng.Float64() * rng.Float64())
		}
		b, id := balancers[replica], fmt.Sprint(i)
		for _, a := range sendAttempts(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if a.Endpoint == started {
				sent = append(sent, now)
			}
			ended := AttemptEnded{ID: id, Endpoint: a.Endpoint, Result: Success, Answered: true}
			inFlight = append(inFlight, runningAttempt{b, now + 100*msec, ended})
		}
	}
	return sent
}

// What all replicas together send to a warming endpoint in any span must stay within the limit: at a steady three
// quarters of capacity, and in a burst of twice that right after its start, with few replicas that have many
// attempts in flight and with many that have hardly any, evenly or unevenly.
func TestWarmingEndpointIsNotOverloaded(t *testing.T) {
	for _, s := range []slowStartSimulation{
		{replicas: 12, endpoints: 6, burst: 1},
		{replicas: 3, endpoints: 12, burst: 2},
		{replicas: 12, endpoints: 6, burst: 2},
		{replicas: 120, endpoints: 40, burst: 2},
		{replicas: 40, endpoints: 6, burst: 2, withKey: true},
		{replicas: 2, endpoints: 6, burst: 2, uneven: true},
		{replicas: 30, endpoints: 12, burst: 2, uneven: true},
		{replicas: 30, endpoints: 6, burst: 2, withKey: true, uneven: true},
		{replicas: 350, endpoints: 60, burst: 1, uneven: true},
	} {
		sent := s.run(t)
		if len(sent) < 20 {
			t.Errorf("%+v: the warming endpoint got only %d attempts", s, len(sent))
		}
		if fault := overloadFault(s.settings(), simulatedStart, simulatedCapacity, sent); fault != "" {
			t.Errorf("%+v: %s", s, fault)
		}
	}
}
