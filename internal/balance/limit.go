package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// limitNews is what a target has said of how much it takes from all boxes.
type limitNews struct {
	limit barleystep.RateLimit
	// at is when a limit was heard; of an answer that names none, when the request was sent:
	// answers pass each other on their way, and one to an earlier request lifts nothing.
	at time.Time
}

// Limited notes what the target says of how much it takes, in the answer to a request that
// was sent at the given time.
func (p *Placement) Limited(limit barleystep.RateLimit, sent time.Time) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := p.parts[0].at
	news := limitNews{limit: limit, at: sent}
	if limit.Named() {
		news.at = b.Clock.Now()
	}
	if !news.replaces(s.limit) {
		return
	}
	before := s.limit.limit
	s.limit = news
	if before != limit {
		b.logLimit(p.Target.ID, limit)
	}
}

// Limit returns how much the target takes from all boxes, as far as this box knows.
func (b *Balancer) Limit(id barleystep.TargetID) barleystep.RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).limit.limit
}

// replaces reports whether the news are newer than others. Nothing is kept of targets that
// never named a limit.
func (n limitNews) replaces(o limitNews) bool {
	if !n.limit.Named() && !o.limit.Named() {
		return false
	}
	return n.at.After(o.at)
}

func (b *Balancer) logLimit(id barleystep.TargetID, limit barleystep.RateLimit) {
	if b.Log == nil {
		return
	}
	if !limit.Named() {
		b.Log.Info().Str("target", string(id)).Msg(logPrefix + "A target names no limit any more.")
		return
	}
	b.Log.Warn().Str("target", string(id)).Float64("per_second", limit.PerSecond()).
		Msg(logPrefix + "A target names how many requests it takes from all boxes.")
}
