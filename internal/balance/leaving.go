package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// leavingMemory is for how long it is remembered that a target leaves whose record is gone.
// Records lapse during an outage of the store and come back, of targets too that leave and
// serve on for some seconds.
const leavingMemory = time.Minute

// note notes whether a record names the target.
func (s *state) note(present bool, now time.Time) {
	switch {
	case present:
		s.absent = time.Time{}
	case s.absent.IsZero():
		s.absent = now
	}
}

// remembers reports whether what is known of a target is kept that no record names.
func (s *state) remembers(now time.Time) bool {
	return s.leaving() && now.Sub(s.absent) < leavingMemory
}

// closed reports whether the target has said that it takes nothing from this box now: it
// leaves, or rests.
func (s *state) closed(now time.Time) bool { return s.leaving() || s.resting(now) }

// withheld returns the targets that are offered nothing by this box now: those that leave or
// rest, and those that have been sent the one request after their rest.
func (b *Balancer) withheld() []barleystep.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var list []barleystep.TargetID
	for id := range b.declined {
		s, known := b.states[id]
		switch {
		case known && (s.leaving() || s.rests(now)):
			list = append(list, id)
		case !known || !s.returning:
			delete(b.declined, id)
		}
	}
	return list
}

// decline notes that the target has said that it leaves or rests.
func (b *Balancer) decline(id barleystep.TargetID) {
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
	return !slices.ContainsFunc(p.parts, func(own *part) bool { return own.at.closed(now) })
}
