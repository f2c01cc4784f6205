package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

const (
	// heardLife is for how long a target that sent something here is taken for up
	// whatever other boxes say: some of them may merely be cut off from it. Engines
	// with streams send events several times in this time.
	heardLife = 400 * time.Millisecond
	logPrefix = "balance: "
)

// down reports whether this box could not reach the target a moment ago.
func (s *state) down(now time.Time) bool { return s.failures > 0 && now.Before(s.shunned) }

// Down reports whether the target seems to be down: this box could not reach it a
// moment ago, or another one could not, and nothing has come from it here since.
func (b *Balancer) IsDown(id barleystep.TargetID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isDown(b.state(id), b.Clock.Now())
}

func (b *Balancer) isDown(s *state, now time.Time) bool {
	if s.down(now) {
		return true
	}
	return b.others.Work[s.key].DownReports > 0 && now.Sub(s.heard) > heardLife
}

// leaves reports whether the target is left alone while others can take the work,
// and logs when it begins or ceases to seem down.
func (b *Balancer) leaves(id barleystep.TargetID, s *state, now time.Time) bool {
	down := b.isDown(s, now)
	if down != s.suspect {
		s.suspect = down
		b.logDown(id, s, now)
	}
	return down || now.Before(s.shunned)
}

func (b *Balancer) logDown(id barleystep.TargetID, s *state, now time.Time) {
	if b.Log == nil {
		return
	}
	e, text := b.Log.Info(), "A target takes work again."
	if s.suspect {
		e, text = b.Log.Warn(), "A target seems to be down. It is left alone."
	}
	e.Str("target", string(id)).Int("own_failures", s.failures).
		Int("other_boxes", b.others.Work[s.key].DownReports).
		Dur("heard_ago", now.Sub(s.heard)).Msg(logPrefix + text)
}
