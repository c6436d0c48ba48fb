package overrides

// role is the role of a process in the replication. Its transitions:
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

// termPromise holds the highest term that this process has promised, and the incarnation of the leader to which it is
// promised: a leader that has restarted does not inherit the promises to its earlier incarnation.
type termPromise struct {
	term        uint64
	incarnation uint64
}

// promiseSet holds the members that have promised the term to this process. The value is true if the member had a
// state.
type promiseSet map[string]bool

func (p promiseSet) has(member string) bool {
	_, ok := p[member]
	return ok
}

// complete reports whether the promises suffice to lead. A member without a state may have restarted and lost its
// promises and its entries, so it counts only if all members have promised.
func (p promiseSet) complete(members []string) bool {
	withState := 0
	promised := 0
	for _, member := range members {
		knewState, ok := p[member]
		if ok {
			promised++
		}
		if knewState {
			withState++
		}
	}
	return 2*withState > len(members) || promised == len(members)
}

// acknowledgements maps each member to the version that it had when it last requested the leader's state.
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
