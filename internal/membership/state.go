package membership

// State is the state of a member. The strings that String returns are part of the operators' interface.
type State int

// States of a member.
//
//	Joining   its process runs but does not serve yet
//	Alive     it serves
//	Suspect   it did not answer a probe, or the failure detector reports it dead; its death is not confirmed yet
//	Dead      it is confirmed dead
//	Left      it has announced that it is leaving
//	Conflict  two live processes claim its name
const (
	Joining State = iota
	Alive
	Suspect
	Dead
	Left
	Conflict
)

// String returns the state's name in logs and JSON.
func (s State) String() string {
	return [...]string{"joining", "alive", "suspect", "gone", "left", "conflict"}[s]
}

// MarshalText encodes the state in JSON by its String.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// PartitionSide is the side of a partition that a process is on. The strings that String returns are part of the
// operators' interface.
type PartitionSide int

// Sides of a partition. Isolated and Minority mean that this process does not know of a majority on its side.
//
//	Isolated  no other member is live, although the member list has others
//	Minority  other members are live, but no leader has a proven majority
//	Majority  a majority of the member list is on its side, some members are missing
//	Complete  all members of the list are on its side
const (
	Isolated PartitionSide = iota
	Minority
	Majority
	Complete
)

// String returns the side's name in logs and JSON.
func (s PartitionSide) String() string {
	return [...]string{"alone", "minority", "majority", "whole"}[s]
}

// MarshalText encodes the side in JSON by its String.
func (s PartitionSide) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
