// Package orders holds temporary traffic overrides of a fleet: the register, a pure state machine without I/O, a clock or
// random numbers. What a process holds ends by itself, by its own clock, whether it hears of anybody or not.
//
// A leader whose majority the mesh proves gives each change a Mark, and members take its state over whole: a process that
// missed an issue, a renewal, a revocation or an end needs one answer. A leader that begins asks a majority first, each of
// which promises its term to it alone (as in Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm,
// 2014), and goes on from the newest state among them. So what was confirmed once is not lost, an old copy brings nothing
// back, and an ended or revoked id needs no memory: nothing but a leader's state is ever taken over.
// Majority: overrides are issued, renewed and revoked. Minority, alone: what is held goes on to its end, and nothing new is
// taken but for this process itself.
//
// Rejected: a log of entries that all agree on: a process that slept for an hour needs the state, not its history. And a
// maximum by id over whatever copies are met: a model found that a copy which was never confirmed came back with a member
// that had been cut off, after the override that replaced it had ended and was forgotten.
package overrides

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Bounds of the register.
const (
	MaxEntries       = 256
	MaxDuration      = 24 * time.Hour // that an override may last
	MaxLocalDuration = 5 * time.Minute
	maxIDBytes       = 64   // bytes
	maxTextBytes     = 1024 // bytes of all other fields together
)

// Version orders all changes of a fleet's register.
type Version struct {
	Term     uint64 `json:"t"` // of leading: above all that its majority knew
	Leader   string `json:"l"`
	Sequence uint64 `json:"n"` // change within the term
}

// Compare is negative if m is the older one.
func (m Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(m.Term, o.Term), cmp.Compare(m.Leader, o.Leader), cmp.Compare(m.Sequence, o.Sequence))
}

// Override is what operators order.
type Override struct {
	Kind   string `json:"kind"`
	Scope  string `json:"scope"`
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
	Author string `json:"author"`
}

// Entry is one override as it travels. Left is counted from the moment at which its receiver asked.
type Entry struct {
	ID        string        `json:"id"`
	Version   Version       `json:"m"`
	Override  Override      `json:"is"`
	Remaining time.Duration `json:"left"`
}

// held is a fact in a process's own clock.
type held struct {
	Entry
	end    time.Duration
	came   time.Duration // the question whose answer brought it
	issued bool          // by this very process: its clock is the one that counts
}

// ClockSkewMargin is the part of the time since the last contact by which an override ends early, for clocks that run at other
// rates: two that differ by 1% do no harm.
const ClockSkewMargin = 0.01

// until is when a fact ends by this process's clock, on the safe side.
func (h *held) until() time.Duration {
	if h.issued {
		return h.end
	}
	return h.came + time.Duration(float64(h.end-h.came)/(1+ClockSkewMargin))
}

// left is what a fact still has.
func (h *held) left(now time.Duration) time.Duration { return max(0, h.until()-now) }

// inForce says that an override acts at a moment. It is to be asked where it acts, at each decision.
func (h *held) inForce(now time.Duration) bool { return h.left(now) > 0 }

// out is a fact as it goes to one that asks.
func (h *held) out(now time.Duration) Entry {
	f := h.Entry
	f.Remaining = h.left(now)
	return f
}

// Why an override is not taken.
var (
	ErrNoQuorum       = errors.New("this side of the fleet has no majority; only an override marked here is taken")
	ErrLeaderNotReady = errors.New("the leader is still asking what the fleet holds")
	ErrIDInUse        = errors.New("another override lives under this id; name the version that this one replaces")
	ErrRegisterFull   = fmt.Errorf("the register holds %d overrides, and takes no more", MaxEntries)
	ErrNotFound       = errors.New("no override lives under this id")
)

// check says what is wrong with an override and its length.
func check(id string, o Override, lasts, most time.Duration) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return fmt.Errorf("an id needs 1 to %d bytes", maxIDBytes)
	case o.Kind == "" || o.Scope == "" || o.Reason == "" || o.Author == "":
		return errors.New("kind, scope, reason and author are needed")
	case len(o.Kind)+len(o.Scope)+len(o.Value)+len(o.Reason)+len(o.Author) > maxTextBytes:
		return fmt.Errorf("an override has more than %d bytes", maxTextBytes)
	case lasts <= 0 || lasts > most:
		return fmt.Errorf("an override lasts from above 0 to %v", most)
	}
	return nil
}
