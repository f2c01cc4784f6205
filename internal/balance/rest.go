package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// rest notes that the target wants nothing from this box for the given time. A later request for a
// shorter rest does not end an earlier one, since answers may arrive out of order.
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

// defaultMaxRest is the longest rest that a target may ask for if MaxRest is not set.
const defaultMaxRest = time.Minute

func (b *Balancer) maxRest() time.Duration {
	if b.MaxRest > 0 {
		return b.MaxRest
	}
	return defaultMaxRest
}

const (
	// restJitterDivisor is the divisor of a rest that gives the jitter over which boxes that were
	// asked at the same moment come back, and maxRestJitter its upper bound.
	restJitterDivisor = 8
	maxRestJitter     = 500 * time.Millisecond
)

// restJitter returns how much later than asked this box comes back.
func (b *Balancer) restJitter(length time.Duration) time.Duration {
	return time.Duration(b.randFloat() * float64(min(length/restJitterDivisor, maxRestJitter)))
}

// isProbing reports whether the target has been sent its one probe after a rest, whose answer says
// whether it takes more. Without it, all jobs that waited would arrive at once.
func (s *targetState) isProbing() bool { return s.afterRest && s.probe != nil }

// isRestingOrProbing reports whether the target takes nothing from this box now: its rest is not
// over, or its probe is in progress.
func (s *targetState) isRestingOrProbing(now time.Time) bool {
	return s.isResting(now) || s.isProbing()
}

// probe makes the placement's parts the probes of those targets that have rested and have none.
func (p *Placement) probe() {
	for _, own := range p.parts {
		if s := own.state; s.afterRest && s.probe == nil {
			s.probe = own
		}
	}
}

// restRemaining returns the time until the first of the targets has rested, zero if one does not
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

// RestRemaining returns the time until the first target may take the job if all of them rest, zero
// if one does not.
func (b *Balancer) RestRemaining(j Job) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.restRemaining(b.candidates(j))
}

// isResting reports whether the target has asked this box for a rest that is not over.
func (s *targetState) isResting(now time.Time) bool { return now.Before(s.heardLocally.Rest.Value) }

// isRestingForPeer reports whether the target has asked a peer for a rest that is not over.
func (s *targetState) isRestingForPeer(now time.Time) bool { return now.Before(s.statement.Rest.Value) }

// logRest logs that a target asks for rest, once until the rest is over.
func (b *Balancer) logRest(id barleystep.TargetID, length time.Duration) {
	if b.Log == nil {
		return
	}
	b.Log.Info().Str("target", string(id)).Dur("rest", length).Msg(logPrefix + "A target asks for rest.")
}
