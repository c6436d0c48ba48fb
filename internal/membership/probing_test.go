package membership

import (
	"testing"
	"time"
)

// reportDead lets the failure detector of a process report another one dead.
func (f *testFleet) reportDead(by *Mesh, name string) {
	by.do(func() {
		for _, p := range by.processes.byName[name] {
			by.handleEvent(processEvent{node: p.node, live: false})
		}
	})
}

// A member that the failure detector reports dead stays, as a suspect, for as long as it answers this process; one that
// ends is dead.
func TestAnswersOutweighADeadReport(t *testing.T) {
	f := newTestFleet(t, 4)
	by := f.meshes[0]
	f.reportDead(by, "n2")
	eventually(t, "the member is suspected", func() bool { return stateOf(by, "n2") == Suspect })
	reachableAt := func() time.Duration {
		at := make(chan time.Duration, 1)
		by.do(func() { at <- by.reachability.reachableAt(by.processes.byName["n2"][0].id) })
		return <-at
	}
	for from := reachableAt(); reachableAt() < from+2*suspectTimeout; time.Sleep(5 * time.Millisecond) {
		if state := stateOf(by, "n2"); state != Suspect {
			t.Fatalf("while it answers the member is %s", state)
		}
	}
	f.meshes[2].Close()
	eventually(t, "once it has ended it is dead", func() bool { return stateOf(by, "n2") == Dead })
}

// newBareMesh is a mesh without a failure detector, that knows of some processes.
func newBareMesh(ids ...string) *Mesh {
	m := &Mesh{
		startedAt:    time.Now().Add(-time.Hour),
		processes:    newProcessTable(),
		suspected:    map[string]bool{},
		reachability: newReachability(),
	}
	for _, id := range ids {
		m.processes.add(&process{id: id, name: id, state: Alive})
	}
	m.reachability.lastAnswer = m.now()
	return m
}

// Guards against a death that is found by nobody: an answer that was under way when the failure detector reported the
// death ended the inquiry, and the detector reports a death once.
func TestAnswerBesideADeadReportHidesNoDeath(t *testing.T) {
	for name, answersAfter := range map[string]int{ // ticks
		"in the tick of the report": 0,
		"as a suspect":              1,
		"again and again":           20,
	} {
		t.Run(name, func(t *testing.T) {
			m := newBareMesh("a", "b")
			suspect := m.processes.byID["a"]
			m.reportDead(suspect)
			for range answersAfter {
				m.passTick("b")
				m.recordAnswer(suspect)
			}
			m.recordAnswer(suspect)
			m.passTick("b")
			if suspect.state != Suspect {
				t.Errorf("reported dead, and it has answered: %s, want %s", suspect.state, Suspect)
			}
			const bound = answerValidity + suspectTimeout + 2*tickInterval
			for range bound / tickInterval {
				m.passTick("b")
			}
			if suspect.state != Dead {
				t.Errorf("%v after its last answer it is %s, want %s", bound, suspect.state, Dead)
			}
		})
	}
}

// passTick lets a bare mesh live through the time of a tick, in which some processes answer and the others are probed.
func (m *Mesh) passTick(answering ...string) {
	m.startedAt = m.startedAt.Add(-tickInterval)
	for _, id := range answering {
		m.recordAnswer(m.processes.byID[id])
	}
	m.verify()
	for _, id := range m.reachability.inquired() {
		m.reachability.recordProbe(id)
	}
}

// A process that gets no answer from anybody is the one that is cut off: it confirms nobody dead, until 20 s are over.
func TestDisconnectedProcessConfirmsNobodyDead(t *testing.T) {
	for _, tt := range []struct {
		silence time.Duration // since anybody answered
		want    State
	}{
		{0, Dead},
		{disconnectedAfter + time.Second, Suspect},
		{disconnectedLimit + time.Second, Dead},
	} {
		m := newBareMesh("a", "b")
		suspect := m.processes.byID["a"]
		m.reportDead(suspect)
		m.reachability.lastAnswer = m.now() - tt.silence
		inquiry := m.reachability.inquiries["a"]
		inquiry.since -= suspectTimeout
		inquiry.probes = suspectProbes
		if m.verify(); suspect.state != tt.want {
			t.Errorf("%v without an answer: the suspect is %s, want %s", tt.silence, suspect.state, tt.want)
		}
	}
}

