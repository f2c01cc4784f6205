package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// rest notes that the target wants nothing from this box for so long.
func (b *Balancer) rest(id barleystep.TargetID, s *state, length time.Duration) {
	if length <= 0 {
		return
	}
	now := b.Clock.Now()
	rested := s.resting(now)
	s.restUntil = now.Add(length)
	if !rested {
		b.logRest(id, length)
	}
}

// resting reports whether the target has asked this box for rest that is not over.
func (s *state) resting(now time.Time) bool { return now.Before(s.restUntil) }

// Resting reports whether the target has asked this box for rest that is not over.
func (b *Balancer) Resting(id barleystep.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).resting(b.Clock.Now())
}

// logRest tells that a target asks for rest, once until the rest is over.
func (b *Balancer) logRest(id barleystep.TargetID, length time.Duration) {
	if b.Log == nil {
		return
	}
	b.Log.Info().Str("target", string(id)).Dur("rest", length).Msg(logPrefix + "A target asks for rest.")
}
