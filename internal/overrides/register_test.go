package overrides

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

func order(scope string) Override {
	return Override{Kind: "evacuate", Scope: scope, Reason: "r", Author: "a"}
}

// alone is a register that leads a fleet of one.
func alone() *Register {
	r := New("a", 1)
	r.UpdateMembership(0, "a", []string{"a"})
	return r
}

func TestPutIsIdempotentAndBounded(t *testing.T) {
	r := alone()
	first, _, err := r.Put(0, "x", order("z"), time.Minute, nil)
	if err != nil {
		t.Fatal(err)
	}
	if again, out, err := r.Put(time.Second, "x", order("z"), time.Minute, nil); err != nil || out != nil || again.Version != first.Version || again.Remaining != 59*time.Second {
		t.Errorf("the same again: %+v, %v, %v", again, out, err)
	}
	if _, _, err := r.Put(time.Second, "x", order("y"), time.Minute, nil); !errors.Is(err, ErrIDInUse) {
		t.Errorf("another under a live id: %v", err)
	}
	if f, _, err := r.Put(time.Second, "x", order("y"), time.Hour, &first.Version); err != nil || f.Remaining != time.Hour || f.Version.Compare(first.Version) <= 0 {
		t.Errorf("replaced by its version: %+v, %v", f, err)
	}
	for i := len(r.state.entries); i < MaxEntries; i++ {
		if _, _, err := r.Put(time.Second, fmt.Sprint(i), order("z"), time.Minute, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := r.Put(time.Second, "one more", order("z"), time.Minute, nil); !errors.Is(err, ErrRegisterFull) {
		t.Errorf("one more than %d: %v", MaxEntries, err)
	}
	for _, lasts := range []time.Duration{0, -1, MaxDuration + 1} {
		if _, _, err := r.Put(0, "bad", order("z"), lasts, nil); err == nil {
			t.Errorf("an override of %v is taken", lasts)
		}
	}
	if _, _, err := r.Revoke(time.Second, "nobody"); !errors.Is(err, ErrNotFound) {
		t.Errorf("revoked one that is not there: %v", err)
	}
}

// Without a majority nothing is taken but for this process, and that ends too.
func TestMinorityTakesOnlyWhatIsHere(t *testing.T) {
	r := alone()
	r.UpdateMembership(0, "", []string{"a", "b", "c"})
	if _, _, err := r.Put(0, "x", order("z"), time.Minute, nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("taken in a minority: %v", err)
	}
	if err := r.PutLocal(0, "x", order("z"), MaxLocalDuration+1); err == nil {
		t.Error("one that is here only lasts too long")
	}
	if err := r.PutLocal(0, "x", order("z"), time.Minute); err != nil || len(r.InForce(time.Minute-1)) != 1 || len(r.InForce(time.Minute)) != 0 || len(r.state.entries.export(0)) != 0 {
		t.Errorf("here: %v", err)
	}
}

// A message of a term that no fleet reaches does not bring the last term near.
func TestJunkTermsAreIgnored(t *testing.T) {
	r := New("a", 1)
	r.UpdateMembership(0, "b", []string{"a", "b"})
	for _, k := range []MessageKind{KindStateRequest, KindStateResponse, KindChangeNotice, KindPrepare, KindPromise} {
		r.Handle(0, Message{Kind: k, From: "b", Requester: 1, Term: math.MaxUint64, Version: Version{Term: math.MaxUint64, Leader: "b"}})
	}
	if r.promised.term != 0 || r.state.version.Term != 0 {
		t.Errorf("promised %d, held %d", r.promised.term, r.state.version.Term)
	}
}

// A leader that has started again does not have its former self's promises: it leads in another term.
func TestRestartedLeaderTakesAnotherTerm(t *testing.T) {
	roster := []string{"a", "b", "c"}
	a, b := New("a", 7), New("b", 2)
	a.UpdateMembership(0, "b", roster)
	a.Handle(0, Message{Kind: KindPrepare, From: "b", Requester: 1, Term: 1}) // b's former process
	for _, o := range b.UpdateMembership(0, "b", roster) {
		if o.To == "a" {
			for _, held := range a.Handle(0, o.Message) {
				b.Handle(0, held.Message)
			}
		}
	}
	if b.promised.term != 2 {
		t.Errorf("the new process asks for term %d, want 2", b.promised.term)
	}
}
