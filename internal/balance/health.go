package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

const (
	// heardLife is for how long a target that sent something here is taken for up
	// whatever other boxes say: some of them may merely be cut off from it. Engines
	// with streams send events several times in this time.
	eventFreshness = 400 * time.Millisecond
	logPrefix      = "balance: "
)

// down reports whether this box could not reach the target a moment ago.
func (s *targetState) isUnreachable(now time.Time) bool {
	return s.unreachableTries > 0 && now.Before(s.backoffUntil)
}

// Down reports whether the target seems to be down: this box could not reach it a
// moment ago, or another one could not, and nothing has come from it here since.
func (b *Balancer) IsDown(id barleystep.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seemsDown(b.targetState(id), b.Clock.Now())
}

func (b *Balancer) seemsDown(s *targetState, now time.Time) bool {
	if s.isUnreachable(now) {
		return true
	}
	return b.peers.Work[s.key].DownReports > 0 && now.Sub(s.lastEvent) > eventFreshness
}

// leaves reports whether the target is left alone while others can take the work,
// and logs when it begins or ceases to seem down.
func (b *Balancer) checkBackoff(id barleystep.TargetID, s *targetState, now time.Time) bool {
	isDown := b.seemsDown(s, now)
	if isDown != s.loggedDown {
		s.loggedDown = isDown
		b.logDownChange(id, s, now)
	}
	return isDown || now.Before(s.backoffUntil)
}

func (b *Balancer) logDownChange(id barleystep.TargetID, s *targetState, now time.Time) {
	if b.Log == nil {
		return
	}
	e, text := b.Log.Info(), "A target takes work again."
	if s.loggedDown {
		e, text = b.Log.Warn(), "A target seems to be down. It is left alone."
	}
	e.Str("target", string(id)).Int("own_failures", s.unreachableTries).
		Int("other_boxes", b.peers.Work[s.key].DownReports).
		Dur("heard_ago", now.Sub(s.lastEvent)).Msg(logPrefix + text)
}
