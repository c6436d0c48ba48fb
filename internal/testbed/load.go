package testbed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load describes an open-loop load of clients: arrivals are a Poisson process and do not wait for answers.
type Load struct {
	Rate    float64   `toml:"rate"`    // arrivals a second over all zones, without retries
	ByZone  []float64 `toml:"by_zone"` // shares of the zones; default: even
	Bursts  []Burst   `toml:"burst"`   // periods with another rate
	Retries int       `toml:"retries"` // maximum number of retries of a client
	// mean wait before a retry, drawn uniformly from 0.5 to 1.5 times this; default 200 ms
	Backoff time.Duration `toml:"backoff"`
	// minimum share of the deadline after which a client's attempt times out; default 0.7
	Patience             float64 `toml:"patience"`
	EarlyDisconnectShare float64 `toml:"impatient"` // share of clients that disconnect early
	// limit on concurrent clients; arrivals beyond it are not sent and make the window void; default 20,000
	MaxInFlight int `toml:"most_flight"`
}

// Burst multiplies the rate by Factor from the time At for the duration For.
type Burst struct {
	At     time.Duration `toml:"at"`
	For    time.Duration `toml:"for"`
	Factor float64       `toml:"times"`
}

// Fill sets the defaults and validates the load. The error is a KeyError.
func (l *Load) Fill(w *World) error {
	orDefault(&l.Backoff, 200*time.Millisecond)
	orDefault(&l.Patience, 0.7)
	orDefault(&l.MaxInFlight, 20000)
	if l.ByZone == nil {
		for range w.Zones {
			l.ByZone = append(l.ByZone, 1)
		}
	}
	switch {
	case !(l.Rate > 0 && l.Rate <= 20000):
		return &KeyError{"load.rate", "must be above 0 and at most 20000 a second"}
	case len(l.ByZone) != len(w.Zones):
		return &KeyError{"load.by_zone", fmt.Sprintf("got %d shares for %d zones", len(l.ByZone), len(w.Zones))}
	case l.Retries < 0 || l.Retries > 10:
		return &KeyError{"load.retries", "must be from 0 to 10"}
	case !(l.Patience > 0 && l.Patience <= 1):
		return &KeyError{"load.patience", "must be above 0 and at most 1"}
	case !(l.EarlyDisconnectShare >= 0 && l.EarlyDisconnectShare <= 1):
		return &KeyError{"load.impatient", "must be from 0 to 1"}
	}
	for i, b := range l.Bursts {
		if b.At < 0 || b.For <= 0 || !(b.Factor >= 0 && b.Factor <= 100) {
			return &KeyError{fmt.Sprintf("load.burst[%d].times", i), "at must be from 0, for above 0, times from 0 to 100"}
		}
	}
	return nil
}

// Arrival is the drawn arrival of one client.
type Arrival struct {
	At              time.Duration // since the load began
	ID              string
	Class           int
	Tenant          int // -1: the world has no tenants
	Zone            int
	Patience        float64 // share of the deadline after which the client's attempt times out
	DisconnectAfter float64 // share of the deadline after which the client disconnects; 0: it stays
	OverQuota       bool    // exceeds its tenant's quota in that second
}

