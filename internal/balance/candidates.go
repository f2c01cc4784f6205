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
	now, tried := b.Clock.Now(), b.tried()
	var by [gradeResting + 1][]fleet.Target
	for _, t := range b.Targets() {
		if t.Service != j.Service || t.Draining || avoided(j, t.ID) {
			continue
		}
		s, _ := b.meet(t)
		if s.leaving() {
			continue // Its word is newer than its record, which it may not be able to write.
		}
		g := b.gradeOf(t.ID, s, j, now)
		if g == gradeGood && slices.Contains(tried, t.ID) {
			g = gradeShunned
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
type grade uint8

const (
	gradeGood grade = iota
	// gradeShunned targets are left alone for a moment, run a suspect, or have asked another box
	// for rest.
	gradeShunned
	// gradeResting targets have asked this box for rest: they are what is waited for.
	gradeResting
)

// gradeOf returns how gladly the target is given the job. One that runs a suspect is not told
// apart here.
func (b *Balancer) gradeOf(id barleystep.TargetID, s *state, j Job, now time.Time) grade {
	down := b.leaves(id, s, now) // It logs a change of belief.
	switch {
	case s.rests(now) && !j.ForPeer:
		return gradeResting
	case down || s.restsElsewhere(now):
		return gradeShunned
	default:
		return gradeGood
	}
}

// Staying returns those of the targets that are listed and not about to leave.
func (b *Balancer) NotLeaving(ids []barleystep.TargetID) []fleet.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []fleet.Target
	for _, t := range b.Targets() {
		if !t.Draining && slices.Contains(ids, t.ID) && !b.state(t.ID).leaving() {
			list = append(list, t)
		}
	}
	return list
}

func avoided(j Job, id barleystep.TargetID) bool {
	for _, a := range j.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
