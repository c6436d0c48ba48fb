package overrides

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// evacuate returns an override that evacuates a zone.
func evacuate(zone string) Override {
	return Override{Kind: "evacuate", Scope: zone, Reason: "r", Author: "a"}
}

// newSingleMemberRegister returns the register of the leader of a fleet of one member.
func newSingleMemberRegister() *Register {
	r := New("a", 1)
	r.UpdateMembership(0, "a", []string{"a"})
	return r
}

// mustPut issues an override, and fails the test if it is rejected.
func mustPut(t *testing.T, r *Register, now time.Duration, id string, o Override) Entry {
	t.Helper()
	entry, _, err := r.Put(now, id, o, time.Minute, nil)
	if err != nil {
		t.Fatalf("put override %s: %v", id, err)
	}
	return entry
}

// An operator may repeat a Put whose response was lost: the entry keeps its version and its expiry.
func TestPutIsIdempotent(t *testing.T) {
	r := newSingleMemberRegister()
	first := mustPut(t, r, 0, "x", evacuate("z"))
	again, out, err := r.Put(time.Second, "x", evacuate("z"), time.Minute, nil)
	if err != nil || out != nil || again.Version != first.Version || again.Remaining != 59*time.Second {
		t.Errorf("repeated Put: got entry %+v, messages %v, error %v, want the first entry with 59s left", again, out, err)
	}
}

func TestPutReplacesOnlyTheNamedVersion(t *testing.T) {
	r := newSingleMemberRegister()
	first := mustPut(t, r, 0, "x", evacuate("z"))
	if _, _, err := r.Put(time.Second, "x", evacuate("y"), time.Minute, nil); !errors.Is(err, ErrIDInUse) {
		t.Errorf("other override under an id in use: got error %v, want ErrIDInUse", err)
	}
	replaced, _, err := r.Put(time.Second, "x", evacuate("y"), time.Hour, &first.Version)
	if err != nil || replaced.Remaining != time.Hour || replaced.Version.Compare(first.Version) <= 0 {
		t.Errorf("replacement with the current version: got entry %+v, error %v, want a newer one with 1h left",
			replaced, err)
	}
	if _, _, err := r.Put(time.Second, "x", evacuate("z"), time.Hour, &first.Version); !errors.Is(err, ErrIDInUse) {
		t.Errorf("replacement with an older version: got error %v, want ErrIDInUse", err)
	}
}

func TestPutLimits(t *testing.T) {
	r := newSingleMemberRegister()
	for i := range MaxEntries {
		mustPut(t, r, time.Second, fmt.Sprint(i), evacuate("z"))
	}
	if _, _, err := r.Put(time.Second, "one more", evacuate("z"), time.Minute, nil); !errors.Is(err, ErrRegisterFull) {
		t.Errorf("override beyond the limit of %d: got error %v, want ErrRegisterFull", MaxEntries, err)
	}
	for _, duration := range []time.Duration{0, -1, MaxDuration + 1} {
		_, _, err := r.Put(0, "bad", evacuate("z"), duration, nil)
		if invalid := (*InvalidError)(nil); !errors.As(err, &invalid) {
			t.Errorf("override of duration %v: got error %v, want an *InvalidError", duration, err)
		}
	}
}

func TestRevoke(t *testing.T) {
	r := newSingleMemberRegister()
	if _, _, err := r.Revoke(time.Second, "unknown"); !errors.Is(err, ErrNotFound) {
		t.Errorf("revocation of an unknown id: got error %v, want ErrNotFound", err)
	}
	entry := mustPut(t, r, 0, "x", evacuate("z"))
	version, _, err := r.Revoke(time.Second, "x")
	if err != nil || version.Compare(entry.Version) <= 0 || len(r.InForce(time.Second)) != 0 {
		t.Errorf("revocation: got version %v, error %v, in force %v, want a newer version, none in force",
			version, err, r.InForce(time.Second))
	}
}

