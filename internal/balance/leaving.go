package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// LeavingNews is whether a target has said in an answer that it leaves.
type LeavingNews struct {
	Leaving bool
	// At is as of when that counts.
	At time.Time
}

// replaces reports whether the news are newer than others. Nothing is kept of targets that
// never said that they leave.
func (n LeavingNews) replaces(o LeavingNews) bool {
	if !n.Leaving && !o.Leaving {
		return false
	}
	return n.At.After(o.At)
}

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
	return s.leaving.Leaving && now.Sub(s.absent) < leavingMemory
}

// closed reports whether the target has said that it takes nothing from this box now: it
// leaves, or rests.
func (s *state) closed(now time.Time) bool { return s.leaving.Leaving || s.resting(now) }

// closed returns the targets that take nothing from this box now.
func (b *Balancer) closed() []barleystep.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var list []barleystep.TargetID
	for id, s := range b.states {
		if s.closed(now) {
			list = append(list, id)
		}
	}
	return list
}

// Stands reports whether the placement's target has not said since that it takes nothing more.
func (p *Placement) Stands() bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return !p.parts[0].at.closed(b.Clock.Now())
}

// believeLeaving takes in news of whether a target leaves.
func (b *Balancer) believeLeaving(id barleystep.TargetID, s *state, news LeavingNews) {
	if !news.replaces(s.leaving) {
		return
	}
	before := s.leaving.Leaving
	s.leaving = news
	if before != news.Leaving {
		b.logLeaving(id, news)
	}
}

// Leaving reports whether the target has said in an answer that it leaves.
func (b *Balancer) Leaving(id barleystep.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).leaving.Leaving
}

// logLeaving tells of a change of belief.
func (b *Balancer) logLeaving(id barleystep.TargetID, news LeavingNews) {
	if b.Log == nil {
		return
	}
	text := "A target says that it leaves."
	if !news.Leaving {
		text = "A target says no longer that it leaves."
	}
	b.Log.Info().Str("target", string(id)).Dur("age", b.Clock.Now().Sub(news.At)).Msg(logPrefix + text)
}
