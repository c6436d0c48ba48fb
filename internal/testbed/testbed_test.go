package testbed

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"keelusher/internal/testbed/testbedtest"
)

var binary string // the node program, built once

func TestMain(m *testing.M) {
	if behavior := os.Getenv("TESTBED_TEST_AS"); behavior != "" {
		runStubNode(behavior)
		return
	}
	os.Exit(testbedtest.Main(m, &binary))
}

// small returns a world with as many tiers as numbers of servers are given, and little work.
func small(nodes int, servers ...int) World {
	w := World{Binary: binary, Seed: 1, Zones: []string{"a", "b"}, Classes: []Class{
		{Name: "view", Effect: "read_like", Share: 0.7, LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Name: "booking", Effect: "non_idempotent", Share: 0.3, LatencyObjective: time.Second, Deadline: 2 * time.Second},
	}}
	names := []string{"front", "schedule", "rooms"}
	for i, n := range servers {
		t := Tier{Name: names[i], Servers: n}
		if i == 0 {
			t.Nodes = nodes
		}
		if i < len(servers)-1 {
			t.Calls = 1
		}
		w.Tiers = append(w.Tiers, t)
		for c := range w.Classes {
			w.Classes[c].Work = append(w.Classes[c].Work, 5*time.Millisecond)
		}
	}
	return w
}

// tally collects the results of arrivals and counts them by end.
type tally struct {
	mu   sync.Mutex
	ends map[string]int
	all  []ArrivalResult
}

func (x *tally) add(s ArrivalResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ends == nil {
		x.ends = map[string]int{}
	}
	x.ends[s.End]++
	x.all = append(x.all, s)
}

// served returns the number of arrivals that were served within the latency objective.
func (x *tally) served() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ends["served"]
}

// check reports a non-nil error as a failure of the test, which goes on.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// writeText writes a text to a connection and fails the test on an error.
func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// draw sets the defaults of a load and draws its arrivals.
func draw(t *testing.T, w *World, l Load, length time.Duration) (Load, []Arrival) {
	t.Helper()
	if err := l.Fill(w); err != nil {
		t.Fatal(err)
	}
	return l, Draw(w, &l, length, 7)
}

// checkNoFindings checks that there are no findings that count, and that every accepted request is accounted for.
func checkNoFindings(t *testing.T, tb *Testbed) {
	t.Helper()
	found, counts := tb.Findings()
	if len(counts) > 0 {
		t.Errorf("findings: %s", summary(counts))
		for _, f := range found[:min(5, len(found))] {
			t.Log(f)
		}
	}
	a := tb.Checker().Account()
	if a.Taken != a.Answered+a.Left+a.CutOff+a.Lost || a.Open != 0 {
		t.Errorf("got account %+v, want taken = answered + left + cut off + lost, and none open", a)
	}
}

// Three tiers of the real node program serve at least 95 % of a drawn load, and every request is accounted for.
func TestThreeTiersServe(t *testing.T) {
	tb := Start(t, small(2, 2, 2, 2))
	load, arrivals := draw(t, &tb.world, Load{Rate: 100}, 2*time.Second)
	var got tally
	tb.Drive(context.Background(), &load, arrivals, got.add)
	if got.served() < len(arrivals)*95/100 {
		t.Errorf("served %d of %d arrivals, want at least 95 %%; ends %v", got.served(), len(arrivals), got.ends)
	}
	checkNoFindings(t, tb)
	if a := tb.Checker().Account(); a.Taken < 3*len(arrivals)*95/100 {
		t.Errorf("nodes accepted %d requests for %d arrivals, want 95 %% of three for each", a.Taken, len(arrivals))
	}
}

// The same seed gives the same arrivals and fault steps, and another seed gives others, so that a run can be repeated.
func TestSameSeedDrawsTheSameRun(t *testing.T) {
	var out [3]bytes.Buffer
	for i, seed := range []uint64{5, 5, 6} {
		w := small(3, 4, 4)
		if err := w.Fill(); err != nil {
			t.Fatal(err)
		}
		load := Load{Rate: 50, EarlyDisconnectShare: 0.05, Bursts: []Burst{{At: time.Second, For: time.Second, Factor: 3}}}
		if err := load.Fill(&w); err != nil {
			t.Fatal(err)
		}
		steps, err := Schedule(
			&w,
			[]Fault{{Kind: "kill", Target: "n*", Pick: 2, At: time.Second, Jitter: time.Second, For: time.Second}},
			seed,
		)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteArrivals(&out[i], Draw(&w, &load, 5*time.Second, seed), steps); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(out[0].Bytes(), out[1].Bytes()) {
		t.Error("seed 5 gave two different runs")
	}
	if bytes.Equal(out[0].Bytes(), out[2].Bytes()) || out[0].Len() < 1000 {
		t.Error("seeds 5 and 6 gave the same run, or a run of less than 1000 bytes")
	}
}
