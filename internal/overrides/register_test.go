package overrides

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func evacuate(zone string) Override {
	return Override{Kind: "evacuate", Scope: zone, Reason: "r", Author: "a"}
}

// newSingleMemberRegister returns a register that leads a fleet of one.
func newSingleMemberRegister() *Register {
	r := New("a", 1)
	r.UpdateMembership(0, "a", []string{"a"})
	return r
}

// mustPut issues an override that has to be accepted.
func mustPut(t *testing.T, r *Register, now time.Duration, id string, o Override) Entry {
	t.Helper()
	entry, _, err := r.Put(now, id, o, time.Minute, nil)
	if err != nil {
		t.Fatalf("put %s: %v", id, err)
	}
	return entry
}

func TestPutIsIdempotent(t *testing.T) {
	r := newSingleMemberRegister()
	first := mustPut(t, r, 0, "x", evacuate("z"))
	again, out, err := r.Put(time.Second, "x", evacuate("z"), time.Minute, nil)
	if err != nil || out != nil || again.Version != first.Version || again.Remaining != 59*time.Second {
		t.Errorf("the same again: %+v, %v, %v", again, out, err)
	}
}

func TestPutReplacesOnlyTheNamedVersion(t *testing.T) {
	r := newSingleMemberRegister()
	first := mustPut(t, r, 0, "x", evacuate("z"))
	if _, _, err := r.Put(time.Second, "x", evacuate("y"), time.Minute, nil); !errors.Is(err, ErrIDInUse) {
		t.Errorf("another under an id in use: %v", err)
	}
	replaced, _, err := r.Put(time.Second, "x", evacuate("y"), time.Hour, &first.Version)
	if err != nil || replaced.Remaining != time.Hour || replaced.Version.Compare(first.Version) <= 0 {
		t.Errorf("replaced by its version: %+v, %v", replaced, err)
	}
	if _, _, err := r.Put(time.Second, "x", evacuate("z"), time.Hour, &first.Version); !errors.Is(err, ErrIDInUse) {
		t.Errorf("replaced by an older version: %v", err)
	}
}

func TestPutIsBounded(t *testing.T) {
	r := newSingleMemberRegister()
	for i := range MaxEntries {
		mustPut(t, r, time.Second, fmt.Sprint(i), evacuate("z"))
	}
	if _, _, err := r.Put(time.Second, "one more", evacuate("z"), time.Minute, nil); !errors.Is(err, ErrRegisterFull) {
		t.Errorf("one more than %d: %v", MaxEntries, err)
	}
	for _, duration := range []time.Duration{0, -1, MaxDuration + 1} {
		_, _, err := r.Put(0, "bad", evacuate("z"), duration, nil)
		if invalid := (*InvalidError)(nil); !errors.As(err, &invalid) {
			t.Errorf("an override of %v: %v, want an *InvalidError", duration, err)
		}
	}
}

func TestRevoke(t *testing.T) {
	r := newSingleMemberRegister()
	if _, _, err := r.Revoke(time.Second, "unknown"); !errors.Is(err, ErrNotFound) {
		t.Errorf("revoked one that is not there: %v", err)
	}
	entry := mustPut(t, r, 0, "x", evacuate("z"))
	version, _, err := r.Revoke(time.Second, "x")
	if err != nil || version.Compare(entry.Version) <= 0 || len(r.InForce(time.Second)) != 0 {
		t.Errorf("revoked: %v, %v, in force %v", version, err, r.InForce(time.Second))
	}
}

// Without a majority nothing is accepted but for this process, and that expires too.
func TestMinorityAcceptsOnlyLocalOverrides(t *testing.T) {
	r := newSingleMemberRegister()
	r.UpdateMembership(0, "", []string{"a", "b", "c"})
	if _, _, err := r.Put(0, "x", evacuate("z"), time.Minute, nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("accepted in a minority: %v", err)
	}
	if err := r.PutLocal(0, "x", evacuate("z"), MaxLocalDuration+1); err == nil {
		t.Error("a local override may last too long")
	}
	if err := r.PutLocal(0, "x", evacuate("z"), time.Minute); err != nil {
		t.Errorf("local: %v", err)
	}
	if before, after := r.InForce(time.Minute-1), r.InForce(time.Minute); len(before) != 1 || len(after) != 0 {
		t.Errorf("in force before its expiry: %v; after: %v", before, after)
	}
	if sent := r.state.entries.export(0); len(sent) != 0 {
		t.Errorf("a local override is sent: %v", sent)
	}
}

// A message of a term that no fleet reaches does not bring the last term near.
func TestImplausibleTermsAreIgnored(t *testing.T) {
	kinds := []MessageKind{KindStateRequest, KindStateResponse, KindChangeNotice, KindPrepare, KindPromise}
	r := New("a", 1)
	r.UpdateMembership(0, "b", []string{"a", "b"})
	for _, kind := range kinds {
		version := Version{Term: math.MaxUint64, Leader: "b"}
		r.Handle(0, Message{Kind: kind, From: "b", Requester: 1, Term: math.MaxUint64, Version: version})
	}
	if r.promised.term != 0 || r.state.version.Term != 0 {
		t.Errorf("promised %d, holds %d", r.promised.term, r.state.version.Term)
	}
}

// A leader that has restarted does not have the promises of its earlier incarnation: it leads in another term.
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
		t.Errorf("the new process requests term %d, want 2", b.promised.term)
	}
}

func TestPromisesComplete(t *testing.T) {
	members := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		promises promiseSet
		want     bool
	}{
		"a minority that knew a state":             {promiseSet{"a": true}, false},
		"a majority that knew a state":             {promiseSet{"a": true, "b": true}, true},
		"a majority, of which one restarted":       {promiseSet{"a": true, "b": false}, false},
		"all, though all restarted":                {promiseSet{"a": false, "b": false, "c": false}, true},
		"a majority of processes outside of these": {promiseSet{"a": true, "x": true, "y": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.promises.complete(members); got != test.want {
				t.Errorf("complete: %v, want %v", got, test.want)
			}
		})
	}
}

func TestUnacknowledgedMembers(t *testing.T) {
	old, current := Version{Term: 1, Sequence: 1}, Version{Term: 1, Sequence: 2}
	acknowledged := acknowledgements{"b": current, "c": old}
	got := acknowledged.missing([]string{"a", "b", "c", "d"}, "a", current)
	if want := []string{"c", "d"}; !slices.Equal(got, want) {
		t.Errorf("missing: %v, want %v", got, want)
	}
}

// An entry of another process's clock expires early by the margin, at the latest when its issuer lets it expire.
func TestReceivedEntryExpiresEarly(t *testing.T) {
	const requestedAt = 10 * time.Second
	entry := newReceivedEntry(requestedAt, Entry{ID: "x", Remaining: 101 * time.Second})
	if want := requestedAt + 100*time.Second; entry.safeExpiry() != want {
		t.Errorf("expires at %v, want %v", entry.safeExpiry(), want)
	}
	tooLong := newReceivedEntry(requestedAt, Entry{ID: "x", Remaining: 2 * MaxDuration})
	if tooLong.expiresAt != requestedAt+MaxDuration {
		t.Errorf("expires at %v, want the longest duration", tooLong.expiresAt)
	}
}
