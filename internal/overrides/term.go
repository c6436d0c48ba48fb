package overrides

// role is the part of a process in the replication.
//
//	roleFollower  -> rolePreparing   the membership names this process as the leader
//	rolePreparing -> roleLeading     enough members have promised its term
//	roleLeading   -> rolePreparing   a member knows a newer state: the leader needs a higher term
//	any           -> roleFollower    the membership names another leader or none
type role int

const (
	roleFollower role = iota
	rolePreparing
	roleLeading
)

// termPromise is the highest term that this process has promised, and to which incarnation of a leader: a leader that
// has restarted does not inherit the promises of its earlier incarnation.
type termPromise struct {
	term        uint64
	incarnation uint64
}

// promiseSet holds the members that have promised a term to this process, and whether each of them knew a state.
type promiseSet map[string]bool

func (p promiseSet) has(member string) bool {
	_, ok := p[member]
	return ok
}

// complete reports whether the promises suffice to lead. A member that has restarted may have forgotten what it
// promised and held, so it counts only where all members have answered.
func (p promiseSet) complete(members []string) bool {
	knew := 0
	answered := 0
	for _, member := range members {
		knewState, ok := p[member]
		if ok {
			answered++
		}
		if knewState {
			knew++
		}
	}
	return 2*knew > len(members) || answered == len(members)
}

// acknowledgements holds the version that each member had when it last requested the leader's state.
type acknowledgements map[string]Version

// missing returns the members, except self, that have not acknowledged a version.
func (a acknowledgements) missing(members []string, self string, version Version) []string {
	var missing []string
	for _, member := range members {
		if member != self && a[member].Compare(version) < 0 {
			missing = append(missing, member)
		}
	}
	return missing
}
