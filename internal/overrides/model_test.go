package overrides

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// model plays registers in virtual time: clocks that run 0.5% fast or slow and start anywhere, messages that are late, lost
// and come twice, cuts, stops, restarts with nothing, and leaders that change. The mesh's promise is kept: no two lead at one
// moment, and a leader has a majority in reach when it begins.
type model struct {
	r      *rand.Rand
	now    time.Duration // true time
	names  []string
	at     map[string]*Register
	skew   map[string]time.Duration
	rate   map[string]float64
	stop   map[string]time.Duration
	cut    map[string]bool // cut off from all
	leader string
	mail   []letter
	next   uint64
	ends   map[string]map[Version]time.Duration // true ends, by id and version
	sure   map[string]map[Version]bool          // by id: versions that a majority has held under their leader
	newest map[string]map[string]Version        // by process and id: the newest of these that it has had
	issued int
	held   int // looks at overrides in force
	broken string
}

type letter struct {
	at time.Duration
	o  OutboundMessage
}

const modelStep = 20 * time.Millisecond

func newModel(seed uint64) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 3)), names: []string{"a", "b", "c", "d", "e"}, at: map[string]*Register{}, skew: map[string]time.Duration{},
		rate: map[string]float64{}, stop: map[string]time.Duration{}, cut: map[string]bool{}, ends: map[string]map[Version]time.Duration{},
		newest: map[string]map[string]Version{}, sure: map[string]map[Version]bool{}}
	for _, n := range m.names {
		m.rate[n] = 0.995 + 0.01*m.r.Float64()
		m.start(n)
	}
	return m
}

func (m *model) start(n string) {
	m.next++
	m.skew[n] = time.Duration(m.r.Int64N(int64(time.Hour)))
	m.at[n], m.newest[n] = New(n, m.next), map[string]Version{}
}

func (m *model) clock(n string) time.Duration {
	return m.skew[n] + time.Duration(float64(m.now)*m.rate[n])
}

func (m *model) up(n string) bool { return m.now >= m.stop[n] }

func (m *model) send(out []OutboundMessage) {
	for _, o := range out {
		for m.r.Float64() < 0.8 { // now and then twice or more
			m.mail = append(m.mail, letter{m.now + time.Duration(m.r.Int64N(int64(time.Second))), o})
			if m.r.Float64() < 0.9 {
				break
			}
		}
	}
}

// view tells a process whom the mesh has for the leader, as far as it can know.
func (m *model) view(n string) {
	leader := m.leader
	if m.cut[n] && n != m.leader {
		leader = ""
	}
	m.send(m.at[n].UpdateMembership(m.clock(n), leader, m.names))
}

// lead ends the lead of whoever has it, and gives it to another that has a majority in reach.
func (m *model) lead() {
	m.leader = ""
	for _, n := range m.names {
		if m.up(n) {
			m.view(n)
		}
	}
	reach := slices.DeleteFunc(slices.Clone(m.names), func(n string) bool { return m.cut[n] || !m.up(n) })
	if len(reach) > len(m.names)/2 {
		m.leader = reach[m.r.IntN(len(reach))]
	}
}

func (m *model) order() {
	r, now := m.at[m.leader], m.clock(m.leader)
	id := fmt.Sprint("o", m.r.IntN(3))
	old := r.state.entries[id]
	if m.r.Float64() < 0.3 {
		if _, out, err := r.Revoke(now, id); err == nil {
			m.send(out)
		}
		return
	}
	var replaces *Version
	if old != nil && m.r.Float64() < 0.7 {
		replaces = &old.Version
	}
	lasts := time.Duration(1+m.r.IntN(20)) * time.Second
	f, out, err := r.Put(now, id, Override{Kind: "zone", Scope: "x", Value: fmt.Sprint(m.r.IntN(9)), Reason: "r", Author: "a"}, lasts, replaces)
	if err != nil || out == nil {
		return
	}
	if m.ends[id] == nil {
		m.ends[id] = map[Version]time.Duration{}
	}
	m.ends[id][f.Version] = m.now + time.Duration(float64(lasts)/m.rate[m.leader])
	m.issued++
	m.send(out)
}

