package policy

import (
	"math/rand/v2"
	"time"
)

// maxCreditedShare is the largest share of slow start that may count as over when the start of an endpoint
// becomes known, except in the first list.
const maxCreditedShare = 0.25

// slowStart limits the load of endpoints that have recently started. Their capacity is assumed to grow
// linearly.
type slowStart struct {
	initialCapacity float64       // share of its full capacity that an endpoint has when it starts
	duration        time.Duration // time from the start to full capacity
	overloadFactor  float64       // ratio of load to capacity at which an endpoint fails; 0: unknown
}

func newSlowStart(settings Settings) slowStart {
	return slowStart{
		initialCapacity: settings.SlowStartInitialCapacity,
		duration:        settings.SlowStartDuration,
		overloadFactor:  settings.SlowStartOverloadFactor,
	}
}

// startTime returns when slow start begins for an endpoint that reports a new start time, or 0 if the endpoint
// started long ago. Start times come from the wall clocks of other machines, which may be wrong, so times in
// the future count as now. If a list has been received before, the endpoint has started while this replica runs,
// so its start also counts as recent: no more than maxCreditedShare of slow start is over. In the first list,
// start times in the past are used as they are, since nothing else distinguishes old endpoints from new ones.
func (s slowStart) startTime(reported, now time.Duration, listReceived bool) time.Duration {
	if reported <= 0 {
		return 0
	}
	earliest := time.Duration(1)
	if listReceived {
		credit := time.Duration(maxCreditedShare * float64(s.duration))
		earliest = max(earliest, now-credit)
	}
	return max(earliest, min(reported, now))
}

// warmingUp reports whether an endpoint that started at the given time is in slow start.
func (s slowStart) warmingUp(startedAt, now time.Duration) bool {
	return startedAt > 0 && now-startedAt < s.duration
}

// admits decides at random whether an endpoint may be used. In slow start the probability follows the share of its full
// capacity that the endpoint has, and it gets one attempt of this replica at a time: small loads from many
// replicas would add up.
//
// An idle endpoint is preferred over busy ones, so it would get up to twice its part of the requests. The
// division by 1 plus the share of busy endpoints corrects that. An overload factor below 2 reduces the
// probability further, to leave capacity for bursts.
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
