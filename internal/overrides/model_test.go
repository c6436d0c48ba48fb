package overrides

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleetModel runs registers in virtual time under random faults: clocks that run up to 0.5% fast or slow and start at
// random readings, messages that are delayed, lost and duplicated, partitions, suspensions, restarts without state,
// and changes of the leader. It upholds what the membership guarantees: there is at most one leader at a time, and a
// majority is reachable when a leadership begins.
type fleetModel struct {
	random      *rand.Rand
	now         time.Duration // true time
	names       []string
	registers   map[string]*Register
	clockOffset map[string]time.Duration // reading of the process's clock at time 0
	clockRate   map[string]float64       // against true time
	resumesAt   map[string]time.Duration // end of the suspension
	isolated    map[string]bool          // partitioned from all others
	leader      string                   // empty: there is none
	inFlight    []delivery
	incarnation uint64 // the last one used

	trueExpiry   map[string]map[Version]time.Duration // by id and version: expiry in true time
	acknowledged map[string]map[Version]bool          // by id: versions that a majority has had
	newest       map[string]map[string]Version        // by process and id: newest acknowledged version it has had

	issued    int    // overrides issued
	checks    int    // overrides in force whose expiry was checked
	violation string // the first violation, empty if there is none
}

// delivery is a message and the true time at which it arrives.
type delivery struct {
	at      time.Duration
	message OutboundMessage
}

const modelStep = 20 * time.Millisecond

func newFleetModel(seed uint64) *fleetModel {
	m := &fleetModel{
		random:       rand.New(rand.NewPCG(seed, 3)),
		names:        []string{"a", "b", "c", "d", "e"},
		registers:    map[string]*Register{},
		clockOffset:  map[string]time.Duration{},
		clockRate:    map[string]float64{},
		resumesAt:    map[string]time.Duration{},
		isolated:     map[string]bool{},
		trueExpiry:   map[string]map[Version]time.Duration{},
		acknowledged: map[string]map[Version]bool{},
		newest:       map[string]map[string]Version{},
	}
	for _, name := range m.names {
		m.clockRate[name] = 0.995 + 0.01*m.random.Float64()
		m.start(name)
	}
	return m
}

// start replaces the process of a name with a new process that has no state.
func (m *fleetModel) start(name string) {
	m.incarnation++
	m.clockOffset[name] = m.randomDuration(time.Hour)
	m.registers[name] = New(name, m.incarnation)
	m.newest[name] = map[string]Version{}
}

func (m *fleetModel) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// clock returns the current reading of a process's clock.
func (m *fleetModel) clock(name string) time.Duration {
	return m.clockOffset[name] + time.Duration(float64(m.now)*m.clockRate[name])
}

func (m *fleetModel) running(name string) bool { return m.now >= m.resumesAt[name] }

// send delays each message by up to a second, loses some and duplicates others.
func (m *fleetModel) send(out []OutboundMessage) {
	for _, message := range out {
		for m.random.Float64() < 0.8 {
			at := m.now + m.randomDuration(time.Second)
			m.inFlight = append(m.inFlight, delivery{at: at, message: message})
			if m.random.Float64() < 0.9 {
				break
			}
		}
	}
}

// updateMembership gives a process the members and the leader. A process that is isolated learns of no leader.
func (m *fleetModel) updateMembership(name string) {
	leader := m.leader
	if m.isolated[name] && name != m.leader {
		leader = ""
	}
	m.send(m.registers[name].UpdateMembership(m.clock(name), leader, m.names))
}

func (m *fleetModel) updateAllMemberships() {
	for _, name := range m.names {
		if m.running(name) {
			m.updateMembership(name)
		}
	}
}

// changeLeader ends the current leadership, and makes a random reachable process the leader if a majority is reachable.
func (m *fleetModel) changeLeader() {
	m.leader = ""
	m.updateAllMemberships()
	reachable := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool {
		return m.isolated[name] || !m.running(name)
	})
	if len(reachable) > len(m.names)/2 {
		m.leader = reachable[m.random.IntN(len(reachable))]
	}
}

// changeOverride revokes, issues, renews or replaces an override at the leader.
func (m *fleetModel) changeOverride() {
	register, now := m.registers[m.leader], m.clock(m.leader)
	id := fmt.Sprint("o", m.random.IntN(3))
	old := register.state.entries[id]
	if m.random.Float64() < 0.3 {
		if _, out, err := register.Revoke(now, id); err == nil {
			m.send(out)
		}
		return
	}
	var replaces *Version
	if old != nil && m.random.Float64() < 0.7 {
		replaces = &old.Version
	}
	duration := time.Duration(1+m.random.IntN(20)) * time.Second
	override := Override{Kind: "zone", Scope: "x", Value: fmt.Sprint(m.random.IntN(9)), Reason: "r", Author: "a"}
	entry, out, err := register.Put(now, id, override, duration, replaces)
	if err != nil || out == nil {
		return
	}
	if m.trueExpiry[id] == nil {
		m.trueExpiry[id] = map[Version]time.Duration{}
	}
	m.trueExpiry[id][entry.Version] = m.now + time.Duration(float64(duration)/m.clockRate[m.leader])
	m.issued++
	m.send(out)
}

