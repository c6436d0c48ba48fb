package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// overloadSpan is how long an overload must last to make an endpoint fail.
const overloadSpan = 2 * time.Second

// overloadFault describes the first span in which a warming endpoint was sent more than SlowStartOverloadFactor times
// its capacity, or returns "". capacity is its full capacity in requests a second, sent the times of the attempts.
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
			return fmt.Sprintf("overload: %d attempts in %v from %v, limit %.0f", count, overloadSpan, from, limit)
		}
	}
	return ""
}

// If overloadFault missed an overload, the tests that rely on it would prove nothing.
func TestOverloadFaultIsDetected(t *testing.T) {
	set := testSettings() // limit: factor 3 times 50 requests a second times a capacity of 0.28 (mean) times 2 s, 84
	var burst []time.Duration
	for i := range 85 {
		burst = append(burst, time.Second+time.Duration(i)*msec)
	}
	if got := overloadFault(set, time.Second, 50, burst); !strings.HasPrefix(got, "overload:") {
		t.Errorf("85 attempts, over the limit of 84: got %q, want an overload", got)
	}
	if got := overloadFault(set, time.Second, 50, burst[:84]); got != "" {
		t.Errorf("84 attempts, the limit: got %q, want no fault", got)
	}
}

// slowStartSimulation simulates replicas that share nothing and send to the same endpoints. One endpoint has just
// started.
type slowStartSimulation struct {
	replicas  int
	endpoints int
	burst     float64 // factor on the request rate for the first two seconds
	withKey   bool    // requests have an idempotency key
	uneven    bool    // a few replicas get most of the requests
}

// runningAttempt is an attempt in flight.
type runningAttempt struct {
	balancer *Balancer
	endsAt   time.Duration
	ended    AttemptEnded // given to the balancer at endsAt
}

const (
	simulatedCapacity = 50.0        // requests a second of an endpoint that has warmed up
	simulatedStart    = time.Second // start of the started endpoint, and of the requests
)

func (s slowStartSimulation) settings() Settings {
	set := testSettings()
	set.Tier, set.Replicas = 1, s.replicas
	return set
}

// start creates the replicas and returns them with the ID of the started endpoint, the third one.
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

// run simulates 12 s and returns the times of the attempts sent to the started endpoint.
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

// A warming endpoint fails if all replicas together send it more than its limit in any span, though each sends little.
// The limit must hold at a steady load of three quarters of the capacity and in a burst of twice that right after the
// start, with few replicas that have many attempts in flight and with many that have hardly any, and with even and
// uneven load of the replicas.
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
			t.Errorf("%+v: the warming endpoint got %d attempts, want 20 at least", s, len(sent))
		}
		if fault := overloadFault(s.settings(), simulatedStart, simulatedCapacity, sent); fault != "" {
			t.Errorf("%+v: %s", s, fault)
		}
	}
}
