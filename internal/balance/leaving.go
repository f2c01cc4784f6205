package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// leavingMemory is for how long it is remembered that a target leaves whose record is gone.
// Records lapse during an outage of the store and come back, of targets too that leave and
// serve on for some seconds.
const leavingRetention = time.Minute

// note notes whether a record names the target.
func (s *targetState) notePresence(present bool, now time.Time) {
	switch {
	case present:
		s.absentSince = time.Time{}
	case s.absentSince.IsZero():
		s.absentSince = now
	}
}

// remembers reports whether what is known of a target is kept that no record names.
func (s *targetState) isRetained(now time.Time) bool {
	return s.isLeaving() && now.Sub(s.absentSince) < leavingRetention
}

// closed reports whether the target has said that it takes nothing from this box now: it
// leaves, or rests.
func (s *targetState) isDeclining(now time.Time) bool { return s.isLeaving() || s.isResting(now) }

// withheld returns the targets that are offered nothing by this box now: those that leave or
// rest, and those that have been sent the one request after their rest.
func (b *Balancer) declinedTargets() []barleystep.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var list []barleystep.TargetID
	for id := range b.declined {
		s, known := b.states[id]
		switch {
		case known && (s.isLeaving() || s.isRestingOrProbing(now)):
			list = append(list, id)
		case !known || !s.afterRest:
			delete(b.declined, id)
		}
	}
	return list
}

// decline notes that the target has said that it leaves or rests.
func (b *Balancer) markDeclined(id barleystep.TargetID) {
	if b.declined == nil {
		b.declined = make(map[barleystep.TargetID]bool)
	}
	b.declined[id] = true
}

// Stands reports whether neither the placement's target nor a helper has said since that it
// takes nothing more.
func (p *Placement) IsValid() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	return !slices.ContainsFunc(p.parts, func(own *part) bool { return own.state.isDeclining(now) })
}