// injectFault injects a random fault or changes an override at the leader, each with a low probability.
func (m *fleetModel) injectFault() {
	name := m.names[m.random.IntN(len(m.names))]
	switch x := m.random.Float64(); {
	case x < 0.004:
		m.isolated[name] = !m.isolated[name]
	case x < 0.007:
		m.resumesAt[name] = m.now + m.randomDuration(10*time.Second)
	case x < 0.009:
		m.start(name)
		if m.leader == name {
			m.changeLeader()
		}
	case x < 0.015:
		m.changeLeader()
	case x < 0.05 && m.leader != "" && m.running(m.leader):
		m.changeOverride()
	}
}

// step advances the time by modelStep, with or without faults.
func (m *fleetModel) step(faults bool) {
	m.now += modelStep
	if faults {
		m.injectFault()
	}
	leaderLost := m.leader != "" && (!m.running(m.leader) || m.isolated[m.leader])
	if leaderLost || m.leader == "" && m.random.Float64() < 0.02 {
		m.changeLeader()
	}
	m.updateAllMemberships()
	m.deliver()
	m.recordAcknowledged()
	for _, name := range m.names {
		if m.running(name) {
			m.checkInvariants(name)
		}
	}
}

// deliver delivers the messages that are due. Messages from or to an isolated process are lost, and so are those to a
// suspended one.
func (m *fleetModel) deliver() {
	isDue := func(d delivery) bool { return d.at <= m.now }
	due := slices.DeleteFunc(slices.Clone(m.inFlight), func(d delivery) bool { return !isDue(d) })
	m.inFlight = slices.DeleteFunc(m.inFlight, isDue)
	for _, d := range due {
		to, from := d.message.To, d.message.From
		if m.running(to) && !m.isolated[to] && !m.isolated[from] {
			m.send(m.registers[to].Handle(m.clock(to), d.message.Message))
		}
	}
}

// recordAcknowledged records the versions that a majority has in a state of the leader's term.
func (m *fleetModel) recordAcknowledged() {
	if m.leader == "" || m.registers[m.leader].role != roleLeading {
		return
	}
	leader := m.registers[m.leader]
	for id, entry := range leader.state.entries {
		if 2*m.holders(id, entry.Version, leader.state.version.Term) <= len(m.names) {
			continue
		}
		if m.acknowledged[id] == nil {
			m.acknowledged[id] = map[Version]bool{}
		}
		m.acknowledged[id][entry.Version] = true
	}
}

// holders returns the number of processes that have a version of an override in a state of a term.
func (m *fleetModel) holders(id string, version Version, term uint64) int {
	count := 0
	for _, register := range m.registers {
		entry := register.state.entries[id]
		if entry != nil && entry.Version == version && register.state.version.Term == term {
			count++
		}
	}
	return count
}

// checkInvariants checks that a process applies no override after the true expiry of its version, and that no override
// returns to a process after that process has had a newer version that a majority acknowledged.
func (m *fleetModel) checkInvariants(name string) {
	for _, entry := range m.registers[name].InForce(m.clock(name)) {
		m.checks++
		if expiry := m.trueExpiry[entry.ID][entry.Version]; m.now > expiry+modelStep {
			m.recordViolation("at %v %s applies %s %v, which expired at %v", m.now, name, entry.ID, entry.Version, expiry)
		}
	}
	for id, entry := range m.registers[name].state.entries {
		if newest := m.newest[name][id]; entry.Version.Compare(newest) < 0 {
			m.recordViolation("at %v %s holds %s %v again, after acknowledged %v", m.now, name, id, entry.Version, newest)
		}
		if m.acknowledged[id][entry.Version] {
			m.newest[name][id] = entry.Version
		}
	}
}

// recordViolation records a violation if it is the first one.
func (m *fleetModel) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// run injects faults for a minute, then none until all processes have the same state. It returns the first violation,
// and the time from the last fault to the agreement.
func (m *fleetModel) run() (violation string, agreedAfter time.Duration) {
	const convergenceLimit = 30 * time.Second
	for m.now < time.Minute && m.violation == "" {
		m.step(true)
	}
	m.isolated = map[string]bool{}
	m.resumesAt = map[string]time.Duration{}
	lastFault := m.now
	for m.violation == "" {
		m.step(false)
		agreedAfter = m.now - lastFault
		if m.agreed() {
			break
		}
		if agreedAfter > convergenceLimit {
			m.recordViolation("processes still have different states %v after the last fault", convergenceLimit)
		}
	}
	return m.violation, agreedAfter
}

// agreed reports whether all processes have the leader's state.
func (m *fleetModel) agreed() bool {
	if m.leader == "" || m.registers[m.leader].role != roleLeading {
		return false
	}
	for _, name := range m.names {
		if m.registers[name].state.version != m.registers[m.leader].state.version {
			return false
		}
	}
	return true
}
