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
	r.View(0, "a", []string{"a"})
	return r
}

func TestPutIsIdempotentAndBounded(t *testing.T) {
	r := alone()
	first, _, err := r.Put(0, "x", order("z"), time.Minute, nil)
	if err != nil {
		t.Fatal(err)
	}
	if again, out, err := r.Put(time.Second, "x", order("z"), time.Minute, nil); err != nil || out != nil || again.Mark != first.Mark || again.Left != 59*time.Second {
		t.Errorf("the same again: %+v, %v, %v", again, out, err)
	}
	if _, _, err := r.Put(time.Second, "x", order("y"), time.Minute, nil); !errors.Is(err, ErrLive) {
		t.Errorf("another under a live id: %v", err)
	}
	if f, _, err := r.Put(time.Second, "x", order("y"), time.Hour, &first.Mark); err != nil || f.Left != time.Hour || f.Mark.Compare(first.Mark) <= 0 {
		t.Errorf("replaced by its version: %+v, %v", f, err)
	}
	for i := len(r.facts); i < MostFacts; i++ {
		if _, _, err := r.Put(time.Second, fmt.Sprint(i), order("z"), time.Minute, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := r.Put(time.Second, "one more", order("z"), time.Minute, nil); !errors.Is(err, ErrFull) {
		t.Errorf("one more than %d: %v", MostFacts, err)
	}
	for _, lasts := range []time.Duration{0, -1, MostTime + 1} {
		if _, _, err := r.Put(0, "bad", order("z"), lasts, nil); err == nil {
			t.Errorf("an override of %v is taken", lasts)
		}
	}
	if _, _, err := r.Revoke(time.Second, "nobody"); !errors.Is(err, ErrUnknown) {
		t.Errorf("revoked one that is not there: %v", err)
	}
}

// Without a majority nothing is taken but for this process, and that ends too.
func TestMinorityTakesOnlyWhatIsHere(t *testing.T) {
	r := alone()
	r.View(0, "", []string{"a", "b", "c"})
	if _, _, err := r.Put(0, "x", order("z"), time.Minute, nil); !errors.Is(err, ErrMinority) {
		t.Errorf("taken in a minority: %v", err)
	}
	if err := r.PutHere(0, "x", order("z"), MostHere+1); err == nil {
		t.Error("one that is here only lasts too long")
	}
	if err := r.PutHere(0, "x", order("z"), time.Minute); err != nil || len(r.InForce(time.Minute-1)) != 1 || len(r.InForce(time.Minute)) != 0 || len(r.state(0)) != 0 {
		t.Errorf("here: %v", err)
	}
}

// A message of a term that no fleet reaches does not bring the last term near.
func TestJunkTermsAreIgnored(t *testing.T) {
	r := New("a", 1)
	r.View(0, "b", []string{"a", "b"})
	for _, k := range []Kind{Ask, Answer, Notice, Collect, Held} {
		r.Hear(0, Message{Kind: k, From: "b", For: 1, Term: math.MaxUint64, Mark: Mark{Term: math.MaxUint64, Leader: "b"}})
	}
	if r.promised != 0 || r.mark.Term != 0 {
		t.Errorf("promised %d, held %d", r.promised, r.mark.Term)
	}
}

// A leader that has started again does not have its former self's promises: it leads in another term.
func TestRestartedLeaderTakesAnotherTerm(t *testing.T) {
	roster := []string{"a", "b", "c"}
	a, b := New("a", 7), New("b", 2)
	a.View(0, "b", roster)
	a.Hear(0, Message{Kind: Collect, From: "b", For: 1, Term: 1}) // b's former process
	for _, o := range b.View(0, "b", roster) {
		if o.To == "a" {
			for _, held := range a.Hear(0, o.Message) {
				b.Hear(0, held.Message)
			}
		}
	}
	if b.promised != 2 {
		t.Errorf("the new process asks for term %d, want 2", b.promised)
	}
}
