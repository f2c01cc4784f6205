package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// rest notes that the target wants nothing from this box for so long, and returns until when
// that is. A shorter rest that it asks for later does not end an earlier one: answers pass each
// other on their way.
func (b *Balancer) rest(id barleystep.TargetID, s *state, length time.Duration) (until time.Time) {
	now := b.Clock.Now()
	rested := s.resting(now)
	if until := now.Add(length); until.After(s.restUntil) {
		s.restUntil = until
	}
	if !rested {
		b.logRest(id, length)
	}
	return s.restUntil
}

// restLeft returns after how long the first of the targets has rested, zero if one does not
// rest.
func (b *Balancer) restLeft(targets []fleet.Target) (left time.Duration) {
	now := b.Clock.Now()
	for i, t := range targets {
		rest := max(b.state(t.ID).restUntil.Sub(now), 0)
		if i == 0 || rest < left {
			left = rest
		}
	}
	return left
}

// RestLeft returns after how long a target may take the job that all rest from, zero if one
// does not rest.
func (b *Balancer) RestLeft(j Job) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.restLeft(b.candidates(j))
}

// resting reports whether the target has asked this box for rest that is not over.
func (s *state) resting(now time.Time) bool { return now.Before(s.restUntil) }

// restsElsewhere reports whether the target has asked another box for rest that is not over.
func (s *state) restsElsewhere(now time.Time) bool { return now.Before(s.believed.Rest.Value) }

// logRest tells that a target asks for rest, once until the rest is over.
func (b *Balancer) logRest(id barleystep.TargetID, length time.Duration) {
	if b.Log == nil {
		return
	}
	b.Log.Info().Str("target", string(id)).Dur("rest", length).Msg(logPrefix + "A target asks for rest.")
}
