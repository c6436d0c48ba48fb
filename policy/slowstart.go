package policy

import (
	"math/rand/v2"
	"time"
)

// maxCreditedShare is the part of slow start that may be over when the start of an endpoint is notified.
const maxCreditedShare = 0.25

// slowStart limits the load of started endpoints, whose capacity grows linearly.
type slowStart struct {
	initialCapacity float64       // part of its capacity that an endpoint has at its start
	duration        time.Duration // until it has all of its capacity
	overloadFactor  float64       // load over capacity at which an endpoint fails; 0: unknown
}

func newSlowStart(settings Settings) slowStart {
	return slowStart{
		initialCapacity: settings.SlowStartInitialCapacity,
		duration:        settings.SlowStartDuration,
		overloadFactor:  settings.SlowStartOverloadFactor,
	}
}

// startTime is when slow start of an endpoint with a new start time begins, or 0 if it is over. Start times
// come from the wall clocks of other machines, which may be wrong. If the endpoint has restarted while this
// replica runs, its start time is limited to the recent past. In the first list start times are only
// limited to the past, since nothing else tells old endpoints from new ones.
func (s slowStart) startTime(stamp, now time.Duration, restarted bool) time.Duration {
	if stamp <= 0 {
		return 0
	}
	earliest := time.Duration(1)
	if restarted {
		credit := time.Duration(maxCreditedShare * float64(s.duration))
		earliest = max(earliest, now-credit)
	}
	return max(earliest, min(stamp, now))
}

// warmingUp says that an endpoint that started at a time is in slow start.
func (s slowStart) warmingUp(startedAt, now time.Duration) bool {
	return startedAt > 0 && now-startedAt < s.duration
}

// admits draws whether an endpoint may be used, by the share of its capacity that it has. In slow start it
// gets one attempt of this replica at a time: small loads from many replicas would add up.
//
// An idle endpoint wins all draws against busy ones, so it would get up to twice its part of the requests;
// the share of busy endpoints corrects that. A small overload factor reduces the load further, to leave
// capacity for bursts.
func (s slowStart) admits(ep *endpoint, now time.Duration, busyShare float64, rng *rand.Rand) bool {
	if !s.warmingUp(ep.slowStartFrom, now) {
		return true
	}
	age := now - ep.slowStartFrom
	warmedUp := max(0, float64(age)/float64(s.duration))
	share := (s.initialCapacity + (1-s.initialCapacity)*warmedUp) / (1 + busyShare)
	if s.overloadFactor > 0 {
		share *= min(1, s.overloadFactor/2)
	}
	return ep.inFlight == 0 && rng.Float64() < share
}
