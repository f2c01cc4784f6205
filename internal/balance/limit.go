package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// LimitNews is what a target has said of how much it takes from all boxes.
type LimitNews struct {
	Limit barleystep.RateLimit
	// At is as of when that counts.
	At time.Time
}

// liftedTold is for how long a box tells the others that a target names no limit any more.
// A box that has missed it goes by the limit until it has an answer of the target's itself.
const liftedTold = 10 * time.Second

// replaces reports whether the news are newer than others. Nothing is kept of targets that
// never named a limit.
func (n LimitNews) replaces(o LimitNews) bool {
	if !n.Limit.Named() && !o.Limit.Named() {
		return false
	}
	return n.At.After(o.At)
}

// limited notes what the target says of how much it takes, in the answer to a request that
// was sent at the given time.
func (b *Balancer) limited(id barleystep.TargetID, s *state, limit barleystep.RateLimit, sent time.Time) {
	news := LimitNews{Limit: limit, At: b.heardAt(limit.Named(), sent)}
	if news.replaces(s.heardLimit) {
		s.heardLimit = news
	}
	b.believe(id, s, news)
}

// hearLimits takes in what other boxes were told by targets.
func (b *Balancer) hearLimits() {
	if len(b.others.Limits) == 0 {
		return
	}
	for id, s := range b.states {
		b.hearLimit(id, s)
	}
}

// hearLimit takes in what other boxes were told by a target. A box that has just started
// hears of limits before it meets the targets.
func (b *Balancer) hearLimit(id barleystep.TargetID, s *state) {
	if news, ok := b.others.Limits[s.key]; ok {
		b.believe(id, s, news)
	}
}

// believe takes in news of a target's limit.
func (b *Balancer) believe(id barleystep.TargetID, s *state, news LimitNews) {
	if !news.replaces(s.limit) {
		return
	}
	before := s.limit.Limit
	s.limit = news
	if before == news.Limit {
		return
	}
	if !before.Named() {
		s.allowance = allowance{}
	}
	b.logLimit(id, s)
}

// tellsLimit reports whether the others are to be told of what the target said here: it is
// what is believed, and a limit or lifted of late.
func (s *state) tellsLimit(now time.Time) bool {
	heard := s.heardLimit
	if heard.At.IsZero() || heard.Limit != s.limit.Limit {
		return false
	}
	return heard.Limit.Named() || now.Sub(heard.At) < liftedTold
}

// Limit returns how much the target takes from all boxes, as far as this box knows.
func (b *Balancer) Limit(id barleystep.TargetID) barleystep.RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).limit.Limit
}

// limits reports whether some target of the service names how much it takes.
func (b *Balancer) limits(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.Targets() {
		if t.Service != service {
			continue
		}
		if s, _ := b.meet(t); s.limit.Limit.Named() {
			return true
		}
	}
	return false
}

// logLimit tells of a change of belief, and of what it goes by.
func (b *Balancer) logLimit(id barleystep.TargetID, s *state) {
	if b.Log == nil {
		return
	}
	now := b.Clock.Now()
	e, text := b.Log.Warn(), "A target names how many requests it takes from all boxes."
	if !s.limit.Limit.Named() {
		e, text = b.Log.Info(), "A target names no limit any more."
	}
	e.Str("target", string(id)).Float64("per_second", s.limit.Limit.PerSecond()).
		Bool("told_here", s.limit == s.heardLimit).Dur("age", now.Sub(s.limit.At)).
		Bool("leads", b.leads()).Int("boxes", b.role.Boxes).Int("reached", b.role.Reached).
		Msg(logPrefix + text)
}
