// Package overrides implements the replicated register of a fleet's temporary traffic overrides. The register is a pure
// state machine: it does no I/O, reads no clock and draws no random numbers. Every override expires, and each process
// enforces the expiry on its own clock, whether or not it can reach other members.
//
// The leader, which has a quorum, gives each change a Version. Members replace their state with the leader's complete
// state, so a single response brings a process that missed changes up to date. A new leader prepares its term first: a
// majority promises the term to that process only (the first phase of Paxos; the election in Ongaro and Ousterhout, In
// Search of an Understandable Consensus Algorithm, 2014), and the leader continues from the newest state of that
// majority. Hence a change that a majority acknowledged is not lost, an old copy does not return, and removed overrides
// need no tombstones.
//
// With a quorum, overrides are issued, renewed and revoked. Without one, existing overrides stay in force until they
// expire, and only overrides local to this process are accepted.
//
// Two alternatives were rejected. One is a replicated log: a process that was suspended for an hour needs the state,
// not its history. The other is a merge by the highest version of each id: a model showed that a member that had been
// partitioned brought back an unacknowledged copy after the override that replaced it had expired and was removed.
package overrides

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits of the register.
const (
	MaxEntries       = 256 // in the replicated register, and as many among the overrides local to one process
	MaxDuration      = 24 * time.Hour
	MaxLocalDuration = 5 * time.Minute // of an override local to one process
	maxIDBytes       = 64
	maxFieldBytes    = 1024 // of all fields of an override in total
)

// Version identifies a change of a fleet's register; versions order all changes. The zero value is older than any
// change.
type Version struct {
	Term     uint64 `json:"t"` // higher than every term that a majority knew when the leader was elected
	Leader   string `json:"l"` // member that made the change
	Sequence uint64 `json:"n"` // number of the change within the term
}

// Compare returns a negative number if v is older than other, 0 if they are equal, and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Leader, other.Leader),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}

// Override is a temporary change to the routing of traffic, requested by an operator.
type Override struct {
	Kind   string `json:"kind"`
	Scope  string `json:"scope"`
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
	Author string `json:"author"`
}

// Entry is a versioned override as it is sent. The receiver counts Remaining from the time of its request.
type Entry struct {
	ID        string        `json:"id"`
	Version   Version       `json:"m"`
	Override  Override      `json:"is"`
	Remaining time.Duration `json:"left"`
}

// Errors for a change that is rejected. An override that is invalid in itself is rejected with an *InvalidError.
// The texts of the errors are sent to operators.
var (
	ErrNoQuorum       = errors.New("this side of the fleet has no majority; only an override marked here is taken")
	ErrLeaderNotReady = errors.New("the leader is still asking what the fleet holds")
	ErrIDInUse        = errors.New("another override lives under this id; name the version that this one replaces")
	ErrRegisterFull   = fmt.Errorf("the register holds %d overrides, and takes no more", MaxEntries)
	ErrNotFound       = errors.New("no override lives under this id")
)

// InvalidError is the error for an override that can never be accepted. It holds the reason.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// invalidf returns an *InvalidError with a formatted reason.
func invalidf(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// validate returns an *InvalidError if the id, the fields or the duration of an override are invalid.
func validate(id string, o Override, duration, maxDuration time.Duration) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return invalidf("an id needs 1 to %d bytes", maxIDBytes)
	case o.Kind == "" || o.Scope == "" || o.Reason == "" || o.Author == "":
		return invalidf("kind, scope, reason and author are needed")
	case len(o.Kind)+len(o.Scope)+len(o.Value)+len(o.Reason)+len(o.Author) > maxFieldBytes:
		return invalidf("an override has more than %d bytes", maxFieldBytes)
	case duration <= 0 || duration > maxDuration:
		return invalidf("an override lasts from above 0 to %v", maxDuration)
	}
	return nil
}
