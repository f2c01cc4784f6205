package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// TimedStatement is the latest known statement of a target's incarnation. Each value has its own
// time: an answer without a value retracts what was stated before its request was sent.
type TimedStatement struct {
	// Limit is the rate that it takes from all boxes together.
	Limit Timed[barleystep.RateLimit]
	// Leaving is whether it is about to end.
	Leaving Timed[bool]
	// Rest is until when it wants nothing from the box that it has told. To other boxes it is a
	// hint: a target that is full for one box is mostly full for all.
	Rest Timed[time.Time]
	// HelperBackoff is until when it gets no parts of prompts because another target has refused a
	// prompt because of it: helpers that are leaving or full make no statement themselves.
	HelperBackoff Timed[time.Time]
}

// Timed is a value with the time as of which it holds. A zero value means that the target does not
// state it.
type Timed[T comparable] struct {
	Value T
	// At is the time as of which the value holds.
	At time.Time
}

// retractionGossipTime is how long a box gossips that a target has retracted a value. A box that
// has missed it keeps the value until it gets an answer from the target itself.
const retractionGossipTime = 10 * time.Second

// timedFrom returns the value of an answer that arrives now, to a request that was sent at the
// given time. Answers may arrive out of order: one to an earlier request retracts nothing.
func timedFrom[T comparable](value T, now, sent time.Time) Timed[T] {
	w := Timed[T]{Value: value, At: sent}
	if w.isSet() {
		w.At = now
	}
	return w
}

// isSet reports whether the target states the value.
func (w Timed[T]) isSet() bool {
	var none T
	return w.Value != none
}

// later returns the later value. A retraction of a value that was never set is ignored.
func (w Timed[T]) later(o Timed[T]) Timed[T] {
	if (w.isSet() || o.isSet()) && o.At.After(w.At) {
		return o
	}
	return w
}

// since returns the value if it holds as of the given time or a later one.
func (w Timed[T]) since(t time.Time) Timed[T] {
	if w.At.Before(t) {
		return Timed[T]{}
	}
	return w
}

// gossip returns the value if peers are to be told that it was heard locally: it is the current
// one, and is set or was retracted recently.
func (w Timed[T]) gossip(current Timed[T], now time.Time) Timed[T] {
	if w.Value == current.Value && (w.isSet() || now.Sub(w.At) < retractionGossipTime) {
		return w
	}
	return Timed[T]{}
}

// later returns the later values of both. It is commutative.
func (s TimedStatement) later(o TimedStatement) TimedStatement {
	return TimedStatement{Limit: s.Limit.later(o.Limit), Leaving: s.Leaving.later(o.Leaving), Rest: s.Rest.later(o.Rest), HelperBackoff: s.HelperBackoff.later(o.HelperBackoff)}
}

// gossip returns what peers are to be told of what was heard locally.
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

// NoteStatement takes in the statement of the placement's target, or of a helper, in the answer to
// a request that was sent at the given time. With a zero time, values that it lacks are not
// retracted.
func (p *Placement) NoteStatement(id barleystep.TargetID, statement barleystep.Statement, sent time.Time) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range p.parts {
		if part.target == id {
			b.noteStatement(id, part.state, statement, sent)
		}
	}
}

// noteStatement takes in the statement that an incarnation of a target makes to this box.
func (b *Balancer) noteStatement(id barleystep.TargetID, s *targetState, statement barleystep.Statement, sent time.Time) {
	now := b.Clock.Now()
	s.reported.note(statement.Load, now)
	update := TimedStatement{
		Limit:   timedFrom(statement.Limit, now, sent),
		Leaving: timedFrom(statement.Leaving, now, sent),
	}
	if statement.Rest > 0 {
		b.rest(id, s, statement.Rest)
		update.Rest = s.heardLocally.Rest
	}
	s.heardLocally = s.heardLocally.later(update)
	b.updateStatement(id, s, update)
}

// applyPeerStatements takes in the statements that targets have made to peers.
func (b *Balancer) applyPeerStatements() {
	if len(b.peers.Statements) == 0 {
		return
	}
	for id, s := range b.states {
		b.applyPeerStatement(id, s)
	}
}

// applyPeerStatement takes in the statement that a target has made to peers. A box that has just
// started hears of targets before it uses them.
func (b *Balancer) applyPeerStatement(id barleystep.TargetID, s *targetState) {
	if statement, ok := b.peers.Statements[s.key]; ok {
		b.updateStatement(id, s, statement)
	}
}

// updateStatement merges a statement that an incarnation of a target has made, here or to a peer.
func (b *Balancer) updateStatement(id barleystep.TargetID, s *targetState, update TimedStatement) {
	before := s.statement
	s.statement = before.later(update)
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

// limit returns the rate that the target takes from all boxes together.
func (s *targetState) limit() barleystep.RateLimit { return s.statement.Limit.Value }

// isLeaving reports whether the target has stated that it is leaving.
func (s *targetState) isLeaving() bool { return s.statement.Leaving.Value }

// hasLimitedTarget reports whether some target of the job's service has a limit.
func (b *Balancer) hasLimitedTarget(j Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.Targets() {
		if t.Service != j.Service {
			continue
		}
		if s, _ := b.observe(t); b.limitFor(j, s).IsSet() {
			return true
		}
	}
	return false
}

// logLimit logs a changed limit, and whether it was heard locally or from a peer.
func (b *Balancer) logLimit(id barleystep.TargetID, s *targetState) {
	if b.Log == nil {
		return
	}
	e, text := b.Log.Warn(), "A target states its request limit for all boxes."
	if !s.limit().IsSet() {
		e, text = b.Log.Info(), "A target no longer states a limit."
	}
	e.Str("target", string(id)).Float64("per_second", s.limit().PerSecond()).
		Bool("told_here", s.statement.Limit == s.heardLocally.Limit).Dur("age", b.Clock.Now().Sub(s.statement.Limit.At)).
		Bool("leads", b.isLead()).Int("boxes", b.role.Boxes).Int("reached", b.role.Reachable).
		Msg(logPrefix + text)
}

// logLeaving logs a change of leaving, and whether it was heard locally or from a peer.
func (b *Balancer) logLeaving(id barleystep.TargetID, s *targetState) {
	if b.Log == nil {
		return
	}
	text := "A target states that it is leaving."
	if !s.isLeaving() {
		text = "A target no longer states that it is leaving."
	}
	e := b.Log.Info().Str("target", string(id)).Bool("told_here", s.statement.Leaving == s.heardLocally.Leaving)
	e.Dur("age", b.Clock.Now().Sub(s.statement.Leaving.At)).Msg(logPrefix + text)
}
