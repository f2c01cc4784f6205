package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// candidates returns the service's targets of the best tier that may take the job. Targets that are
// leaving, by their record or their own statement, that are in an evacuated hall, or that have
// failed the request are left out.
func (b *Balancer) candidates(j Job) []fleet.Target {
	now, trialTargets := b.Clock.Now(), b.trialTargets()
	var by [tierResting + 1][]fleet.Target
	for _, t := range b.Targets() {
		if t.Service != j.Service || !t.TakesRequests() || isAvoided(j, t.ID) {
			continue
		}
		s, _ := b.observe(t)
		if s.isLeaving() {
			continue // Its statement is newer than its record, which it may be unable to write.
		}
		g := b.tierOf(t.ID, s, j, now)
		if g == tierNormal && slices.Contains(trialTargets, t.ID) {
			g = tierBackoff
		}
		by[g] = append(by[g], t)
	}
	for _, list := range by {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// tier ranks targets by preference. Targets of a tier get the job only where there is none of a
// better tier.
type tier uint8

const (
	tierNormal tier = iota
	// tierBackoff targets are in backoff, run a suspect, or have asked another box for rest.
	tierBackoff
	// tierResting targets have asked this box for rest: the job waits for them.
	tierResting
)

// tierOf returns the target's tier for the job. It does not consider whether the target runs a
// suspect.
func (b *Balancer) tierOf(id barleystep.TargetID, s *targetState, j Job, now time.Time) tier {
	inBackoff := b.checkBackoff(id, s, now) // This logs a change.
	switch {
	case s.isRestingOrProbing(now) && !j.ForPeer:
		return tierResting
	case inBackoff || s.isRestingForPeer(now):
		return tierBackoff
	default:
		return tierNormal
	}
}

// NotLeaving returns the targets among ids that are listed and not about to leave.
func (b *Balancer) NotLeaving(ids []barleystep.TargetID) []fleet.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []fleet.Target
	for _, t := range b.Targets() {
		if !t.Draining && slices.Contains(ids, t.ID) && !b.targetState(t.ID).isLeaving() {
			list = append(list, t)
		}
	}
	return list
}

// IsLeaving reports whether the target is listed as leaving, or has stated that it is.
func (b *Balancer) IsLeaving(id barleystep.TargetID) bool {
	isListed := slices.ContainsFunc(b.Targets(), func(t fleet.Target) bool { return t.ID == id })
	return isListed && len(b.NotLeaving([]barleystep.TargetID{id})) == 0
}

// HasSuccessor reports whether a later incarnation of the target, or another target at its address,
// is listed. One that is listed at the address beside it counts only if it has started at another time.
func (b *Balancer) HasSuccessor(old fleet.Target) bool {
	isListed, hasOther := false, false
	for _, t := range b.Targets() {
		isOwn := t.ID == old.ID
		switch {
		case (isOwn || t.Addr == old.Addr) && t.Restarted(old.StartMS):
			return true
		case isOwn:
			isListed = true
		case t.Addr == old.Addr:
			hasOther = true
		}
	}
	return hasOther && !isListed
}

func isAvoided(j Job, id barleystep.TargetID) bool {
	for _, a := range j.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
