package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// restartNewsWindow is how long before the news of a restart the new incarnation may have been
// given work: the news comes some tens of milliseconds after its start, and the old one took none
// while it was down. A try that was sent, or had an event, within this window is taken to run on
// the new incarnation; if it does not, the stall time-out ends it.
const restartNewsWindow = 250 * time.Millisecond

// maxRestartNewsDelay is how long after a target's start the news of it may come.
const maxRestartNewsDelay = 5 * time.Second

// DetectRestarts drops the state of earlier incarnations of the targets. It is called whenever the
// targets have changed.
func (b *Balancer) DetectRestarts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	anyRestarted := false
	for _, t := range b.Targets() {
		if _, known := b.states[t.ID]; !known {
			continue
		}
		if _, restarted := b.observe(t); restarted {
			anyRestarted = true
		}
	}
	if anyRestarted {
		clear(b.workCache)
		b.serveQueues(true)
	}
}

// observe updates the target's incarnation and returns its state. restarted is true for a new
// incarnation under a known id; the work, failures and backoff of the earlier one are dropped then.
func (b *Balancer) observe(t fleet.Target) (s *targetState, restarted bool) {
	s = b.targetState(t.ID)
	restarted = t.Restarted(s.lastStart)
	if restarted {
		s = b.resetState(s, t)
	}
	if t.StartMS != s.recordStart {
		s.key, s.recordStart = KeyOfTarget(t), t.StartMS
		b.applyPeerStatement(t.ID, s)
	}
	s.coldUntil, s.evacuated = t.ColdUntil, t.Evacuated
	if t.StartMS != 0 {
		s.lastStart = t.StartMS
	}
	return s, restarted
}

// resetState starts the state of a new incarnation with the tries that already run there. All
// others ran on the earlier one and are lost.
func (b *Balancer) resetState(old *targetState, t fleet.Target) *targetState {
	now, id := b.Clock.Now(), t.ID
	s := &targetState{key: KeyOf(string(id))}
	// News of a restart may be seconds late: the new incarnation may have made statements already.
	// A rest that the earlier one asked for expires by itself, its other statements do not.
	if start := time.UnixMilli(t.StartMS); now.Sub(start) <= maxRestartNewsDelay {
		s.heardLocally.Limit = old.heardLocally.Limit.since(start)
		s.heardLocally.Leaving = old.heardLocally.Leaving.since(start)
		s.statement = s.heardLocally
	}
	s.heardLocally.Rest, s.afterRest = old.heardLocally.Rest, old.afterRest
	lost := 0
	for _, p := range old.parts {
		if p.placement.isRecent(now) {
			p.state = s
			s.parts = append(s.parts, p)
			s.lastEvent = p.placement.lastEvent
			continue
		}
		p.markLost()
		lost++
	}
	old.parts = nil
	b.states[id] = s
	b.forgetSpeed(id)
	if b.Log != nil {
		b.Log.Info().Str("target", string(id)).Int("lost", lost).Int("kept", len(s.parts)).
			Msg(logPrefix + "A target has restarted. Its earlier state is dropped.")
	}
	return s
}

// isRecent reports whether the try was sent, or had an event, so recently that it runs on the
// incarnation that was just reported.
func (p *Placement) isRecent(now time.Time) bool {
	last := p.sent
	if p.lastEvent.After(last) {
		last = p.lastEvent
	}
	return now.Sub(last) < restartNewsWindow
}

// markLost notes that the incarnation on which the part was placed is over. The try is lost with
// it, unless the part was a helper's that is prefilled and reserved no KV cache.
func (p *part) markLost() {
	p.hasRestarted = true
	own := p.placement
	if p != own.parts[0] && own.prefilled && p.work.KVTokens == 0 {
		return
	}
	select {
	case <-own.lost:
	default:
		close(own.lost)
	}
}

// Lost is closed when a target that the try needs has restarted: nothing more will come.
func (p *Placement) Lost() <-chan struct{} { return p.lost }

// HasRestarted reports whether the target has restarted since the placement was made there.
func (p *Placement) HasRestarted(id barleystep.TargetID) bool {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.hasRestarted(id)
}

func (p *Placement) hasRestarted(id barleystep.TargetID) bool {
	for _, own := range p.parts {
		if own.target == id {
			return own.hasRestarted
		}
	}
	return false
}
