// Package overrides is the replicated register of a fleet's temporary traffic overrides. It is a pure state machine: it
// does no I/O, reads no clock and draws no random numbers. Every override expires, and each process enforces the expiry
// by its own clock, whether it reaches other members or not.
//
// The leader, which has a quorum, gives each change a Version. Members replace their state by the leader's complete
// state, so a process that missed changes needs one response. A new leader prepares its term first: a majority promises
// the term to that process alone (the first phase of Paxos; the election in Ongaro and Ousterhout, In Search of an
// Understandable Consensus Algorithm, 2014), and the leader continues from the newest state among them. Hence a change
// that a majority acknowledged is not lost, an old copy does not return, and removed overrides need no tombstones.
//
// With a quorum, overrides are issued, renewed and revoked. Without one, existing overrides stay in force until they
// expire, and only overrides local to this process are accepted.
//
// Rejected: a replicated log, because a process that was suspended for an hour needs the state and not its history; and
// a merge by the highest version of each id, because a model found that an unacknowledged copy returned with a member
// that had been cut off, after the override that replaced it had expired and was forgotten.
package overrides

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits of the register.
const (
	MaxEntries       = 256
	MaxDuration      = 24 * time.Hour
	MaxLocalDuration = 5 * time.Minute // of an override for this process alone
	maxIDBytes       = 64
	maxFieldBytes    = 1024 // of all fields of an override together
)

// Version orders all changes of a fleet's register. The zero value is older than any change.
type Version struct {
	Term     uint64 `json:"t"` // above every term that a majority knew when the leader was elected
	Leader   string `json:"l"`
	Sequence uint64 `json:"n"` // number of the change within the term
}

// Compare is negative if v is older than other, and positive if it is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Leader, other.Leader),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}

// Override is what an operator requests.
type Override struct {
	Kind   string `json:"kind"`
	Scope  string `json:"scope"`
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
	Author string `json:"author"`
}

// Entry is a versioned override as it is sent. Remaining counts from the moment at which the receiver requested it.
type Entry struct {
	ID        string        `json:"id"`
	Version   Version       `json:"m"`
	Override  Override      `json:"is"`
	Remaining time.Duration `json:"left"`
}

// Reasons for which a change is rejected. An override that is invalid in itself is rejected with an *InvalidError.
var (
	ErrNoQuorum       = errors.New("this side of the fleet has no majority; only an override marked here is taken")
	ErrLeaderNotReady = errors.New("the leader is still asking what the fleet holds")
	ErrIDInUse        = errors.New("another override lives under this id; name the version that this one replaces")
	ErrRegisterFull   = fmt.Errorf("the register holds %d overrides, and takes no more", MaxEntries)
	ErrNotFound       = errors.New("no override lives under this id")
)

// InvalidError says what is wrong with an override that can never be accepted.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

func invalidf(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// validate checks the id of an override, its fields and its duration.
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
