package membership

import (
	"slices"
	"time"
)

// Member is the state of one member as this process sees it. Its JSON form is part of the operators' interface.
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
	Age         time.Duration `json:"age_ns"`         // time in this state, when the view was taken
	Suppressed  bool          `json:"held,omitempty"` // flap damping: died and returned too often; not used as replica

	since time.Duration // start of the state, by the mesh's clock
}

// IsLive reports whether the member is neither dead nor has left.
func (member Member) IsLive() bool { return member.State != Dead && member.State != Left }

// isLive is like IsLive, but returns false for the zero Member, which stands for an unknown name.
func (member Member) isLive() bool { return member.Name != "" && member.IsLive() }

// View is the state of the fleet as a process sees it at one moment. Members are sorted by name. Digest is equal in all
// processes that see the same live members in the same epoch.
type View struct {
	Epoch             Epoch
	Side              PartitionSide
	LeaderProcess     uint64 // number of the leading process with a proven majority; 0: none
	Members           []Member
	Digest            uint64
	MemberListSize    int      // number of members against which majorities are counted
	MemberListSettled bool     // no change of the member list is under way
	Leader            string   // member name of LeaderProcess; "": none
	MemberList        []string // sorted; must not be modified

	claimUntil time.Duration // end of the claim to the side, by the mesh's clock
}

// Counters holds the current numbers of members by state, and counts of events since the mesh's start. Its JSON form is
// part of the operators' interface.
type Counters struct {
	States     map[string]int   `json:"states"`
	PacketsOut int64            `json:"packets_out"`
	BytesOut   int64            `json:"bytes_out"`
	Dropped    map[string]int64 `json:"dropped"`
	Health     int              `json:"health"` // Lifeguard's health score of this process; 0 is healthy
}

// Disagreement names a member whose view has a different digest than this process's view. Its JSON form is part of the
// operators' interface.
type Disagreement struct {
	Member   string        `json:"with"`
	Disputed []string      `json:"about"` // members that are missing from only one of the two views, as far as reported
	Duration time.Duration `json:"for_ns"`
}

// View returns the latest view. If its claim to the majority has expired, which can happen while the process is paused,
// the returned view has the side Minority and no leader.
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

// Counters returns the counters, which are at most one second old.
func (m *Mesh) Counters() Counters { return *m.counters.Load() }

// Disagreements returns the members whose view differs from this process's view. The leader compares its view with
// those of all members; any other member compares its view with the leader's only.
func (m *Mesh) Disagreements() []Disagreement { return *m.publishedDisagreements.Load() }
