package membership

import (
	"slices"
	"time"
)

// Member is one member as this process sees it. The JSON is part of the operators' interface.
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

// IsLive reports whether a process of the member takes part.
func (member Member) IsLive() bool { return member.State != Dead && member.State != Left }

// isLive is IsLive, and false for a member that is not known.
func (member Member) isLive() bool { return member.Name != "" && member.IsLive() }

// View is what a process knows of its fleet at one moment. Members are sorted by name. Digest is the same in all
// processes that see the same live members in the same epoch.
type View struct {
	Epoch             Epoch
	Side              PartitionSide
	LeaderProcess     uint64 // the leading process that has proved a majority
	Members           []Member
	Digest            uint64
	MemberListSize    int      // members that the side is computed against
	MemberListSettled bool     // no change of the member list is under way
	Leader            string   // the name of LeaderProcess; "": none is proved
	MemberList        []string // sorted; not to be changed

	claimUntil time.Duration // of the side, by the mesh's clock
}

// Counters count since the mesh's start. The JSON is part of the operators' interface.
type Counters struct {
	States     map[string]int   `json:"states"`
	PacketsOut int64            `json:"packets_out"`
	BytesOut   int64            `json:"bytes_out"`
	Dropped    map[string]int64 `json:"dropped"`
	Health     int              `json:"health"` // Lifeguard's score of this process; 0 is healthy
}

// Disagreement is a member whose view has another digest than this process's. The JSON is part of the operators'
// interface.
type Disagreement struct {
	Member   string        `json:"with"`
	Disputed []string      `json:"about"` // members that one of both misses, as far as both have reported
	Duration time.Duration `json:"for_ns"`
}

// View returns the newest view. Its side is checked against the time: a process that stood still claims nothing on the
// strength of what was proved before.
func (m *Mesh) View() View {
	view, now := *m.view.Load(), m.now()
	if view.Side >= Majority && now >= view.claimUntil {
		view.Side = Minority
		view.LeaderProcess = 0
		view.Leader = ""
	}
	view.Members = slices.Clone(view.Members)
	for i := range view.Members {
		view.Members[i].Age = now - view.Members[i].since
	}
	return view
}

// Counters returns the counters, as old as a second at most.
func (m *Mesh) Counters() Counters { return *m.counters.Load() }

// Disagreements returns whose view differs from this process's. The leader of a member list knows of all members,
// others of the leader.
func (m *Mesh) Disagreements() []Disagreement { return *m.publishedDisagreements.Load() }
