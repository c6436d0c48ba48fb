package membership

import (
	"testing"
	"time"
)

// dead has the detector of a process call another one dead.
func (f *fleet) dead(by *Mesh, name string) {
	by.ask(func() {
		for _, p := range by.named[name] {
			by.event(processEvent{node: p.node, live: false})
		}
	})
}

// A member that the detector calls dead stays, suspected, for as long as it answers this process; one that ends is gone.
func TestAnswersOutweighAnAccusation(t *testing.T) {
	f := newFleet(t, 4)
	by := f.mesh[0]
	f.dead(by, "n2")
	eventually(t, "the accused is suspected", func() bool { return state(by, "n2") == Suspect })
	answered := func() time.Duration {
		at := make(chan time.Duration, 1)
		by.ask(func() { at <- by.evidence.known(by.named["n2"][0].member) })
		return <-at
	}
	for from := answered(); answered() < from+2*inquiry; time.Sleep(5 * time.Millisecond) {
		if s := state(by, "n2"); s != Suspect {
			t.Fatalf("while it answers the accused is %s", s)
		}
	}
	f.mesh[2].Close()
	eventually(t, "once it has ended it is gone", func() bool { return state(by, "n2") == Dead })
}

// bare is a mesh without a detector, that knows of some processes.
func bare(members ...string) *Mesh {
	m := &Mesh{began: time.Now().Add(-time.Hour), processes: map[string]*process{}, suspected: map[string]bool{}, evidence: newEvidence()}
	for _, name := range members {
		m.processes[name] = &process{member: name, name: name, state: Alive}
	}
	m.evidence.last = m.now()
	return m
}

// Who gets no answer from anybody is the one that is cut off: it buries nobody, until 20 s are over.
func TestCutOffProcessTakesNobodyForGone(t *testing.T) {
	for _, c := range []struct {
		quiet time.Duration // since anybody answered
		want  State
	}{{0, Dead}, {cutOffAt + time.Second, Suspect}, {cutOffFor + time.Second, Dead}} {
		m := bare("a", "b")
		m.accuse(m.processes["a"])
		m.evidence.last = m.now() - c.quiet
		q := m.evidence.asked["a"]
		q.since, q.times = q.since-inquiry, inquiryAsks
		if m.judge(); m.processes["a"].state != c.want {
			t.Errorf("%v without an answer: the accused is %s, want %s", c.quiet, m.processes["a"].state, c.want)
		}
	}
}

// One that was known and answers nobody is gone without the detector's word; one that another vouches for is not.
func TestManyDeadAreFoundWithoutAnAccusation(t *testing.T) {
	m := bare("a", "b", "c")
	now := m.now()
	m.evidence.answer("c", now)
	for _, name := range []string{"a", "b"} {
		m.evidence.answered[name] = now - 2*verdict
		m.evidence.asked[name] = &question{since: now - verdict - time.Millisecond, times: verdictAsks}
	}
	m.evidence.vouched["b"] = now - verdict/2
	m.judge()
	if a, b := m.processes["a"].state, m.processes["b"].state; a != Dead || b != Alive {
		t.Errorf("without an answer %s, vouched for %s", a, b)
	}
	if m.answered(m.processes["a"]); m.processes["a"].state != Alive {
		t.Error("one that answers after all is not back, and the detector will not say so")
	}
}
