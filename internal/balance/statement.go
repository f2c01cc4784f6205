package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Said is what is believed of what a target's lifetime says of itself. Each word of it is as old
// as it is: an answer without a word takes back what was said before its request was sent.
type TimedStatement struct {
	// Limit is how much it takes from all boxes.
	Limit Timed[barleystep.RateLimit]
	// Leaving is whether it is about to end.
	Leaving Timed[bool]
	// Rest is until when it wants nothing from the box that it has told so. To others it is a
	// hint: a target that is full for one box is mostly full for all.
	Rest Timed[time.Time]
	// Blamed is until when it is not asked to help, since a target has refused a prompt because
	// of it: helpers that leave, or lack room, say nothing themselves.
	HelperBackoff Timed[time.Time]
}

// Word is one thing that a target says of itself. The value's zero is that it does not say it.
type Timed[T comparable] struct {
	Value T
	// At is as of when it counts.
	At time.Time
}

// takenBackTold is for how long a box tells the others that a target has taken a word back. A
// box that has missed it goes by the word until it has an answer of the target's itself.
const retractionGossipTime = 10 * time.Second

// wordOf returns what an answer says that is heard now, to a request that was sent at the given
// time. Answers pass each other on their way: one to an earlier request takes nothing back.
func timedFrom[T comparable](value T, now, sent time.Time) Timed[T] {
	w := Timed[T]{Value: value, At: sent}
	if w.isSet() {
		w.At = now
	}
	return w
}

// says reports whether the target says it.
func (w Timed[T]) isSet() bool {
	var none T
	return w.Value != none
}

// join returns the later word. Nothing is kept of a word that was never said.
func (w Timed[T]) later(o Timed[T]) Timed[T] {
	if (w.isSet() || o.isSet()) && o.At.After(w.At) {
		return o
	}
	return w
}

// told returns the word if the others are to be told that it was heard here: it is what is
// believed, and was said, or taken back of late.
func (w Timed[T]) gossip(current Timed[T], now time.Time) Timed[T] {
	if w.Value == current.Value && (w.isSet() || now.Sub(w.At) < retractionGossipTime) {
		return w
	}
	return Timed[T]{}
}

// join returns the later words of both. The order makes no difference.
func (s TimedStatement) later(o TimedStatement) TimedStatement {
	return TimedStatement{Limit: s.Limit.later(o.Limit), Leaving: s.Leaving.later(o.Leaving), Rest: s.Rest.later(o.Rest), HelperBackoff: s.HelperBackoff.later(o.HelperBackoff)}
}

// told returns what the others are to be told that was heard here.
func (s TimedStatement) gossip(statement TimedStatement, now time.Time) TimedStatement {
	gossip := TimedStatement{Limit: s.Limit.gossip(statement.Limit, now), Leaving: s.Leaving.gossip(statement.Leaving, now)}
	if now.Before(s.Rest.Value) {
		gossip.Rest = s.Rest
	}
	if now.Before(s.HelperBackoff.Value) {
		gossip.HelperBackoff = s.HelperBackoff
	}
	return gossip
}

// Says takes in what the placement's target, or a helper, says of itself in the answer to a
// request that was sent at the given time. With a zero time, words that it lacks are not taken
// back.
func (p *Placement) NoteStatement(id barleystep.TargetID, said barleystep.Statement, sent time.Time) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range p.parts {
		if part.target == id {
			b.noteStatement(id, part.state, said, sent)
		}
	}
}

// heardFrom takes in what a lifetime of a target says here.
func (b *Balancer) noteStatement(id barleystep.TargetID, s *targetState, said barleystep.Statement, sent time.Time) {
	now := b.Clock.Now()
	heard := TimedStatement{
		Limit:   timedFrom(said.Limit, now, sent),
		Leaving: timedFrom(said.Leaving, now, sent),
	}
	if said.Rest > 0 {
		b.rest(id, s, said.Rest)
		heard.Rest = s.heardLocally.Rest
	}
	s.heardLocally = s.heardLocally.later(heard)
	b.updateStatement(id, s, heard)
}

// hearAll takes in what targets have told other boxes.
func (b *Balancer) applyPeerStatements() {
	if len(b.peers.Statements) == 0 {
		return
	}
	for id, s := range b.states {
		b.applyPeerStatement(id, s)
	}
}

// hear takes in what a target has told other boxes. A box that has just started hears of
// targets before it meets them.
func (b *Balancer) applyPeerStatement(id barleystep.TargetID, s *targetState) {
	if said, ok := b.peers.Statements[s.key]; ok {
		b.updateStatement(id, s, said)
	}
}

// believe takes in what a lifetime of a target has said, here or to another box.
func (b *Balancer) updateStatement(id barleystep.TargetID, s *targetState, said TimedStatement) {
	before := s.statement
	s.statement = before.later(said)
	if before.Limit.Value != s.statement.Limit.Value {
		if !before.Limit.isSet() {
			s.rateLimiter = rateLimiter{}
		}
		b.logLimit(id, s)
	}
	if s.isLeaving() {
		b.markDeclined(id)
	}
	if before.Leaving.Value != s.statement.Leaving.Value {
		b.logLeaving(id, s)
	}
}

// limit returns how much the target takes from all boxes.
func (s *targetState) limit() barleystep.RateLimit { return s.statement.Limit.Value }

// leaving reports whether the target has said that it leaves.
func (s *targetState) isLeaving() bool { return s.statement.Leaving.Value }

// limits reports whether some target of the service names how much it takes.
func (b *Balancer) hasLimitedTarget(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.Targets() {
		if t.Service != service {
			continue
		}
		if s, _ := b.observe(t); s.limit().IsSet() {
			return true
		}
	}
	return false
}

// logLimit tells of a change of belief, and of what it goes by.
func (b *Balancer) logLimit(id barleystep.TargetID, s *targetState) {
	if b.Log == nil {
		return
	}
	e, text := b.Log.Warn(), "A target names how many requests it takes from all boxes."
	if !s.limit().IsSet() {
		e, text = b.Log.Info(), "A target names no limit any more."
	}
	e.Str("target", string(id)).Float64("per_second", s.limit().PerSecond()).
		Bool("told_here", s.statement.Limit == s.heardLocally.Limit).Dur("age", b.Clock.Now().Sub(s.statement.Limit.At)).
		Bool("leads", b.isLead()).Int("boxes", b.role.Boxes).Int("reached", b.role.Reachable).
		Msg(logPrefix + text)
}

// logLeaving tells of a change of belief, and of what it goes by.
func (b *Balancer) logLeaving(id barleystep.TargetID, s *targetState) {
	if b.Log == nil {
		return
	}
	text := "A target says that it leaves."
	if !s.isLeaving() {
		text = "A target says no longer that it leaves."
	}
	e := b.Log.Info().Str("target", string(id)).Bool("told_here", s.statement.Leaving == s.heardLocally.Leaving)
	e.Dur("age", b.Clock.Now().Sub(s.statement.Leaving.At)).Msg(logPrefix + text)
}
