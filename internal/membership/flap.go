package membership

import "time"

// Parameters of flap damping: a member that has too often returned after it was confirmed dead is suppressed, that is,
// marked in the view as one not to rely on, for a while.
const (
	flapHalfLife        = time.Minute // of a member's penalty
	flapThreshold       = 2.5         // penalty from which a member is suppressed: the third return in a short time
	flapMinSuppression  = 5 * time.Second
	flapMaxSuppression  = time.Minute
	flapMaxPenalty      = 10
	flapForgottenWeight = 0.1 // a smaller penalty is deleted
)

// flapDamping keeps a penalty for each member that has returned after it was confirmed dead.
type flapDamping struct {
	penalties map[string]*flapPenalty // by member name
}

// flapPenalty is a member's penalty, which grows by one with each return and halves in each half-life.
type flapPenalty struct {
	points          float64
	updatedAt       time.Duration
	suppressedUntil time.Duration
}

func newFlapDamping() flapDamping {
	return flapDamping{penalties: map[string]*flapPenalty{}}
}

// decayedPoints returns the penalty as decayed until now. Within a half-life the decay is linear.
func (p *flapPenalty) decayedPoints(now time.Duration) float64 {
	halfLives := float64(now-p.updatedAt) / float64(flapHalfLife)
	weight := p.points
	for ; halfLives >= 1; halfLives-- {
		weight /= 2
	}
	return weight * (1 - halfLives/2)
}

// recordReturn adds one to a member's penalty, and suppresses the member if the penalty reaches the threshold. Each
// point over the threshold doubles the duration of the suppression.
func (f *flapDamping) recordReturn(name string, now time.Duration) {
	p := f.penalties[name]
	if p == nil {
		p = &flapPenalty{}
		f.penalties[name] = p
	}
	p.points = min(p.decayedPoints(now)+1, flapMaxPenalty)
	p.updatedAt = now
	excess := p.points - flapThreshold
	if excess < 0 {
		return
	}
	suppression := flapMinSuppression
	for ; excess >= 1 && suppression < flapMaxSuppression; excess-- {
		suppression *= 2
	}
	p.suppressedUntil = now + min(suppression, flapMaxSuppression)
}

func (f *flapDamping) isSuppressed(name string, now time.Duration) bool {
	p := f.penalties[name]
	return p != nil && now < p.suppressedUntil
}

// isEmpty reports whether no member has a penalty.
func (f *flapDamping) isEmpty() bool { return len(f.penalties) == 0 }

// prune deletes penalties that have decayed and whose suppression is over.
func (f *flapDamping) prune(now time.Duration) {
	for name, p := range f.penalties {
		if now > p.suppressedUntil && p.decayedPoints(now) < flapForgottenWeight {
			delete(f.penalties, name)
		}
	}
}
