package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// candidates returns the service's targets that may take the job: the best of those that
// neither leave, by their record or their own word, nor have failed the request.
func (b *Balancer) candidates(j Job) []fleet.Target {
	now, trialTargets := b.Clock.Now(), b.trialTargets()
	var by [tierResting + 1][]fleet.Target
	for _, t := range b.Targets() {
		if t.Service != j.Service || t.Draining || isAvoided(j, t.ID) {
			continue
		}
		s, _ := b.observe(t)
		if s.isLeaving() {
			continue // Its word is newer than its record, which it may not be able to write.
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

// grade is how gladly a target is given work. Those of one grade get it where there is none of a
// better one.
type tier uint8

const (
	tierNormal tier = iota
	// gradeShunned targets are left alone for a moment, run a suspect, or have asked another box
	// for rest.
	tierBackoff
	// gradeResting targets have asked this box for rest: they are what is waited for.
	tierResting
)

// gradeOf returns how gladly the target is given the job. One that runs a suspect is not told
// apart here.
func (b *Balancer) tierOf(id barleystep.TargetID, s *targetState, j Job, now time.Time) tier {
	inBackoff := b.checkBackoff(id, s, now) // It logs a change of belief.
	switch {
	case s.isRestingOrProbing(now) && !j.ForPeer:
		return tierResting
	case inBackoff || s.isRestingForPeer(now):
		return tierBackoff
	default:
		return tierNormal
	}
}

// Staying returns those of the targets that are listed and not about to leave.
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

func isAvoided(j Job, id barleystep.TargetID) bool {
	for _, a := range j.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
