package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// DropPeer ends the prefill of all placements made for a box that has probably ended. If the box
// was only slow, its next report counts again.
func (b *Balancer) DropPeer(box barleystep.BoxID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if box == "" {
		return // Placements for older boxes, which send no id, count until they are overdue.
	}
	now := b.Clock.Now()
	plans, freed := 0, time.Duration(0)
	for number, g := range b.peerPlacements {
		if g.placement.box != box {
			continue
		}
		for _, part := range g.placement.parts {
			freed += part.remaining(now)
			if part.isPrefilling() && g.prefillUntil.After(part.state.droppedUntil) {
				part.state.droppedUntil = g.prefillUntil
			}
		}
		b.refundShare(g.placement)
		b.release(g.placement)
		delete(b.peerPlacements, number)
		plans++
	}
	if plans == 0 {
		return
	}
	if b.Log != nil {
		b.Log.Info().Str("box", string(box)).Int("plans", plans).Dur("freed", freed).
			Msg(logPrefix + "The plans of a box that has ended were dropped.")
	}
	clear(b.workCache)
	b.serveQueues(false)
}

// unknownLeadBacklog returns how much of the prefill that peers report for the lead's parts this
// box, being the lead, does not count itself. That is none, as its own accounting is newer, unless
// it has dropped parts of a box that fell silent and may have come back.
func (s *targetState) unknownLeadBacklog(reported, own time.Duration, now time.Time) time.Duration {
	if !now.Before(s.droppedUntil) {
		return 0
	}
	return max(reported-own, 0)
}
