package balance

import (
	"context"
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// leavingRetention is how long a target's leaving is remembered after its record is gone. Records
// expire during an outage of the store and come back, also those of targets that are leaving and
// serve for some seconds more.
const leavingRetention = time.Minute

// notePresence notes whether a record names the target.
func (s *targetState) notePresence(present bool, now time.Time) {
	switch {
	case present:
		s.absentSince = time.Time{}
	case s.absentSince.IsZero():
		s.absentSince = now
	}
}

// isRetained reports whether the state of a target without a record is kept.
func (s *targetState) isRetained(now time.Time) bool {
	return s.isLeaving() && now.Sub(s.absentSince) < leavingRetention
}

// isDeclining reports whether the target has stated that it takes nothing from this box now: it is
// leaving or resting.
func (s *targetState) isDeclining(now time.Time) bool { return s.isLeaving() || s.isResting(now) }

// declinedTargets returns the targets to which this box sends nothing now: those that are leaving
// or resting, and those that have been sent their probe after a rest.
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

// markDeclined notes that the target has stated that it is leaving or resting.
func (b *Balancer) markDeclined(id barleystep.TargetID) {
	if b.declined == nil {
		b.declined = make(map[barleystep.TargetID]bool)
	}
	b.declined[id] = true
}

// Confirm reports whether the placement still holds by a list of targets that is recent enough to send
// by, for which it waits if need be. It is called right before the send.
func (p *Placement) Confirm(ctx context.Context) bool {
	if f := p.balancer.Freshness; f != nil && f.AwaitCurrent(ctx) != nil {
		return false
	}
	return p.IsValid()
}

// IsValid reports whether the placement still holds: its target and its helpers are all listed as taking
// requests, and none has since stated that it takes no more.
func (p *Placement) IsValid() bool {
	b := p.balancer
	list := b.Targets()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	return !slices.ContainsFunc(p.parts, func(own *part) bool {
		return own.state.isDeclining(now) || !isListed(list, own.target)
	})
}

// isListed reports whether the target is in the list and may get further requests.
func isListed(list []fleet.Target, id barleystep.TargetID) bool {
	i := slices.IndexFunc(list, func(t fleet.Target) bool { return t.ID == id })
	return i >= 0 && list[i].TakesRequests()
}