// Guards against a fleet that its returning member takes for dead: the answer that ended a disconnection made all other
// inquiries, which had been open without an answer throughout it, count as the silence of the others.
func TestReturnFromADisconnectionConfirmsNobodyDead(t *testing.T) {
	m := newBareMesh("a", "b", "c")
	reported, unreported := m.processes.byID["a"], m.processes.byID["b"]
	m.recordAnswer(reported)
	m.recordAnswer(unreported)
	for range disconnectedLimit / tickInterval / 2 {
		m.passTick()
		if m.reachability.silence(m.now()) > disconnectedAfter {
			m.reportDead(reported)
		}
	}
	for range suspectProbes {
		m.passTick("c")
		if reported.state == Dead || unreported.state == Dead {
			t.Fatalf("once another has answered: %s and %s", reported.state, unreported.state)
		}
	}
	for range 2 * silenceTimeout / tickInterval {
		m.passTick("c")
	}
	if reported.state != Dead || unreported.state != Dead {
		t.Errorf("after more silence of theirs: %s and %s", reported.state, unreported.state)
	}
}

// A process that was known and answers nobody is dead without a report of the failure detector; one that has answered
// another is not.
func TestManyDeadAreFoundWithoutAReport(t *testing.T) {
	m := newBareMesh("a", "b", "c")
	now := m.now()
	m.reachability.recordAnswer("c", now)
	for _, id := range []string{"a", "b"} {
		m.reachability.answeredAt[id] = now - 2*silenceTimeout
		m.reachability.inquiries[id] = &inquiry{
			since:  now - silenceTimeout - time.Millisecond,
			probes: silenceProbes,
		}
	}
	m.reachability.indirectAt["b"] = now - silenceTimeout/2
	m.verify()
	silent, acknowledged := m.processes.byID["a"], m.processes.byID["b"]
	if silent.state != Dead || acknowledged.state != Alive {
		t.Errorf("without an answer %s, with an indirect one %s", silent.state, acknowledged.state)
	}
	if m.recordAnswer(silent); silent.state != Alive {
		t.Error("one that answers after all is not back, and the failure detector will not report that")
	}
}

func TestAssessmentOfAnInquiry(t *testing.T) {
	const now = time.Minute
	for name, tt := range map[string]struct {
		reported     bool
		disconnected bool
		age          time.Duration // of the inquiry
		probes       int
		answered     time.Duration // ago
		want         assessment
	}{
		"just begun":                   {false, false, 0, 0, time.Second, assessmentOpen},
		"answered since":               {false, false, time.Second, 3, time.Second / 2, assessmentReachable},
		"answered since, but reported": {true, false, time.Second, 9, time.Second / 2, assessmentSuspect},
		"reported and silent":          {true, false, suspectTimeout, suspectProbes, 2 * time.Second, assessmentDead},
		"reported, probed too little":  {true, false, suspectTimeout, suspectProbes - 1, 2 * time.Second, assessmentSuspect},
		"silent without a report":      {false, false, silenceTimeout, silenceProbes, 2 * time.Second, assessmentDead},
		"silent, but not for long":     {false, false, suspectTimeout, silenceProbes, 2 * time.Second, assessmentOpen},
		"reported by a cut-off one":    {true, true, suspectTimeout, suspectProbes, 2 * time.Second, assessmentSuspect},
		"silent to a cut-off one":      {false, true, silenceTimeout, silenceProbes, 2 * time.Second, assessmentOpen},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReachability()
			r.answeredAt["a"] = now - tt.answered
			r.inquiries["a"] = &inquiry{since: now - tt.age, probes: tt.probes}
			if tt.reported {
				r.reportDead("a", now)
			}
			if got := r.assess("a", now, tt.disconnected); got != tt.want {
				t.Errorf("assessment %d, want %d", got, tt.want)
			}
		})
	}
}
