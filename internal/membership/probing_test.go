package membership

import (
	"testing"
	"time"
)

// reportDead simulates a report of a process's failure detector that a member is dead.
func (f *testFleet) reportDead(by *Mesh, name string) {
	by.do(func() {
		for _, p := range by.processes.byName[name] {
			by.handleEvent(processEvent{node: p.node, live: false})
		}
	})
}

// A member that the failure detector reports dead stays a suspect as long as it answers this process's probes, and is
// dead after it has ended.
func TestAnswersOutweighADeadReport(t *testing.T) {
	f := newTestFleet(t, 4)
	by := f.meshes[0]
	f.reportDead(by, "n2")
	eventually(t, "n2 is suspect", func() bool { return stateOf(by, "n2") == Suspect })
	reachableAt := func() time.Duration {
		at := make(chan time.Duration, 1)
		by.do(func() { at <- by.reachability.reachableAt(by.processes.byName["n2"][0].id) })
		return <-at
	}
	for from := reachableAt(); reachableAt() < from+2*suspectTimeout; time.Sleep(5 * time.Millisecond) {
		if state := stateOf(by, "n2"); state != Suspect {
			t.Fatalf("n2, which still answers probes, is %s, want suspect", state)
		}
	}
	f.meshes[2].Close()
	eventually(t, "n2 is dead after it has ended", func() bool { return stateOf(by, "n2") == Dead })
}

// newBareMesh returns a mesh without a failure detector that knows of some processes, all alive.
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

// Guards against a death that is never confirmed: an answer that was in transit when the failure detector reported the
// death closed the inquiry, and the detector reports a death only once.
func TestAnswerAfterADeadReportHidesNoDeath(t *testing.T) {
	for name, answersAfter := range map[string]int{ // ticks
		"in the tick of the report": 0,
		"in the tick after it":      1,
		"in many ticks":             20,
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
				t.Errorf("reported dead, with an answer after the report: state %s, want %s", suspect.state, Suspect)
			}
			const bound = answerValidity + suspectTimeout + 2*tickInterval
			for range bound / tickInterval {
				m.passTick("b")
			}
			if suspect.state != Dead {
				t.Errorf("%v after its last answer: state %s, want %s", bound, suspect.state, Dead)
			}
		})
	}
}

// passTick simulates a tick of a bare mesh: time advances by the interval, some processes answer, and those with an
// open inquiry are probed.
func (m *Mesh) passTick(answering ...string) {
	m.startedAt = m.startedAt.Add(-tickInterval)
	for _, id := range answering {
		m.recordAnswer(m.processes.byID[id])
	}
	m.advanceInquiries()
	for _, id := range m.reachability.openInquiryIDs() {
		m.reachability.recordProbe(id)
	}
}

// A process that gets no answer from any member assumes that it is disconnected itself. It confirms no member dead
// until 20 s have passed.
func TestDisconnectedProcessConfirmsNobodyDead(t *testing.T) {
	for _, tt := range []struct {
		silence time.Duration // since the last answer from any member
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
		if m.advanceInquiries(); suspect.state != tt.want {
			t.Errorf("after %v without an answer from any member the suspect is %s, want %s",
				tt.silence, suspect.state, tt.want)
		}
	}
}

// Guards against a reconnected process that confirms all other members dead: the first answer ended the disconnection,
// and the inquiries about the other members, which had stayed open during it, then counted as silence of these members.
func TestReconnectedProcessConfirmsNobodyDead(t *testing.T) {
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
			t.Fatalf("soon after the first answer from c: reported a is %s, unreported b is %s, want none gone",
				reported.state, unreported.state)
		}
	}
	for range 2 * silenceTimeout / tickInterval {
		m.passTick("c")
	}
	if reported.state != Dead || unreported.state != Dead {
		t.Errorf("after two more silence timeouts: reported a is %s, unreported b is %s, want both gone",
			reported.state, unreported.state)
	}
}

// A process that has answered before and now answers no member is confirmed dead without a report of the failure
// detector. A process that has recently answered another member is not.
func TestSilentProcessesAreConfirmedDeadWithoutAReport(t *testing.T) {
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
	m.advanceInquiries()
	silent, acknowledged := m.processes.byID["a"], m.processes.byID["b"]
	if silent.state != Dead || acknowledged.state != Alive {
		t.Errorf("a without an answer is %s, want gone; b with an indirect answer is %s, want alive",
			silent.state, acknowledged.state)
	}
	if m.recordAnswer(silent); silent.state != Alive { // the failure detector will not report its return
		t.Error("a, which was confirmed dead without a report and has answered since, is not alive")
	}
}

func TestAssessmentOfAnInquiry(t *testing.T) {
	const now = time.Minute
	for name, tt := range map[string]struct {
		reported     bool
		disconnected bool          // the probing process
		age          time.Duration // of the inquiry
		probes       int
		answered     time.Duration // how long ago
		want         assessment
	}{
		"new":                          {false, false, 0, 0, time.Second, assessmentOpen},
		"answered since":               {false, false, time.Second, 3, time.Second / 2, assessmentReachable},
		"answered since, but reported": {true, false, time.Second, 9, time.Second / 2, assessmentSuspect},
		"reported and silent":          {true, false, suspectTimeout, suspectProbes, 2 * time.Second, assessmentDead},
		"reported, too few probes":     {true, false, suspectTimeout, suspectProbes - 1, 2 * time.Second, assessmentSuspect},
		"silent without a report":      {false, false, silenceTimeout, silenceProbes, 2 * time.Second, assessmentDead},
		"silent for too short a time":  {false, false, suspectTimeout, silenceProbes, 2 * time.Second, assessmentOpen},
		"reported, but disconnected":   {true, true, suspectTimeout, suspectProbes, 2 * time.Second, assessmentSuspect},
		"silent, but disconnected":     {false, true, silenceTimeout, silenceProbes, 2 * time.Second, assessmentOpen},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReachability()
			r.answeredAt["a"] = now - tt.answered
			r.inquiries["a"] = &inquiry{since: now - tt.age, probes: tt.probes}
			if tt.reported {
				r.reportDead("a", now)
			}
			if got := r.assess("a", now, tt.disconnected); got != tt.want {
				t.Errorf("assess = %d, want %d", got, tt.want)
			}
		})
	}
}
