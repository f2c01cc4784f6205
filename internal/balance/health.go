package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

const (
	// eventFreshness is how long a target that sent something to this box counts as up, whatever
	// peers report: some of them may be partitioned from it. Engines with streams send events
	// several times in this period.
	eventFreshness = 400 * time.Millisecond
	logPrefix      = "balance: "
)

// isUnreachable reports whether this box has recently failed to reach the target.
func (s *targetState) isUnreachable(now time.Time) bool {
	return s.unreachableTries > 0 && now.Before(s.backoffUntil)
}

// ForgetUnreachable drops what this box believes of targets that it could not reach, since the fault
// was on its own side. Other boxes are no longer told of it either.
func (b *Balancer) ForgetUnreachable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.unreachableTries > 0 {
			s.unreachableTries, s.backoffUntil, s.errorRate = 0, time.Time{}, 0
		}
	}
	b.serveQueues(false)
}

// IsDown reports whether the target seems to be down: this box has recently failed to reach it, or
// a peer has and nothing has come from it here since.
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

// checkBackoff reports whether the target is in backoff or seems to be down, and logs when the
// latter changes.
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
	e, text := b.Log.Info(), "A target is no longer considered down."
	if s.loggedDown {
		e, text = b.Log.Warn(), "A target seems to be down. It gets no work while others can take it."
	}
	e.Str("target", string(id)).Int("own_failures", s.unreachableTries).
		Int("other_boxes", b.peers.Work[s.key].DownReports).
		Dur("heard_ago", now.Sub(s.lastEvent)).Msg(logPrefix + text)
}
