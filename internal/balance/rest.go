package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// rest notes that the target wants nothing from this box for so long. A shorter rest that it asks
// for later does not end an earlier one: answers pass each other on their way.
func (b *Balancer) rest(id barleystep.TargetID, s *targetState, length time.Duration) {
	now := b.Clock.Now()
	rested := s.isResting(now)
	length = min(length, b.maxRest())
	rest := &s.heardLocally.Rest
	rest.At = now
	if until := now.Add(length + b.restJitter(length)); until.After(rest.Value) {
		rest.Value = until
	}
	s.afterRest = true
	b.markDeclined(id)
	if !rested {
		b.logRest(id, length)
	}
}

// defaultLongestRest is the longest rest that a target may ask for if nothing else is set.
const defaultMaxRest = time.Minute

func (b *Balancer) maxRest() time.Duration {
	if b.MaxRest > 0 {
		return b.MaxRest
	}
	return defaultMaxRest
}

const (
	// spreadPart is the part of a rest, as a divisor, over which boxes come back that were asked
	// in the same moment, and longestSpread how long that is at the most.
	restJitterDivisor = 8
	maxRestJitter     = 500 * time.Millisecond
)

// restSpread returns by how much later than asked this box comes back.
func (b *Balancer) restJitter(length time.Duration) time.Duration {
	return time.Duration(b.randFloat() * float64(min(length/restJitterDivisor, maxRestJitter)))
}

// probing reports whether the target has one request after its rest, whose answer says whether
// it takes more: what waited meanwhile would all come at once.
func (s *targetState) isProbing() bool { return s.afterRest && s.probe != nil }

// rests reports whether the target takes nothing from this box now: it has asked for rest that
// is not over, or has one request after it.
func (s *targetState) isRestingOrProbing(now time.Time) bool {
	return s.isResting(now) || s.isProbing()
}

// probe makes the placement's parts the first ones after their targets' rest, where they are.
func (p *Placement) probe() {
	for _, own := range p.parts {
		if s := own.state; s.afterRest && s.probe == nil {
			s.probe = own
		}
	}
}

// restLeft returns after how long the first of the targets has rested, zero if one does not
// rest.
func (b *Balancer) restRemaining(targets []fleet.Target) (left time.Duration) {
	now := b.Clock.Now()
	for i, t := range targets {
		rest := max(b.targetState(t.ID).heardLocally.Rest.Value.Sub(now), 0)
		if i == 0 || rest < left {
			left = rest
		}
	}
	return left
}

// RestLeft returns after how long a target may take the job that all rest from, zero if one
// does not rest.
func (b *Balancer) RestRemaining(j Job) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.restRemaining(b.candidates(j))
}

// resting reports whether the target has asked this box for rest that is not over.
func (s *targetState) isResting(now time.Time) bool { return now.Before(s.heardLocally.Rest.Value) }

// restsElsewhere reports whether the target has asked another box for rest that is not over.
func (s *targetState) isRestingForPeer(now time.Time) bool { return now.Before(s.statement.Rest.Value) }

// logRest tells that a target asks for rest, once until the rest is over.
func (b *Balancer) logRest(id barleystep.TargetID, length time.Duration) {
	if b.Log == nil {
		return
	}
	b.Log.Info().Str("target", string(id)).Dur("rest", length).Msg(logPrefix + "A target asks for rest.")
}
