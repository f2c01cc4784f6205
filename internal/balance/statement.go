package balance

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Says takes in what the placement's target says of itself in the answer to a request that was
// sent at the given time.
func (p *Placement) Says(said barleystep.Statement, sent time.Time) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := p.parts[0].at
	b.limited(p.Target.ID, s, said.Limit, sent)
	b.believeLeaving(p.Target.ID, s, LeavingNews{Leaving: said.Leaving, At: b.heardAt(said.Leaving, sent)})
	b.rest(p.Target.ID, s, said.Rest)
}

// heardAt returns as of when a word of a target counts: from when it is heard; of an answer
// that lacks it, when the request was sent, since answers pass each other on their way, and
// one to an earlier request takes nothing back.
func (b *Balancer) heardAt(says bool, sent time.Time) time.Time {
	if says {
		return b.Clock.Now()
	}
	return sent
}