func (m *model) step(calm bool) {
	m.now += modelStep
	if !calm {
		n := m.names[m.r.IntN(len(m.names))]
		switch x := m.r.Float64(); {
		case x < 0.004:
			m.cut[n] = !m.cut[n]
		case x < 0.007:
			m.stop[n] = m.now + time.Duration(m.r.Int64N(int64(10*time.Second)))
		case x < 0.009:
			m.start(n)
			if m.leader == n {
				m.lead()
			}
		case x < 0.015:
			m.lead()
		case x < 0.05 && m.leader != "" && m.up(m.leader):
			m.order()
		}
	}
	if m.leader != "" && (!m.up(m.leader) || m.cut[m.leader]) || m.leader == "" && m.r.Float64() < 0.02 {
		m.lead()
	}
	for _, n := range m.names {
		if m.up(n) {
			m.view(n)
		}
	}
	due := slices.DeleteFunc(slices.Clone(m.mail), func(l letter) bool { return l.at > m.now })
	m.mail = slices.DeleteFunc(m.mail, func(l letter) bool { return l.at <= m.now })
	for _, l := range due {
		if m.up(l.o.To) && (!m.cut[l.o.To] && !m.cut[l.o.From]) {
			m.send(m.at[l.o.To].Handle(m.clock(l.o.To), l.o.Message))
		}
	}
	m.confirm()
	for _, n := range m.names {
		if m.up(n) {
			m.look(n)
		}
	}
}

// confirm notes which versions a majority holds under the leader.
func (m *model) confirm() {
	if m.leader == "" || m.at[m.leader].role != roleLeading {
		return
	}
	for id, h := range m.at[m.leader].state.entries {
		n := 0
		for _, r := range m.at {
			if o := r.state.entries[id]; o != nil && o.Version == h.Version && r.state.version.Term == m.at[m.leader].state.version.Term {
				n++
			}
		}
		if 2*n > len(m.names) {
			if m.sure[id] == nil {
				m.sure[id] = map[Version]bool{}
			}
			m.sure[id][h.Version] = true
		}
	}
}

// look checks the invariants: nothing acts past the true end of its version, and none comes back after a newer one that
// was confirmed.
func (m *model) look(n string) {
	for _, f := range m.at[n].InForce(m.clock(n)) {
		m.held++
		if end := m.ends[f.ID][f.Version]; m.now > end+modelStep && m.broken == "" {
			m.broken = fmt.Sprintf("at %v %s acts on %s %v, which ended at %v", m.now, n, f.ID, f.Version, end)
		}
	}
	for id, h := range m.at[n].state.entries {
		if before := m.newest[n][id]; h.Version.Compare(before) < 0 && m.broken == "" {
			m.broken = fmt.Sprintf("at %v %s holds %s %v again, after %v", m.now, n, id, h.Version, before)
		}
		if m.sure[id][h.Version] {
			m.newest[n][id] = h.Version
		}
	}
}

// play returns what was broken, if anything, and how long after the last fault all held the same.
func (m *model) play() (broken string, agreed time.Duration) {
	for m.now < time.Minute && m.broken == "" {
		m.step(false)
	}
	m.cut, m.stop = map[string]bool{}, map[string]time.Duration{}
	for from := m.now; m.broken == ""; {
		m.step(true)
		same := m.leader != "" && m.at[m.leader].role == roleLeading
		for _, n := range m.names {
			same = same && m.at[n].state.version == m.at[m.leader].state.version
		}
		if agreed = m.now - from; same {
			break
		}
		if agreed > 30*time.Second {
			m.broken = "not agreed 30 s after the last fault"
		}
	}
	return m.broken, agreed
}

// ORDERS_SEEDS=20000 go test -run Model ./internal/orders plays as many seeds as one likes.
func TestModelOfTheRegister(t *testing.T) {
	seeds := 300
	if s := os.Getenv("ORDERS_SEEDS"); s != "" {
		seeds, _ = strconv.Atoi(s)
	}
	issued, held, worst := 0, 0, time.Duration(0)
	first, _ := strconv.ParseUint(os.Getenv("ORDERS_FIRST"), 10, 64)
	for seed := first; seed < first+uint64(seeds); seed++ {
		m := newModel(seed)
		broken, agreed := m.play()
		if broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
		issued, held, worst = issued+m.issued, held+m.held, max(worst, agreed)
	}
	if t.Logf("%d seeds: %d orders, %d looks at one in force, all agreed %v after the last fault at the worst", seeds, issued, held, worst); issued < 3*seeds || held < 100*seeds {
		t.Error("too little was ordered to prove anything")
	}
}
