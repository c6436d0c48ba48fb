package membership

// State is what a member is to the others. The texts of its String are part of the operators' interface.
type State int

// States of a member.
//
//	Joining   its process runs and does not serve yet
//	Alive     serves
//	Suspect   has not answered this process's probe, or is called dead by the failure detector, and may answer yet
//	Dead      is confirmed dead
//	Left      has announced that it leaves
//	Conflict  two live processes claim its name
const (
	Joining State = iota
	Alive
	Suspect
	Dead
	Left
	Conflict
)

// String is the state's name in logs and JSON.
func (s State) String() string {
	return [...]string{"joining", "alive", "suspect", "gone", "left", "conflict"}[s]
}

// MarshalText makes a state readable in JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// PartitionSide is the side of a partition that a process is on. The texts of its String are part of the operators'
// interface.
type PartitionSide int

// Sides of a partition. Isolated and Minority mean that no majority of the member list is known to be with this
// process.
//
//	Isolated  sees no other member, though the member list has some
//	Minority  sees others, but not with a majority behind them
//	Majority  a majority of the member list is with it, some members are missing
//	Complete  the complete member list is with it
const (
	Isolated PartitionSide = iota
	Minority
	Majority
	Complete
)

// String is the side's name in logs and JSON.
func (s PartitionSide) String() string {
	return [...]string{"alone", "minority", "majority", "whole"}[s]
}

// MarshalText makes a side readable in JSON.
func (s PartitionSide) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
