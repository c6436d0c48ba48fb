// What a process believes of its fleet, as others see it.

package membership

import (
	"slices"
	"time"
)

// Member is one member as this process sees it.
type Member struct {
	Name        string        `json:"name"`
	State       State         `json:"state"`
	Zone        string        `json:"zone"`
	Region      string        `json:"region"`
	Tier        int           `json:"tier"`
	Incarnation uint64        `json:"incarnation"`
	Version     string        `json:"version,omitempty"`
	Config      string        `json:"config,omitempty"` // digest of its configuration
	Address     string        `json:"address"`
	Age         time.Duration `json:"age_ns"`         // of the state, when the view was taken
	Suppressed  bool          `json:"held,omitempty"` // comes and goes too often: not counted on for now

	since time.Duration
}

// IsLive says that a process of the member takes part.
func (m Member) IsLive() bool { return m.State != Dead && m.State != Left }

// View is what a process believes of its fleet at one moment. Members are sorted by name. Digest is the same in all
// processes that see the same living members in the same epoch.
type View struct {
	Epoch             Epoch
	Side              PartitionSide
	LeaderProcess     uint64 // the leading process that has proved a majority
	Members           []Member
	Digest            uint64
	MemberListSize    int      // members that the side is computed against
	MemberListSettled bool     // no change of the roster is under way
	Leader            string   // the name of Under; "": none is proved
	MemberList        []string // of the roster, sorted; not to be changed

	until time.Duration // of the side's proof, by the mesh's clock
}

// Counters are the mesh's figures since its start.
type Counters struct {
	States     map[string]int   `json:"states"`
	PacketsOut int64            `json:"packets_out"`
	BytesOut   int64            `json:"bytes_out"`
	Dropped    map[string]int64 `json:"dropped"`
	Health     int              `json:"health"` // Lifeguard's score of this process; 0 is well
}

// Disagreement is a member whose view has another digest than ours.
type Disagreement struct {
	Member   string        `json:"with"`
	Disputed []string      `json:"about"` // members that one of us misses, as far as both have said
	Duration time.Duration `json:"for_ns"`
}

// View returns the newest view. Its side is checked against the time: a process that stood still claims nothing on the
// strength of what was proved before.
func (m *Mesh) View() View {
	v, now := *m.view.Load(), m.now()
	if v.Side >= Majority && now >= v.until {
		v.Side, v.LeaderProcess, v.Leader = Minority, 0, ""
	}
	v.Members = slices.Clone(v.Members)
	for i := range v.Members {
		v.Members[i].Age = now - v.Members[i].since
	}
	return v
}

// Counters returns the figures, as old as the mesh's tick at most.
func (m *Mesh) Counters() Counters { return *m.counters.Load() }

// Disagreements returns whose view differs from ours. The leader of a roster knows of all members, others of the leader.
func (m *Mesh) Disagreements() []Disagreement { return *m.disagree.Load() }