// pickShare draws one of n indices with probabilities in proportion to their shares.
func pickShare(r *rand.Rand, shares func(int) float64, n int) int {
	sum := 0.0
	for i := range n {
		sum += shares(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= shares(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// Draw draws the arrivals of a run at random. The same world, load, length and seed give the same arrivals.
func Draw(w *World, l *Load, length time.Duration, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	rate := func(at time.Duration) float64 {
		v := l.Rate
		for _, b := range l.Bursts {
			if at >= b.At && at < b.At+b.For {
				v *= b.Factor
			}
		}
		return v
	}
	maxRate := l.Rate
	for _, b := range l.Bursts {
		maxRate = max(maxRate, l.Rate*b.Factor)
	}
	var arrivals []Arrival
	sent := map[[2]int64]float64{} // by tenant and second
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
		if at >= length {
			return arrivals
		}
		if r.Float64()*maxRate >= rate(at) { // thinning of a process with the maximum rate
			continue
		}
		a := Arrival{
			At:     at,
			Tenant: -1,
			ID:     strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%d/%d", seed, len(arrivals))), 16),
		}
		a.Class = pickShare(r, func(i int) float64 { return w.Classes[i].Share }, len(w.Classes))
		a.Zone = pickShare(r, func(i int) float64 { return l.ByZone[i] }, len(w.Zones))
		a.Patience = l.Patience + (1-l.Patience)*r.Float64()
		if r.Float64() < l.EarlyDisconnectShare {
			a.DisconnectAfter = a.Patience * r.Float64()
		}
		if len(w.Tenants) > 0 {
			a.Tenant = pickShare(r, func(i int) float64 { return w.Tenants[i].Share }, len(w.Tenants))
			key := [2]int64{int64(a.Tenant), int64(at / time.Second)}
			sent[key]++
			q := w.Tenants[a.Tenant].Quota
			a.OverQuota = q > 0 && sent[key] > q
		}
		arrivals = append(arrivals, a)
	}
}

// WriteArrivals writes arrivals and steps, one a line, so that two runs can be compared byte by byte before they start.
func WriteArrivals(to io.Writer, arrivals []Arrival, steps []Step) error {
	for _, a := range arrivals {
		_, err := fmt.Fprintf(to, "%d %s class=%d tenant=%d zone=%d patience=%.4f leaves=%.4f over=%t\n",
			a.At.Microseconds(), a.ID, a.Class, a.Tenant, a.Zone, a.Patience, a.DisconnectAfter, a.OverQuota)
		if err != nil {
			return err
		}
	}
	for _, s := range steps {
		if _, err := fmt.Fprintf(to, "%d %s\n", s.At.Microseconds(), s); err != nil {
			return err
		}
	}
	return nil
}

// Names of the ends of arrivals in results.
const (
	EndServed       = "served"
	EndLate         = "late"      // served, but not within the latency objective
	EndRejected     = "refused"   // 429 or 503
	EndFailed       = "failed"    // any other answer, or none
	EndDisconnected = "left"      // the client disconnected before the answer
	EndUnreached    = "unreached" // no connection was established
	EndUnsent       = "unsent"    // Load.MaxInFlight clients were in flight
)

// ArrivalResult is the result of one arrival, over all its attempts.
type ArrivalResult struct {
	Arrival        Arrival
	End            string        // one of EndServed, EndLate, ...
	Latency        time.Duration // from the drawn arrival to the last byte, which avoids coordinated omission
	Late           time.Duration // how late the test bed sent the first attempt
	Attempts       int
	Node           string
	PriorityWeight float64 // of the request, whether earned or not
}

// Drive runs the clients of drawn arrivals and calls done with the result of each, from several goroutines. It returns
// once every arrival has ended, or soon after ctx ends.
func (tb *Testbed) Drive(ctx context.Context, load *Load, arrivals []Arrival, done func(ArrivalResult)) {
	began := tb.now()
	var running sync.WaitGroup
	defer running.Wait()
	inFlight := make(chan struct{}, load.MaxInFlight)
	for _, a := range arrivals {
		if !sleepUntil(tb.began.Add(began+a.At), ctx.Done()) {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			done(ArrivalResult{Arrival: a, End: EndUnsent})
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-inFlight }()
			done(tb.runClient(ctx, load, began, a))
		}()
	}
}

// runClient runs one client, with its retries, and returns its result.
func (tb *Testbed) runClient(ctx context.Context, load *Load, began time.Duration, a Arrival) ArrivalResult {
	class := &tb.world.Classes[a.Class]
	from := began + a.At
	s := ArrivalResult{Arrival: a, Late: tb.now() - from, PriorityWeight: class.PriorityWeight}
	tb.lateness.record(tb.now(), s.Late)
	if a.OverQuota {
		s.PriorityWeight *= tb.world.OverQuotaWeight
	}
	end := from + class.Deadline
	req := clientRequest{id: a.ID, class: class}
	if a.Tenant >= 0 {
		req.tenant = tb.world.Tenants[a.Tenant].Name
	}
	if a.DisconnectAfter > 0 {
		req.disconnectAt = from + time.Duration(a.DisconnectAfter*float64(class.Deadline))
	}
	start := from
	for attempt := 0; ; attempt++ {
		req.deadline = min(end, start+time.Duration(a.Patience*float64(class.Deadline)))
		resp := tb.clients[a.Zone].do(ctx, req)
		s.Attempts++
		s.Latency, s.Node, s.End = resp.at-from, resp.node, resp.end.String()
		if resp.end == outcomeServed && s.Latency > class.LatencyObjective {
			s.End = EndLate
		}
		if resp.end == outcomeServed || resp.end == outcomeDisconnected || attempt >= load.Retries || ctx.Err() != nil {
			return s
		}
		wait := time.Duration((0.5 + tb.seededRandom(a.ID, "backoff"+strconv.Itoa(attempt))) * float64(load.Backoff))
		start = resp.at + max(wait, resp.retryAfter)
		if start >= end || req.disconnectAt != 0 && start >= req.disconnectAt {
			return s
		}
		if !sleepUntil(tb.began.Add(start), ctx.Done()) {
			return s
		}
		req.id, req.isRetry = subID(a.ID, -1-attempt), true
	}
}