// Without a majority, a process accepts only overrides local to itself. They expire too, and are never sent.
func TestMinorityAcceptsOnlyLocalOverrides(t *testing.T) {
	r := newSingleMemberRegister()
	r.UpdateMembership(0, "", []string{"a", "b", "c"})
	if _, _, err := r.Put(0, "x", evacuate("z"), time.Minute, nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("Put in a minority: got error %v, want ErrNoQuorum", err)
	}
	if err := r.PutLocal(0, "x", evacuate("z"), MaxLocalDuration+1); err == nil {
		t.Error("a local override longer than MaxLocalDuration was accepted")
	}
	if err := r.PutLocal(0, "x", evacuate("z"), time.Minute); err != nil {
		t.Errorf("local override: %v", err)
	}
	if before, after := r.InForce(time.Minute-1), r.InForce(time.Minute); len(before) != 1 || len(after) != 0 {
		t.Errorf("local override: got in force before its expiry %v, after it %v, want only before", before, after)
	}
	if sent := r.state.entries.export(0); len(sent) != 0 {
		t.Errorf("entries to send: got %v, want no local override", sent)
	}
}

// A message with an implausibly high term is ignored. If it were adopted, the fleet could run out of terms.
func TestImplausibleTermsAreIgnored(t *testing.T) {
	kinds := []MessageKind{KindStateRequest, KindStateResponse, KindChangeNotice, KindPrepare, KindPromise}
	r := New("a", 1)
	r.UpdateMembership(0, "b", []string{"a", "b"})
	for _, kind := range kinds {
		version := Version{Term: math.MaxUint64, Leader: "b"}
		r.Handle(0, Message{Kind: kind, From: "b", Requester: 1, Term: math.MaxUint64, Version: version})
	}
	if r.promised.term != 0 || r.state.version.Term != 0 {
		t.Errorf("got promised term %d and state of term %d, want 0 for both", r.promised.term, r.state.version.Term)
	}
}

// A restarted leader must not use the promises to its earlier incarnation. If a member has promised a term to that
// incarnation, the leader requests a higher one.
func TestRestartedLeaderTakesAnotherTerm(t *testing.T) {
	members := []string{"a", "b", "c"}
	a, b := New("a", 7), New("b", 2)
	a.UpdateMembership(0, "b", members)
	a.Handle(0, Message{Kind: KindPrepare, From: "b", Requester: 1, Term: 1}) // from b's earlier incarnation
	for _, request := range b.UpdateMembership(0, "b", members) {
		if request.To != "a" {
			continue
		}
		for _, promise := range a.Handle(0, request.Message) {
			b.Handle(0, promise.Message)
		}
	}
	if b.promised.term != 2 {
		t.Errorf("the restarted leader requests term %d, want 2", b.promised.term)
	}
}

// A process may lead only with promises from a majority of members that had a state, or from all members.
func TestPromisesComplete(t *testing.T) {
	members := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		promises promiseSet
		want     bool
	}{
		"a minority that knew a state":         {promiseSet{"a": true}, false},
		"a majority that knew a state":         {promiseSet{"a": true, "b": true}, true},
		"a majority, of which one restarted":   {promiseSet{"a": true, "b": false}, false},
		"all, though all restarted":            {promiseSet{"a": false, "b": false, "c": false}, true},
		"a majority that includes non-members": {promiseSet{"a": true, "x": true, "y": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.promises.complete(members); got != test.want {
				t.Errorf("promises are complete: got %v, want %v", got, test.want)
			}
		})
	}
}

func TestUnacknowledgedMembers(t *testing.T) {
	old, current := Version{Term: 1, Sequence: 1}, Version{Term: 1, Sequence: 2}
	acknowledged := acknowledgements{"b": current, "c": old}
	got := acknowledged.missing([]string{"a", "b", "c", "d"}, "a", current)
	if want := []string{"c", "d"}; !slices.Equal(got, want) {
		t.Errorf("members without an acknowledgement: got %v, want %v", got, want)
	}
}

// A received entry must expire early by the margin for clock skew, so that it ends no later than at its issuer. It must
// never last longer than MaxDuration.
func TestReceivedEntryExpiresEarly(t *testing.T) {
	const requestedAt = 10 * time.Second
	entry := newReceivedEntry(requestedAt, Entry{ID: "x", Remaining: 101 * time.Second})
	if want := requestedAt + 100*time.Second; entry.safeExpiry() != want {
		t.Errorf("received entry expires at %v, want %v", entry.safeExpiry(), want)
	}
	tooLong := newReceivedEntry(requestedAt, Entry{ID: "x", Remaining: 2 * MaxDuration})
	if tooLong.expiresAt != requestedAt+MaxDuration {
		t.Errorf("entry with too long a remaining time expires at %v, want the longest duration", tooLong.expiresAt)
	}
}
