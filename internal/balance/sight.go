package balance

import "github.com/barleystep/barleystep"

// Belief is what a box believes of one target.
type Belief struct {
	// Down is set while the target seems to be down.
	Down bool
	// Said is what the target says of itself, and HeardHere what it has said to this box; the
	// rest was told by others.
	Said      Said
	HeardHere Said
	// Resting is set while the target has asked this box for rest.
	Resting bool
}

// Belief returns what this box believes of the target.
func (b *Balancer) Belief(id barleystep.TargetID) Belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, s := b.Clock.Now(), b.state(id)
	return Belief{Down: b.isDown(s, now), Said: s.believed, HeardHere: s.heardHere, Resting: s.resting(now)}
}
